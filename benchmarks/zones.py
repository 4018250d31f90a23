"""What a plan of traffic costs, what it gains, and how it compares with a linear program.

    python benchmarks/zones.py --only ways cost       # some minutes
    pip install '.[weigh]' && python benchmarks/zones.py --only weigh

- `ways`: all incidents over seeds, three routing policies in one run: each node alone, static shares, agreed.
- `large`: 200 nodes and 1,000 executors in nine zones.
- `cost`: time to merge and to plan for 9, 30 and 100 zones; bytes and CPU of a digest.
- `weigh`: slots served and stability of the waterfall against a linear program.
- `mutants`: how long each mutant takes to be seen (`bugs` is its older name).
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
from cedarmill.lab.simulation.zones.incidents import INCIDENTS  # noqa: E402
from cedarmill.lab.simulation.zones.results import ZoneResult, violations  # noqa: E402
from cedarmill.lab.simulation.zones.setup import POLICIES, ZoneSetup  # noqa: E402
from cedarmill.lab.simulation.zones.simulation import play  # noqa: E402

WORKERS = multiprocessing.cpu_count()


def _play(task: tuple[str, int, str]) -> tuple[str, int, str, ZoneResult]:
    name, seed, policy = task
    return name, seed, policy, play(name, seed, policy)


def ways(seeds: int) -> None:
    """Three policies, the same seeds."""
    numbers = range(1, seeds + 1)
    tasks = [(name, seed, policy) for name in INCIDENTS for seed in numbers for policy in POLICIES]
    found: dict[tuple[str, str], list[ZoneResult]] = {}
    broken: list[str] = []
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for name, seed, policy, result in pool.imap_unordered(_play, tasks, 4):
            found.setdefault((name, policy), []).append(result)
            if policy == "agreed" and (invariants := violations(result, INCIDENTS[name])):
                broken.append(f"{name} seed {seed}: {', '.join(invariants)}")
    print(
        "incident, policy: served; of what could be served at rest; crossed without need; longest overload "
        "(s); falls; worst load; settled (s); changes"
    )
    for name in INCIDENTS:
        for policy in POLICIES:
            print(f"{name}, {policy}: {_row(found[name, policy])}", flush=True)
    _plot(found)
    print(f"agreed, invariants broken in {len(broken)} of {seeds * len(INCIDENTS)} runs")
    for text in broken[:40]:
        print(f"  {text}")


def _row(runs: list[ZoneResult]) -> str:
    mean = statistics.mean
    figures = (
        f"{mean(run.served for run in runs):.3f}",
        f"{mean(run.steady for run in runs):.3f} (least {min(run.steady for run in runs):.3f})",
        f"{mean(run.crossed for run in runs):.3f}",
        f"{max(run.overload_time for run in runs):.1f}",
        f"{sum(run.zones_fallen for run in runs)}",
        f"{max(max(run.worst_loads) for run in runs):.2f}",
        f"{statistics.median(run.settled for run in runs):.1f}",
        f"{max(run.changes for run in runs)}",
    )
    return "; ".join(figures)


def _plot(found: dict[tuple[str, str], list[ZoneResult]]) -> None:
    """The fullest zone's load over time, the mean of all seeds, by policy; into `found/`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(INCIDENTS)
    rows = -(-len(names) // 3)
    figure, grid = pyplot.subplots(rows, 3, figsize=(15, 3 * rows), squeeze=False)
    for axes, name in zip(grid.flat, names, strict=False):
        for policy in POLICIES:
            runs = [one.worst_loads for one in found[name, policy]]
            axes.plot([statistics.mean(second) for second in zip(*runs, strict=True)], label=policy)
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
    setup = ZoneSetup(nodes=200, executors=999)
    for name in ("calm", "zone-dies", "two-in-a-row", "returns", "keepers-gone"):
        for policy in POLICIES:
            began = time.monotonic()
            one = play(name, seeds, policy, setup)
            print(
                f"{name}, {policy}: served {one.served:.3f}, at rest {one.steady:.3f}, crossed "
                f"{one.crossed:.3f}, overload {one.overload_time} s, falls {one.zones_fallen}, settled "
                f"{one.settled} s, took {time.monotonic() - began:.0f} s",
                flush=True,
            )


def _layout(count: int) -> ZoneLayout:
    names = [f"z{n}" for n in range(count)]
    return ZoneLayout({f"r{n // 10}": names[n : n + 10] for n in range(0, count, 10)})


def _assessment(layout: ZoneLayout, generator: random.Random) -> ClusterAssessment:
    zones = {}
    for name in layout.zones:
        slots = generator.randrange(20_000, 60_000)
        demand = {"any": generator.randrange(30_000), "region": generator.randrange(10_000)}
        demand["zone"] = generator.randrange(4_000)
        zones[name] = ZoneAssessment("well", slots, 0, 0, 0, demand, 3)
    return ClusterAssessment(zones)


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
        generator, layout = random.Random(seeds), _layout(count)
        states = {name: ZoneState(name) for name in layout.zones}
        assessment = _assessment(layout, generator)
        plan = planner.make_plan(layout, states, assessment)
        collector = ObservationCollector()
        for n in range(2 * count):
            near = {z: LocationObservation(9, 40_000, 9000, 50) for z in layout.zones[:32]}
            collector.accept(0, f"n{n}", ObservationDigest(n, layout.zones[n % count], {"any": 5000}, near))
        planned = _timed(functools.partial(planner.make_plan, layout, states, assessment))
        stands = _timed(functools.partial(planner.fallback_plans, layout, plan, assessment.links), 2)
        merged = _timed(functools.partial(collector.assess, 0, layout.zones))
        print(
            f"{count} zones: plan {planned}, what stands for each loss {stands}, evidence of {2 * count} "
            f"nodes {merged}"
        )
        log, places = ObservationLog(0), {z: LocationEstimate(9, 40_000, 9000) for z in layout.zones}
        seen = log.observations(10**6, places)
        text = msgspec.msgpack.encode(log.make_digest(10**6, layout.zones[0], seen, 1 << 41, (), False))
        spent = _timed(functools.partial(_tell, log, layout.zones[0], places))
        print(f"  a digest: {len(text)} bytes a second, {spent} a second of the node's processor")


def _tell(log: ObservationLog, zone: str, places: dict[str, LocationEstimate]) -> None:
    log.make_digest(10**6, zone, log.observations(10**6, places), 1 << 41, (), False)


def weigh(seeds: int) -> None:
    """Against a linear program: most slots served first, then least cost."""
    import numpy
    from scipy.optimize import linprog

    same, worse_by, cost_ratio, jumps = 0, [], [], {"waterfall": [], "linear program": []}
    for seed in range(seeds):
        generator, layout = random.Random(seed), _layout(9)
        room = {
            name: generator.choice((0, 1, 1, 1)) * generator.randrange(20_000, 60_000)
            for name in layout.zones
        }
        demand = {
            (name, bound): generator.randrange(25_000 if bound == "any" else 6_000)
            for name in layout.zones
            for bound in SCOPES
        }

        def linear(want, layout=layout, room=room):
            keys = [(s, b, t) for s, b in want for t in layout.reachable_zones(s, b)]
            c = numpy.array([layout.cost(s, t) - 1000.0 for s, _, t in keys])
            rows = [[float(k[:2] == key) for k in keys] for key in want]
            rows += [[float(k[2] == name) for k in keys] for name in layout.zones]
            most = [*want.values(), *(room[name] for name in layout.zones)]
            found = linprog(c, A_ub=numpy.array(rows), b_ub=most, method="highs")
            return dict(zip(keys, found.x, strict=True))

        def filled(want, layout=layout, room=room):
            return allocate(layout, room, {}, want, {}).flows

        def price(flows, layout=layout):
            return sum(layout.cost(s, t) * slots for (s, _, t), slots in flows.items())

        ours, best = filled(demand), linear(demand)
        short = sum(best.values()) - sum(ours.values())
        same += short < 0.002 * sum(best.values())
        worse_by.append(short / max(1.0, sum(best.values())))
        cost_ratio.append((price(ours) + 1) / (price(best) + 1))
        near = {key: int(slots * generator.uniform(0.99, 1.01)) for key, slots in demand.items()}
        for what, call, before in (("waterfall", filled, ours), ("linear program", linear, best)):
            after = call(near)
            moved = sum(abs(after.get(k, 0) - before.get(k, 0)) for k in after.keys() | before.keys())
            jumps[what].append(moved / sum(demand.values()))
    print(f"as much served as by the linear program: {same} of {seeds}, at worst {max(worse_by):.2%} less")
    print(f"cost {statistics.median(cost_ratio):.3f} of its in the median, at most {max(cost_ratio):.2f}")
    for what, moved in jumps.items():
        mean, most = statistics.mean(moved), max(moved)
        print(f"demand that differs by up to 1 %: {what} moves {mean:.2%} of all slots, {most:.2%} at most")


def mutants(seeds: int) -> None:
    """Each mutant is hunted."""
    from cedarmill.lab.simulation.zones.mutants import MUTANTS, hunt

    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for found in pool.imap(functools.partial(hunt, seeds=range(1, seeds + 1)), MUTANTS):
            invariant = found.invariant or "not seen"
            print(f"{found.mutant}: {invariant}, {found.incident}, seed {found.seed}, {found.seconds} s")


def orders(seeds: int) -> None:
    """Small cases whole."""
    from cedarmill.lab.simulation.drain_case import DrainCase
    from cedarmill.lab.simulation.exhaustive import explore
    from cedarmill.lab.simulation.traffic_case import TrafficCase

    for name, case, events in (
        ("drains", DrainCase(), DrainCase.EVENTS),
        ("traffic", TrafficCase(), TrafficCase.EVENTS[:10]),
    ):
        began = time.monotonic()
        found = explore(case, events)
        print(
            f"{name}, {len(events)} events: {found.states} states, {found.steps} steps, {found.ends} orders, "
            f"breach: {found.breach}; {time.monotonic() - began:.0f} s",
            flush=True,
        )


ALL = {
    "ways": (ways, 10),
    "large": (large, 1),
    "cost": (cost, 1),
    "weigh": (weigh, 300),
    "mutants": (mutants, 5),
    "bugs": (mutants, 5),
    "orders": (orders, 1),
}
DEFAULT = [name for name in ALL if name not in ("weigh", "bugs")]


def main() -> None:
    """Measure what is asked for."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--only", nargs="+", choices=ALL, default=DEFAULT)
    parser.add_argument("--seeds", type=int, help="Instead of each measurement's own number.")
    asked = parser.parse_args()
    for name in asked.only:
        call, usual = ALL[name]
        began = time.monotonic()
        call(asked.seeds or usual)
        print(f"{name} took {time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
