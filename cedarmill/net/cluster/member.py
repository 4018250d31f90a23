"""Runs a member's session with the replicas, over one connection at a time."""

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
    LeaseAcquired,
    LeaseExpired,
    MemberIdentity,
    MemberReport,
    MemberSession,
    ProbeMember,
    SendRequest,
)
from cedarmill.core.timers import SingleTimer, Timer
from cedarmill.log import log_event
from cedarmill.net.cluster.member_probes import MemberProbes
from cedarmill.net.config import Address
from cedarmill.net.framing import FramedConnection
from cedarmill.net.loop import EventLoopDriver

# Time for the leave message to reach a replica before the process exits.
LEAVE_DELAY_US = 300_000
# Prevents a busy loop if the session is due again at once.
MIN_TIMER_DELAY_US = 1000


def _ignore_event() -> None:
    """Do nothing; default callback for events that the owner does not handle."""


class PendingRequest(NamedTuple):
    """Callback of a request that awaits its reply, and the timeout timer."""

    on_answer: Callable[[Any], None]
    timer: Timer


class Membership:
    """Maintains the cluster session of this process.

    `report` returns the contents of each heartbeat. `on_orders`, `on_lease_expired` and `on_lease_holds`
    notify the owner of new orders and of changes of the lease.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        cluster: str,
        identity: MemberIdentity,
        replicas: dict[str, Address],
        report: Callable[[], MemberReport],
        on_orders: Callable[[Orders], None],
        on_lease_expired: Callable[[], None] = _ignore_event,
        on_lease_holds: Callable[[], None] = _ignore_event,
    ) -> None:
        self.driver, self.cluster, self.replicas = driver, cluster, replicas
        first = sum(identity.name.encode())
        self.session = MemberSession(identity, sorted(replicas), report, driver.now(), first)
        self.probes = MemberProbes(driver, identity)
        self._on_orders = on_orders
        self._on_lease_expired, self._on_lease_holds = on_lease_expired, on_lease_holds
        self._connection: FramedConnection | None = None  # to a replica
        self._pending_requests: dict[int, PendingRequest] = {}
        self._last_request_number = 0
        self._timer = SingleTimer(driver.timers)

    def listen(self, address: Address) -> int:
        """Listen for probes from other members and return the port; raise OSError on failure."""
        return self.probes.listen(address)

    def set_address(self, address: str) -> None:
        """Set the address at which other members probe this process, once the port is known."""
        self.session.identity = self.probes.identity = dataclasses.replace(
            self.session.identity, address=address
        )

    def start(self) -> None:
        """Start sending heartbeats."""
        self._on_timer(self.driver.now())

    def holds(self) -> bool:
        """Return whether the lease holds now."""
        return self.session.is_lease_valid(self.driver.now())

    def leave(self) -> None:
        """Send a last heartbeat: this incarnation ends and has no requests in flight."""
        self._carry_out(self.session.leave(self.driver.now()))

    # The session.

    def _on_timer(self, now: int) -> None:
        self._carry_out(self.session.on_time(now))

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            self._carry_out_action(action)
        self._timer.start(max(self.session.due, self.driver.now() + MIN_TIMER_DELAY_US), self._on_timer)

    def _carry_out_action(self, action: object) -> None:
        match action:
            case Connect():
                self._connect(action.replica)
            case SendRequest():
                if self._connection is not None:
                    # Lost if the connection is not open yet; the next heartbeat repeats the contents.
                    self._connection.send(0, action.request)
            case FollowOrders():
                self._on_orders(action.orders)
            case ProbeMember():
                self._probe(action)
            case LeaseExpired():
                log_event("lease-expired")
                self._on_lease_expired()
            case LeaseAcquired():
                log_event("lease-holds", epoch=self.session.epoch)
                self._on_lease_holds()

    def _probe(self, action: ProbeMember) -> None:
        _, _, incarnation = action.key.rpartition(":")
        self.probes.probe(
            action.address, incarnation, lambda alive: self.session.on_probed(action.key, alive)
        )

    # The connection to a replica.

    def _connect(self, replica: str) -> None:
        if self._connection is not None:
            previous, self._connection = self._connection, None
            previous.end("connecting to another replica")
        self._connection = FramedConnection(self.driver, self._on_message, self._on_end, self._send_hello)
        self._connection.name = replica
        self._connection.dial(self.replicas[replica])

    def _send_hello(self, connection: FramedConnection) -> None:
        connection.send(0, Hello(self.cluster, self.session.identity.name, MEMBER_ROLE))

    def _on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        if connection is not self._connection:
            return
        if isinstance(message, ConnectionRejected):
            log_event("replica-refuses", replica=connection.name, reason=message.reason)
            connection.end(message.reason)
        elif number:
            self._complete_request(number, message)
        else:
            self._carry_out(self.session.on_reply(self.driver.now(), message))

    def _on_end(self, connection: FramedConnection, reason: str) -> None:
        if connection is self._connection:
            self._connection = None
            self._carry_out(self.session.on_disconnected(self.driver.now()))

    # Requests.

    def ask(self, request: ClientRequest, timeout_us: int, on_answer: Callable[[Any], None]) -> None:
        """Send a request to the connected replica; `on_answer` gets its reply, or Unavailable on timeout."""
        self._last_request_number += 1
        number = self._last_request_number
        timer = self.driver.timers.add(
            self.driver.now() + timeout_us, lambda now: self._on_request_timeout(number)
        )
        self._pending_requests[number] = PendingRequest(on_answer, timer)
        if self._connection is None or not self._connection.send(number, request):
            self._on_request_timeout(number)

    def _complete_request(self, number: int, message: object) -> None:
        request = self._pending_requests.pop(number, None)
        if request is not None:
            self.driver.timers.cancel(request.timer)
            request.on_answer(message)

    def _on_request_timeout(self, number: int) -> None:
        self._complete_request(number, Unavailable("no keeper answered in time"))
