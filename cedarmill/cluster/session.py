"""A member's side of its session, without I/O: heartbeats, the lease, orders, and the choice of a replica.

Each node and each process supervisor has one session. Orders are complete and carry an epoch; older orders
never replace newer ones. Callers check the lease (`holds`) immediately before they act on it, by a clock that
keeps running while the process is suspended. All times are microseconds of that clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cedarmill.cluster.messages import (
    ClientReply,
    ClientRequest,
    ExecutorObservation,
    Heartbeat,
    HeartbeatReply,
    Orders,
    Unavailable,
)
from cedarmill.cluster.observations.digest import ObservationDigest
from cedarmill.cluster.session_tracker import holder_lease_end
from cedarmill.cluster.state import UnitReportFields

HEARTBEAT_INTERVAL_US = 250_000
REPLY_TIMEOUT_US = 1_000_000  # The session then switches to another replica.
STALL_THRESHOLD_US = 600_000  # A longer gap between two calls means that this process was suspended.
SUSPENSION_EFFECT_US = 1_500_000  # Observations are unreliable for this long after a suspension.
HEARTBEATS_PER_FULL_REPORT = 40  # A full report of all executors corrects lost updates.

Actions = list[Any]


class Connect(msgspec.Struct, frozen=True):
    """An action: connect to this replica, and close the connection to any other replica."""

    replica: str


class SendRequest(msgspec.Struct, frozen=True):
    """An action: send the request to the connected replica."""

    request: ClientRequest


class FollowOrders(msgspec.Struct, frozen=True):
    """An action: follow these orders, which replace the current, older ones."""

    orders: Orders


class LeaseExpired(msgspec.Struct, frozen=True):
    """An action, emitted once when the lease expires; `LeaseAcquired` follows when the lease is renewed."""


class LeaseAcquired(msgspec.Struct, frozen=True):
    """An action, emitted once when the lease becomes valid, for the first time or after an expiry."""


class ProbeMember(msgspec.Struct, frozen=True):
    """An action: probe the member at the address, and pass the result to `on_probed`."""

    key: str
    address: str


@dataclass(slots=True)
class MemberReport:
    """The contents of a heartbeat that the process provides, current at the time of the heartbeat."""

    drained: dict[str, int] = field(default_factory=dict)
    executors: dict[str, ExecutorObservation] = field(default_factory=dict)
    units: dict[str, UnitReportFields] = field(default_factory=dict)
    ended_members: list[str] = field(default_factory=list)
    request_counts: tuple[int, int, int, int] = (0, 0, 0, 0)
    digest: ObservationDigest | None = None
    budget_demand: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """The properties of a member that are constant while its process runs."""

    kind: str
    name: str
    incarnation: str
    zone: str = ""
    address: str = ""
    version: str = ""
    unit_type: str = ""
    stops_at_lease_expiry: bool = False


@dataclass(frozen=True, slots=True)
class _UnansweredHeartbeat:
    """A heartbeat that awaits its reply: its send time and the executors that it reported."""

    sent_at: int
    executors: dict[str, ExecutorObservation]


class MemberSession:
    """Keeps one member's session: sends heartbeats, holds the lease and accepts orders."""

    def __init__(
        self,
        identity: MemberIdentity,
        replicas: list[str],
        report: Callable[[], MemberReport],
        now: int,
        first: int = 0,
    ) -> None:
        """Start without a lease; `first` selects the initial replica, which spreads members over replicas."""
        self.identity, self.replicas = identity, replicas
        self.orders: Orders | None = None
        self.epoch = 0  # epoch of the current orders
        self.lease_until = -1
        self.suspected_suspension_until = -1
        self._build_report = report
        self._replica_index = first % len(replicas)
        self._is_connected = False
        self._last_sequence = 0
        self._unanswered: dict[int, _UnansweredHeartbeat] = {}  # by sequence number
        self._term = 0  # term of the leader that sent the last reply
        self._leader_timestamp, self._timestamp_received_at = -1, now  # the newest timestamp and its arrival
        self._reported_executors: dict[str, ExecutorObservation] = {}  # executors as reported to that leader
        self._probe_results: dict[str, bool] = {}  # results to send in the next heartbeat
        self._is_leaving = False
        self._last_check_at = now
        self._last_reply_at = now
        self._next_heartbeat = now
        self._is_announced = False  # whether the last lease action was `LeaseAcquired`

    def is_lease_valid(self, now: int) -> bool:
        """Return whether the lease is valid at the given time."""
        return now < self.lease_until

    @property
    def due(self) -> int:
        """The latest time at which `on_time` has to be called."""
        return min(self._next_heartbeat, self.lease_until) if self._is_announced else self._next_heartbeat

    def on_time(self, now: int) -> Actions:
        """Send a heartbeat if one is due, and report an expired lease."""
        actions = self._check_stall_and_lease(now)
        if now < self._next_heartbeat:
            return actions
        self._next_heartbeat = now + HEARTBEAT_INTERVAL_US
        if not self._is_connected or self._is_reply_late(now):
            actions += self._connect_to_replica(now)
        actions.append(SendRequest(self._build_heartbeat(now)))
        return actions

    def _is_reply_late(self, now: int) -> bool:
        if not self._unanswered:
            return False
        oldest = min(sent.sent_at for sent in self._unanswered.values())
        return now - max(oldest, self._last_reply_at) > REPLY_TIMEOUT_US

    def _check_stall_and_lease(self, now: int) -> Actions:
        """Detect a suspension of this process, and return `LeaseExpired` if the lease has expired."""
        if now - self._last_check_at > STALL_THRESHOLD_US:
            self.suspected_suspension_until = now + SUSPENSION_EFFECT_US
        self._last_check_at = now
        if self._is_announced and not self.is_lease_valid(now):
            self._is_announced = False
            return [LeaseExpired()]
        return []

    def _connect_to_replica(self, now: int) -> Actions:
        """Connect to a replica, to the next one if already connected, and drop all unanswered heartbeats."""
        if self._is_connected:
            self._replica_index = (self._replica_index + 1) % len(self.replicas)
        self._is_connected, self._last_reply_at = True, now
        self._unanswered.clear()
        return [Connect(self.replicas[self._replica_index])]

    def _build_heartbeat(self, now: int) -> Heartbeat:
        self._last_sequence += 1
        report, identity = self._build_report(), self.identity
        executors = self._changed_executors(report.executors)
        self._unanswered[self._last_sequence] = _UnansweredHeartbeat(now, executors)
        probe_results, self._probe_results = self._probe_results, {}
        return Heartbeat(
            kind=identity.kind,
            name=identity.name,
            incarnation=identity.incarnation,
            sequence=self._last_sequence,
            orders_epoch=self.epoch,
            term=self._term,
            zone=identity.zone,
            address=identity.address,
            version=identity.version,
            unit_type=identity.unit_type,
            stops_at_lease_expiry=identity.stops_at_lease_expiry,
            was_suspended=now < self.suspected_suspension_until,
            leaving=self._is_leaving,
            drained=report.drained,
            held_grants=self._held_grants(),
            executors=executors,
            units=report.units,
            ended_members=report.ended_members,
            request_counts=report.request_counts,
            probe_results=probe_results,
            digest=report.digest,
            leader_timestamp=self._leader_timestamp,
            timestamp_age_us=now - self._timestamp_received_at,
            budget_demand=report.budget_demand,
        )

    def _changed_executors(self, executors: dict[str, ExecutorObservation]) -> dict[str, ExecutorObservation]:
        """Return the executors that differ from the last report, or periodically all executors."""
        if self._last_sequence % HEARTBEATS_PER_FULL_REPORT == 1:
            return dict(executors)
        return {name: one for name, one in executors.items() if self._reported_executors.get(name) != one}

    def _held_grants(self) -> dict[str, int]:
        """Return the epochs of the grants that this member follows, by `kind:name`."""
        if self.orders is None:
            return {}
        grants = {f"executor:{name}": epoch for name, epoch in self.orders.excluded_executors.items()}
        if self.orders.drain_clients_epoch:
            grants[f"node:{self.identity.name}"] = self.orders.drain_clients_epoch
        return grants

    def on_disconnected(self, now: int) -> Actions:
        """Select the next replica after a lost or rejected connection, and delay the next heartbeat."""
        if self._is_connected:
            self._is_connected, self._replica_index = False, (self._replica_index + 1) % len(self.replicas)
        self._next_heartbeat = max(now + HEARTBEAT_INTERVAL_US // 2, self._next_heartbeat)
        return self._check_stall_and_lease(now)

    def on_reply(self, now: int, reply: ClientReply) -> Actions:
        """Process a reply from a replica."""
        actions = self._check_stall_and_lease(now)
        if isinstance(reply, HeartbeatReply):
            return actions + self._on_heartbeat_reply(now, reply)
        if isinstance(reply, Unavailable) and now - self._last_reply_at > REPLY_TIMEOUT_US:
            actions += self._connect_to_replica(now)
        return actions

    def _on_heartbeat_reply(self, now: int, reply: HeartbeatReply) -> Actions:
        sent = self._unanswered.pop(reply.sequence, None)
        if sent is None:
            return []  # The heartbeat went to another replica and was dropped.
        self._last_reply_at = now
        self._unanswered = {n: one for n, one in self._unanswered.items() if n > reply.sequence}
        self._record_leader(now, reply, sent)
        if reply.lease_us:
            self.lease_until = max(self.lease_until, holder_lease_end(sent.sent_at, reply.lease_us))
        actions = self._accept_orders(now, reply.orders)
        return actions + [ProbeMember(key, address) for key, address in reply.members_to_probe.items()]

    def _record_leader(self, now: int, reply: HeartbeatReply, sent: _UnansweredHeartbeat) -> None:
        if reply.leader_timestamp >= 0:
            self._leader_timestamp, self._timestamp_received_at = reply.leader_timestamp, now
        if reply.term != self._term:
            self._term, self._reported_executors = reply.term, {}  # A new leader gets a full report.
        else:
            self._reported_executors.update(sent.executors)

    def _accept_orders(self, now: int, orders: Orders | None) -> Actions:
        actions: Actions = []
        if orders is not None and orders.epoch > self.epoch:
            self.epoch, self.orders = orders.epoch, orders
            actions.append(FollowOrders(orders))
        if not self._is_announced and self.is_lease_valid(now) and self.orders is not None:
            self._is_announced = True
            actions.append(LeaseAcquired())
        return actions

    def on_probed(self, key: str, answered: bool) -> None:
        """Record the result of a `ProbeMember` action for the next heartbeat."""
        self._probe_results[key] = answered

    def leave(self, now: int) -> Actions:
        """Send a last heartbeat that announces the end of this process, which has no requests in flight."""
        self._is_leaving, self._next_heartbeat = True, now
        return self.on_time(now)
