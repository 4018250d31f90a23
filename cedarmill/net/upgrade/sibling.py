"""Exchanges the executor capacity in use between the processes of one node during an upgrade.

An upgrade runs two processes for some seconds, and executors' load reports are up to a second old. Without
this exchange, the new process counts the old one's attempts as other nodes' load and releases their slots
late. Each process writes a small document in `$TMPDIR`, holds a lock on it while it runs, and reads the
documents of its siblings. A sibling that stops writing but still holds its lock (its disk is full) counts
with its last document. A sibling that stops writing and holds no lock (it has died, runs an older program, or
the file system has no locks) counts for nothing.
"""

import os
from collections.abc import Callable

import msgspec

from cedarmill.admin import sealed_document
from cedarmill.admin.resource_split import ConnectionCounts
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.core.dispatch import Dispatch
from cedarmill.decisions.snapshot import own_reservations
from cedarmill.log import log_event
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver, clock_reading
from cedarmill.net.upgrade.state_file import InPlaceStateFile, state_file_path

DOCUMENT_KIND = "out"
POLL_INTERVAL_ALONE_US = 100_000  # while no sibling is alive
POLL_INTERVAL_WITH_SIBLINGS_US = 30_000  # short, so that slots released by a sibling are soon reused
HEARTBEAT_INTERVAL_US = 500_000  # longest time between two writes of an unchanged document
HEARTBEAT_TIMEOUT_US = 2_000_000  # a sibling without a lock counts as dead after this
DEAD_FILE_RETENTION_US = 20_000_000  # a dead sibling's file is removed after this
ExecutorUsage = dict[str, tuple[float, float]]  # slots and memory in use by attempts, by executor name


class SiblingDocument(msgspec.Struct):
    """The resources that one process holds."""

    usage: ExecutorUsage = msgspec.field(name="out")
    connections: ConnectionCounts = msgspec.field(name="room")


_DECODER = msgspec.json.Decoder(SiblingDocument)


class SiblingView:
    """The last document read from a sibling's file, and the time of the sibling's last heartbeat.

    Every change seen after the first read is a heartbeat at the time of reading, regardless of the time in
    the document. For the first document read, the heartbeat is the time in the document on the machine's
    monotonic clock, or the time of reading if the document has no such time (an older program wrote it).
    """

    def __init__(self, path: str) -> None:
        self.file = InPlaceStateFile(path)
        self.last_halves: list[bytes] = []
        self.last_heartbeat_us: int | None = None  # None until a complete document was read
        self.document = SiblingDocument({}, ConnectionCounts(0, 0))

    def read(self, node: str, now: ClockReading) -> None:
        """Read the document if it has changed; on ValueError or OSError the last one is kept."""
        if (halves := self.file.read_halves()) == self.last_halves:
            return
        self.last_halves = halves
        written_at, body = sealed_document.unseal_newest(halves, DOCUMENT_KIND, node, now)
        self.document = _DECODER.decode(body)
        if self.last_heartbeat_us is None and written_at.is_comparable(now):
            self.last_heartbeat_us = written_at.monotonic_us
        elif self.last_heartbeat_us is None and written_at.is_of_other_boot(now):
            # No running process wrote a document of another boot: the sibling is dead until a change.
            self.last_heartbeat_us = now.monotonic_us - HEARTBEAT_TIMEOUT_US - 1
        else:
            self.last_heartbeat_us = now.monotonic_us

    def is_alive(self, now_us: int) -> bool:
        """Return whether a document was read and its process sends heartbeats or holds the file's lock."""
        if self.last_heartbeat_us is None:
            return False
        return not self.is_silent_for(now_us, HEARTBEAT_TIMEOUT_US) or self.file.is_claimed()

    def is_silent_for(self, now_us: int, span_us: int) -> bool:
        """Return whether the last heartbeat is older than `span_us`; False while no document was read."""
        return self.last_heartbeat_us is not None and now_us - self.last_heartbeat_us > span_us


class SiblingExchange:
    """Publishes this process's resources in use to its siblings, and passes theirs to the balancer."""

    dispatch: Dispatch  # set by the node after construction

    def __init__(
        self,
        driver: EventLoopDriver,
        discovery: DiscoveryClient,
        node: str,
        count_own_connections: Callable[[], ConnectionCounts],
        on_sibling_counts: Callable[[list[ConnectionCounts]], None],
    ) -> None:
        self.driver, self.discovery, self.node = driver, discovery, node
        self.count_own_connections = count_own_connections
        self.on_sibling_counts = on_sibling_counts  # called with one entry per live sibling on each change
        self.own_file = InPlaceStateFile(state_file_path(node, f"{DOCUMENT_KIND}-{os.getpid()}"))
        self.folder, name = os.path.split(self.own_file.path)
        self.file_prefix = name[: name.rindex(DOCUMENT_KIND)] + f"{DOCUMENT_KIND}-"
        self.views: dict[str, SiblingView] = {}  # by file name, dead siblings included
        self.live_siblings: dict[str, SiblingView] = {}
        self.reported_usage: ExecutorUsage = {}  # the siblings' total, as last reported to the balancer
        self.last_written: tuple[int, SiblingDocument | None] = (0, None)  # time in us, document
        self.sibling_counts: list[ConnectionCounts] = []

    def start(self) -> None:
        """Start the periodic exchange with siblings."""
        self._poll(self.driver.now())

    def remove_document(self) -> None:
        """Remove this process's document when the process ends."""
        self.own_file.remove()

    def _poll(self, now: int) -> None:
        """Read all siblings' documents, write this process's, and schedule the next poll."""
        self.driver.timers.add(
            now + (POLL_INTERVAL_WITH_SIBLINGS_US if self.live_siblings else POLL_INTERVAL_ALONE_US),
            self._poll,
        )
        clock = clock_reading(now)
        self._read_siblings(clock)
        self._claim_own_file()
        try:
            self._write_own_document(clock)
        except OSError as error:  # a failed write must not keep the siblings' documents from being applied
            log_event("sibling-exchange-failed", reason=error)
        self._update_live_siblings(now)
        self._report_usage(now)
        counts = [sibling.document.connections for sibling in self.live_siblings.values()]
        if counts != self.sibling_counts:
            if len(counts) != len(self.sibling_counts):
                log_event("sibling-processes", siblings=len(counts))
            self.sibling_counts = counts
            self.on_sibling_counts(counts)

    def _read_siblings(self, clock: ClockReading) -> None:
        """Read the documents of all sibling files, and forget files that were removed."""
        names = self._list_file_names()
        for name in names - {os.path.basename(self.own_file.path)}:
            view = self.views.setdefault(name, SiblingView(os.path.join(self.folder, name)))
            try:
                view.read(self.node, clock)
            except (OSError, ValueError) as error:  # msgspec's errors are ValueErrors too
                log_event("sibling-unread", reason=error)
        for name in self.views.keys() - names:
            self.views.pop(name).file.close()

    def _list_file_names(self) -> set[str]:
        """Return the file names of all processes of this node, or the known ones if listing fails."""
        try:
            found = os.listdir(self.folder)
        except OSError as error:
            log_event("sibling-exchange-failed", reason=error)
            return set(self.views)
        return {name for name in found if name.startswith(self.file_prefix) and name.endswith(".json")}

    def _update_live_siblings(self, now: int) -> None:
        """Select the siblings that are alive, and remove the files of those dead for long enough."""
        self.live_siblings = {name: view for name, view in self.views.items() if view.is_alive(now)}
        for name in self.views.keys() - self.live_siblings.keys():
            self.views[name].file.close()  # reopened at each poll, since the owner may have recreated it
            if self.views[name].is_silent_for(now, DEAD_FILE_RETENTION_US):
                self.views.pop(name).file.remove()

    def _claim_own_file(self) -> None:
        """Lock this process's file; the next poll tries again if that fails."""
        try:
            self.own_file.claim()
        except BlockingIOError:  # a sibling is testing the lock at this moment
            pass
        except OSError as error:  # without a lock, siblings go by this process's heartbeats alone
            log_event("sibling-exchange-failed", reason=error)

    def _write_own_document(self, clock: ClockReading) -> None:
        """Write this process's document if it has changed or a heartbeat is due; raise OSError on failure."""
        written_us, last_document = self.last_written
        usage = own_reservations(self.dispatch.balancer, self.discovery.reader.names_by_number)
        document = SiblingDocument(usage, self.count_own_connections())
        if document != last_document or clock.monotonic_us - written_us >= HEARTBEAT_INTERVAL_US:
            body = msgspec.json.encode(document)
            self.own_file.write(sealed_document.seal(DOCUMENT_KIND, self.node, clock, body))
            self.last_written = clock.monotonic_us, document

    def _report_usage(self, now: int) -> None:
        """Report the siblings' total usage to the balancer for each executor where it has changed."""
        total: ExecutorUsage = {}
        for sibling in self.live_siblings.values():
            for name, (slots, memory) in sibling.document.usage.items():
                subtotal = total.get(name, (0.0, 0.0))
                total[name] = subtotal[0] + slots, subtotal[1] + memory
        numbers = self.discovery.reader.numbers_by_name
        for name in self.reported_usage.keys() | total.keys():
            number, usage = numbers.get(name), total.get(name, (0.0, 0.0))
            if number is not None and usage != self.reported_usage.get(name, (0.0, 0.0)):
                self.dispatch.set_sibling_usage(now, number, *usage)
        self.reported_usage = {name: usage for name, usage in total.items() if name in numbers}
