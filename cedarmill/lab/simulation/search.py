"""Many seeds of the cluster's simulation, on all cores: which broke an invariant, and one hash over all."""

import multiprocessing
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from cedarmill.lab.cluster.invariants import Record, verdict
from cedarmill.lab.cluster.mutants import MUTANTS, planted
from cedarmill.lab.simulation.clock import SECOND
from cedarmill.lab.simulation.cluster import ClusterSimulation
from cedarmill.lab.simulation.cluster_setup import ClusterSetup
from cedarmill.lab.simulation.figure_eight import figure_eight
from cedarmill.lab.simulation.hunting import Detection, Trial, hunt_mutant
from cedarmill.lab.simulation.raft_log import LogSimulation
from cedarmill.lab.simulation.seeds import timeline_hash

RELEASES = ("", "good", "late", "failing", "exiting")
SPENDING_FAULTS = (
    "kill",
    "pause",
    "cut",
    "one-way",
    "isolate",
    "all-keepers",
    "node-kill",
    "node-pause",
    "sleeper",
    "cut-spender",
    "crash",
)
LOG_MUTANTS = (
    "stale-leader-grants",
    "vote-twice",
    "vote-not-kept",
    "commit-of-an-older-term",
    "votes-for-who-knows-less",
    "sent-before-synced",
    "reads-without-a-majority",
)
BUDGET_MUTANTS = (
    "slice-spent-after-a-pause",
    "smaller-slice-counts-at-once",
    "floors-add-up",
    "spends-before-it-was-told",
    "returned-twice",
)
SEEDS_PER_TASK = 4  # that a worker takes at once

Violations = dict[str, list[str]]  # texts, by the invariant that is broken


class SeedResult(NamedTuple):
    """Of one seed: the invariants broken, with their texts, the timeline's hash, and its events by kind."""

    seed: int
    broken: Violations
    digest: str
    counts: dict[str, int]


class SpendingResult(NamedTuple):
    """Of one seed of spending: the invariants broken, and how much was spent."""

    seed: int
    broken: Violations
    spent_count: int


def setup_of(seed: int) -> ClusterSetup:
    """Every seed draws another cluster: a release of some kind or none, nodes that stop by their lease or
    not.
    """
    return ClusterSetup(
        replicas=5 if seed % 7 == 0 else 3,
        zones=2 + seed % 2,
        release=RELEASES[seed % len(RELEASES)],
        stops_at_lease_expiry=seed % 3 == 0,
        plans_traffic=seed % 4 == 1,
        spends_budget=seed % 4 == 3,
    )


def spending_setup(seed: int) -> ClusterSetup:
    """A short run of three to six nodes that spend of a budget as much as they may, and a fault every 2 s."""
    return ClusterSetup(
        nodes=3 + seed % 4,
        executors=4,
        length=12 * SECOND,
        faults=6,
        drains=1,
        sends_work=False,
        stops_at_lease_expiry=seed % 2 == 0,
        spends_budget=True,
        fault_kinds=SPENDING_FAULTS,
    )


def _broken(record: Record) -> Violations:
    return {invariant: texts for invariant, texts in verdict(record).items() if texts}


def play_spending(task: tuple[int, str]) -> SpendingResult:
    """Play one seed of spending, with a mutant planted or none (an empty name)."""
    seed, mutant = task
    with planted(mutant):
        record = ClusterSimulation(spending_setup(seed), seed).run()
    return SpendingResult(seed, _broken(record), len(record.spent))


def play_seed(task: tuple[int, str]) -> SeedResult:
    """Play one seed, with a mutant planted or none (an empty name)."""
    seed, mutant = task
    with planted(mutant):
        run = ClusterSimulation(setup_of(seed), seed)
        record = run.run()
        broken = _broken(record)
    counts = Counter(event.what for event in record.events)
    return SeedResult(seed, broken, run.digest(), dict(counts))


def play_seeds(seeds: Iterable[int], mutant: str = "", workers: int = 1) -> Iterator[SeedResult]:
    """Play them; in the order of the seeds, whatever the number of workers."""
    tasks = [(seed, mutant) for seed in seeds]
    if workers == 1:
        yield from map(play_seed, tasks)
        return
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        yield from pool.imap(play_seed, tasks, SEEDS_PER_TASK)


def log_run(seed: int) -> LogSimulation:
    """Three replicas or five; leaders that die soon in each fourth run, changes of replicas in each third."""
    return LogSimulation(seed, 3 if seed % 2 else 5, churn=seed % 4 == 2, changes=seed % 3 == 0)


def _log_violations(trial: Trial) -> list[str]:
    return figure_eight() if trial.incident else log_run(trial.seed).run()


def _cluster_violations(mutant: str) -> Callable[[Trial], list[str]]:
    return lambda trial: list(play_seed((trial.seed, mutant)).broken)


def hunt(mutant: str, count: int, first: int = 0) -> Detection:
    """Play up to so many seeds from the first on till an invariant sees the mutant.

    A mutant of the log is hunted in runs of the log alone, one of budgets in the runs that spend of a budget,
    which are each fourth.
    """
    if mutant in LOG_MUTANTS:
        trials = [Trial("figure 8", first), *(Trial("", seed) for seed in range(first, first + count))]
        return hunt_mutant(mutant, MUTANTS[mutant](), trials, _log_violations)
    seeds = range(first, first + count)
    if mutant in BUDGET_MUTANTS:
        seeds = range(first - first % 4 + 3, first + 4 * count, 4)
    return hunt_mutant(mutant, [], (Trial("", seed) for seed in seeds), _cluster_violations(mutant))


def digest(results: Iterable[SeedResult]) -> str:
    """One hash over the timelines of many seeds."""
    return timeline_hash(*(one.digest.encode() for one in results))
