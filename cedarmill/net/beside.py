"""Two processes of one node side by side: each tells the other what its jobs hold at the executors.

An upgrade runs both for seconds, and an executor's report is a second old: without this, the new process
takes the old one's jobs for other nodes' and learns late that they have ended. Each process keeps a small
document of its own in `$TMPDIR` and reads the others'; one that has fallen silent counts for nothing.
"""

import os
from collections.abc import Callable

import msgspec

from cedarmill.core.dispatch import Dispatch
from cedarmill.decisions.memory import out
from cedarmill.log import say
from cedarmill.net.discovery import DiscoveryClient
from cedarmill.net.kept import KeptInPlace, kept_path
from cedarmill.net.turn import Turn, unix_us
from cedarmill.ops import document
from cedarmill.ops.share import Room

KIND = "out"
ALONE_US = 100_000  # between two looks while no other process is seen
TOGETHER_US = 30_000  # while one is: a job's end should be known well within the time of the next decision
BEAT_US = 500_000  # between two writings without a change: a sign of life
SILENT_US = 2_000_000  # without one, its process is dead, and its jobs no longer answered for
GONE_US = 20_000_000  # then its file is removed
Out = dict[str, tuple[float, float]]  # slots and memory by executor


class Told(msgspec.Struct):
    """What a process tells of itself."""

    out: Out
    room: Room  # held


_DECODE = msgspec.json.Decoder(Told)


class Other:
    """What another process's file has told."""

    def __init__(self, path: str) -> None:
        self.kept = KeptInPlace(path)
        self.texts: list[bytes] = []
        self.at = 0  # Unix us, when what counts was written
        self.told = Told({}, Room(0, 0))

    def read(self, node: str) -> None:
        """Take up what is new; raises ValueError (what held goes on) or OSError."""
        if (texts := self.kept.texts()) == self.texts:
            return
        self.texts = texts
        self.at, body = document.newest(texts, KIND, node)
        self.told = _DECODE.decode(body)


class Beside:
    """This process's document, and what the others' tell."""

    def __init__(self, turn: Turn, discovery: DiscoveryClient, node: str, held: Callable[[], Room],
                 shared: Callable[[list[Room]], None]) -> None:  # fmt: skip
        self.turn, self.discovery, self.node, self.held, self.shared = turn, discovery, node, held, shared
        self.dispatch: Dispatch | None = None
        self.own = KeptInPlace(kept_path(node, f"{KIND}-{os.getpid()}"))
        self.folder, name = os.path.split(self.own.path)
        self.prefix = name[: name.rindex(KIND)] + f"{KIND}-"
        self.others: dict[str, Other] = {}  # by file
        self.told: Out = {}  # to the module
        self.written: tuple[int, Told | None] = (0, None)
        self.rooms: list[Room] = []  # held by the others, as last heard

    def start(self) -> None:
        """Look for other processes from now on."""
        self._look(self.turn.now())

    def end(self) -> None:
        """Nothing is out any longer."""
        self.own.remove()

    def _look(self, now: int) -> None:
        """The one chain of looks."""
        unix = unix_us()
        try:
            self._read(unix)
            self._write(now, unix)
        except OSError as error:
            say("beside-failed", reason=error)
        self._tell(now)
        if (rooms := [other.told.room for other in self.others.values()]) != self.rooms:
            if len(rooms) != len(self.rooms):
                say("beside", others=len(rooms))
            self.rooms = rooms
            self.shared(rooms)
        self.turn.deadlines.add(now + (TOGETHER_US if self.others else ALONE_US), self._look)

    def _read(self, unix: int) -> None:
        names = {n for n in os.listdir(self.folder) if n.startswith(self.prefix) and n.endswith(".json")}
        for name in names - {os.path.basename(self.own.path)}:
            other = self.others.get(name) or Other(os.path.join(self.folder, name))
            try:
                other.read(self.node)
            except ValueError as error:  # msgspec's errors are ValueErrors too
                say("beside-unread", reason=error)
            self._heard(name, other, unix)
        for name in self.others.keys() - names:
            self.others.pop(name).kept.close()

    def _heard(self, name: str, other: Other, unix: int) -> None:
        """Count it while it gives signs of life; what is left of a dead one is removed in the end."""
        if unix - other.at <= SILENT_US:
            self.others[name] = other
            return
        self.others.pop(name, None)
        other.kept.close()
        if other.at and unix - other.at > GONE_US:  # 0: only just made, and not written yet
            other.kept.remove()

    def _write(self, now: int, unix: int) -> None:
        """Tell what is out: when it changed, for one that starts reads it at once; else now and then."""
        at, before = self.written
        told = Told(out(self.dispatch.brain, self.discovery.reader.names), self.held())
        if told != before or now - at >= BEAT_US:
            self.own.write(document.seal(KIND, self.node, unix, msgspec.json.encode(told)))
            self.written = now, told

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
                self.dispatch.beside(now, number, *news)
        self.told = {name: news for name, news in total.items() if name in self.discovery.reader.numbers}
