"""A replica's connections to the other replicas: one a pair, dialled by the one whose name comes first."""

from typing import Any, Protocol

from cedarmill.cluster.messages import REPLICA_ROLE, Hello
from cedarmill.cluster.raft.messages import TimeoutNow
from cedarmill.cluster.replica import Replica
from cedarmill.net.config import Address
from cedarmill.net.framing import HELLO_TIMEOUT_US, SILENCE_TIMEOUT_US, FramedConnection
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.values import ReplicaOptions

DIAL_US = 200_000  # between two tries to reach another replica


class PeerOwner(Protocol):
    """The replica's process, as its connections to others see it."""

    driver: EventLoopDriver
    options: ReplicaOptions
    store: ReplicaStore
    replica: Replica

    def on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        """Take a frame."""

    def on_end(self, connection: FramedConnection, reason: str) -> None:
        """Hear that a connection has ended."""


class PeerConnections:
    """Connections to other replicas by name, once they have said hello, and those being opened."""

    def __init__(self, owner: PeerOwner) -> None:
        self.owner = owner
        self.connected: dict[str, FramedConnection] = {}
        self.dialling: dict[str, FramedConnection] = {}

    # Opening.

    def dial_missing(self) -> None:
        """Dial those that this replica has to dial, and has no connection to."""
        own_name = self.owner.options.name
        for name, address in self._addresses().items():
            if own_name < name and name not in self.connected and name not in self.dialling:
                connection = FramedConnection(
                    self.owner.driver, self.owner.on_message, self.owner.on_end, self._greet
                )
                connection.name = name
                self.dialling[name] = connection
                connection.dial(address)

    def _addresses(self) -> dict[str, Address]:
        """As this replica's own file names them, else as the cluster does."""
        found = {name: Address.parse(text) for name, text in self.owner.options.peers.items()}
        for name, peer in self.owner.replica.raft.config.items():
            if name not in found and peer.address:
                found[name] = Address.parse(peer.address)
        found.pop(self.owner.options.name, None)
        return found

    def _greet(self, connection: FramedConnection) -> None:
        identity, options = self.owner.store.identity, self.owner.options
        hello = Hello(options.cluster, options.name, REPLICA_ROLE, identity.disk, identity.start_count)
        connection.send(0, hello)

    def refusal(self, hello: Hello) -> str:
        """Why the connection of a replica is not taken; empty: it is. Raises OSError where the disk fails."""
        if hello.name == self.owner.options.name:
            return f"{hello.name} is this keeper's own name"
        peer = self.owner.replica.raft.config.get(hello.name)
        if peer is not None and peer.disk and peer.disk != hello.disk:
            return (
                f"{hello.name} has the disk {hello.disk}, the cluster knows {peer.disk}: replace the keeper"
            )
        if not self.owner.store.record_peer_start(hello.disk, hello.boot):
            return f"{hello.name} has an old copy of its disk: replace the keeper"
        return ""

    def accept(self, connection: FramedConnection, name: str) -> None:
        """The other side has said hello; a connection of that pair that stood before is replaced."""
        dialled_here = connection.name != ""
        connection.name = name
        before = self.connected.pop(name, None)
        if before is not None and before is not connection:
            before.end("replaced by a newer connection")
        self.dialling.pop(name, None)
        self.connected[name] = connection
        if not dialled_here:
            self._greet(connection)

    # In use.

    def send(self, target: str, message: object) -> None:
        """Send to another replica, if it is connected."""
        connection = self.connected.get(target)
        if connection is not None:
            connection.send(0, message)

    def is_peer(self, connection: FramedConnection) -> bool:
        """Whether the other side has said hello as a replica."""
        return self.connected.get(connection.name) is connection

    def let_another_lead(self) -> None:
        """Ask the follower that is furthest to stand for election; that promises nothing, and needs no disk.

        What this leader could not sync was sent to nobody, so a transfer would wait for it in vain.
        """
        raft = self.owner.replica.raft
        followers = [name for name in raft.voters if name in self.connected and name in raft.progress]
        if self.owner.replica.is_leader and followers:
            target = max(followers, key=lambda name: raft.progress[name].match_index)
            self.send(target, TimeoutNow(raft.term))

    # Ending.

    def end_silent(self, now: int) -> None:
        """End what says nothing: heartbeats come ten times a second, and a hello comes first."""
        for connection in list(self.connected.values()):
            if now - connection.received_at > SILENCE_TIMEOUT_US:
                connection.end("silent")
        for connection in list(self.dialling.values()):  # accepted there, and never greeted: dialled anew
            if now - connection.received_at > HELLO_TIMEOUT_US:
                connection.end("no hello")

    def end_all(self, reason: str) -> None:
        """End all that are open; those being opened go on."""
        for connection in list(self.connected.values()):
            connection.end(reason)

    def forget(self, connection: FramedConnection) -> None:
        """A connection has ended."""
        for connections in (self.connected, self.dialling):
            if connections.get(connection.name) is connection:
                del connections[connection.name]
