"""Reports of executors shared between nodes, so that one probe or answer serves many.

A node tells what it has heard itself, with its age, to those that use the same executor, and never what it
was told: so a report makes one message to each user and no more. Which executors a node uses follows from
rendezvous hashing over the names alone, so that all nodes know who uses what, and a node or an executor that
comes or goes changes only its own part. Between two reports a node counts its own requests sent and ended,
and estimates others' by them: late reports do not bring the whole cluster to the one executor that seemed
idle. Times are seconds; no I/O.
"""

from collections.abc import Iterable
from heapq import nsmallest
from math import exp
from typing import NamedTuple

USERS_PER_EXECUTOR = 4  # with twelve 48 nodes serve 0.77 of the value at twice the slots
MIN_EXECUTORS = 6  # that a node uses
UNEVEN_FACTOR = 1.5  # times an even part of the traffic, from which a node uses more; and its steps
SHARE_INTERVAL_S = 0.2  # between two reports of one executor that one node tells
FADE_S = 1.6  # in which a report fades into the usual load: eight mean running times
MAX_SENT_FACTOR = 6  # times, at most, that own requests count when it is asked whether an executor is full
MAX_AGE_S = 3.0  # beyond which a report is not followed
USUAL_LOAD_GAIN = 0.1  # of the moving mean of the usual load

ExecutorId = int | str


def _seed(node: str) -> int:
    import xxhash  # of the fleet's extra: the platform's node never comes here

    return xxhash.xxh64_intdigest(node.encode())


def _weight(seed: int, executor: bytes) -> int:
    import xxhash

    return xxhash.xxh64_intdigest(executor, seed)


class GossipPlan:
    """Which nodes use which executors, kept as these come and go: a change costs its own part only."""

    def __init__(self) -> None:
        self.nodes: dict[str, int] = {}  # their seeds
        self.executors: dict[str, bytes] = {}  # their names as hashed
        self.users: dict[str, list[str]] = {}  # by executor, the nodes with the highest weights first

    def update(self, nodes: Iterable[str], executors: Iterable[str]) -> bool:
        """Take over who is there now; whether anything has changed."""
        nodes, executors = set(nodes), set(executors)
        come, gone = nodes - self.nodes.keys(), self.nodes.keys() - nodes
        if not come and not gone and executors == self.executors.keys():
            return False
        for node in gone:
            del self.nodes[node]
        for node in sorted(come):
            self.nodes[node] = _seed(node)
        for executor in self.executors.keys() - executors:
            del self.executors[executor], self.users[executor]
        for executor, users in self.users.items():
            if not gone.isdisjoint(users):
                self.users[executor] = self._choose_users(executor, self.nodes)
            elif come:
                self.users[executor] = self._choose_users(executor, come.union(users))
        for executor in sorted(executors - self.executors.keys()):
            self.executors[executor] = executor.encode()
            self.users[executor] = self._choose_users(executor, self.nodes)
        return True

    def executors_of(self, node: str, traffic_share: float = 0.0) -> list[str]:
        """The executors that a node uses: those it is chosen for, and if these are too few its highest.

        `traffic_share`: of the cluster's traffic that comes to the node, as far as it is known. One that has
        far more than an even part uses more, in steps, so that a share that differs little changes nothing.
        """
        chosen = {executor for executor, users in self.users.items() if node in users}
        size = float(MIN_EXECUTORS)
        wanted = USERS_PER_EXECUTOR * len(self.executors) * traffic_share
        while traffic_share * len(self.nodes) > UNEVEN_FACTOR and size < wanted:
            size *= UNEVEN_FACTOR
        if len(chosen) < size:
            seed = self.nodes.get(node) or _seed(node)
            weights = [(-_weight(seed, name), executor) for executor, name in self.executors.items()]
            chosen.update(executor for _, executor in nsmallest(int(size), weights))
        return sorted(chosen)

    def _choose_users(self, executor: str, nodes: Iterable[str]) -> list[str]:
        name = self.executors[executor]
        weights = [(-_weight(self.nodes[node], name), node) for node in nodes]
        return [node for _, node in nsmallest(USERS_PER_EXECUTOR, weights)]


class ExecutorReport(NamedTuple):
    """What one node heard of an executor itself."""

    executor: ExecutorId
    at: float  # by the clock of the node that holds the report
    requests: float  # that run or wait there, of all nodes
    slots: float


class ReportBoard:
    """What one node knows of executors."""

    def __init__(self) -> None:
        self.reports: dict[ExecutorId, ExecutorReport] = {}
        self.sent_since: dict[ExecutorId, int] = {}  # own requests sent less own ended, since the report
        self._shared_at: dict[ExecutorId, float] = {}
        self._usual_load = 0.0  # requests for each slot, the moving mean of what was heard

    def accept(self, report: ExecutorReport) -> bool:
        """Keep a report if it is newer than the one known; whether it is."""
        known = self.reports.get(report.executor)
        if known is not None and report.at <= known.at:
            return False
        self.reports[report.executor] = report
        self.sent_since[report.executor] = 0
        self._usual_load += (report.requests / max(1.0, report.slots) - self._usual_load) * USUAL_LOAD_GAIN
        return True

    def may_share(self, report: ExecutorReport) -> bool:
        """Whether an own report is to be told, at most one in SHARE_INTERVAL_S; it counts as told then."""
        if report.at - self._shared_at.get(report.executor, -SHARE_INTERVAL_S) < SHARE_INTERVAL_S:
            return False
        self._shared_at[report.executor] = report.at
        return True

    def on_sent(self, executor: ExecutorId) -> None:
        """An own request goes there."""
        self.sent_since[executor] = self.sent_since.get(executor, 0) + 1

    def on_ended(self, executor: ExecutorId) -> None:
        """An own request has ended there, or its client has left."""
        self.sent_since[executor] = self.sent_since.get(executor, 0) - 1

    def estimated_load(self, executor: ExecutorId, now: float, sharers: float) -> float:
        """Requests taken to be there: as reported, less the older the report is, and those sent since.

        `sharers`: nodes that use the executor, by which own requests are multiplied.
        """
        report, sent = self.reports.get(executor), self.sent_since.get(executor, 0)
        if report is None:
            return max(0.0, sent)
        usual = self._usual_load * report.slots
        age = max(0.0, now - report.at)
        if age > MAX_AGE_S:
            return max(0.0, usual + sent)
        fresh = exp(-age / FADE_S)
        return max(0.0, fresh * report.requests + (1 - fresh) * usual + sent * max(1, sharers))
