"""The connections of a replica to the other replicas.

Each pair of replicas has one connection, dialled by the replica whose name sorts first.
"""

from typing import Any, Protocol

from cedarmill.cluster.messages import REPLICA_ROLE, Hello
from cedarmill.cluster.raft.messages import TimeoutNow
from cedarmill.cluster.replica import Replica
from cedarmill.net.config import Address
from cedarmill.net.framing import HELLO_TIMEOUT_US, SILENCE_TIMEOUT_US, FramedConnection
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.values import ReplicaOptions

DIAL_INTERVAL_US = 200_000  # between attempts to reach the missing replicas


class PeerOwner(Protocol):
    """The interface of the replica process to its peer connections."""

    driver: EventLoopDriver
    options: ReplicaOptions
    store: ReplicaStore
    replica: Replica

    def on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        """Handle a received message."""

    def on_end(self, connection: FramedConnection, reason: str) -> None:
        """Handle the end of a connection."""


class PeerConnections:
    """Holds the connections to other replicas by name.

    `connected` has the connections with a received hello, `dialling` the outgoing ones before that.
    """

    def __init__(self, owner: PeerOwner) -> None:
        self.owner = owner
        self.connected: dict[str, FramedConnection] = {}
        self.dialling: dict[str, FramedConnection] = {}

    # Opening connections.

    def dial_missing(self) -> None:
        """Dial the disconnected replicas that this replica is responsible for dialling."""
        own_name = self.owner.options.name
        for name, address in self._peer_addresses().items():
            if own_name < name and name not in self.connected and name not in self.dialling:
                connection = FramedConnection(
                    self.owner.driver, self.owner.on_message, self.owner.on_end, self._send_hello
                )
                connection.name = name
                self.dialling[name] = connection
                connection.dial(address)

    def _peer_addresses(self) -> dict[str, Address]:
        """Return the addresses of the other replicas; local settings override the cluster's configuration."""
        addresses = {name: Address.parse(text) for name, text in self.owner.options.peers.items()}
        for name, peer in self.owner.replica.raft.config.items():
            if name not in addresses and peer.address:
                addresses[name] = Address.parse(peer.address)
        addresses.pop(self.owner.options.name, None)
        return addresses

    def _send_hello(self, connection: FramedConnection) -> None:
        identity, options = self.owner.store.identity, self.owner.options
        hello = Hello(options.cluster, options.name, REPLICA_ROLE, identity.disk, identity.start_count)
        connection.send(0, hello)

    def rejection_reason(self, hello: Hello) -> str:
        """Return why a replica must be rejected, or an empty string. Raises OSError if the disk fails."""
        if hello.name == self.owner.options.name:
            return f"{hello.name} is the name of this replica itself"
        peer = self.owner.replica.raft.config.get(hello.name)
        if peer is not None and peer.disk and peer.disk != hello.disk:
            return f"{hello.name} has the disk {hello.disk}, expected {peer.disk}: replace the keeper"
        if not self.owner.store.record_peer_start(hello.disk, hello.boot):
            return f"{hello.name} has an old copy of its disk: replace the keeper"
        return ""

    def accept(self, connection: FramedConnection, name: str) -> None:
        """Register a connection after its hello, in place of an earlier connection to the same replica."""
        was_dialled_here = connection.name != ""
        connection.name = name
        previous = self.connected.pop(name, None)
        if previous is not None and previous is not connection:
            previous.end("replaced by a newer connection")
        self.dialling.pop(name, None)
        self.connected[name] = connection
        if not was_dialled_here:
            self._send_hello(connection)

    # Messages.

    def send(self, target: str, message: object) -> None:
        """Send a message to another replica, or drop it if that replica is not connected."""
        connection = self.connected.get(target)
        if connection is not None:
            connection.send(0, message)

    def is_peer(self, connection: FramedConnection) -> bool:
        """Return whether a connection is registered as that of a replica."""
        return self.connected.get(connection.name) is connection

    def ask_follower_to_lead(self) -> None:
        """As the leader, ask the connected follower with the longest replicated log to start an election.

        No disk is needed for this request. A regular leadership transfer would wait for entries that this
        leader could not sync, and so has not sent.
        """
        raft = self.owner.replica.raft
        followers = [name for name in raft.voters if name in self.connected and name in raft.progress]
        if self.owner.replica.is_leader and followers:
            target = max(followers, key=lambda name: raft.progress[name].match_index)
            self.send(target, TimeoutNow(raft.term))

    # Closing connections.

    def end_inactive(self, now: int) -> None:
        """End the connections on which no data arrived in time; heartbeats arrive ten times a second."""
        for connection in list(self.connected.values()):
            if now - connection.received_at > SILENCE_TIMEOUT_US:
                connection.end("no data received in time")
        # A dialled replica that accepts the connection without sending a hello is dialled again.
        for connection in list(self.dialling.values()):
            if now - connection.received_at > HELLO_TIMEOUT_US:
                connection.end("no hello received in time")

    def end_connected(self, reason: str) -> None:
        """End all registered connections; connections being dialled are kept."""
        for connection in list(self.connected.values()):
            connection.end(reason)

    def remove(self, connection: FramedConnection) -> None:
        """Remove a connection that has ended."""
        for connections in (self.connected, self.dialling):
            if connections.get(connection.name) is connection:
                del connections[connection.name]
