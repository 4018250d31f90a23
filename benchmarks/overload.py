"""What one level of admission, leased budgets and shared news gain over each node alone, and what they cost.

    python benchmarks/overload.py --only ways --nodes 12 48    # a minute or two
    python benchmarks/overload.py --only incidents --seeds 4

- `ways`: three ways in one run, the same seeds, by offered load and number of nodes; plots into `found/`.
- `incidents`: the named incidents of `lab/simulation/overload/simulation.py`, three ways.
- `outlives`: the load from which an overload outlives its trigger where nodes do not learn their places.
- `size`: links, frames and bytes of shared news a node at 12, 48 and 200 nodes, and what a frame costs.
- `budgets`: virtual rounds of nodes that spend all they may under faults (`--rounds`), and in how many a law
  is broken; then with which seed each planted bug of budgets is seen by the same rounds.
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

from cedarmill.lab.simulation.overload import simulation as storms  # noqa: E402
from cedarmill.lab.simulation.overload.simulation import Place, Result  # noqa: E402

LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0)  # times the slots, for 20 s after 10 s at 0.5
FRAMES = 2000  # written and read, for the cost of one
WORKERS = multiprocessing.cpu_count()
Job = tuple[str, str, Place, int]  # label, way, place, seed


def _play(job: Job) -> tuple[Job, Result]:
    return job, storms.play(job[1], job[2], job[3])


def _all(jobs: list[Job]) -> dict[tuple[str, str], list[Result]]:
    found: dict[tuple[str, str], list[Result]] = {}
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for job, result in pool.imap_unordered(_play, jobs):
            found.setdefault(job[:2], []).append(result)
    return found


def _line(runs: list[Result]) -> str:
    def mean(name: str) -> float:
        return statistics.mean(getattr(run, name) for run in runs)

    backs = [run.back for run in runs]
    late = runs[0].late
    by_class = "; ".join(f"{rank / 1000:g}: {p50:.2f}/{p99:.2f}" for rank, (p50, p99) in sorted(late.items()))
    return (f"worth {mean('worth'):.3f}, attempts {mean('attempts'):.2f}, back "
            f"{'never' if min(backs) < 0 else f'{max(backs):g} s'}, wasted {mean('wasted'):.3f}, probes "
            f"{mean('probes'):.1f}, connects {mean('connects'):.2f}, Jain {mean('jain'):.3f}, cut in calm "
            f"{mean('cut_calm'):.4f}; p50/p99 (s) by worth {by_class}")  # fmt: skip


def ways(sizes: list[int], seeds: int) -> None:
    """Worth, attempts, probes by offered load, three ways."""
    jobs = []
    for nodes in sizes:
        base = Place(nodes=nodes, executors=max(24, nodes), normal=0.5, lasts=20.0, length=40.0)
        for load in LOADS:
            place = replace(base, peak=load)
            jobs += [(f"{nodes} nodes, load {load:g}", way, place, seed)
                     for way in storms.WAYS for seed in range(1, seeds + 1)]  # fmt: skip
    found = _all(jobs)
    for label in dict.fromkeys(job[0] for job in jobs):
        for way in storms.WAYS:
            print(f"{label}, {way}: {_line(found[label, way])}", flush=True)
    _plot(sizes, found)


def _plot(sizes: list[int], found: dict[tuple[str, str], list[Result]]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    what = ("worth", "attempts", "probes", "wasted", "jain")
    size = 4 * len(what), 3 * len(sizes)
    figure, grid = pyplot.subplots(len(sizes), len(what), figsize=size, squeeze=False)
    for row, nodes in zip(grid, sizes, strict=True):
        for axes, name in zip(row, what, strict=True):
            for way in storms.WAYS:
                runs = [found[f"{nodes} nodes, load {load:g}", way] for load in LOADS]
                values = [statistics.mean(getattr(run, name) for run in some) for some in runs]
                axes.plot(LOADS, values, marker="o", label=way)
            axes.set_title(f"{name}, {nodes} nodes")
            axes.set_xlabel("load, times the slots")
    grid[0][0].legend()
    figure.tight_layout()
    path = ROOT / "found" / "overload.png"
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path, dpi=70)
    print(f"plot: {path.relative_to(ROOT)}")


def incidents(seeds: int) -> None:
    """The named incidents."""
    jobs = [(name, way, place, seed) for name, place in storms.INCIDENTS.items() for way in storms.WAYS
            for seed in range(1, seeds + 1)]  # fmt: skip
    found = _all(jobs)
    for name in storms.INCIDENTS:
        for way in storms.WAYS:
            print(f"{name}, {way}: {_line(found[name, way])}", flush=True)


def outlives(seeds: int) -> None:
    """Five seconds of twice the slots, over loads: who comes back."""
    jobs = [(f"load {load:g}", way, Place(normal=load, places=20.0, length=60.0), seed)
            for load in (0.6, 0.7, 0.75, 0.8, 0.85, 0.9) for way in ("alone", "fleet")
            for seed in range(1, seeds + 1)]  # fmt: skip
    found = _all(jobs)
    for label, way in found:
        print(f"{label}, {way}: {_line(found[label, way])}", flush=True)


def budgets(rounds: int) -> None:
    """Virtual rounds of spending; then planted bugs in the first of them."""
    from cedarmill.lab.simulation import search

    began, spent, broken = time.monotonic(), 0, []
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for one in pool.imap_unordered(search.play_spending, [(seed, "") for seed in range(rounds)], 16):
            spent += one.spent_count
            broken += [f"seed {one.seed}: {law}: {texts[0]}" for law, texts in one.broken.items()]
    took = time.monotonic() - began
    print(f"budgets: {rounds} rounds in {took:.0f} s, {spent} spent, laws broken in {len(broken)}")
    print(*broken, sep="\n")
    for bug in search.BUDGET_MUTANTS:
        seeds = (seed for seed in range(200) if search.play_spending((seed, bug)).broken)
        print(f"{bug}: seen with seed {next(seeds, 'none of 200')}", flush=True)


def size() -> None:
    """Links, frames and bytes of shared news a node, by fleet size; bytes of orders; what a frame costs."""
    from cedarmill.cluster.admission_level.state import SheddingThreshold
    from cedarmill.cluster.gossip_plan import GossipPlan
    from cedarmill.cluster.messages import GossipUpdate, HeartbeatReply, Orders
    from cedarmill.net import framing as peers
    from cedarmill.net.cluster import gossip

    for nodes, executors in ((12, 24), (48, 48), (200, 1000)):
        draw, names = GossipPlan(), [f"node-{n}" for n in range(nodes)]
        draw.update(names, [f"box-{n}" for n in range(executors)])
        uses = {name: set(draw.executors_of(name)) for name in names}
        links = [sum(bool(mine & uses[one]) for one in names if one != name) for name, mine in uses.items()]
        facts = [(f"box-{n}", 50_000, (2.0, 2.0)) for n in range(4)]
        still, full = (
            peers.encode_frame(0, GossipUpdate(told, 1 << 40, 1 << 40, 100_000)) for told in ([], facts)
        )
        mean, low, high = statistics.mean(links), 1e6 / gossip.STILL_US, 1e6 / gossip.TELL_US
        began = time.process_time()
        for _ in range(FRAMES):
            peers.FrameReader().feed(peers.encode_frame(0, GossipUpdate(facts, 1 << 40, 1 << 40, 100_000)))
        cost = (time.process_time() - began) / FRAMES
        purse = dict.fromkeys(("probes", "connects", "retries", "lists"), (10_000, 1_000))
        orders = Orders(
            1 << 40, admission_cut=SheddingThreshold(1000, 500), budget_leases=purse, membership_epoch=1 << 40
        )
        told = len(peers.encode_frame(0, HeartbeatReply(1, 1, 1, orders)))
        sent, most = mean * low * len(still) / 1024, mean * high * len(full) / 1024
        print(f"{nodes} nodes, {executors} executors: {mean:.0f} links a node, {max(links)} at the most; "
              f"on one {low:.0f} to {high:.0f} frames a second each way, {len(still)} bytes without facts, "
              f"{len(full)} with four; a node sends {sent:.1f} to {most:.1f} KiB a second; a frame costs "
              f"{cost * 1e6:.0f} us to write and read, together {mean * high * cost * 100:.2f} % of a core "
              f"at the most; orders {told} bytes")  # fmt: skip


def main() -> None:
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--only", nargs="+", choices=["ways", "incidents", "outlives", "budgets", "size"],
                        default=["ways", "incidents", "outlives"])  # fmt: skip
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
