"""Whether a new version does worse than the rest: a stated test with a least sample, no I/O.

Fisher's exact test, one-sided: the chance that, were both alike, so many of all bad jobs or more fell to
the new version. It is exact for small samples, where a canary has them. A difference that is sure and too
small to matter halts nothing either.
"""

import math
from typing import NamedTuple

from cedarmill.fleet.state import ReleasePlan


class Counts(NamedTuple):
    """Jobs that came to an end, and how many of them badly, by kind."""

    jobs: int = 0
    failed: int = 0
    late: int = 0
    refused: int = 0

    def plus(self, other: "Counts") -> "Counts":
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))

    def less(self, other: "Counts") -> "Counts":
        """What came since; a process that began anew counts from nought."""
        if other.jobs > self.jobs:
            return self
        return Counts(*(max(0, a - b) for a, b in zip(self, other, strict=True)))


class Sides:
    """What the new version and the rest have done since a release is compared, node by node."""

    def __init__(self, counts: dict[str, Counts]) -> None:
        self.base = dict(counts)  # by node: what it had done when it began to be compared as what it is
        self.fresh: set[str] = set()
        self.last: dict[str, Counts] = {}  # by node of the rest: what it had done when last seen
        self.kept = Counts()  # of nodes that were of the rest and are no more
        self.new, self.rest = Counts(), Counts()

    def look(self, counts: dict[str, Counts], fresh: set[str]) -> None:
        """Counts by node, of its newest process; and which nodes run the new version."""
        for name in fresh - self.fresh:
            self.kept = self.kept.plus(self.last.pop(name, Counts()))
            self.base[name] = counts.get(name, Counts())
        self.fresh |= fresh
        new, rest = Counts(), self.kept
        for name, count in counts.items():
            since = count.less(self.base.get(name, Counts()))
            if name in fresh:
                new = new.plus(since)
            elif name not in self.fresh:
                self.last[name] = since
                rest = rest.plus(since)
        self.new, self.rest = new, rest


def _log_choose(n: int, k: int) -> float:
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)


def chance(bad: int, jobs: int, rest_bad: int, rest_jobs: int) -> float:
    """Of `bad` or more of all bad ones among `jobs`, were there no difference (hypergeometric tail)."""
    all_bad, all_jobs = bad + rest_bad, jobs + rest_jobs
    whole = _log_choose(all_jobs, jobs)
    most = min(all_bad, jobs)
    tail = [_log_choose(all_bad, k) + _log_choose(all_jobs - all_bad, jobs - k) - whole
            for k in range(bad, most + 1) if jobs - k <= all_jobs - all_bad]  # fmt: skip
    return min(1.0, math.fsum(map(math.exp, tail)))


def worse(plan: ReleasePlan, new: Counts, rest: Counts) -> str:
    """Why the new version is worse, or an empty text: too little seen, or no difference that is sure and
    matters.
    """
    if new.jobs < plan.min_sample or rest.jobs < plan.min_sample:
        return ""
    for name in ("failed", "late", "refused"):
        bad, rest_bad = getattr(new, name), getattr(rest, name)
        differs = (
            bad * rest.jobs * 1000 - rest_bad * new.jobs * 1000 > plan.min_difference * new.jobs * rest.jobs
        )
        if differs and (p := chance(bad, new.jobs, rest_bad, rest.jobs)) < plan.max_chance / 10_000:
            return (f"{name} {bad} of {new.jobs} against {rest_bad} of {rest.jobs} with the rest "
                    f"(chance {p:.2g} were they alike)")  # fmt: skip
    return ""
