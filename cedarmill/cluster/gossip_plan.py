"""Executor load reports shared between nodes, so that one probe or response serves several nodes.

A node sends its own reports, with their age, to the other users of the same executor and never forwards
received reports, which limits each report to one message per user. Rendezvous hashing over the names alone
assigns executors to nodes, so that all nodes compute the same assignment and a change of membership affects
only the assignments of the changed nodes and executors. Between two reports a node counts its own requests
sent and ended and extrapolates the requests of the other users from them. This keeps nodes from sending all
requests to an executor that an old report shows as idle. Times are seconds. This module performs no I/O.
"""

from collections.abc import Iterable
from heapq import nsmallest
from math import exp
from typing import NamedTuple

# Nodes assigned to an executor. The more they are, the less each knows of what the others have just sent
# there (docs/measurements/overload.md).
USERS_PER_EXECUTOR = 4
MIN_EXECUTORS = 6  # per node
# A node with more than this multiple of an even share of the traffic uses more executors. Their minimum
# number grows in steps of the same factor.
UNEVEN_FACTOR = 1.5
SHARE_INTERVAL_S = 0.2  # minimum interval between two reports shared by a node on one executor
# Time constant with which an estimate decays from the report to the mean load: eight mean running times.
REPORT_DECAY_S = 1.6
MAX_SENT_FACTOR = 6  # upper bound on the multiplier of own requests when checking for a full executor
MAX_AGE_S = 3.0  # maximum age of a report in use
MEAN_LOAD_GAIN = 0.1  # weight of a new report in the moving mean of the load

ExecutorId = int | str


def _hash_seed(node: str) -> int:
    import xxhash  # part of the optional fleet extra, which a single node doesn't need

    return xxhash.xxh64_intdigest(node.encode())


def _rendezvous_weight(seed: int, executor: bytes) -> int:
    import xxhash

    return xxhash.xxh64_intdigest(executor, seed)


class GossipPlan:
    """The assignment of executors to nodes, updated incrementally as members are added or removed."""

    def __init__(self) -> None:
        self.nodes: dict[str, int] = {}  # hash seed by node name
        self.executors: dict[str, bytes] = {}  # encoded name by executor name
        self.users: dict[str, list[str]] = {}  # assigned nodes by executor, highest weight first

    def update(self, nodes: Iterable[str], executors: Iterable[str]) -> bool:
        """Set the current nodes and executors, and return whether the plan has changed."""
        nodes, executors = set(nodes), set(executors)
        added, removed = nodes - self.nodes.keys(), self.nodes.keys() - nodes
        if not added and not removed and executors == self.executors.keys():
            return False
        for node in removed:
            del self.nodes[node]
        for node in sorted(added):
            self.nodes[node] = _hash_seed(node)
        for executor in self.executors.keys() - executors:
            del self.executors[executor], self.users[executor]
        for executor, users in self.users.items():
            if not removed.isdisjoint(users):
                self.users[executor] = self._choose_users(executor, self.nodes)
            elif added:
                self.users[executor] = self._choose_users(executor, added.union(users))
        for executor in sorted(executors - self.executors.keys()):
            self.executors[executor] = executor.encode()
            self.users[executor] = self._choose_users(executor, self.nodes)
        return True

    def executors_of(self, node: str, traffic_share: float = 0.0) -> list[str]:
        """Return the executors used by a node, sorted by name.

        These are the executors assigned to the node and, if there are too few, those for which its weight is
        highest. `traffic_share` is the node's share of the cluster's traffic, or 0 if unknown. A node with
        far more than an even share uses more executors; their number grows in steps, so that a small change
        of the share has no effect.
        """
        chosen = {executor for executor, users in self.users.items() if node in users}
        min_count = float(MIN_EXECUTORS)
        wanted_count = USERS_PER_EXECUTOR * len(self.executors) * traffic_share
        while traffic_share * len(self.nodes) > UNEVEN_FACTOR and min_count < wanted_count:
            min_count *= UNEVEN_FACTOR
        if len(chosen) < min_count:
            seed = self.nodes.get(node) or _hash_seed(node)
            weights = [
                (-_rendezvous_weight(seed, name), executor) for executor, name in self.executors.items()
            ]
            chosen.update(executor for _, executor in nsmallest(int(min_count), weights))
        return sorted(chosen)

    def _choose_users(self, executor: str, nodes: Iterable[str]) -> list[str]:
        name = self.executors[executor]
        weights = [(-_rendezvous_weight(self.nodes[node], name), node) for node in nodes]
        return [node for _, node in nsmallest(USERS_PER_EXECUTOR, weights)]


class ExecutorReport(NamedTuple):
    """One node's own report on the load of an executor."""

    executor: ExecutorId
    at: float  # time by the clock of the node that stores the report
    requests: float  # running or queued at the executor, from all nodes
    slots: float


class ReportBoard:
    """Stores the newest load report of each executor for one node."""

    def __init__(self) -> None:
        self.reports: dict[ExecutorId, ExecutorReport] = {}
        self.net_sent_since_report: dict[ExecutorId, int] = {}  # own requests sent minus ended
        self._last_shared_at: dict[ExecutorId, float] = {}
        self._mean_load = 0.0  # moving mean of the requests per slot in accepted reports

    def accept(self, report: ExecutorReport) -> bool:
        """Store a report newer than the previous one, and return whether it was newer."""
        previous = self.reports.get(report.executor)
        if previous is not None and report.at <= previous.at:
            return False
        self.reports[report.executor] = report
        self.net_sent_since_report[report.executor] = 0
        self._mean_load += (report.requests / max(1.0, report.slots) - self._mean_load) * MEAN_LOAD_GAIN
        return True

    def may_share(self, report: ExecutorReport) -> bool:
        """Return whether to share an own report, and if so record it; at most one in SHARE_INTERVAL_S."""
        if report.at - self._last_shared_at.get(report.executor, -SHARE_INTERVAL_S) < SHARE_INTERVAL_S:
            return False
        self._last_shared_at[report.executor] = report.at
        return True

    def on_sent(self, executor: ExecutorId) -> None:
        """Count an own request sent to the executor."""
        self.net_sent_since_report[executor] = self.net_sent_since_report.get(executor, 0) + 1

    def on_ended(self, executor: ExecutorId) -> None:
        """Count an own request that has ended at the executor or whose client has disconnected."""
        self.net_sent_since_report[executor] = self.net_sent_since_report.get(executor, 0) - 1

    def estimated_load(self, executor: ExecutorId, now: float, user_count: float) -> float:
        """Return the estimated number of requests at the executor.

        The reported load decays towards the mean load with the age of the report. Own requests sent since
        then are added, multiplied by `user_count`, the number of nodes that use the executor. A report older
        than MAX_AGE_S is ignored in favour of the mean load.
        """
        report, net_sent = self.reports.get(executor), self.net_sent_since_report.get(executor, 0)
        if report is None:
            return max(0.0, net_sent)
        mean_load = self._mean_load * report.slots
        age = max(0.0, now - report.at)
        if age > MAX_AGE_S:
            return max(0.0, mean_load + net_sent)
        report_weight = exp(-age / REPORT_DECAY_S)
        return max(
            0.0,
            report_weight * report.requests + (1 - report_weight) * mean_load + net_sent * max(1, user_count),
        )
