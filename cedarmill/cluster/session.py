"""A member's side of its session, without I/O: heartbeats, the lease, orders, and the choice of a replica.

Nodes and process supervisors have one each. Orders are whole and have an epoch; older ones never replace
newer ones. Whether the lease holds is asked at the moment of acting (`holds`), by a clock that goes on while
the process stands still. All times are microseconds of that clock.
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

HEARTBEAT_US = 250_000  # between two heartbeats
REPLY_TIMEOUT_US = 1_000_000  # for a reply, before another replica is tried
STALL_US = 600_000  # between two calls: then this process stood still, and doubts what it observed
DOUBT_US = 1_500_000  # for how long then
FULL_REPORT_EVERY = 40  # heartbeats: one that reports all executors, should a change have been lost

Actions = list[Any]


class Connect(msgspec.Struct, frozen=True):
    """An action: use that replica from now on, and close the connection to another one."""

    replica: str


class SendRequest(msgspec.Struct, frozen=True):
    """An action: send this to the replica in use."""

    request: ClientRequest


class FollowOrders(msgspec.Struct, frozen=True):
    """An action: follow these orders, which are newer than those followed."""

    orders: Orders


class LeaseExpired(msgspec.Struct, frozen=True):
    """An action, once: the lease has expired; `LeaseHolds` when it holds again."""


class LeaseHolds(msgspec.Struct, frozen=True):
    """An action, once: the lease holds, for the first time or again."""


class ProbeMember(msgspec.Struct, frozen=True):
    """An action: find out whether that member answers there, and call `on_probed`."""

    key: str
    address: str


@dataclass(slots=True)
class MemberReport:
    """What this process reports of itself, as it stands at a heartbeat."""

    drained: dict[str, int] = field(default_factory=dict)
    executors: dict[str, ExecutorObservation] = field(default_factory=dict)
    units: dict[str, UnitReportFields] = field(default_factory=dict)
    ended_members: list[str] = field(default_factory=list)
    request_counts: tuple[int, int, int, int] = (0, 0, 0, 0)
    digest: ObservationDigest | None = None
    budget_demand: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """What does not change while a process runs."""

    kind: str
    name: str
    incarnation: str
    zone: str = ""
    address: str = ""
    version: str = ""
    unit_type: str = ""
    stops_at_lease_expiry: bool = False


@dataclass(frozen=True, slots=True)
class _Sent:
    """A heartbeat without a reply: when it was sent, and the executors that it reported."""

    at: int
    executors: dict[str, ExecutorObservation]


class MemberSession:
    """One member's session."""

    def __init__(
        self,
        identity: MemberIdentity,
        replicas: list[str],
        report: Callable[[], MemberReport],
        now: int,
        first: int = 0,
    ) -> None:
        """`first` is the number of the replica that is tried first: members are spread over them."""
        self.identity, self.replicas = identity, replicas
        self.orders: Orders | None = None
        self.epoch = 0  # of the orders that are followed
        self.lease_until = -1
        self.doubts_until = -1
        self._report = report
        self._replica = first % len(replicas)
        self._connected = False
        self._sequence = 0
        self._sent: dict[int, _Sent] = {}  # by sequence
        self._term = 0  # of the leader that replied last
        self._leader_timestamp, self._timestamp_at = -1, now  # the newest, and when it came
        self._reported: dict[str, ExecutorObservation] = {}  # executors as that leader knows them
        self._probe_results: dict[str, bool] = {}  # for the next heartbeat
        self._leaving = False
        self._checked_at = now
        self._replied_at = now  # when a replica last replied
        self._next_heartbeat = now
        self._announced = False  # whether `LeaseHolds` was the last word on the lease

    def holds(self, now: int) -> bool:
        """Whether the lease holds at this moment."""
        return now < self.lease_until

    @property
    def due(self) -> int:
        """When to call `on_time` at the latest."""
        return min(self._next_heartbeat, self.lease_until) if self._announced else self._next_heartbeat

    def on_time(self, now: int) -> Actions:
        """Time has passed."""
        actions = self._check(now)
        if now < self._next_heartbeat:
            return actions
        self._next_heartbeat = now + HEARTBEAT_US
        if not self._connected or self._reply_is_late(now):
            actions += self._connect(now)
        actions.append(SendRequest(self._heartbeat(now)))
        return actions

    def _reply_is_late(self, now: int) -> bool:
        if not self._sent:
            return False
        oldest = min(sent.at for sent in self._sent.values())
        return now - max(oldest, self._replied_at) > REPLY_TIMEOUT_US

    def _check(self, now: int) -> Actions:
        """Whether this process stood still, and whether the lease has expired."""
        if now - self._checked_at > STALL_US:
            self.doubts_until = now + DOUBT_US
        self._checked_at = now
        if self._announced and not self.holds(now):
            self._announced = False
            return [LeaseExpired()]
        return []

    def _connect(self, now: int) -> Actions:
        """To the next replica; heartbeats on their way to the last one are forgotten."""
        if self._connected:
            self._replica = (self._replica + 1) % len(self.replicas)
        self._connected, self._replied_at = True, now
        self._sent.clear()
        return [Connect(self.replicas[self._replica])]

    def _heartbeat(self, now: int) -> Heartbeat:
        self._sequence += 1
        report, identity = self._report(), self.identity
        executors = self._changed(report.executors)
        self._sent[self._sequence] = _Sent(now, executors)
        probe_results, self._probe_results = self._probe_results, {}
        return Heartbeat(
            kind=identity.kind,
            name=identity.name,
            incarnation=identity.incarnation,
            sequence=self._sequence,
            orders_epoch=self.epoch,
            term=self._term,
            zone=identity.zone,
            address=identity.address,
            version=identity.version,
            unit_type=identity.unit_type,
            stops_at_lease_expiry=identity.stops_at_lease_expiry,
            was_suspended=now < self.doubts_until,
            leaving=self._leaving,
            drained=report.drained,
            held_grants=self._held_grants(),
            executors=executors,
            units=report.units,
            ended_members=report.ended_members,
            request_counts=report.request_counts,
            probe_results=probe_results,
            digest=report.digest,
            leader_timestamp=self._leader_timestamp,
            timestamp_age_us=now - self._timestamp_at,
            budget_demand=report.budget_demand,
        )

    def _changed(self, executors: dict[str, ExecutorObservation]) -> dict[str, ExecutorObservation]:
        """Those that the leader does not know so yet; now and then all."""
        if self._sequence % FULL_REPORT_EVERY == 1:
            return dict(executors)
        return {name: one for name, one in executors.items() if self._reported.get(name) != one}

    def _held_grants(self) -> dict[str, int]:
        """Epochs of the grants that are followed here, by `kind:name`."""
        if self.orders is None:
            return {}
        held = {f"executor:{name}": epoch for name, epoch in self.orders.excluded_executors.items()}
        if self.orders.drain_clients_epoch:
            held[f"node:{self.identity.name}"] = self.orders.drain_clients_epoch
        return held

    def on_disconnected(self, now: int) -> Actions:
        """The connection is lost, or was rejected: another replica, at the next heartbeat and not sooner."""
        if self._connected:
            self._connected, self._replica = False, (self._replica + 1) % len(self.replicas)
        self._next_heartbeat = max(now + HEARTBEAT_US // 2, self._next_heartbeat)
        return self._check(now)

    def on_reply(self, now: int, reply: ClientReply) -> Actions:
        """A replica has replied."""
        actions = self._check(now)
        if isinstance(reply, HeartbeatReply):
            return actions + self._on_heartbeat_reply(now, reply)
        if isinstance(reply, Unavailable) and now - self._replied_at > REPLY_TIMEOUT_US:
            actions += self._connect(now)
        return actions

    def _on_heartbeat_reply(self, now: int, reply: HeartbeatReply) -> Actions:
        sent = self._sent.pop(reply.sequence, None)
        if sent is None:
            return []  # to a heartbeat that went to another replica, and was forgotten
        self._replied_at = now
        self._sent = {number: one for number, one in self._sent.items() if number > reply.sequence}
        self._note_leader(now, reply, sent)
        if reply.lease_us:
            self.lease_until = max(self.lease_until, holder_lease_end(sent.at, reply.lease_us))
        actions = self._take_orders(now, reply.orders)
        return actions + [ProbeMember(key, address) for key, address in reply.members_to_probe.items()]

    def _note_leader(self, now: int, reply: HeartbeatReply, sent: _Sent) -> None:
        if reply.leader_timestamp >= 0:
            self._leader_timestamp, self._timestamp_at = reply.leader_timestamp, now
        if reply.term != self._term:
            self._term, self._reported = reply.term, {}  # a new leader gets a full report
        else:
            self._reported.update(sent.executors)

    def _take_orders(self, now: int, orders: Orders | None) -> Actions:
        actions: Actions = []
        if orders is not None and orders.epoch > self.epoch:
            self.epoch, self.orders = orders.epoch, orders
            actions.append(FollowOrders(orders))
        if not self._announced and self.holds(now) and self.orders is not None:
            self._announced = True
            actions.append(LeaseHolds())
        return actions

    def on_probed(self, key: str, answered: bool) -> None:
        """What came of a ProbeMember."""
        self._probe_results[key] = answered

    def leave(self, now: int) -> Actions:
        """This process ends, and has nothing in flight: a last heartbeat says so."""
        self._leaving, self._next_heartbeat = True, now
        return self.on_time(now)
