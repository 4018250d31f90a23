"""What a plan of traffic costs, what it gains, and how it compares with a linear program.

    python benchmarks/zones.py --only ways cost       # some minutes
    pip install '.[weigh]' && python benchmarks/zones.py --only weigh

- `ways`: all incidents over seeds, three ways in one run: each node alone, static shares, agreed.
- `large`: 200 nodes and 1,000 executors in nine zones.
- `cost`: time to merge and to plan for 9, 30 and 100 zones; bytes and CPU of a digest.
- `weigh`: slots served and stability of the waterfall against a linear program.
- `bugs`: how long each planted bug takes to be seen.
- `orders`: small cases in every order.
"""

import argparse
import functools
import multiprocessing
import random
import statistics
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

import msgspec  # noqa: E402

from cedarmill.cluster.observations.assessment import (  # noqa: E402
    ClusterAssessment,
    ObservationCollector,
    ZoneAssessment,
)
from cedarmill.cluster.observations.digest import SCOPES, LocationObservation, ObservationDigest  # noqa: E402
from cedarmill.cluster.observations.log import LocationEstimate, ObservationLog  # noqa: E402
from cedarmill.cluster.traffic_plan import planner  # noqa: E402
from cedarmill.cluster.traffic_plan.allocation import allocate  # noqa: E402
from cedarmill.cluster.traffic_plan.layout import ZoneLayout  # noqa: E402
from cedarmill.cluster.traffic_plan.state import ZoneState  # noqa: E402
from cedarmill.lab.simulation.zones import simulation as regions  # noqa: E402

WORKERS = multiprocessing.cpu_count()


def _play(job: tuple[str, int, str]) -> tuple[str, int, str, regions.Result]:
    name, seed, way = job
    return name, seed, way, regions.run(name, seed, way)


def ways(seeds: int) -> None:
    """Three ways, the same seeds."""
    numbers = range(1, seeds + 1)
    jobs = [(name, seed, way) for name in regions.INCIDENTS for seed in numbers for way in regions.WAYS]
    found: dict[tuple[str, str], list[regions.Result]] = {}
    broken: list[str] = []
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for name, seed, way, result in pool.imap_unordered(_play, jobs, 4):
            found.setdefault((name, way), []).append(result)
            if way == "agreed" and (laws := regions.breaches(result, name)):
                broken.append(f"{name} seed {seed}: {', '.join(laws)}")
    print("incident, way: served; of what could be served at rest; crossed without need; longest over (s); "
          "falls; worst load; settled (s); changes")  # fmt: skip
    for name in regions.INCIDENTS:
        for way in regions.WAYS:
            runs = found[name, way]
            mean = functools.partial(statistics.mean)
            print(f"{name}, {way}: {mean(r.served for r in runs):.3f}; {mean(r.steady for r in runs):.3f} "
                  f"(least {min(r.steady for r in runs):.3f}); {mean(r.crossed for r in runs):.3f}; "
                  f"{max(r.over for r in runs):.1f}; {sum(r.fallen for r in runs)}; "
                  f"{max(max(r.worst) for r in runs):.2f}; {statistics.median(r.settled for r in runs):.1f}; "
                  f"{max(r.changes for r in runs)}", flush=True)  # fmt: skip
    _plot(found)
    print(f"agreed, laws broken in {len(broken)} of {seeds * len(regions.INCIDENTS)} runs")
    for text in broken[:40]:
        print(f"  {text}")


def _plot(found: dict[tuple[str, str], list[regions.Result]]) -> None:
    """The fullest zone's load over time, the mean of all seeds, three ways side by side; into `found/`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(regions.INCIDENTS)
    rows = -(-len(names) // 3)
    figure, grid = pyplot.subplots(rows, 3, figsize=(15, 3 * rows), squeeze=False)
    for axes, name in zip(grid.flat, names, strict=False):
        for way in regions.WAYS:
            runs = [one.worst for one in found[name, way]]
            axes.plot([statistics.mean(second) for second in zip(*runs, strict=True)], label=way)
        axes.axhline(1.0, color="0.7", linewidth=0.8)
        axes.set_title(f"{name}: load of the fullest zone")
        axes.set_ylim(0, 2.5)
    grid[0][0].legend()
    figure.tight_layout()
    path = ROOT / "found" / "zones.png"
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path, dpi=70)
    print(f"plot: {path.relative_to(ROOT)}")


def large(seeds: int) -> None:
    """200 nodes, 1,000 executors, three regions of three zones."""
    place = regions.Place(nodes=200, executors=999)
    for name in ("calm", "zone-dies", "two-in-a-row", "returns", "keepers-gone"):
        for way in regions.WAYS:
            began = time.monotonic()
            one = regions.run(name, seeds, way, place)
            print(f"{name}, {way}: served {one.served:.3f}, at rest {one.steady:.3f}, crossed "
                  f"{one.crossed:.3f}, over {one.over} s, falls {one.fallen}, settled {one.settled} s, took "
                  f"{time.monotonic() - began:.0f} s", flush=True)  # fmt: skip


def _zoning(count: int) -> ZoneLayout:
    names = [f"z{n}" for n in range(count)]
    return ZoneLayout({f"r{n // 10}": names[n : n + 10] for n in range(0, count, 10)})


def _news(zoning: ZoneLayout, dice: random.Random) -> ClusterAssessment:
    return ClusterAssessment({name: ZoneAssessment("well", dice.randrange(20_000, 60_000), 0, 0, 0, {
        "any": dice.randrange(30_000), "region": dice.randrange(10_000), "zone": dice.randrange(4_000)}, 3)
        for name in zoning.zones})  # fmt: skip


def _timed(call, times: int = 5) -> str:
    spent = []
    for _ in range(times):
        began = time.perf_counter()
        call()
        spent.append((time.perf_counter() - began) * 1000)
    return f"{statistics.median(spent):.1f} ms ({min(spent):.1f} to {max(spent):.1f})"


def cost(seeds: int) -> None:
    """Time and bytes."""
    for count in (9, 30, 100):
        dice, zoning = random.Random(seeds), _zoning(count)
        states = {name: ZoneState(name) for name in zoning.zones}
        news = _news(zoning, dice)
        plan = planner.make_plan(zoning, states, news)
        desk = ObservationCollector()
        for n in range(2 * count):
            near = {z: LocationObservation(9, 40_000, 9000, 50) for z in zoning.zones[:32]}
            desk.accept(0, f"n{n}", ObservationDigest(n, zoning.zones[n % count], {"any": 5000}, near))
        planned = _timed(functools.partial(planner.make_plan, zoning, states, news))
        stands = _timed(functools.partial(planner.fallback_plans, zoning, plan, news.links), 2)
        merged = _timed(functools.partial(desk.assess, 0, zoning.zones))
        print(f"{count} zones: plan {planned}, what stands for each loss {stands}, evidence of {2 * count} "
              f"nodes {merged}")  # fmt: skip
        sights, places = ObservationLog(0), {z: LocationEstimate(9, 40_000, 9000) for z in zoning.zones}
        seen = sights.observations(10**6, places)
        text = msgspec.msgpack.encode(sights.make_digest(10**6, zoning.zones[0], seen, 1 << 41, (), False))
        spent = _timed(functools.partial(_tell, sights, zoning.zones[0], places))
        print(f"  a digest: {len(text)} bytes a second, {spent} a second of the node's processor")


def _tell(sights: ObservationLog, zone: str, places: dict[str, LocationEstimate]) -> None:
    sights.make_digest(10**6, zone, sights.observations(10**6, places), 1 << 41, (), False)


def weigh(seeds: int) -> None:
    """Against a linear program: most slots served first, then least cost."""
    import numpy
    from scipy.optimize import linprog

    same, worse_by, cost_ratio, jumps = 0, [], [], {"waterfall": [], "linear program": []}
    for seed in range(seeds):
        dice, zoning = random.Random(seed), _zoning(9)
        room = {name: dice.choice((0, 1, 1, 1)) * dice.randrange(20_000, 60_000) for name in zoning.zones}
        demand = {(name, bound): dice.randrange(25_000 if bound == "any" else 6_000)
                  for name in zoning.zones for bound in SCOPES}  # fmt: skip

        def linear(want, zoning=zoning, room=room):
            keys = [(s, b, t) for s, b in want for t in zoning.reachable_zones(s, b)]
            c = numpy.array([zoning.cost(s, t) - 1000.0 for s, _, t in keys])
            rows = [[float(k[:2] == key) for k in keys] for key in want]
            rows += [[float(k[2] == name) for k in keys] for name in zoning.zones]
            most = [*want.values(), *(room[name] for name in zoning.zones)]
            found = linprog(c, A_ub=numpy.array(rows), b_ub=most, method="highs")
            return dict(zip(keys, found.x, strict=True))

        def filled(want, zoning=zoning, room=room):
            return allocate(zoning, room, {}, want, {}).flows

        def price(flows, zoning=zoning):
            return sum(zoning.cost(s, t) * slots for (s, _, t), slots in flows.items())

        ours, best = filled(demand), linear(demand)
        short = sum(best.values()) - sum(ours.values())
        same += short < 0.002 * sum(best.values())
        worse_by.append(short / max(1.0, sum(best.values())))
        cost_ratio.append((price(ours) + 1) / (price(best) + 1))
        near = {key: int(slots * dice.uniform(0.99, 1.01)) for key, slots in demand.items()}
        for what, call, before in (("waterfall", filled, ours), ("linear program", linear, best)):
            after = call(near)
            moved = sum(abs(after.get(k, 0) - before.get(k, 0)) for k in after.keys() | before.keys())
            jumps[what].append(moved / sum(demand.values()))
    print(f"as much served as by the linear program: {same} of {seeds}, at worst {max(worse_by):.2%} less")
    print(f"cost {statistics.median(cost_ratio):.3f} of its in the median, at most {max(cost_ratio):.2f}")
    for what, moved in jumps.items():
        mean, most = statistics.mean(moved), max(moved)
        print(f"demand that differs by up to 1 %: {what} moves {mean:.2%} of all slots, {most:.2%} at most")


def bugs(seeds: int) -> None:
    """Planted bugs."""
    from cedarmill.lab.simulation.zones.mutants import MUTANTS, hunt

    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for found in pool.imap(functools.partial(hunt, seeds=range(1, seeds + 1)), MUTANTS):
            law = found.law or "not seen"
            print(f"{found.bug}: {law}, {found.incident}, seed {found.seed}, {found.seconds} s")


def orders(seeds: int) -> None:
    """Small cases whole."""
    from cedarmill.lab.simulation.exhaustive import explore
    from cedarmill.lab.simulation.small_cases import CASES

    for name, case in CASES.items():
        began = time.monotonic()
        names = case.NAMES if name == "drains" else case.NAMES[:10]
        found = explore(case(), names)
        print(f"{name}, {len(names)} happenings: {found.states} states, {found.steps} steps, {found.ends} "
              f"orders, breach: {found.breach}; {time.monotonic() - began:.0f} s", flush=True)  # fmt: skip


ALL = {"ways": (ways, 10), "large": (large, 1), "cost": (cost, 1), "weigh": (weigh, 300), "bugs": (bugs, 5),
       "orders": (orders, 1)}  # fmt: skip


def main() -> None:
    """Measure what is asked for."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--only", nargs="+", choices=ALL, default=[name for name in ALL if name != "weigh"])
    parser.add_argument("--seeds", type=int, help="Instead of each measurement's own number.")
    asked = parser.parse_args()
    for name in asked.only:
        call, usual = ALL[name]
        began = time.monotonic()
        call(asked.seeds or usual)
        print(f"{name} took {time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
