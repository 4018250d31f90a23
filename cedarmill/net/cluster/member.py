"""A member's session on sockets: one connection to a replica at a time."""

import dataclasses
from collections.abc import Callable
from typing import Any, NamedTuple

from cedarmill.cluster.messages import (
    MEMBER_ROLE,
    ClientRequest,
    ConnectionRejected,
    Hello,
    Orders,
    Unavailable,
)
from cedarmill.cluster.session import (
    Connect,
    FollowOrders,
    LeaseExpired,
    LeaseHolds,
    MemberIdentity,
    MemberReport,
    MemberSession,
    ProbeMember,
    SendRequest,
)
from cedarmill.core.timers import Timer
from cedarmill.log import log_event
from cedarmill.net.cluster.member_probes import MemberProbes
from cedarmill.net.config import Address
from cedarmill.net.framing import FramedConnection
from cedarmill.net.loop import EventLoopDriver

LEAVE_US = 300_000  # for a replica to hear that this incarnation ends
MIN_TIMER_US = 1000  # to the next call of the core, which may be due at once again


def _ignore() -> None:
    """What an owner does that has no use for an event."""


class OpenRequest(NamedTuple):
    """Who waits for an answer, and the timer that ends the wait."""

    on_answer: Callable[[Any], None]
    timer: Timer


class Membership:
    """Keeps the session of this process.

    `report` is asked at each heartbeat; `on_orders`, `on_lease_expired` and `on_lease_holds` are its owner's.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        cluster: str,
        identity: MemberIdentity,
        replicas: dict[str, Address],
        report: Callable[[], MemberReport],
        on_orders: Callable[[Orders], None],
        on_lease_expired: Callable[[], None] = _ignore,
        on_lease_holds: Callable[[], None] = _ignore,
    ) -> None:
        self.driver, self.cluster, self.replicas = driver, cluster, replicas
        first = sum(identity.name.encode())
        self.session = MemberSession(identity, sorted(replicas), report, driver.now(), first)
        self.probes = MemberProbes(driver, identity)
        self._on_orders = on_orders
        self._on_lease_expired, self._on_lease_holds = on_lease_expired, on_lease_holds
        self._connection: FramedConnection | None = None  # to a replica
        self._open: dict[int, OpenRequest] = {}
        self._last_number = 0
        self._timer: Timer | None = None

    def listen(self, address: Address) -> int:
        """Answer members that probe this one; the port. Raises OSError."""
        return self.probes.listen(address)

    def set_address(self, address: str) -> None:
        """Where others can probe this process, where that is known only once it listens."""
        self.session.identity = self.probes.identity = dataclasses.replace(
            self.session.identity, address=address
        )

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._on_time(self.driver.now())

    def holds(self) -> bool:
        """Whether the lease holds at this moment."""
        return self.session.holds(self.driver.now())

    def leave(self) -> None:
        """This incarnation ends and has nothing out: say so once more."""
        self._carry_out(self.session.leave(self.driver.now()))

    # The session.

    def _on_time(self, now: int) -> None:
        self._carry_out(self.session.on_time(now))

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            self._carry_out_one(action)
        self.driver.timers.cancel(self._timer)
        due = max(self.session.due, self.driver.now() + MIN_TIMER_US)
        self._timer = self.driver.timers.add(due, self._on_time)

    def _carry_out_one(self, action: object) -> None:
        match action:
            case Connect():
                self._dial(action.replica)
            case SendRequest():
                if self._connection is not None:
                    # Lost where the connection is not up yet: the next heartbeat tells it.
                    self._connection.send(0, action.request)
            case FollowOrders():
                self._on_orders(action.orders)
            case ProbeMember():
                self._probe(action)
            case LeaseExpired():
                log_event("lease-expired")
                self._on_lease_expired()
            case LeaseHolds():
                log_event("lease-holds", epoch=self.session.epoch)
                self._on_lease_holds()

    def _probe(self, action: ProbeMember) -> None:
        _, _, incarnation = action.key.rpartition(":")
        self.probes.probe(
            action.address, incarnation, lambda alive: self.session.on_probed(action.key, alive)
        )

    # The connection to a replica.

    def _dial(self, replica: str) -> None:
        if self._connection is not None:
            before, self._connection = self._connection, None
            before.end("another keeper is tried")
        self._connection = FramedConnection(self.driver, self._on_message, self._on_end, self._greet)
        self._connection.name = replica
        self._connection.dial(self.replicas[replica])

    def _greet(self, connection: FramedConnection) -> None:
        connection.send(0, Hello(self.cluster, self.session.identity.name, MEMBER_ROLE))

    def _on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        if connection is not self._connection:
            return
        if isinstance(message, ConnectionRejected):
            log_event("replica-refuses", replica=connection.name, reason=message.reason)
            connection.end(message.reason)
        elif number:
            self._answer(number, message)
        else:
            self._carry_out(self.session.on_reply(self.driver.now(), message))

    def _on_end(self, connection: FramedConnection, reason: str) -> None:
        if connection is self._connection:
            self._connection = None
            self._carry_out(self.session.on_disconnected(self.driver.now()))

    # Requests.

    def ask(self, request: ClientRequest, wait_us: int, on_answer: Callable[[Any], None]) -> None:
        """Ask the replica that is connected; its answer comes, or Unavailable after `wait_us`."""
        self._last_number += 1
        number = self._last_number
        timer = self.driver.timers.add(self.driver.now() + wait_us, lambda now: self._answer_late(number))
        self._open[number] = OpenRequest(on_answer, timer)
        if self._connection is None or not self._connection.send(number, request):
            self._answer_late(number)

    def _answer(self, number: int, message: object) -> None:
        request = self._open.pop(number, None)
        if request is not None:
            self.driver.timers.cancel(request.timer)
            request.on_answer(message)

    def _answer_late(self, number: int) -> None:
        self._answer(number, Unavailable("no keeper answered in time"))
