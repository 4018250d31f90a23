"""Whether a new version does worse than the rest: a statistical test with a least sample.

Fisher's exact test, one-sided: the chance that, were both alike, so many of all bad requests or more fell to
the new version. It is exact for small samples, where a canary has them. A difference that is certain and too
small to matter halts nothing either. No I/O.
"""

import math
from typing import NamedTuple

from cedarmill.cluster.state import ReleasePlan


class RequestCounts(NamedTuple):
    """Requests that came to an end, and how many of them badly, by kind."""

    requests: int = 0
    failed: int = 0
    late: int = 0
    rejected: int = 0

    def plus(self, other: "RequestCounts") -> "RequestCounts":
        """The sum of both."""
        return RequestCounts(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    def since(self, earlier: "RequestCounts") -> "RequestCounts":
        """What came since; a process that was restarted counts from 0."""
        if earlier.requests > self.requests:
            return self
        return RequestCounts(*(max(0, now - before) for now, before in zip(self, earlier, strict=True)))


class CanaryComparison:
    """What the new version and the rest have done since a release is compared, node by node."""

    def __init__(self, counts: dict[str, RequestCounts]) -> None:
        self.baselines = dict(counts)  # by node, when it began to be compared as what it is now
        self.updated_nodes: set[str] = set()
        self.rest_by_node: dict[str, RequestCounts] = {}  # of nodes that are not updated, when last seen
        self.rest_before_update = RequestCounts()  # of nodes that are updated by now
        self.new, self.rest = RequestCounts(), RequestCounts()

    def update(self, counts: dict[str, RequestCounts], updated_nodes: set[str]) -> None:
        """Take over counts by node, of its newest process; and which nodes run the new version."""
        for name in updated_nodes - self.updated_nodes:
            before = self.rest_by_node.pop(name, RequestCounts())
            self.rest_before_update = self.rest_before_update.plus(before)
            self.baselines[name] = counts.get(name, RequestCounts())
        self.updated_nodes |= updated_nodes
        new, rest = RequestCounts(), self.rest_before_update
        for name, count in counts.items():
            since = count.since(self.baselines.get(name, RequestCounts()))
            if name in updated_nodes:
                new = new.plus(since)
            elif name not in self.updated_nodes:
                self.rest_by_node[name] = since
                rest = rest.plus(since)
        self.new, self.rest = new, rest


def chance_if_alike(bad: int, requests: int, rest_bad: int, rest_requests: int) -> float:
    """The chance of `bad` or more of all bad ones among `requests`, were there no difference.

    The tail of the hypergeometric distribution.
    """
    all_bad, all_requests = bad + rest_bad, requests + rest_requests
    total = _log_choose(all_requests, requests)
    tail = [
        _log_choose(all_bad, count) + _log_choose(all_requests - all_bad, requests - count) - total
        for count in range(bad, min(all_bad, requests) + 1)
        if requests - count <= all_requests - all_bad
    ]
    return min(1.0, math.fsum(map(math.exp, tail)))


def _log_choose(total: int, chosen: int) -> float:
    return math.lgamma(total + 1) - math.lgamma(chosen + 1) - math.lgamma(total - chosen + 1)


def reason_to_halt(plan: ReleasePlan, new: RequestCounts, rest: RequestCounts) -> str:
    """Why the new version is worse; empty: too few requests, or no difference that is certain and matters."""
    if new.requests < plan.min_sample or rest.requests < plan.min_sample:
        return ""
    kinds = (
        ("failed", new.failed, rest.failed),
        ("late", new.late, rest.late),
        ("refused", new.rejected, rest.rejected),
    )
    for kind, bad, rest_bad in kinds:
        difference = (bad * rest.requests - rest_bad * new.requests) * 1000
        if difference <= plan.min_difference * new.requests * rest.requests:
            continue
        chance = chance_if_alike(bad, new.requests, rest_bad, rest.requests)
        if chance < plan.max_chance / 10_000:
            return (
                f"{kind} {bad} of {new.requests} against {rest_bad} of {rest.requests} with the rest "
                f"(chance {chance:.2g} were they alike)"
            )
    return ""
