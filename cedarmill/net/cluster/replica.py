"""A keeper's process: the core on its disk and its connections. It carries no reqs.

Where the disk fails, the process promises nothing more: what was not synced is neither sent nor answered,
another replica is asked to lead, and requests are refused with the reason. The store is then opened anew
till that succeeds, and the replica starts from what was read, as after a restart.
"""

import contextlib
import dataclasses
import signal
import sys

import uvloop

from cedarmill import log
from cedarmill.cluster import budget_grants
from cedarmill.cluster.budget_grants import Budget
from cedarmill.cluster.hosting import Host
from cedarmill.cluster.messages import (
    ClientRequest,
    ConnectionRejected,
    Hello,
    Probe,
    ProbeReply,
    Unavailable,
)
from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote, RaiseAlarm, RoleChanged
from cedarmill.cluster.raft.messages import Entry, Peer, Snapshot, TimeoutNow
from cedarmill.cluster.replica import Replica
from cedarmill.cluster.session_tracker import LEASE_US
from cedarmill.cluster.state import ClusterState, Limit, decode_snapshot, encode_snapshot
from cedarmill.cluster.traffic_control import intake
from cedarmill.cluster.traffic_control.errors import InvalidLayoutError
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.core.timers import Timers
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.framing import HELLO_US, SILENT_US, FramedConnection
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver, callback
from cedarmill.store.errors import StoreError, may_pass
from cedarmill.store.files import Directory
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.store.snapshots import decode_backup
from cedarmill.values import ReplicaOptions

DIAL_US = 200_000  # between two tries to reach another keeper
SESSIONS = 4096  # connections of members and operators: nodes, stewards, and a few operators
BACKLOG = 1024
ACCEPTS = 32  # in one turn
FIRST = 1  # index and term of what a cluster begins with
RETRY_FIRST_US = 100_000  # from a failure of the disk to the first try to open it anew
RETRY_MOST_US = 2_000_000  # between two tries; each wait is twice the one before
DISK_REFUSAL = "this replica's disk has failed: ask another one, with the same id"
SIGNALS = (signal.SIGTERM, signal.SIGINT)


def disk_name(cluster: str, name: str) -> str:
    """Of the disks with which a cluster begins; all others are named by chance."""
    return f"{cluster}/{name}/1"


def first_snapshot(options: ReplicaOptions, text: bytes = b"") -> Snapshot:
    """What all keepers of a new cluster begin with, to the last byte; or of one restored from a backup.

    A restored one has a generation more, and counts what was granted as out till it is proved back. Raises
    StoreError.
    """
    config = {
        name: Peer(address, True, disk_name(options.cluster, name))
        for name, address in sorted(options.peers.items())
    }
    if not text:
        limits = [Limit(*dataclasses.astuple(limit)) for limit in options.limits]
        world = ClusterState(
            options.cluster,
            limits=limits,
            slow_start_us=options.slow_start_us,
            slow_start_share=options.slow_start_share,
        )
        budget_grants.set_budgets(world, [Budget(*one) for one in options.budgets])
        if options.regions:
            regions = {name: list(zones) for name, zones in sorted(options.regions.items())}
            layout = ZoneLayout(
                regions,
                dict(sorted(options.costs.items())),
                options.safe_share,
                options.sheds_load,
                options.gossip,
            )
            with contextlib.suppress(InvalidLayoutError):  # no zones are planned then
                intake.set_layout(world, layout)
        return Snapshot(FIRST, FIRST, config, encode_snapshot(world))
    before = decode_backup(text)
    world = decode_snapshot(before.data)
    world.generation, world.cluster = world.generation + 1, options.cluster
    for permit in world.permits.values():
        if permit.state == "granted":
            permit.state = "lost"
    world.index, world.orders_epoch = before.index, world.generation << 40 | before.index
    world.budget_grants = {}
    world.budgets_dealt_from = world.clock + LEASE_US  # what was leased after the backup may still hold
    world.note("restored from a backup: what was granted counts as out till it is back")
    return Snapshot(before.index, max(before.term, FIRST), config, encode_snapshot(world))


class ReplicaProcess:
    """One keeper on one loop."""

    def __init__(self, options: ReplicaOptions, files: Directory | None = None) -> None:
        """Open the store, or leave that to the loop where the disk fails; raises StoreError or OSError."""
        self.options = options
        self.loop = uvloop.new_event_loop()
        self.loop.set_exception_handler(self._exception)
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        self.files = files
        self.store: ReplicaStore | None = None  # none before the first opening
        self.keeper: Replica | None = None
        self.host: Host | None = None
        self.recovering = False  # the disk has failed, and was not opened anew yet
        self.failed_at = 0
        self.retry_us = RETRY_FIRST_US
        self.failure: StoreError | OSError | None = None  # ends a start that cannot succeed
        self.wires: dict[str, FramedConnection] = {}  # to other keepers, one each
        self.dialling: dict[str, FramedConnection] = {}
        self.askers: dict[FramedConnection, str] = {}
        self.tokens: dict[int, tuple[FramedConnection, int]] = {}
        self.port = 0
        self.alarms: set[str] = set()
        self._count = 0
        self._soon = False
        self._timer = None
        self._words = {Hello: self._hello, ConnectionRejected: self._refused}
        try:
            self._open_store()
        except OSError as error:
            if not may_pass(error):
                raise
            self._disk_failed(error)

    def _open_store(self) -> None:
        """Open the store and start from what it holds; raises StoreError or OSError."""
        acknowledged = None if self.store is None else self.store.acknowledged
        if self.files is None:
            self.files = Directory(self.options.data)
        self.store = ReplicaStore(
            self.files, self.options.cluster, self.options.name, acknowledged=acknowledged
        )
        self._start_replica()

    def _start_replica(self) -> None:
        """The core as the store tells it."""
        identity = self.store.identity
        seed = int.from_bytes(identity.disk.encode()[-6:], "big") + identity.start_count
        self.keeper = Replica(self.options.name, self.store.persistent_state, self.driver.now(), seed)
        self.host = Host(self.keeper, self)

    # The port of the host.

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        self.store.append(action)

    def sync(self) -> bool:
        return self.store.sync()

    def put_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.store.write_snapshot(snapshot, entries)

    def send(self, target: str, message: object) -> None:
        wire = self.wires.get(target)
        if wire is not None:
            wire.send(0, message)

    def reply(self, token: int, answer: object) -> None:
        found = self.tokens.pop(token, None)
        if found is not None:
            wire, number = found
            wire.send(number, answer)

    def tell(self, action: RoleChanged | RaiseAlarm) -> None:
        if isinstance(action, RoleChanged):
            part = "leader" if action.leads else "follower"
            log_event("replica-role", role=part, leader=action.leader or "nobody", term=action.term)
        else:
            self._alarm(action.text)

    def _alarm(self, text: str) -> None:
        if text not in self.alarms:
            self.alarms.add(text)
            log_event("replica-alarm", reason=text)

    # Turns.

    def _take(self, actions: list) -> None:
        """What follows of an event; carried out once for all that came in this turn of the loop."""
        self.host.take(actions)
        if not self._soon:
            self._soon = True
            self.loop.call_soon(self._flush)

    @callback
    def _flush(self) -> None:
        self._soon = False
        if self.recovering:
            return
        try:
            self.host.flush(self.driver.now())
            if not self.keeper.raft.needs_catch_up:
                self.store.end_doubt()
        except OSError as error:  # of the disk: `send`, `reply` and `tell` raise none
            self._disk_failed(error)
            return
        self._arm()

    def _disk_failed(self, error: OSError) -> None:
        """Nothing more may be promised till the store was opened anew: stop leading, refuse what waits."""
        if self.recovering:
            return
        log_event("replica-disk-failed", reason=error.strerror or error)
        self.recovering, self.failed_at, self.retry_us = True, self.driver.now(), RETRY_FIRST_US
        if self.host is not None:
            self.host.pending.clear()
            self._let_another_lead()
        self.timers.cancel(self._timer)
        waiting, self.tokens = self.tokens, {}
        for wire, number in waiting.values():
            wire.send(number, Unavailable(DISK_REFUSAL))
        self.timers.add(self.failed_at + self.retry_us, self._recover)

    def _let_another_lead(self) -> None:
        """Ask the follower that is furthest to stand for election; that promises nothing, and needs no disk.

        What this leader could not sync was sent to nobody, so `hand_over` would wait for it in vain.
        """
        agree = self.keeper.raft
        followers = [name for name in agree.voters if name in self.wires and name in agree.progress]
        if self.keeper.is_leader and followers:
            target = max(followers, key=lambda name: agree.progress[name].match_index)
            self.send(target, TimeoutNow(agree.term))

    def _recover(self, now: int) -> None:
        """Open the store anew and start from what it holds, as after a restart; else try again later."""
        try:
            if self.store is not None:
                self.store.close()
            self._open_store()
        except (StoreError, OSError) as error:
            if self.store is None and not may_pass(error):
                self.failure = error
                self.loop.stop()
                return
            log_event("replica-disk-retry", reason=getattr(error, "strerror", None) or error)
            self.retry_us = min(2 * self.retry_us, RETRY_MOST_US)
            self.timers.add(now + self.retry_us, self._recover)
            return
        self.recovering = False
        for wire in list(self.wires.values()):
            wire.end("started anew")  # what the others sent was for the replica before
        log_event("replica-disk-recovered", seconds=(self.driver.now() - self.failed_at) / 1e6)
        self._tell_store()
        self._arm()

    def _arm(self) -> None:
        self.timers.cancel(self._timer)
        self._timer = self.timers.add(max(self.keeper.due, self.driver.now() + 1000), self._passed)

    def _passed(self, now: int) -> None:
        if self.recovering:
            return
        self._take(self.keeper.on_time(now))
        for wire in list(self.wires.values()):
            if now - wire.last > SILENT_US:
                wire.end("silent")
        for wire in list(self.dialling.values()):  # accepted there, and never greeted: dialled anew
            if now - wire.last > HELLO_US:
                wire.end("no hello")

    # Other keepers.

    def _dial_again(self, now: int) -> None:
        """Of a pair, the one whose name comes first dials."""
        self.timers.add(now + DIAL_US, self._dial_again)
        if self.recovering:
            return
        for name, address in self._addresses().items():
            if self.options.name < name and name not in self.wires and name not in self.dialling:
                wire = FramedConnection(self.driver, self._heard, self._ended, self._greet)
                wire.name = name
                self.dialling[name] = wire
                wire.dial(address)

    def _addresses(self) -> dict[str, Address]:
        """As this keeper's own file names them, else as the cluster does."""
        found = {name: Address.parse(text) for name, text in self.options.peers.items()}
        for name, peer in self.keeper.raft.config.items():
            if name not in found and peer.address:
                found[name] = Address.parse(peer.address)
        found.pop(self.options.name, None)
        return found

    def _own_hello(self) -> Hello:
        identity = self.store.identity
        return Hello(self.options.cluster, self.options.name, "keeper", identity.disk, identity.start_count)

    def _greet(self, wire: FramedConnection) -> None:
        wire.send(0, self._own_hello())

    def _admit(self, hello: Hello) -> str:
        """Why a connection is not taken; empty: it is."""
        if hello.cluster != self.options.cluster:
            return f"this is cluster {self.options.cluster}, not {hello.cluster}"
        if hello.role != "keeper":
            return "" if len(self.askers) < SESSIONS else f"{SESSIONS} connections are open already"
        if hello.name == self.options.name:
            return f"{hello.name} is this keeper's own name"
        peer = self.keeper.raft.config.get(hello.name)
        if peer is not None and peer.disk and peer.disk != hello.disk:
            return (
                f"{hello.name} has the disk {hello.disk}, the cluster knows {peer.disk}: replace the keeper"
            )
        if not self.store.record_peer_start(hello.disk, hello.boot):
            return f"{hello.name} has an old copy of its disk: replace the keeper"
        return ""

    def _hello(self, wire: FramedConnection, number: int, hello: Hello) -> None:
        if self.recovering and hello.role == "keeper":
            wire.end("the disk has failed")
            return
        try:
            reason = self._admit(hello)
        except OSError as error:  # how often the other's disk was started on could not be kept
            self._disk_failed(error)
            wire.end("the disk has failed")
            return
        if reason:
            self._alarm(f"a connection of {hello.name} is refused: {reason}")
            wire.refuse(reason)
            return
        dialled = wire.name != ""
        wire.name = hello.name
        if hello.role != "keeper":
            self.askers[wire] = hello.name
            return
        before = self.wires.pop(hello.name, None)
        if before is not None and before is not wire:
            before.end("replaced by a newer connection")
        self.dialling.pop(hello.name, None)
        self.wires[hello.name] = wire
        if not dialled:
            self._greet(wire)

    def _refused(self, wire: FramedConnection, number: int, word: ConnectionRejected) -> None:
        self._alarm(f"refused by {wire.name}: {word.reason}")
        wire.end(word.reason)

    def _heard(self, wire: FramedConnection, number: int, word: object) -> None:
        known = self._words.get(type(word))
        if known is not None:
            known(wire, number, word)
        elif wire in self.askers:
            self._asked(wire, number, word)
        elif self.wires.get(wire.name) is wire:
            if not self.recovering:
                self._take(self.keeper.on_message(self.driver.now(), wire.name, word))
        else:
            wire.end("no hello came first")

    def _asked(self, wire: FramedConnection, number: int, word: object) -> None:
        if not isinstance(word, ClientRequest):
            wire.end("not a request")
            return
        if self.recovering:
            name = self.options.name
            answer = ProbeReply(name, "") if isinstance(word, Probe) else Unavailable(DISK_REFUSAL)
            wire.send(number, answer)
            return
        self._count += 1
        self.tokens[self._count] = wire, number
        self._take(self.keeper.on_request(self.driver.now(), self._count, word))

    def _ended(self, wire: FramedConnection, reason: str) -> None:
        if self.wires.get(wire.name) is wire:
            del self.wires[wire.name]
        if self.dialling.get(wire.name) is wire:
            del self.dialling[wire.name]
        if self.askers.pop(wire, None) is not None:
            self.tokens = {token: found for token, found in self.tokens.items() if found[0] is not wire}

    # Listening.

    def _incoming(self) -> FramedConnection:
        """The connection of one who has dialled this process."""
        wire = FramedConnection(self.driver, self._heard, self._ended)
        self.timers.add(self.driver.now() + HELLO_US, lambda now: self._no_hello(wire))
        return wire

    def _no_hello(self, wire: FramedConnection) -> None:
        if not wire.name:
            wire.end("no hello")

    def abort(self) -> None:
        """Nothing to end: `callback` asks for it."""

    def run(self) -> int:
        """Serve until a signal; the exit code.

        Raises OSError where the address cannot be had, and what ends a start on a disk that failed at first.
        """
        for number in SIGNALS:
            self.loop.add_signal_handler(number, self._terminate)
        listen = Address.parse(self.options.listen)
        sock = listening_socket(listen, BACKLOG)
        self.acceptor = Acceptor(self.driver, sock, self._incoming, listener="replica", batch=ACCEPTS)
        self.port = self.acceptor.port
        self.acceptor.resume()
        if not self.recovering:
            self._tell_store()
            self._arm()
        self._dial_again(self.driver.now())
        self.driver.end()
        log_event(
            "replica-serves",
            name=self.options.name,
            cluster=self.options.cluster,
            host=listen.host,
            port=self.port,
        )
        self.loop.call_soon(signal.pthread_sigmask, signal.SIG_UNBLOCK, SIGNALS)  # it hears of them only now
        self.loop.run_forever()
        if self.failure is not None:
            raise self.failure
        if self.store is not None:
            self.store.close()
        log_event("ended", name=self.options.name)
        return 0

    def _tell_store(self) -> None:
        recovery, saved = self.store.recovery, self.store.persistent_state
        log_event(
            "replica-store",
            disk=self.store.identity.disk,
            start_count=self.store.identity.start_count,
            index=saved.entries[-1].index if saved.entries else saved.snapshot.index,
        )
        if recovery.torn_bytes:
            log_event("replica-log-truncated", bytes=recovery.torn_bytes)
        if self.store.doubt:
            log_event("replica-needs-catch-up", reason=self.store.doubt)

    def _terminate(self) -> None:
        """Hand the lead over first, so that nobody has to miss a leader."""
        if not self.recovering and self.keeper.is_leader and len(self.keeper.raft.voters) > 1:
            self._take(self.keeper.transfer_leadership(self.driver.now()))
            self.timers.add(self.driver.now() + 300_000, lambda now: self.loop.stop())
            self.driver.end()
        else:
            self.loop.stop()

    @staticmethod
    def _exception(loop, context: dict) -> None:
        log_event("loop", context.get("exception"), what=context.get("message"))


def initialise(options: ReplicaOptions, backup: bytes = b"", files: Directory | None = None) -> None:
    """Format this keeper's disk for a new cluster, or one restored; raises StoreError (not empty) or
    OSError.
    """
    store = ReplicaStore(
        files or Directory(options.data),
        options.cluster,
        options.name,
        disk_name(options.cluster, options.name),
    )
    try:
        store.write_snapshot(first_snapshot(options, backup), [])
    finally:
        store.close()


def main(options: ReplicaOptions, log_format: str = "text", files: Directory | None = None) -> int:
    """Run a keeper; the exit code: 0 ended by a signal, 2 it could not start.

    A disk that fails for a while does not end it, neither while it starts nor while it runs.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # till the loop runs
    log.begin(log_format)
    try:
        return ReplicaProcess(options, files).run()
    except (StoreError, OSError) as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return 2
