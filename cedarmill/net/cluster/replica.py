"""The process of one replica: its consensus core, its disk and its connections.

Client traffic does not pass through a replica. After a disk failure the process acknowledges nothing:
messages and replies that depend on unsynced data are not sent, a leader asks a follower to lead, and requests
are rejected with the reason. `replica_disk.py` reopens the store.
"""

import asyncio
import signal
import sys
from typing import Any

import uvloop

from cedarmill import log
from cedarmill.cluster.hosting import ReplicaHost
from cedarmill.cluster.messages import (
    REPLICA_ROLE,
    ClientRequest,
    ConnectionRejected,
    Hello,
    Probe,
    ProbeReply,
    Unavailable,
)
from cedarmill.cluster.replica import Actions, Replica
from cedarmill.core.timers import SingleTimer, Timers
from cedarmill.log import log_event
from cedarmill.net.cluster.replica_disk import ReplicaDisk, log_recovery
from cedarmill.net.cluster.replica_peers import DIAL_INTERVAL_US, PeerConnections
from cedarmill.net.cluster.replica_port import ReplicaPort
from cedarmill.net.cluster.replica_requests import RequestConnections
from cedarmill.net.config import Address
from cedarmill.net.framing import HELLO_TIMEOUT_US, FramedConnection
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver, guarded_callback
from cedarmill.store.errors import StoreError
from cedarmill.store.files import Directory
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.values import ReplicaOptions

LISTEN_BACKLOG = 1024  # connections
ACCEPT_BATCH = 32  # connections accepted in one turn of the event loop
# A core that is due again immediately must not keep the event loop busy.
MIN_TIMER_DELAY_US = 1000
# The process exits after this time, even if no other replica has become the leader.
LEADERSHIP_TRANSFER_TIMEOUT_US = 300_000
DISK_FAILURE_REASON = "the disk of this replica has failed: retry at another replica with the same request id"
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ReplicaProcess:
    """Runs one replica on an event loop and owns its connections.

    `store`, `replica` and `host` are set when the store is opened (`has_store`), and replaced when the store
    is reopened after a failure.
    """

    store: ReplicaStore
    replica: Replica
    host: ReplicaHost

    def __init__(self, options: ReplicaOptions, directory: Directory | None = None) -> None:
        """Open the store, or schedule a retry if the disk fails temporarily.

        Raises StoreError or OSError if no retry can succeed.
        """
        self.options = options
        self.loop = uvloop.new_event_loop()
        self.loop.set_exception_handler(_log_loop_error)
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        self.peers = PeerConnections(self)
        self.requests = RequestConnections()
        self.replica_port = ReplicaPort(self.peers, self.requests)
        self.has_store = False
        self._is_serving = False
        self._is_flush_scheduled = False
        self._timer = SingleTimer(self.timers)
        self.disk = ReplicaDisk(
            self.driver, options, directory, self._on_store_opened, self._on_disk_failed, self.loop.stop
        )
        self.disk.start()

    # Disk.

    def _on_store_opened(self, store: ReplicaStore) -> None:
        """Create the replica from the stored state, as after a restart of the process."""
        self.store = self.replica_port.store = store
        seed = int.from_bytes(store.identity.disk.encode()[-6:], "big") + store.identity.start_count
        self.replica = Replica(self.options.name, store.persistent_state, self.driver.now(), seed)
        self.host = ReplicaHost(self.replica, self.replica_port)
        self.has_store = True
        # Messages in transit are addressed to the replaced replica object.
        self.peers.end_connected("the replica has reopened its store")
        if self._is_serving:
            self._start_replica()

    def _start_replica(self) -> None:
        log_recovery(self.store)
        self._schedule_timer()

    def _on_disk_failed(self) -> None:
        """Stop leading, and reject all open requests."""
        self._timer.cancel()
        if self.has_store:
            self.host.pending.clear()
            self.peers.ask_follower_to_lead()
        self.requests.reply_to_all(Unavailable(DISK_FAILURE_REASON))

    # Event loop.

    def queue_actions(self, actions: Actions) -> None:
        """Queue the actions that an event caused, to be carried out together at the end of this loop turn."""
        self.host.queue_actions(actions)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.loop.call_soon(self.flush)

    @guarded_callback
    def flush(self) -> None:
        """Carry out the queued actions: write and sync first, then send messages and replies."""
        self._is_flush_scheduled = False
        if self.disk.is_failing:
            return
        try:
            self.host.flush(self.driver.now())
            if not self.replica.raft.needs_catch_up:
                self.store.complete_catch_up()
        except OSError as error:  # from the disk: `send`, `reply` and `log_action` raise no OSError
            self.disk.handle_failure(error)
            return
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        self._timer.start(max(self.replica.due, self.driver.now() + MIN_TIMER_DELAY_US), self._on_timer)

    def _on_timer(self, now: int) -> None:
        if self.disk.is_failing:
            return
        self.queue_actions(self.replica.on_time(now))
        self.peers.end_inactive(now)

    def _dial_periodically(self, now: int) -> None:
        self.timers.add(now + DIAL_INTERVAL_US, self._dial_periodically)
        if not self.disk.is_failing:
            self.peers.dial_missing()

    def abort(self) -> None:
        """Do nothing after an exception in a callback; `guarded_callback` requires this method."""

    # Connections.

    def _create_connection(self) -> FramedConnection:
        """Create the protocol of an accepted connection, which ends if no hello arrives in time."""
        connection = FramedConnection(self.driver, self.on_message, self.on_end)
        self.timers.add(self.driver.now() + HELLO_TIMEOUT_US, lambda now: self._end_without_hello(connection))
        return connection

    @staticmethod
    def _end_without_hello(connection: FramedConnection) -> None:
        if not connection.name:
            connection.end("no hello received in time")

    def on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        """Handle a message: a hello first, then the messages that the role of the other side allows."""
        if isinstance(message, Hello):
            self._on_hello(connection, message)
        elif isinstance(message, ConnectionRejected):
            self.replica_port.log_alarm(f"connection rejected by {connection.name}: {message.reason}")
            connection.end(message.reason)
        elif connection in self.requests.connections:
            self._on_request(connection, number, message)
        elif not self.peers.is_peer(connection):
            connection.end("the first message is not a hello")
        elif not self.disk.is_failing:
            self.queue_actions(self.replica.on_message(self.driver.now(), connection.name, message))

    def _on_hello(self, connection: FramedConnection, hello: Hello) -> None:
        is_replica = hello.role == REPLICA_ROLE
        if is_replica and self.disk.is_failing:
            connection.end("the disk has failed")
            return
        try:
            reason = self._rejection_reason(hello)
        except OSError as error:  # from storing the start count of the other replica
            self.disk.handle_failure(error)
            connection.end("the disk has failed")
            return
        if reason:
            self.replica_port.log_alarm(f"connection from {hello.name} rejected: {reason}")
            connection.reject(reason)
        elif is_replica:
            self.peers.accept(connection, hello.name)
        else:
            self.requests.accept(connection, hello.name)

    def _rejection_reason(self, hello: Hello) -> str:
        """Return why a connection must be rejected, or an empty string. Raises OSError if the disk fails."""
        if hello.cluster != self.options.cluster:
            return f"this is cluster {self.options.cluster}, not {hello.cluster}"
        return (
            self.peers.rejection_reason(hello)
            if hello.role == REPLICA_ROLE
            else self.requests.rejection_reason()
        )

    def _on_request(self, connection: FramedConnection, number: int, message: Any) -> None:
        if not isinstance(message, ClientRequest):
            connection.end("a message from a client is not a request")
        elif not self.disk.is_failing:
            token = self.requests.register(connection, number)
            self.queue_actions(self.replica.on_request(self.driver.now(), token, message))
        elif isinstance(message, Probe):
            connection.send(number, ProbeReply(self.options.name, ""))
        else:
            connection.send(number, Unavailable(DISK_FAILURE_REASON))

    def on_end(self, connection: FramedConnection, reason: str) -> None:
        """Remove a connection that has ended."""
        self.peers.remove(connection)
        self.requests.remove(connection)

    # Start and stop.

    def run(self) -> int:
        """Serve until a signal arrives, and return the exit code.

        Raises OSError if the listen address is not available, and StoreError or OSError if the first opening
        of the store has failed permanently.
        """
        for signal_number in SIGNALS:
            self.loop.add_signal_handler(signal_number, self._on_signal)
        self._listen()
        # Signals are unblocked when the loop can handle them.
        self.loop.call_soon(signal.pthread_sigmask, signal.SIG_UNBLOCK, SIGNALS)
        self.loop.run_forever()
        if self.disk.permanent_failure is not None:
            raise self.disk.permanent_failure
        self.disk.close()
        log_event("ended", name=self.options.name)
        return 0

    def _listen(self) -> None:
        """Accept connections, and start the replica if its disk works. Raises OSError."""
        address = Address.parse(self.options.listen)
        sock = listening_socket(address, LISTEN_BACKLOG)
        acceptor = Acceptor(
            self.driver, sock, self._create_connection, listener="replica", batch=ACCEPT_BATCH
        )
        acceptor.resume()
        self._is_serving = True
        if not self.disk.is_failing:
            self._start_replica()
        self._dial_periodically(self.driver.now())
        self.driver.run_due_timers()
        name, cluster = self.options.name, self.options.cluster
        log_event("replica-serves", name=name, cluster=cluster, host=address.host, port=acceptor.port)

    def _on_signal(self) -> None:
        """Transfer the leadership before the loop stops, so that the cluster is not without a leader."""
        if not self.disk.is_failing and self.replica.is_leader and len(self.replica.raft.voters) > 1:
            self.queue_actions(self.replica.transfer_leadership(self.driver.now()))
            self.timers.add(self.driver.now() + LEADERSHIP_TRANSFER_TIMEOUT_US, lambda now: self.loop.stop())
            self.driver.run_due_timers()
        else:
            self.loop.stop()


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log_event("loop", context.get("exception"), what=context.get("message"))


def main(options: ReplicaOptions, log_format: str = "text", directory: Directory | None = None) -> int:
    """Run a replica, and return the exit code: 0 after a signal, 2 if the replica cannot start.

    The process survives temporary disk failures, during its start and later.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until the loop handles them
    log.configure(log_format)
    try:
        return ReplicaProcess(options, directory).run()
    except (StoreError, OSError) as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return 2
