"""Measure the benefit and the cost of a traffic plan, and compare its allocation with a linear program.

    python benchmarks/zones.py --only ways cost       # some minutes
    pip install '.[weigh]' && python benchmarks/zones.py --only weigh

- `ways`: compares three routing policies in all incidents, with the same seeds: each node on its own
  (`alone`), static shares (`static`) and the cluster's traffic plan (`agreed`).
- `large`: the same policies with 200 nodes and 1,000 executors in nine zones.
- `cost`: time to merge observations and to plan with 9, 30 and 100 zones; bytes and CPU time of a digest.
- `weigh`: slots served and stability of the waterfall allocation, compared with a linear program.
- `mutants`: time until each mutant is detected (`bugs` is the former name).
- `orders`: explores small cases with their events in every order.
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

WORKER_PROCESSES = multiprocessing.cpu_count()


def _play(task: tuple[str, int, str]) -> tuple[str, int, str, ZoneResult]:
    """Run one simulation of (incident, seed, policy) in a worker process."""
    name, seed, policy = task
    return name, seed, policy, play(name, seed, policy)


def compare_policies(seeds: int) -> None:
    """Print and plot the results of each policy in each incident, and the invariants that `agreed` breaks."""
    seed_range = range(1, seeds + 1)
    tasks = [(name, seed, policy) for name in INCIDENTS for seed in seed_range for policy in POLICIES]
    results: dict[tuple[str, str], list[ZoneResult]] = {}
    failures: list[str] = []
    with multiprocessing.get_context("spawn").Pool(WORKER_PROCESSES) as pool:
        for name, seed, policy, result in pool.imap_unordered(_play, tasks, 4):
            results.setdefault((name, policy), []).append(result)
            if policy == "agreed" and (invariants := violations(result, INCIDENTS[name])):
                failures.append(f"{name} seed {seed}: {', '.join(invariants)}")
    print(
        "incident, policy: share served; share of the possible served in the steady phase; share sent to "
        "another zone without need; longest overload (s); collapsed zones; highest load; settling time (s); "
        "zone status changes"
    )
    for name in INCIDENTS:
        for policy in POLICIES:
            print(f"{name}, {policy}: {_format_results(results[name, policy])}", flush=True)
    _plot(results)
    print(f"agreed: invariants broken in {len(failures)} of {seeds * len(INCIDENTS)} runs")
    for text in failures[:40]:
        print(f"  {text}")


def _format_results(runs: list[ZoneResult]) -> str:
    """Return the figures of the runs in the order of the printed heading, as text."""
    mean = statistics.mean
    figures = (
        f"{mean(run.served for run in runs):.3f}",
        f"{mean(run.steady for run in runs):.3f} (min {min(run.steady for run in runs):.3f})",
        f"{mean(run.crossed for run in runs):.3f}",
        f"{max(run.overload_time for run in runs):.1f}",
        f"{sum(run.zones_fallen for run in runs)}",
        f"{max(max(run.worst_loads) for run in runs):.2f}",
        f"{statistics.median(run.settled for run in runs):.1f}",
        f"{max(run.changes for run in runs)}",
    )
    return "; ".join(figures)


def _plot(results: dict[tuple[str, str], list[ZoneResult]]) -> None:
    """Plot the highest load of a zone over time, the mean of all seeds by policy, into `found/`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(INCIDENTS)
    rows = -(-len(names) // 3)
    figure, grid = pyplot.subplots(rows, 3, figsize=(15, 3 * rows), squeeze=False)
    for axes, name in zip(grid.flat, names, strict=False):
        for policy in POLICIES:
            runs = [result.worst_loads for result in results[name, policy]]
            axes.plot([statistics.mean(second) for second in zip(*runs, strict=True)], label=policy)
        axes.axhline(1.0, color="0.7", linewidth=0.8)
        axes.set_title(f"{name}: highest load of a zone")
        axes.set_ylim(0, 2.5)
    grid[0][0].legend()
    figure.tight_layout()
    path = ROOT / "found" / "zones.png"
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path, dpi=70)
    print(f"plot: {path.relative_to(ROOT)}")


def measure_large_cluster(seed: int) -> None:
    """Print the results of each policy with 200 nodes and 999 executors, in some incidents."""
    setup = ZoneSetup(nodes=200, executors=999)
    for name in ("calm", "zone-dies", "two-in-a-row", "returns", "keepers-gone"):
        for policy in POLICIES:
            began = time.monotonic()
            result = play(name, seed, policy, setup)
            print(
                f"{name}, {policy}: served {result.served:.3f}, steady phase "
                f"{result.steady:.3f}, sent to another zone without need {result.crossed:.3f}, longest "
                f"overload {result.overload_time} s, collapsed zones {result.zones_fallen}, settling time "
                f"{result.settled} s, simulated in {time.monotonic() - began:.0f} s",
                flush=True,
            )


def _layout(count: int) -> ZoneLayout:
    """Return a layout of `count` zones in regions of at most ten."""
    names = [f"z{n}" for n in range(count)]
    return ZoneLayout({f"r{n // 10}": names[n : n + 10] for n in range(0, count, 10)})


def _assessment(layout: ZoneLayout, generator: random.Random) -> ClusterAssessment:
    """Return an assessment of the layout's zones with random slots and demand."""
    zones = {}
    for name in layout.zones:
        slots = generator.randrange(20_000, 60_000)
        demand = {"any": generator.randrange(30_000), "region": generator.randrange(10_000)}
        demand["zone"] = generator.randrange(4_000)
        zones[name] = ZoneAssessment("well", slots, 0, 0, 0, demand, 3)
    return ClusterAssessment(zones)


def _time_call(call, repetitions: int = 5) -> str:
    """Return the median, shortest and longest duration of a call, as text."""
    durations = []
    for _ in range(repetitions):
        began = time.perf_counter()
        call()
        durations.append((time.perf_counter() - began) * 1000)
    return f"{statistics.median(durations):.1f} ms ({min(durations):.1f} to {max(durations):.1f})"


def measure_planning_cost(seed: int) -> None:
    """Print the time to plan and to merge observations, and the size and time of a digest, by zones."""
    for count in (9, 30, 100):
        generator, layout = random.Random(seed), _layout(count)
        states = {name: ZoneState(name) for name in layout.zones}
        assessment = _assessment(layout, generator)
        plan = planner.make_plan(layout, states, assessment)
        collector = ObservationCollector()
        for n in range(2 * count):
            observed = {zone: LocationObservation(9, 40_000, 9000, 50) for zone in layout.zones[:32]}
            collector.accept(
                0, f"n{n}", ObservationDigest(n, layout.zones[n % count], {"any": 5000}, observed)
            )
        plan_time = _time_call(functools.partial(planner.make_plan, layout, states, assessment))
        fallback_time = _time_call(
            functools.partial(planner.fallback_plans, layout, plan, assessment.links), 2
        )
        merge_time = _time_call(functools.partial(collector.assess, 0, layout.zones))
        print(
            f"{count} zones: plan {plan_time}, fallback plans {fallback_time}, observations of {2 * count} "
            f"nodes {merge_time}"
        )
        log, estimates = ObservationLog(0), {zone: LocationEstimate(9, 40_000, 9000) for zone in layout.zones}
        observations = log.observations(10**6, estimates)
        encoded = msgspec.msgpack.encode(
            log.make_digest(10**6, layout.zones[0], observations, 1 << 41, (), False)
        )
        digest_time = _time_call(functools.partial(_make_digest, log, layout.zones[0], estimates))
        print(f"  digest, sent once per second: {len(encoded)} bytes, {digest_time} of the node's CPU")


def _make_digest(log: ObservationLog, zone: str, estimates: dict[str, LocationEstimate]) -> None:
    """Make the digest of one second."""
    log.make_digest(10**6, zone, log.observations(10**6, estimates), 1 << 41, (), False)


def compare_with_linear_program(seeds: int) -> None:
    """Compare the allocation with a linear program that serves most slots, then minimizes the cost."""
    import numpy
    from scipy.optimize import linprog

    equal_count, shortfalls, cost_ratios, moved_shares = 0, [], [], {"waterfall": [], "linear program": []}
    for seed in range(seeds):
        generator, layout = random.Random(seed), _layout(9)
        slots_by_zone = {
            name: generator.choice((0, 1, 1, 1)) * generator.randrange(20_000, 60_000)
            for name in layout.zones
        }
        demand = {
            (name, scope): generator.randrange(25_000 if scope == "any" else 6_000)
            for name in layout.zones
            for scope in SCOPES
        }

        def solve_linear_program(demand, layout=layout, slots_by_zone=slots_by_zone):
            flow_keys = [
                (source, scope, target)
                for source, scope in demand
                for target in layout.reachable_zones(source, scope)
            ]
            # Serving one slot more outweighs every difference of cost.
            costs = numpy.array([layout.cost(source, target) - 1000.0 for source, _, target in flow_keys])
            rows = [[float(flow_key[:2] == key) for flow_key in flow_keys] for key in demand]
            rows += [[float(flow_key[2] == name) for flow_key in flow_keys] for name in layout.zones]
            limits = [*demand.values(), *(slots_by_zone[name] for name in layout.zones)]
            solution = linprog(costs, A_ub=numpy.array(rows), b_ub=limits, method="highs")
            return dict(zip(flow_keys, solution.x, strict=True))

        def allocate_waterfall(demand, layout=layout, slots_by_zone=slots_by_zone):
            return allocate(layout, slots_by_zone, {}, demand, {}).flows

        def total_cost(flows, layout=layout):
            return sum(layout.cost(source, target) * slots for (source, _, target), slots in flows.items())

        waterfall, optimum = allocate_waterfall(demand), solve_linear_program(demand)
        shortfall = sum(optimum.values()) - sum(waterfall.values())
        equal_count += shortfall < 0.002 * sum(optimum.values())
        shortfalls.append(shortfall / max(1.0, sum(optimum.values())))
        cost_ratios.append((total_cost(waterfall) + 1) / (total_cost(optimum) + 1))
        changed_demand = {key: int(slots * generator.uniform(0.99, 1.01)) for key, slots in demand.items()}
        for method, call, before in (
            ("waterfall", allocate_waterfall, waterfall),
            ("linear program", solve_linear_program, optimum),
        ):
            after = call(changed_demand)
            moved = sum(
                abs(after.get(flow_key, 0) - before.get(flow_key, 0))
                for flow_key in after.keys() | before.keys()
            )
            moved_shares[method].append(moved / sum(demand.values()))
    print(
        f"served as many slots as the linear program in {equal_count} of {seeds} cases; "
        f"largest shortfall {max(shortfalls):.2%}"
    )
    print(
        f"cost relative to the linear program: median {statistics.median(cost_ratios):.3f}, "
        f"max {max(cost_ratios):.2f}"
    )
    for method, moved in moved_shares.items():
        mean, largest = statistics.mean(moved), max(moved)
        print(
            f"after a change of demand by up to 1 %, {method} moves {mean:.2%} of all slots, "
            f"max {largest:.2%}"
        )


def measure_mutant_detection(seeds: int) -> None:
    """Print for each mutant the invariant, incident and seed that detect it, and the time taken."""
    from cedarmill.lab.simulation.zones.mutants import MUTANTS, hunt

    with multiprocessing.get_context("spawn").Pool(WORKER_PROCESSES) as pool:
        for detection in pool.imap(functools.partial(hunt, seeds=range(1, seeds + 1)), MUTANTS):
            invariant = detection.invariant or "not detected"
            print(
                f"{detection.mutant}: {invariant}, {detection.incident}, seed {detection.seed}, "
                f"{detection.seconds} s"
            )


def explore_event_orders(_seeds: int) -> None:
    """Print the size of each small case explored in every order, and the first broken invariant."""
    from cedarmill.lab.simulation.drain_case import DrainCase
    from cedarmill.lab.simulation.exhaustive import explore
    from cedarmill.lab.simulation.traffic_case import TrafficCase

    for name, case, events in (
        ("drains", DrainCase(), DrainCase.EVENTS),
        ("traffic", TrafficCase(), TrafficCase.EVENTS[:10]),
    ):
        began = time.monotonic()
        exploration = explore(case, events)
        print(
            f"{name}, {len(events)} events: {exploration.states} states, {exploration.steps} steps, "
            f"{exploration.ends} orders, violation: {exploration.breach}; {time.monotonic() - began:.0f} s",
            flush=True,
        )


# Function and its default number of seeds, or its default seed, by the argument of --only.
MEASUREMENTS = {
    "ways": (compare_policies, 10),
    "large": (measure_large_cluster, 1),
    "cost": (measure_planning_cost, 1),
    "weigh": (compare_with_linear_program, 300),
    "mutants": (measure_mutant_detection, 5),
    "bugs": (measure_mutant_detection, 5),
    "orders": (explore_event_orders, 1),
}
DEFAULT_MEASUREMENTS = [name for name in MEASUREMENTS if name not in ("weigh", "bugs")]


def main() -> None:
    """Run the selected measurements."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--only", nargs="+", choices=MEASUREMENTS, default=DEFAULT_MEASUREMENTS)
    parser.add_argument("--seeds", type=int, help="replaces the default seeds of each measurement")
    options = parser.parse_args()
    for name in options.only:
        call, default_seeds = MEASUREMENTS[name]
        began = time.monotonic()
        call(options.seeds or default_seeds)
        print(f"{name} took {time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
