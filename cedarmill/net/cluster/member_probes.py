"""Liveness probes between members: a member is probed by others before the cluster treats it as silent."""

from collections.abc import Callable
from typing import Any

from cedarmill.cluster.messages import GossipSubscription, Probe, ProbeReply
from cedarmill.cluster.session import MemberIdentity
from cedarmill.net.config import Address
from cedarmill.net.framing import FramedConnection
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver

# Limits the wait for a probe's reply, and for the first message of an incoming connection.
PROBE_TIMEOUT_US = 800_000
# Counts incoming and outgoing connections; further incoming ones wait in the backlog.
MAX_CONNECTIONS = 64


def _reject_peer(connection: FramedConnection, message: GossipSubscription) -> bool:
    return False


class MemberProbes:
    """Sends probes to other members, and answers the probes that they send."""

    def __init__(self, driver: EventLoopDriver, identity: MemberIdentity) -> None:
        self.driver, self.identity = driver, identity
        # Adopts the connection of a gossip peer; returns False to reject the connection.
        self.accept_peer: Callable[[FramedConnection, GossipSubscription], bool] = _reject_peer
        self._connections: set[FramedConnection] = set()
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> int:
        """Listen for connections from other members and return the port; raise OSError on failure."""
        sock = listening_socket(address, MAX_CONNECTIONS)
        self._acceptor = Acceptor(
            self.driver,
            sock,
            self._create_connection,
            listener="member",
            batch=MAX_CONNECTIONS,
            can_accept=self._can_accept,
        )
        self._acceptor.resume()
        return self._acceptor.port

    # Outgoing probes.

    def probe(self, address: str, incarnation: str, on_result: Callable[[bool], None]) -> None:
        """Check whether that incarnation answers at the address; call `on_result` exactly once."""

        def on_message(connection: FramedConnection, number: int, message: Any) -> None:
            finish(isinstance(message, ProbeReply) and message.incarnation == incarnation)

        def finish(alive: bool) -> None:
            if connection in self._connections:
                self._connections.discard(connection)
                on_result(alive)
                connection.end("probe finished")

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
        self.driver.timers.add(self.driver.now() + PROBE_TIMEOUT_US, lambda now: finish(False))

    # Incoming connections.

    def _create_connection(self) -> FramedConnection:
        """Return a new incoming connection, which is closed if it sends nothing useful in time."""
        connection = FramedConnection(
            self.driver, self._on_message, lambda ended, reason: self._connections.discard(ended)
        )
        self._connections.add(connection)
        self.driver.timers.add(self.driver.now() + PROBE_TIMEOUT_US, lambda now: self._on_timeout(connection))
        return connection

    def _can_accept(self) -> bool:
        """Return whether another connection may be accepted; at the limit, pause the acceptor."""
        if len(self._connections) < MAX_CONNECTIONS:
            return True
        if self._acceptor is not None:
            self._acceptor.resume_later()
        return False

    def _on_timeout(self, connection: FramedConnection) -> None:
        if connection in self._connections:
            connection.end("timed out")

    def _on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        if isinstance(message, GossipSubscription):
            self._connections.discard(connection)
            if not self.accept_peer(connection, message):
                connection.end("not a gossip peer")
        elif isinstance(message, Probe):
            connection.send(number, ProbeReply(self.identity.name, self.identity.incarnation))
