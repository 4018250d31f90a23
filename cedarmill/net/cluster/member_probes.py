"""Probes between members: others look whether one still lives before anyone calls it silent."""

from collections.abc import Callable
from typing import Any

from cedarmill.cluster.messages import GossipSubscription, Probe, ProbeReply
from cedarmill.cluster.session import MemberIdentity
from cedarmill.net.config import Address
from cedarmill.net.framing import FramedConnection
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver

PROBE_US = 800_000  # for a member that is probed to answer, and for one that connects to say what it wants
MAX_PROBES = 64  # connections of both kinds at once: more wait in the backlog


def _take_nobody(connection: FramedConnection, message: GossipSubscription) -> bool:
    return False


class MemberProbes:
    """Probes other members, and answers those that probe this one."""

    def __init__(self, driver: EventLoopDriver, identity: MemberIdentity) -> None:
        self.driver, self.identity = driver, identity
        # a node that shares gossip takes over the connection of a peer that says so; False: it does not
        self.accept_peer: Callable[[FramedConnection, GossipSubscription], bool] = _take_nobody
        self._connections: set[FramedConnection] = set()
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> int:
        """Let others connect; the port. Raises OSError."""
        sock = listening_socket(address, MAX_PROBES)
        self._acceptor = Acceptor(
            self.driver,
            sock,
            self._incoming,
            listener="member",
            batch=MAX_PROBES,
            can_accept=self._can_accept,
        )
        self._acceptor.resume()
        return self._acceptor.port

    # Probing others.

    def probe(self, address: str, incarnation: str, on_result: Callable[[bool], None]) -> None:
        """Find out whether that incarnation answers at the address; the result comes once."""

        def on_message(connection: FramedConnection, number: int, message: Any) -> None:
            finish(isinstance(message, ProbeReply) and message.incarnation == incarnation)

        def finish(alive: bool) -> None:
            if connection in self._connections:
                self._connections.discard(connection)
                on_result(alive)
                connection.end("looked")

        def send_probe(opened: FramedConnection) -> None:
            opened.send(1, Probe(self.identity.name))

        connection = FramedConnection(
            self.driver, on_message, lambda ended, reason: finish(False), send_probe
        )
        self._connections.add(connection)
        try:
            connection.dial(Address.parse(address))
        except ValueError:
            finish(False)
            return
        self.driver.timers.add(self.driver.now() + PROBE_US, lambda now: finish(False))

    # Being probed.

    def _incoming(self) -> FramedConnection:
        """The connection of one who looks whether this process lives."""
        connection = FramedConnection(
            self.driver, self._on_message, lambda ended, reason: self._connections.discard(ended)
        )
        self._connections.add(connection)
        self.driver.timers.add(self.driver.now() + PROBE_US, lambda now: self._end_late(connection))
        return connection

    def _can_accept(self) -> bool:
        """Whether one more may connect; at the bound they wait in the backlog."""
        if len(self._connections) < MAX_PROBES:
            return True
        if self._acceptor is not None:
            self._acceptor.resume_later()
        return False

    def _end_late(self, connection: FramedConnection) -> None:
        if connection in self._connections:
            connection.end("late")

    def _on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        if isinstance(message, GossipSubscription):
            self._connections.discard(connection)
            if not self.accept_peer(connection, message):
                connection.end("nobody to share news with")
        elif isinstance(message, Probe):
            connection.send(number, ProbeReply(self.identity.name, self.identity.incarnation))
