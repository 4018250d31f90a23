"""Two processes of one node side by side: each tells the other what its jobs hold at the executors.

An upgrade runs both for seconds, and an executor's report is a second old: without this, the new process
takes the old one's jobs for other nodes' and learns late that they have ended. Each process keeps a small
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
ALONE_US = 100_000  # between two looks while no other process is seen
TOGETHER_US = 30_000  # while one is: a job's end should be known well within the time of the next decision
BEAT_US = 500_000  # between two writings without a change: a sign of life
SILENT_US = 2_000_000  # without one and without a claim its process is dead, its jobs no longer answered for
GONE_US = 20_000_000  # then a dead one's file is removed
Out = dict[str, tuple[float, float]]  # slots and memory by executor


class SiblingDocument(msgspec.Struct):
    """What a process tells of itself."""

    out: Out
    room: ConnectionCounts  # held


_DECODE = msgspec.json.Decoder(SiblingDocument)


class SiblingView:
    """What another process's file has told, and when it last gave a sign of life.

    A change that this process sees is a sign of life now, whatever any clock says. Only what stood there at
    the first sight is judged by the time in it: by the machine's clock, which both processes share. Where
    that cannot be read (an older program's document), it counts from the first sight.
    """

    def __init__(self, path: str) -> None:
        self.kept = InPlaceStateFile(path)
        self.texts: list[bytes] = []
        self.alive_at: int | None = None  # in the brain's clock; None: nothing whole was read yet
        self.told = SiblingDocument({}, ConnectionCounts(0, 0))

    def read(self, node: str, now: ClockReading) -> None:
        """Take up what is new; raises ValueError (what held goes on) or OSError."""
        if (texts := self.kept.texts()) == self.texts:
            return
        self.texts = texts
        written, body = sealed_document.unseal_newest(texts, KIND, node, now)
        self.told = _DECODE.decode(body)
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
        return not self.silent_for(now_us, SILENT_US) or self.kept.is_claimed()

    def silent_for(self, now_us: int, span_us: int) -> bool:
        """Whether it has given no sign of life for that long; a file that was only just made is none yet."""
        return self.alive_at is not None and now_us - self.alive_at > span_us


class SiblingProcess:
    """This process's document, and what the others' tell."""

    def __init__(
        self,
        driver: EventLoopDriver,
        discovery: DiscoveryClient,
        node: str,
        held: Callable[[], ConnectionCounts],
        shared: Callable[[list[ConnectionCounts]], None],
    ) -> None:
        self.driver, self.discovery, self.node, self.held, self.shared = driver, discovery, node, held, shared
        self.dispatch: Dispatch | None = None
        self.own = InPlaceStateFile(state_file_path(node, f"{KIND}-{os.getpid()}"))
        self.folder, name = os.path.split(self.own.path)
        self.prefix = name[: name.rindex(KIND)] + f"{KIND}-"
        self.files: dict[str, SiblingView] = {}  # all that there are, by name
        self.others: dict[str, SiblingView] = {}  # those of them that live
        self.told: Out = {}  # to the module
        self.written: tuple[int, SiblingDocument | None] = (0, None)
        self.rooms: list[ConnectionCounts] = []  # held by the others, as last heard

    def start(self) -> None:
        """Look for other processes from now on."""
        self._look(self.driver.now())

    def end(self) -> None:
        """Nothing is out any longer."""
        self.own.remove()

    def _look(self, now: int) -> None:
        """The one chain of looks."""
        self.driver.timers.add(now + (TOGETHER_US if self.others else ALONE_US), self._look)
        here = clock_reading(now)
        self._read(here)
        self._claim()
        try:
            self._write(here)
        except OSError as error:  # the others' word counts all the same
            log_event("sibling-exchange-failed", reason=error)
        self._count(now)
        self._tell(now)
        if (rooms := [other.told.room for other in self.others.values()]) != self.rooms:
            if len(rooms) != len(self.rooms):
                log_event("sibling-processes", siblings=len(rooms))
            self.rooms = rooms
            self.shared(rooms)

    def _read(self, here: ClockReading) -> None:
        names = self._names()
        for name in names - {os.path.basename(self.own.path)}:
            other = self.files.setdefault(name, SiblingView(os.path.join(self.folder, name)))
            try:
                other.read(self.node, here)
            except (OSError, ValueError) as error:  # msgspec's errors are ValueErrors too
                log_event("sibling-unread", reason=error)
        for name in self.files.keys() - names:
            self.files.pop(name).kept.close()

    def _names(self) -> set[str]:
        """The files of this node's processes; those known already while the folder cannot be read."""
        try:
            found = os.listdir(self.folder)
        except OSError as error:
            log_event("sibling-exchange-failed", reason=error)
            return set(self.files)
        return {n for n in found if n.startswith(self.prefix) and n.endswith(".json")}

    def _count(self, now: int) -> None:
        """Those count that live; what is left of a dead one is removed in the end."""
        self.others = {name: other for name, other in self.files.items() if other.lives(now)}
        for name in self.files.keys() - self.others.keys():
            self.files[name].kept.close()  # opened anew at each look: its owner may have made it anew
            if self.files[name].silent_for(now, GONE_US):
                self.files.pop(name).kept.remove()

    def _claim(self) -> None:
        """Claim this process's document, at the next look where it cannot be done now."""
        try:
            self.own.claim()
        except BlockingIOError:  # another process asks just now whether it is claimed
            pass
        except OSError as error:  # then this process lives for the others as long as it writes
            log_event("sibling-exchange-failed", reason=error)

    def _write(self, here: ClockReading) -> None:
        """Tell what is out: when it changed, for one that starts reads it at once; else now and then."""
        at, before = self.written
        told = SiblingDocument(held_now(self.dispatch.balancer, self.discovery.reader.names), self.held())
        if told != before or here.monotonic_us - at >= BEAT_US:
            self.own.write(sealed_document.seal(KIND, self.node, here, msgspec.json.encode(told)))
            self.written = here.monotonic_us, told

    def _tell(self, now: int) -> None:
        """The module hears of each executor where the sum has changed."""
        total: Out = {}
        for other in self.others.values():
            for name, (slots, memory) in other.told.out.items():
                before = total.get(name, (0.0, 0.0))
                total[name] = before[0] + slots, before[1] + memory
        for name in self.told.keys() | total.keys():
            number, news = self.discovery.reader.numbers.get(name), total.get(name, (0.0, 0.0))
            if number is not None and news != self.told.get(name, (0.0, 0.0)):
                self.dispatch.set_sibling_usage(now, number, *news)
        self.told = {name: news for name, news in total.items() if name in self.discovery.reader.numbers}
