"""Measure the benefit and the cost of a common admission level, leased budgets and gossip of load reports.

    python benchmarks/overload.py --only ways --nodes 12 48    # one or two minutes
    python benchmarks/overload.py --only incidents --seeds 4

- `ways`: compares the three policies with the same seeds, by offered load and number of nodes; writes a plot
  to `found/`.
- `incidents`: compares the policies in the named incidents of `lab/simulation/overload/incidents.py`.
- `outlives`: shows whether nodes with a fixed queue limit recover from a short overload, by base load.
- `size`: links, frames and bytes of gossip per node with 12, 48 and 200 nodes, and the CPU time per frame.
- `budgets`: simulates `--rounds` rounds in which nodes spend their whole budgets under faults, and prints
  broken invariants; then prints the first seed that detects each mutant of the budget code.
"""

import argparse
import multiprocessing
import statistics
import sys
import time
from dataclasses import replace
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from cedarmill.lab.simulation.overload.incidents import INCIDENTS  # noqa: E402
from cedarmill.lab.simulation.overload.results import OverloadResult  # noqa: E402
from cedarmill.lab.simulation.overload.setup import POLICIES, OverloadSetup  # noqa: E402
from cedarmill.lab.simulation.overload.simulation import play  # noqa: E402

# Offered load as a multiple of all slots; each run starts with 10 s at 0.5.
PEAK_LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0)
TIMED_FRAMES = 2000
WORKER_PROCESSES = multiprocessing.cpu_count()
Task = tuple[str, str, OverloadSetup, int]  # label, policy, setup, seed
# Field of OverloadResult by plot title.
PLOTTED_FIELDS = {
    "value": "value",
    "attempts": "attempts",
    "probes": "probes",
    "wasted": "wasted",
    "jain": "jain",
}


def _play(task: Task) -> tuple[Task, OverloadResult]:
    """Run the simulation of a task in a worker process."""
    _, policy, setup, seed = task
    return task, play(policy, setup, seed)


def _play_all(tasks: list[Task]) -> dict[tuple[str, str], list[OverloadResult]]:
    """Run all tasks in worker processes and return the results of all seeds by label and policy."""
    results: dict[tuple[str, str], list[OverloadResult]] = {}
    with multiprocessing.get_context("spawn").Pool(WORKER_PROCESSES) as pool:
        for task, result in pool.imap_unordered(_play, tasks):
            results.setdefault(task[:2], []).append(result)
    return results


def _format_results(runs: list[OverloadResult]) -> str:
    """Return the means over the runs, the longest recovery and the first run's latencies, as text."""

    def mean(name: str) -> float:
        """Return the mean of one field of the results."""
        return statistics.mean(getattr(run, name) for run in runs)

    recoveries = [run.recovery for run in runs]
    recovered = "never" if min(recoveries) < 0 else f"{max(recoveries):g} s"
    latencies = sorted(runs[0].response_times.items())
    by_weight = "; ".join(f"{weight / 1000:g}: {p50:.2f}/{p99:.2f}" for weight, (p50, p99) in latencies)
    return (
        f"value {mean('value'):.3f}, attempts {mean('attempts'):.2f}, recovery {recovered}, wasted "
        f"{mean('wasted'):.3f}, probes {mean('probes'):.1f}, connects {mean('connects'):.2f}, Jain "
        f"{mean('jain'):.3f}, shed before the peak {mean('shed_in_calm'):.4f}; "
        f"p50/p99 (s) by priority weight {by_weight}"
    )


def compare_policies(sizes: list[int], seeds: int) -> None:
    """Print and plot the results of each policy by offered load and number of nodes."""
    tasks = []
    for nodes in sizes:
        base = OverloadSetup(nodes=nodes, executors=max(24, nodes), normal=0.5, lasts=20.0, length=40.0)
        for load in PEAK_LOADS:
            setup = replace(base, peak=load)
            tasks += [
                (f"{nodes} nodes, load {load:g}", policy, setup, seed)
                for policy in POLICIES
                for seed in range(1, seeds + 1)
            ]
    results = _play_all(tasks)
    for label in dict.fromkeys(task[0] for task in tasks):
        for policy in POLICIES:
            print(f"{label}, {policy}: {_format_results(results[label, policy])}", flush=True)
    _plot(sizes, results)


def _plot(sizes: list[int], results: dict[tuple[str, str], list[OverloadResult]]) -> None:
    """Plot each field of PLOTTED_FIELDS by load and policy, with a row of plots for each number of nodes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    size = 4 * len(PLOTTED_FIELDS), 3 * len(sizes)
    figure, grid = pyplot.subplots(len(sizes), len(PLOTTED_FIELDS), figsize=size, squeeze=False)
    for row, nodes in zip(grid, sizes, strict=True):
        for axes, (title, name) in zip(row, PLOTTED_FIELDS.items(), strict=True):
            for policy in POLICIES:
                runs_by_load = [results[f"{nodes} nodes, load {load:g}", policy] for load in PEAK_LOADS]
                values = [statistics.mean(getattr(run, name) for run in runs) for runs in runs_by_load]
                axes.plot(PEAK_LOADS, values, marker="o", label=policy)
            axes.set_title(f"{title}, {nodes} nodes")
            axes.set_xlabel("load / slots")
    grid[0][0].legend()
    figure.tight_layout()
    path = ROOT / "found" / "overload.png"
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path, dpi=70)
    print(f"plot: {path.relative_to(ROOT)}")


def compare_incidents(seeds: int) -> None:
    """Print the results of each policy in each named incident."""
    tasks = [
        (name, policy, setup, seed)
        for name, setup in INCIDENTS.items()
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    results = _play_all(tasks)
    for name in INCIDENTS:
        for policy in POLICIES:
            print(f"{name}, {policy}: {_format_results(results[name, policy])}", flush=True)


def measure_recovery_by_load(seeds: int) -> None:
    """Print whether policies recover from five seconds of load at twice the slots, by base load."""
    tasks = [
        (f"load {load:g}", policy, OverloadSetup(normal=load, fixed_queue_slots=20.0, length=60.0), seed)
        for load in (0.6, 0.7, 0.75, 0.8, 0.85, 0.9)
        for policy in ("alone", "fleet")
        for seed in range(1, seeds + 1)
    ]
    results = _play_all(tasks)
    for label, policy in results:
        print(f"{label}, {policy}: {_format_results(results[label, policy])}", flush=True)


def check_budgets(rounds: int) -> None:
    """Print the broken invariants of the rounds, then the first seed that detects each mutant."""
    from cedarmill.lab.simulation.search import BUDGET_MUTANTS, play_spending

    began, spent_count, broken = time.monotonic(), 0, []
    with multiprocessing.get_context("spawn").Pool(WORKER_PROCESSES) as pool:
        for result in pool.imap_unordered(play_spending, [(seed, "") for seed in range(rounds)], 16):
            spent_count += result.spent_count
            broken += [f"seed {result.seed}: {name}: {texts[0]}" for name, texts in result.broken.items()]
    duration = time.monotonic() - began
    print(
        f"budgets: {rounds} rounds in {duration:.0f} s, {spent_count} units spent, "
        f"{len(broken)} broken invariants"
    )
    print(*broken, sep="\n")
    for mutant in BUDGET_MUTANTS:
        seeds = (seed for seed in range(200) if play_spending((seed, mutant)).broken)
        print(f"{mutant}: detected by seed {next(seeds, 'none of 200')}", flush=True)


def measure_gossip_size() -> None:
    """Print links, frames, bytes and CPU time of gossip per node by cluster size, and the bytes of orders."""
    from cedarmill.cluster.admission_level.state import SheddingThreshold
    from cedarmill.cluster.gossip_plan import GossipPlan
    from cedarmill.cluster.messages import GossipUpdate, HeartbeatReply, Orders
    from cedarmill.net import framing
    from cedarmill.net.cluster import gossip

    for nodes, executors in ((12, 24), (48, 48), (200, 1000)):
        plan, names = GossipPlan(), [f"node-{n}" for n in range(nodes)]
        plan.update(names, [f"box-{n}" for n in range(executors)])
        executors_by_node = {name: set(plan.executors_of(name)) for name in names}
        links = [
            sum(bool(own & executors_by_node[peer]) for peer in names if peer != name)
            for name, own in executors_by_node.items()
        ]
        reports = [(f"box-{n}", 50_000, (2.0, 2.0)) for n in range(4)]
        idle_frame, full_frame = (
            framing.encode_frame(0, GossipUpdate(content, 1 << 40, 1 << 40, 100_000))
            for content in ([], reports)
        )
        mean_links, idle_rate, max_rate = (
            statistics.mean(links),
            1e6 / gossip.IDLE_SEND_INTERVAL_US,
            1e6 / gossip.SEND_INTERVAL_US,
        )
        began = time.process_time()
        for _ in range(TIMED_FRAMES):
            framing.FrameReader().feed(
                framing.encode_frame(0, GossipUpdate(reports, 1 << 40, 1 << 40, 100_000))
            )
        frame_cpu = (time.process_time() - began) / TIMED_FRAMES
        leases = dict.fromkeys(("probes", "connects", "retries", "lists"), (10_000, 1_000))
        orders = Orders(
            1 << 40,
            admission_threshold=SheddingThreshold(1000, 500),
            budget_leases=leases,
            membership_epoch=1 << 40,
        )
        orders_size = len(framing.encode_frame(0, HeartbeatReply(1, 1, 1, orders)))
        idle_sent, max_sent = (
            mean_links * idle_rate * len(idle_frame) / 1024,
            mean_links * max_rate * len(full_frame) / 1024,
        )
        print(
            f"{nodes} nodes, {executors} executors: {mean_links:.0f} links per node, max {max(links)}; "
            f"per link {idle_rate:.0f} to {max_rate:.0f} frames per second in each direction, "
            f"{len(idle_frame)} bytes without reports, {len(full_frame)} with four; "
            f"a node sends {idle_sent:.1f} to {max_sent:.1f} KiB per second; a frame takes "
            f"{frame_cpu * 1e6:.0f} us to encode and decode, "
            f"at most {mean_links * max_rate * frame_cpu * 100:.2f} % of a core in total; "
            f"orders {orders_size} bytes"
        )


def main() -> None:
    """Run the selected measurements."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument(
        "--only",
        nargs="+",
        choices=["ways", "incidents", "outlives", "budgets", "size"],
        default=["ways", "incidents", "outlives"],
    )
    parser.add_argument("--nodes", nargs="+", type=int, default=[12, 48])
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=10_000)
    args = parser.parse_args()
    if "ways" in args.only:
        compare_policies(args.nodes, args.seeds)
    if "incidents" in args.only:
        compare_incidents(args.seeds)
    if "outlives" in args.only:
        measure_recovery_by_load(args.seeds)
    if "size" in args.only:
        measure_gossip_size()
    if "budgets" in args.only:
        check_budgets(args.rounds)


if __name__ == "__main__":
    main()
