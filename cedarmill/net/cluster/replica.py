"""A replica's process: the core on its disk and its connections. It carries no requests of clients.

Where the disk fails, the process promises nothing more: what was not synced is neither sent nor answered,
another replica is asked to lead, and requests are refused with the reason (`replica_disk.py`).
"""

import asyncio
import signal
import sys
from typing import Any

import uvloop

from cedarmill import log
from cedarmill.cluster.hosting import Host
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
from cedarmill.core.timers import Timer, Timers
from cedarmill.log import log_event
from cedarmill.net.cluster.replica_disk import ReplicaDisk, log_recovery
from cedarmill.net.cluster.replica_peers import DIAL_US, PeerConnections
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

BACKLOG = 1024  # connections that wait to be accepted
ACCEPT_BATCH = 32  # connections accepted in one turn of the loop
MIN_TIMER_US = 1000  # to the next call of the core, which may be due at once again
TRANSFER_US = 300_000  # for another replica to take the lead before this process ends
DISK_REFUSAL = "this replica's disk has failed: ask another one, with the same id"
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ReplicaProcess:
    """One replica on one loop, and the owner of its connections.

    `store`, `replica` and `host` are there once the store was opened (`opened`), and anew after each failure.
    """

    store: ReplicaStore
    replica: Replica
    host: Host

    def __init__(self, options: ReplicaOptions, files: Directory | None = None) -> None:
        """Open the store, or leave that to the loop where the disk fails; raises StoreError or OSError."""
        self.options = options
        self.loop = uvloop.new_event_loop()
        self.loop.set_exception_handler(_log_loop_error)
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        self.peers = PeerConnections(self)
        self.requests = RequestConnections()
        self.host_port = ReplicaPort(self.peers, self.requests)
        self.opened = False
        self._serving = False
        self._flush_scheduled = False
        self._timer: Timer | None = None
        self.disk = ReplicaDisk(
            self.driver, options, files, self._on_opened, self._on_disk_failed, self.loop.stop
        )
        self.disk.start()

    # The disk.

    def _on_opened(self, store: ReplicaStore) -> None:
        """Start the core from what the store holds, as after a restart."""
        self.store = self.host_port.store = store
        seed = int.from_bytes(store.identity.disk.encode()[-6:], "big") + store.identity.start_count
        self.replica = Replica(self.options.name, store.persistent_state, self.driver.now(), seed)
        self.host = Host(self.replica, self.host_port)
        self.opened = True
        self.peers.end_all("started anew")  # what the others sent was for the replica before
        if self._serving:
            self._begin()

    def _begin(self) -> None:
        log_recovery(self.store)
        self._arm()

    def _on_disk_failed(self) -> None:
        """Nothing more may be promised: stop leading, refuse what waits."""
        self.timers.cancel(self._timer)
        if self.opened:
            self.host.pending.clear()
            self.peers.let_another_lead()
        self.requests.answer_all(Unavailable(DISK_REFUSAL))

    # Turns of the loop.

    def take(self, actions: Actions) -> None:
        """What follows of an event; carried out once for all that came in this turn of the loop."""
        self.host.take(actions)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.loop.call_soon(self.flush)

    @guarded_callback
    def flush(self) -> None:
        """Carry out what this turn has come to: store, sync, then send and answer."""
        self._flush_scheduled = False
        if self.disk.failing:
            return
        try:
            self.host.flush(self.driver.now())
            if not self.replica.raft.needs_catch_up:
                self.store.end_doubt()
        except OSError as error:  # of the disk: `send`, `reply` and `tell` raise none
            self.disk.fail(error)
            return
        self._arm()

    def _arm(self) -> None:
        self.timers.cancel(self._timer)
        due = max(self.replica.due, self.driver.now() + MIN_TIMER_US)
        self._timer = self.timers.add(due, self._on_time)

    def _on_time(self, now: int) -> None:
        if self.disk.failing:
            return
        self.take(self.replica.on_time(now))
        self.peers.end_silent(now)

    def _dial(self, now: int) -> None:
        self.timers.add(now + DIAL_US, self._dial)
        if not self.disk.failing:
            self.peers.dial_missing()

    def abort(self) -> None:
        """Nothing to end: `guarded_callback` asks for it."""

    # Connections.

    def _incoming(self) -> FramedConnection:
        """The connection of one who has dialled this process."""
        connection = FramedConnection(self.driver, self.on_message, self.on_end)
        self.timers.add(self.driver.now() + HELLO_TIMEOUT_US, lambda now: self._end_unnamed(connection))
        return connection

    @staticmethod
    def _end_unnamed(connection: FramedConnection) -> None:
        if not connection.name:
            connection.end("no hello")

    def on_message(self, connection: FramedConnection, number: int, message: Any) -> None:
        """Take a frame: a hello first, then what the other side's role allows."""
        if isinstance(message, Hello):
            self._on_hello(connection, message)
        elif isinstance(message, ConnectionRejected):
            self.host_port.alarm(f"refused by {connection.name}: {message.reason}")
            connection.end(message.reason)
        elif connection in self.requests.connections:
            self._on_request(connection, number, message)
        elif not self.peers.is_peer(connection):
            connection.end("no hello came first")
        elif not self.disk.failing:
            self.take(self.replica.on_message(self.driver.now(), connection.name, message))

    def _on_hello(self, connection: FramedConnection, hello: Hello) -> None:
        from_replica = hello.role == REPLICA_ROLE
        if from_replica and self.disk.failing:
            connection.end("the disk has failed")
            return
        try:
            reason = self._refusal(hello)
        except OSError as error:  # how often the other's disk was started on could not be kept
            self.disk.fail(error)
            connection.end("the disk has failed")
            return
        if reason:
            self.host_port.alarm(f"a connection of {hello.name} is refused: {reason}")
            connection.reject(reason)
        elif from_replica:
            self.peers.accept(connection, hello.name)
        else:
            self.requests.accept(connection, hello.name)

    def _refusal(self, hello: Hello) -> str:
        """Why a connection is not taken; empty: it is. Raises OSError."""
        if hello.cluster != self.options.cluster:
            return f"this is cluster {self.options.cluster}, not {hello.cluster}"
        return self.peers.refusal(hello) if hello.role == REPLICA_ROLE else self.requests.refusal()

    def _on_request(self, connection: FramedConnection, number: int, message: Any) -> None:
        if not isinstance(message, ClientRequest):
            connection.end("not a request")
        elif not self.disk.failing:
            token = self.requests.open(connection, number)
            self.take(self.replica.on_request(self.driver.now(), token, message))
        elif isinstance(message, Probe):
            connection.send(number, ProbeReply(self.options.name, ""))
        else:
            connection.send(number, Unavailable(DISK_REFUSAL))

    def on_end(self, connection: FramedConnection, reason: str) -> None:
        """Forget a connection that has ended."""
        self.peers.forget(connection)
        self.requests.forget(connection)

    # From start to end.

    def run(self) -> int:
        """Serve until a signal; the exit code.

        Raises OSError where the address cannot be had, and what ends a start on a disk that failed at first.
        """
        for number in SIGNALS:
            self.loop.add_signal_handler(number, self._terminate)
        self._listen()
        self.loop.call_soon(signal.pthread_sigmask, signal.SIG_UNBLOCK, SIGNALS)  # it hears of them only now
        self.loop.run_forever()
        if self.disk.final_failure is not None:
            raise self.disk.final_failure
        self.disk.close()
        log_event("ended", name=self.options.name)
        return 0

    def _listen(self) -> None:
        """Take connections, and begin where the disk works; raises OSError."""
        address = Address.parse(self.options.listen)
        sock = listening_socket(address, BACKLOG)
        acceptor = Acceptor(self.driver, sock, self._incoming, listener="replica", batch=ACCEPT_BATCH)
        acceptor.resume()
        self._serving = True
        if not self.disk.failing:
            self._begin()
        self._dial(self.driver.now())
        self.driver.run_due_timers()
        name, cluster = self.options.name, self.options.cluster
        log_event("replica-serves", name=name, cluster=cluster, host=address.host, port=acceptor.port)

    def _terminate(self) -> None:
        """Hand the lead over first, so that nobody has to miss a leader."""
        if not self.disk.failing and self.replica.is_leader and len(self.replica.raft.voters) > 1:
            self.take(self.replica.transfer_leadership(self.driver.now()))
            self.timers.add(self.driver.now() + TRANSFER_US, lambda now: self.loop.stop())
            self.driver.run_due_timers()
        else:
            self.loop.stop()


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log_event("loop", context.get("exception"), what=context.get("message"))


def main(options: ReplicaOptions, log_format: str = "text", files: Directory | None = None) -> int:
    """Run a replica; the exit code: 0 ended by a signal, 2 it could not start.

    A disk that fails for a while does not end it, neither while it starts nor while it runs.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until the loop runs
    log.configure(log_format)
    try:
        return ReplicaProcess(options, files).run()
    except (StoreError, OSError) as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return 2
