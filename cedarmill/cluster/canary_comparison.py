"""Statistical comparison of a canary version with the rest of the nodes.

A one-sided Fisher's exact test gives the probability that at least as many bad requests fall to the new
version if both versions perform alike. The test is exact for the small samples of a canary. A release is
halted only for a difference that is both significant and large enough to matter. This module performs no I/O.
"""

import math
from typing import NamedTuple

from cedarmill.cluster.state import ReleasePlan


class RequestCounts(NamedTuple):
    """Counts of ended requests, in total and by kind of bad outcome."""

    requests: int = 0
    failed: int = 0
    late: int = 0
    rejected: int = 0

    def add(self, other: "RequestCounts") -> "RequestCounts":
        """Return the sum of both counts."""
        return RequestCounts(
            *(own_count + other_count for own_count, other_count in zip(self, other, strict=True))
        )

    def increase_since(self, earlier: "RequestCounts") -> "RequestCounts":
        """Return the increase since earlier counts; the counts of a restarted process begin at 0."""
        if earlier.requests > self.requests:
            return self
        return RequestCounts(*(max(0, now - before) for now, before in zip(self, earlier, strict=True)))


class CanaryComparison:
    """Accumulates the request counts of the new version and of the rest while a release is compared."""

    def __init__(self, counts: dict[str, RequestCounts]) -> None:
        self.baselines = dict(counts)  # counts by node when the comparison of its current version began
        self.updated_nodes: set[str] = set()
        self.rest_by_node: dict[str, RequestCounts] = {}  # counts of nodes not yet updated
        self.rest_before_update = RequestCounts()  # counts that updated nodes had before their update
        self.new_counts, self.rest_counts = RequestCounts(), RequestCounts()

    def update(self, counts: dict[str, RequestCounts], updated_nodes: set[str]) -> None:
        """Update both sums from the counts of each node's newest process and the set of updated nodes."""
        for name in updated_nodes - self.updated_nodes:
            before = self.rest_by_node.pop(name, RequestCounts())
            self.rest_before_update = self.rest_before_update.add(before)
            self.baselines[name] = counts.get(name, RequestCounts())
        self.updated_nodes |= updated_nodes
        new, rest = RequestCounts(), self.rest_before_update
        for name, request_counts in counts.items():
            since = request_counts.increase_since(self.baselines.get(name, RequestCounts()))
            if name in updated_nodes:
                new = new.add(since)
            elif name not in self.updated_nodes:
                self.rest_by_node[name] = since
                rest = rest.add(since)
        self.new_counts, self.rest_counts = new, rest


def fisher_p_value(bad: int, requests: int, rest_bad: int, rest_requests: int) -> float:
    """Return the probability of at least `bad` bad requests among `requests` if both versions are alike.

    This is the upper tail of the hypergeometric distribution.
    """
    total_bad, total_requests = bad + rest_bad, requests + rest_requests
    log_total = _log_binomial(total_requests, requests)
    log_probabilities = [
        _log_binomial(total_bad, bad_count)
        + _log_binomial(total_requests - total_bad, requests - bad_count)
        - log_total
        for bad_count in range(bad, min(total_bad, requests) + 1)
        if requests - bad_count <= total_requests - total_bad
    ]
    return min(1.0, math.fsum(map(math.exp, log_probabilities)))


def _log_binomial(total: int, chosen: int) -> float:
    return math.lgamma(total + 1) - math.lgamma(chosen + 1) - math.lgamma(total - chosen + 1)


def reason_to_halt(plan: ReleasePlan, new: RequestCounts, rest: RequestCounts) -> str:
    """Return why the new version is worse, or an empty string without sufficient evidence."""
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
        p_value = fisher_p_value(bad, new.requests, rest_bad, rest.requests)
        if p_value < plan.max_chance / 10_000:
            return (
                f"{kind} {bad} of {new.requests} against {rest_bad} of {rest.requests} with the rest "
                f"(chance {p_value:.2g} were they alike)"
            )
    return ""
