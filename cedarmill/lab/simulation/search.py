"""Many seeds in virtual time, on all cores: which broke a law, and one hash over all timelines."""

import hashlib
import multiprocessing
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cedarmill.lab.cluster.invariants import check_invariants
from cedarmill.lab.cluster.mutants import applied_mutant
from cedarmill.lab.simulation.cluster import ClusterSimulation, S, Shape
from cedarmill.lab.simulation.raft_log import LogSimulation, figure_eight

RELEASES = ("", "good", "late", "failing", "exiting")


class Found(NamedTuple):
    """Of one seed: the laws broken, with their texts, the timeline's hash, and its counts."""

    seed: int
    broken: dict[str, list[str]]
    digest: str
    counts: dict[str, int]


def shape_of(seed: int) -> Shape:
    """Every seed draws another fleet: a release of some kind or none, nodes that stop by their lease or
    not.
    """
    release, keepers = RELEASES[seed % len(RELEASES)], 5 if seed % 7 == 0 else 3
    zones, plans = 2 + seed % 2, seed % 4 == 1
    return Shape(release=release, stops=seed % 3 == 0, keepers=keepers, zones=zones, plans=plans,
                 spends=seed % 4 == 3)  # fmt: skip


SPEND_FAULTS = ("kill", "pause", "cut", "one-way", "isolate", "all-keepers", "node-kill", "node-pause",
                "sleeper", "cut-spender", "crash")  # fmt: skip


def spending(seed: int) -> Shape:
    """A short run of three to six nodes that spend of a budget as much as they may, and a fault every 2 s."""
    return Shape(nodes=3 + seed % 4, executors=4, spends=True, length=12 * S, faults=6, drains=1, works=False,
                 stops=seed % 2 == 0, kinds=SPEND_FAULTS)  # fmt: skip


class Spent(NamedTuple):
    """Of one seed: the laws broken, and how much was spent."""

    seed: int
    broken: dict[str, list[str]]
    count: int


def spend(job: tuple[int, str]) -> Spent:
    """Play one seed of spending, with a bug planted or none."""
    seed, bug = job
    with applied_mutant(bug):
        record = ClusterSimulation(spending(seed), seed).run()
    broken = {law: texts for law, texts in check_invariants(record).items() if texts}
    return Spent(seed, broken, len(record.spent))


def one(job: tuple[int, str]) -> Found:
    """Play one seed, with a bug planted or none."""
    seed, bug = job
    with applied_mutant(bug):
        run = ClusterSimulation(shape_of(seed), seed)
        record = run.run()
        broken = {law: texts for law, texts in check_invariants(record).items() if texts}
    counts = Counter(event.what for event in record.events)
    return Found(seed, broken, run.digest(), dict(counts))


def many(seeds: Iterable[int], bug: str = "", workers: int = 1) -> Iterator[Found]:
    """Play them; in the order of the seeds, whatever the number of workers."""
    jobs = [(seed, bug) for seed in seeds]
    if workers == 1:
        yield from map(one, jobs)
        return
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        yield from pool.imap(one, jobs, 4)


class Hunt(NamedTuple):
    """Whether a planted bug was found: by which law first, at which seed, and after how long (s)."""

    bug: str
    law: str
    seed: int
    seconds: float
    laws: dict[str, int]


LOG_BUGS = ("stale-leader-grants", "vote-twice", "vote-not-kept", "commit-of-an-older-term",
            "votes-for-who-knows-less", "sent-before-synced", "reads-without-a-majority")  # fmt: skip


BUDGET_BUGS = ("slice-spent-after-a-pause", "smaller-slice-counts-at-once", "floors-add-up",
               "spends-before-it-was-told", "returned-twice")  # fmt: skip


def log_run(seed: int) -> LogSimulation:
    """Three keepers or five; each fourth with leaders that die soon, each third with keepers that change."""
    return LogSimulation(seed, 3 if seed % 2 else 5, churn=seed % 4 == 2, changes=seed % 3 == 0)


def hunt_log(bug: str, most: int, first: int = 0) -> Hunt:
    """The same in runs of the agreed log alone, for bugs of the log."""
    began = time.monotonic()
    with applied_mutant(bug):
        if found := figure_eight():
            return Hunt(bug, found[0], first, round(time.monotonic() - began, 2), {"figure 8": 1})
        for seed in range(first, first + most):
            found = log_run(seed).run()
            if found:
                return Hunt(bug, found[0], seed, round(time.monotonic() - began, 2), {})
    return Hunt(bug, "", -1, round(time.monotonic() - began, 2), {})


def hunt(bug: str, most: int, first: int = 0) -> Hunt:
    """Play seeds till a law sees the bug, and then ten more to see which laws do; seed -1: never."""
    if bug in LOG_BUGS:
        return hunt_log(bug, most, first)
    began, seed, law, laws = time.monotonic(), -1, "", Counter()
    spent = 0.0
    numbers = range(first, first + most)
    if bug in BUDGET_BUGS:  # every fourth fleet spends of a budget
        numbers = range(first - first % 4 + 3, first + 4 * most, 4)
    for number in numbers:
        found = one((number, bug))
        laws.update(found.broken.keys())
        if found.broken and seed < 0:
            seed, law, spent = number, next(iter(found.broken)), time.monotonic() - began
        if seed >= 0 and number >= seed + 10:
            break
    return Hunt(bug, law, seed, round(spent or time.monotonic() - began, 2), dict(laws))


def digest(found: Iterable[Found]) -> str:
    """One hash over the timelines of many seeds."""
    whole = hashlib.blake2b(digest_size=16)
    for one_ in found:
        whole.update(one_.digest.encode())
    return whole.hexdigest()
