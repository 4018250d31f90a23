"""What one level of admission, leased budgets and shared reports gain and cost.

    python benchmarks/overload.py --only ways --nodes 12 48    # a minute or two
    python benchmarks/overload.py --only incidents --seeds 4

- `ways`: three policies in one run, the same seeds, by offered load and number of nodes; plots into `found/`.
- `incidents`: the named incidents of `lab/simulation/overload/incidents.py`, three policies.
- `outlives`: the load from which an overload outlives its trigger where nodes do not learn how many may wait.
- `size`: links, frames and bytes of shared reports a node at 12, 48 and 200 nodes, and what a frame costs.
- `budgets`: virtual rounds of nodes that spend all they may under faults (`--rounds`), and in how many an
  invariant is broken; then with which seed each mutant of budgets is seen by the same rounds.
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

LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0)  # times the slots, for 20 s after 10 s at 0.5
FRAMES = 2000  # written and read, for the cost of one
WORKERS = multiprocessing.cpu_count()
Task = tuple[str, str, OverloadSetup, int]  # label, policy, setup, seed
PLOTTED = {"worth": "value", "attempts": "attempts", "probes": "probes", "wasted": "wasted", "jain": "jain"}


def _play(task: Task) -> tuple[Task, OverloadResult]:
    _, policy, setup, seed = task
    return task, play(policy, setup, seed)


def _play_all(tasks: list[Task]) -> dict[tuple[str, str], list[OverloadResult]]:
    found: dict[tuple[str, str], list[OverloadResult]] = {}
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for task, result in pool.imap_unordered(_play, tasks):
            found.setdefault(task[:2], []).append(result)
    return found


def _row(runs: list[OverloadResult]) -> str:
    def mean(name: str) -> float:
        return statistics.mean(getattr(run, name) for run in runs)

    recoveries = [run.recovery for run in runs]
    recovered = "never" if min(recoveries) < 0 else f"{max(recoveries):g} s"
    times = sorted(runs[0].response_times.items())
    by_weight = "; ".join(f"{weight / 1000:g}: {p50:.2f}/{p99:.2f}" for weight, (p50, p99) in times)
    return (
        f"worth {mean('value'):.3f}, attempts {mean('attempts'):.2f}, back {recovered}, wasted "
        f"{mean('wasted'):.3f}, probes {mean('probes'):.1f}, connects {mean('connects'):.2f}, Jain "
        f"{mean('jain'):.3f}, cut in calm {mean('shed_in_calm'):.4f}; p50/p99 (s) by worth {by_weight}"
    )


def ways(sizes: list[int], seeds: int) -> None:
    """Value, attempts, probes by offered load, three policies."""
    tasks = []
    for nodes in sizes:
        base = OverloadSetup(nodes=nodes, executors=max(24, nodes), normal=0.5, lasts=20.0, length=40.0)
        for load in LOADS:
            setup = replace(base, peak=load)
            tasks += [
                (f"{nodes} nodes, load {load:g}", policy, setup, seed)
                for policy in POLICIES
                for seed in range(1, seeds + 1)
            ]
    found = _play_all(tasks)
    for label in dict.fromkeys(task[0] for task in tasks):
        for policy in POLICIES:
            print(f"{label}, {policy}: {_row(found[label, policy])}", flush=True)
    _plot(sizes, found)


def _plot(sizes: list[int], found: dict[tuple[str, str], list[OverloadResult]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    size = 4 * len(PLOTTED), 3 * len(sizes)
    figure, grid = pyplot.subplots(len(sizes), len(PLOTTED), figsize=size, squeeze=False)
    for row, nodes in zip(grid, sizes, strict=True):
        for axes, (title, name) in zip(row, PLOTTED.items(), strict=True):
            for policy in POLICIES:
                runs = [found[f"{nodes} nodes, load {load:g}", policy] for load in LOADS]
                values = [statistics.mean(getattr(run, name) for run in some) for some in runs]
                axes.plot(LOADS, values, marker="o", label=policy)
            axes.set_title(f"{title}, {nodes} nodes")
            axes.set_xlabel("load, times the slots")
    grid[0][0].legend()
    figure.tight_layout()
    path = ROOT / "found" / "overload.png"
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path, dpi=70)
    print(f"plot: {path.relative_to(ROOT)}")


def incidents(seeds: int) -> None:
    """The named incidents."""
    tasks = [
        (name, policy, setup, seed)
        for name, setup in INCIDENTS.items()
        for policy in POLICIES
        for seed in range(1, seeds + 1)
    ]
    found = _play_all(tasks)
    for name in INCIDENTS:
        for policy in POLICIES:
            print(f"{name}, {policy}: {_row(found[name, policy])}", flush=True)


def outlives(seeds: int) -> None:
    """Five seconds of twice the slots, over loads: who comes back."""
    tasks = [
        (f"load {load:g}", policy, OverloadSetup(normal=load, fixed_queue_slots=20.0, length=60.0), seed)
        for load in (0.6, 0.7, 0.75, 0.8, 0.85, 0.9)
        for policy in ("alone", "fleet")
        for seed in range(1, seeds + 1)
    ]
    found = _play_all(tasks)
    for label, policy in found:
        print(f"{label}, {policy}: {_row(found[label, policy])}", flush=True)


def budgets(rounds: int) -> None:
    """Virtual rounds of spending; then mutants in the first of them."""
    from cedarmill.lab.simulation.search import BUDGET_MUTANTS, play_spending

    began, spent, broken = time.monotonic(), 0, []
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for one in pool.imap_unordered(play_spending, [(seed, "") for seed in range(rounds)], 16):
            spent += one.spent_count
            broken += [f"seed {one.seed}: {name}: {texts[0]}" for name, texts in one.broken.items()]
    took = time.monotonic() - began
    print(f"budgets: {rounds} rounds in {took:.0f} s, {spent} spent, invariants broken in {len(broken)}")
    print(*broken, sep="\n")
    for mutant in BUDGET_MUTANTS:
        seeds = (seed for seed in range(200) if play_spending((seed, mutant)).broken)
        print(f"{mutant}: seen with seed {next(seeds, 'none of 200')}", flush=True)


def size() -> None:
    """Links, frames and bytes of shared reports a node, by cluster size; bytes of orders; a frame's cost."""
    from cedarmill.cluster.admission_level.state import SheddingThreshold
    from cedarmill.cluster.gossip_plan import GossipPlan
    from cedarmill.cluster.messages import GossipUpdate, HeartbeatReply, Orders
    from cedarmill.net import framing
    from cedarmill.net.cluster import gossip

    for nodes, executors in ((12, 24), (48, 48), (200, 1000)):
        plan, names = GossipPlan(), [f"node-{n}" for n in range(nodes)]
        plan.update(names, [f"box-{n}" for n in range(executors)])
        uses = {name: set(plan.executors_of(name)) for name in names}
        links = [sum(bool(mine & uses[one]) for one in names if one != name) for name, mine in uses.items()]
        reports = [(f"box-{n}", 50_000, (2.0, 2.0)) for n in range(4)]
        still, full = (
            framing.encode_frame(0, GossipUpdate(some, 1 << 40, 1 << 40, 100_000)) for some in ([], reports)
        )
        mean, low, high = statistics.mean(links), 1e6 / gossip.STILL_US, 1e6 / gossip.TELL_US
        began = time.process_time()
        for _ in range(FRAMES):
            framing.FrameReader().feed(
                framing.encode_frame(0, GossipUpdate(reports, 1 << 40, 1 << 40, 100_000))
            )
        cost = (time.process_time() - began) / FRAMES
        leases = dict.fromkeys(("probes", "connects", "retries", "lists"), (10_000, 1_000))
        orders = Orders(
            1 << 40,
            admission_threshold=SheddingThreshold(1000, 500),
            budget_leases=leases,
            membership_epoch=1 << 40,
        )
        orders_bytes = len(framing.encode_frame(0, HeartbeatReply(1, 1, 1, orders)))
        sent, most = mean * low * len(still) / 1024, mean * high * len(full) / 1024
        print(
            f"{nodes} nodes, {executors} executors: {mean:.0f} links a node, {max(links)} at the most; "
            f"on one {low:.0f} to {high:.0f} frames a second each way, {len(still)} bytes without facts, "
            f"{len(full)} with four; a node sends {sent:.1f} to {most:.1f} KiB a second; a frame costs "
            f"{cost * 1e6:.0f} us to write and read, together {mean * high * cost * 100:.2f} % of a core "
            f"at the most; orders {orders_bytes} bytes"
        )


def main() -> None:
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
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
        ways(args.nodes, args.seeds)
    if "incidents" in args.only:
        incidents(args.seeds)
    if "outlives" in args.only:
        outlives(args.seeds)
    if "size" in args.only:
        size()
    if "budgets" in args.only:
        budgets(args.rounds)


if __name__ == "__main__":
    main()
