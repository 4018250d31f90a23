"""What a steward does with the units on its machine, without I/O: start, replace on the held socket, stop.

A steward acts only on orders, by epoch, while its lease holds at that moment; what it is about to do is
kept before it is done, so that one that dies in between goes on where it was. A unit that ends by itself is
started again as what it was: for that it needs nobody's leave.
"""

import enum
from collections.abc import Callable

import msgspec

AGAIN = (500_000, 8_000_000)  # us before a unit that ended by itself is started anew: at first, and at most
STOP = 6_000_000  # after SIGTERM, before a process is killed: the platform's longest answer and its slack
READY_POLL = 200_000  # between two questions whether a new process is ready


class State(enum.Enum):
    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    REPLACING = "replacing"  # the new process starts beside the old one
    FAILING = "failing"  # it ended by itself, and waits to be started anew


class Start(msgspec.Struct, frozen=True):
    """Start a unit's process of that version as that life."""

    unit: str
    version: str
    life: str


class Stop(msgspec.Struct, frozen=True):
    """SIGTERM to that life; SIGKILL if it has not ended after `STOP`."""

    unit: str
    life: str


class Keep(msgspec.Struct, frozen=True):
    """Keep this before anything that follows: what each unit is to be."""

    text: bytes


class Acted(msgspec.Struct, frozen=True):
    """For the history: which order was acted on, and how long the lease still held (s)."""

    unit: str
    epoch: int
    left: float


class Process(msgspec.Struct):
    """One life of a unit's process."""

    life: str
    version: str
    pid: int = 0
    stopping: bool = False
    kill_at: int = 0


class Unit(msgspec.Struct):
    """A unit as its steward knows it; kept as it is."""

    name: str
    version: str  # to run
    epoch: int = 0  # of the order that was acted on last
    exits: int = 0  # by itself, since then
    lives: dict[str, Process] = {}
    current: str = ""  # the life that is to serve
    ready: bool = False
    again_at: int = 0
    wait: int = AGAIN[0]

    @property
    def state(self) -> str:
        if self.current and self.ready:
            return State.READY.value
        if self.current:
            return (State.REPLACING if len(self.lives) > 1 else State.STARTING).value
        return (State.FAILING if self.again_at else State.STOPPED).value


_DECODE = msgspec.json.Decoder(dict[str, Unit])


class Steward:
    """The units of one machine."""

    def __init__(self, versions: dict[str, str], life: Callable[[], str], kept: bytes = b"") -> None:
        """`versions`: what each unit runs where nothing was kept; raises ValueError for a torn document."""
        self.life = life
        try:
            before = _DECODE.decode(kept) if kept else {}
        except msgspec.MsgspecError as error:
            raise ValueError(f"kept units: {error}") from None
        self.units = {name: before.get(name) or Unit(name, version) for name, version in versions.items()}
        self.ended: list[str] = []  # lives that are known to have ended, lately
        self.actions: list = []

    def begin(self, now: int, alive: Callable[[Process], bool]) -> list:
        """Start: processes that outlived the steward before are taken over, the others are known to have
        ended.
        """
        self.actions = []
        for unit in self.units.values():
            for life, process in list(unit.lives.items()):
                if not alive(process):
                    self._gone(now, unit, life, by_itself=not process.stopping)
            if not unit.current or unit.current not in unit.lives:
                self._start(unit)
            for life, process in unit.lives.items():
                if life != unit.current and process.pid:
                    self._stop(now, unit, process)
        return self._taken()

    def order(self, now: int, units: dict[str, tuple[str, int]], lease_till: int) -> list:
        """Orders have come; they are acted on only while the lease holds, and only newer ones."""
        self.actions = []
        for name, (version, epoch) in units.items():
            unit = self.units.get(name)
            if unit is None or epoch <= unit.epoch or now >= lease_till:
                continue
            self.actions.append(Acted(name, epoch, (lease_till - now) / 1e6))
            unit.epoch, unit.exits, unit.wait, unit.again_at = epoch, 0, AGAIN[0], 0
            same = unit.version == version and unit.ready
            unit.version = version
            if not same:
                self._start(unit)
            else:
                self._keep()
        return self._taken()

    def started(self, unit: str, life: str, pid: int) -> list:
        """The process runs under that id."""
        self.actions = []
        process = self.units[unit].lives.get(life)
        if process is not None:
            process.pid = pid
            self._keep()
        return self._taken()

    def ready(self, now: int, unit: str, life: str) -> list:
        """The process says that it is ready: the one before it may go."""
        self.actions = []
        found = self.units[unit]
        if found.current == life and not found.ready:
            found.ready = True
            for other, process in found.lives.items():
                if other != life:
                    self._stop(now, found, process)
            self._keep()
        return self._taken()

    def exited(self, now: int, unit: str, life: str) -> list:
        """A process has ended."""
        self.actions = []
        found = self.units[unit]
        process = found.lives.get(life)
        if process is not None:
            self._gone(now, found, life, by_itself=not process.stopping)
            self._keep()
        return self._taken()

    def passed(self, now: int) -> list:
        """Time has passed: what ended by itself is started anew, what does not end is killed."""
        self.actions = []
        for unit in self.units.values():
            if unit.again_at and now >= unit.again_at:
                unit.again_at = 0
                self._start(unit)
        return self._taken()

    def to_kill(self, now: int) -> list[Process]:
        """Those that were told to stop and have had their time."""
        return [p for u in self.units.values() for p in u.lives.values() if p.kill_at and now >= p.kill_at]

    def told(self) -> dict[str, tuple[str, str, int, int]]:
        """What a beat tells of the units."""
        return {
            u.name: (
                u.lives[u.current].version if u.current in u.lives else u.version,
                u.state,
                u.exits,
                u.epoch,
            )
            for u in self.units.values()
        }

    # One unit.

    def _start(self, unit: Unit) -> None:
        life = self.life()
        old = unit.lives.get(unit.current)
        if old is not None and not unit.ready and not old.stopping:  # one that never became ready gives way
            self._stop(0, unit, old)
        unit.lives[life] = Process(life, unit.version)
        unit.current, unit.ready = life, False
        self._keep()
        self.actions.append(Start(unit.name, unit.version, life))

    def _stop(self, now: int, unit: Unit, process: Process) -> None:
        if not process.stopping:
            process.stopping, process.kill_at = True, now + STOP
            self.actions.append(Stop(unit.name, process.life))

    def _gone(self, now: int, unit: Unit, life: str, by_itself: bool) -> None:
        del unit.lives[life]
        self.ended = [*self.ended, f"node:{unit.name}:{life}"][-32:]
        if life != unit.current:
            return
        unit.current, unit.ready = "", False
        if by_itself:
            unit.exits += 1
            unit.again_at = now + unit.wait
            unit.wait = min(2 * unit.wait, AGAIN[1])

    def _keep(self) -> None:
        self.actions.append(Keep(msgspec.json.encode(self.units)))

    def _taken(self) -> list:
        found, self.actions = self.actions, []
        return found
