"""Two processes of one node side by side: each tells the other what its attempts hold at the executors.

An upgrade runs both for seconds, and an executor's report is a second old: without this, the new process
takes the old one's attempts for other nodes' and learns late that they have ended. Each process keeps a small
document of its own in `$TMPDIR`, claims it with a lock as long as it lives, and reads the others'. One that
is silent because it cannot write (a full disk) goes on to count with what it told last. One that is silent
without a claim (it died; an older program; a file system without locks) counts for nothing.
"""

import os
from collections.abc import Callable

import msgspec

from cedarmill.admin import sealed_document
from cedarmill.admin.resource_split import ConnectionCounts
from cedarmill.admin.sealed_document import ClockReading
from cedarmill.core.dispatch import Dispatch
from cedarmill.decisions.snapshot import held_now
from cedarmill.log import log_event
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver, clock_reading
from cedarmill.net.upgrade.state_file import InPlaceStateFile, state_file_path

KIND = "out"
LOOK_ALONE_US = 100_000  # between two looks while no other process is seen
LOOK_TOGETHER_US = 30_000  # while one is: an attempt's end should be known well before the next decision
SIGN_OF_LIFE_US = 500_000  # between two writings without a change: a sign of life
SILENT_US = 2_000_000  # without one and without a claim its process is dead, and what it held is free
GONE_US = 20_000_000  # then a dead one's file is removed
ExecutorUsage = dict[str, tuple[float, float]]  # slots and memory that attempts hold, by executor's name


class SiblingDocument(msgspec.Struct):
    """What a process tells of itself."""

    usage: ExecutorUsage = msgspec.field(name="out")
    connections: ConnectionCounts = msgspec.field(name="room")


_DECODER = msgspec.json.Decoder(SiblingDocument)


class SiblingView:
    """What another process last told in its file, and when it last gave a sign of life.

    A change that this process sees is a sign of life now, whatever any clock says. Only what stood there at
    the first sight is judged by the time in it: by the machine's clock, which both processes share. Where
    that cannot be read (an older program's document), it counts from the first sight.
    """

    def __init__(self, path: str) -> None:
        self.file = InPlaceStateFile(path)
        self.texts: list[bytes] = []
        self.alive_at: int | None = None  # us; None: nothing whole was read yet
        self.document = SiblingDocument({}, ConnectionCounts(0, 0))

    def read(self, node: str, now: ClockReading) -> None:
        """Take up what is new; raises ValueError (what held goes on) or OSError."""
        if (texts := self.file.texts()) == self.texts:
            return
        self.texts = texts
        written, body = sealed_document.unseal_newest(texts, KIND, node, now)
        self.document = _DECODER.decode(body)
        if self.alive_at is None and written.is_comparable(now):
            self.alive_at = written.monotonic_us
        elif self.alive_at is None and written.is_of_other_boot(now):
            self.alive_at = now.monotonic_us - SILENT_US - 1  # of no process of this machine, till it changes
        else:
            self.alive_at = now.monotonic_us

    def lives(self, now_us: int) -> bool:
        """Whether it has told anything, and has given a sign of life lately or still claims its document."""
        if self.alive_at is None:
            return False
        return not self.silent_for(now_us, SILENT_US) or self.file.is_claimed()

    def silent_for(self, now_us: int, span_us: int) -> bool:
        """Whether it has given no sign of life for that long; a file that was only just made is none yet."""
        return self.alive_at is not None and now_us - self.alive_at > span_us


class SiblingProcess:
    """This process's document, and what the others' tell."""

    dispatch: Dispatch  # set by whoever wires the node

    def __init__(
        self,
        driver: EventLoopDriver,
        discovery: DiscoveryClient,
        node: str,
        count_own: Callable[[], ConnectionCounts],
        share_limits: Callable[[list[ConnectionCounts]], None],
    ) -> None:
        self.driver, self.discovery, self.node = driver, discovery, node
        self.count_own = count_own  # what this process holds of the node's limits
        self.share_limits = share_limits  # called with what each sibling holds, when that has changed
        self.own_file = InPlaceStateFile(state_file_path(node, f"{KIND}-{os.getpid()}"))
        self.folder, name = os.path.split(self.own_file.path)
        self.prefix = name[: name.rindex(KIND)] + f"{KIND}-"
        self.views: dict[str, SiblingView] = {}  # of all files that there are, by name
        self.siblings: dict[str, SiblingView] = {}  # those of them that live
        self.reported_usage: ExecutorUsage = {}  # to the balancer
        self.last_written: tuple[int, SiblingDocument | None] = (0, None)  # us, and what
        self.sibling_counts: list[ConnectionCounts] = []

    def start(self) -> None:
        """Look for other processes from now on."""
        self._look(self.driver.now())

    def end(self) -> None:
        """Nothing is held any longer."""
        self.own_file.remove()

    def _look(self, now: int) -> None:
        """The one chain of looks."""
        self.driver.timers.add(now + (LOOK_TOGETHER_US if self.siblings else LOOK_ALONE_US), self._look)
        clock = clock_reading(now)
        self._read(clock)
        self._claim()
        try:
            self._write(clock)
        except OSError as error:  # what the others tell counts all the same
            log_event("sibling-exchange-failed", reason=error)
        self._count(now)
        self._report(now)
        counts = [sibling.document.connections for sibling in self.siblings.values()]
        if counts != self.sibling_counts:
            if len(counts) != len(self.sibling_counts):
                log_event("sibling-processes", siblings=len(counts))
            self.sibling_counts = counts
            self.share_limits(counts)

    def _read(self, clock: ClockReading) -> None:
        names = self._names()
        for name in names - {os.path.basename(self.own_file.path)}:
            view = self.views.setdefault(name, SiblingView(os.path.join(self.folder, name)))
            try:
                view.read(self.node, clock)
            except (OSError, ValueError) as error:  # msgspec's errors are ValueErrors too
                log_event("sibling-unread", reason=error)
        for name in self.views.keys() - names:
            self.views.pop(name).file.close()

    def _names(self) -> set[str]:
        """The files of this node's processes; those known already while the folder cannot be read."""
        try:
            found = os.listdir(self.folder)
        except OSError as error:
            log_event("sibling-exchange-failed", reason=error)
            return set(self.views)
        return {name for name in found if name.startswith(self.prefix) and name.endswith(".json")}

    def _count(self, now: int) -> None:
        """Those count that live; what is left of a dead one is removed in the end."""
        self.siblings = {name: view for name, view in self.views.items() if view.lives(now)}
        for name in self.views.keys() - self.siblings.keys():
            self.views[name].file.close()  # opened anew at each look: its owner may have made it anew
            if self.views[name].silent_for(now, GONE_US):
                self.views.pop(name).file.remove()

    def _claim(self) -> None:
        """Claim this process's document, at the next look where it cannot be done now."""
        try:
            self.own_file.claim()
        except BlockingIOError:  # another process asks just now whether it is claimed
            pass
        except OSError as error:  # then this process lives for the others as long as it writes
            log_event("sibling-exchange-failed", reason=error)

    def _write(self, clock: ClockReading) -> None:
        """Tell what is held: when it changed, for one that starts reads it at once; else now and then."""
        at, before = self.last_written
        usage = held_now(self.dispatch.balancer, self.discovery.reader.names)
        document = SiblingDocument(usage, self.count_own())
        if document != before or clock.monotonic_us - at >= SIGN_OF_LIFE_US:
            body = msgspec.json.encode(document)
            self.own_file.write(sealed_document.seal(KIND, self.node, clock, body))
            self.last_written = clock.monotonic_us, document

    def _report(self, now: int) -> None:
        """Tell the balancer of each executor where the sum has changed."""
        total: ExecutorUsage = {}
        for sibling in self.siblings.values():
            for name, (slots, memory) in sibling.document.usage.items():
                before = total.get(name, (0.0, 0.0))
                total[name] = before[0] + slots, before[1] + memory
        numbers = self.discovery.reader.numbers
        for name in self.reported_usage.keys() | total.keys():
            number, usage = numbers.get(name), total.get(name, (0.0, 0.0))
            if number is not None and usage != self.reported_usage.get(name, (0.0, 0.0)):
                self.dispatch.set_sibling_usage(now, number, *usage)
        self.reported_usage = {name: usage for name, usage in total.items() if name in numbers}
