"""What a process supervisor does with the units on its machine, without I/O: start, replace on the held
socket, stop.

A supervisor acts only on orders, by epoch, while its lease holds at that moment; what it is about to do is
stored before it is done, so that one that dies in between goes on where it was. A unit that ends by itself is
started again as what it was: for that it needs nobody's leave. All times are microseconds of a monotonic
clock. `rename` maps each field to its key in the stored document.
"""

import enum
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import msgspec

from cedarmill.cluster.errors import ClusterError
from cedarmill.cluster.state import UnitOrderFields, UnitReport, UnitReportFields

RESTART_DELAY_US = 500_000  # before a unit that ended by itself is started again: at first,
MAX_RESTART_DELAY_US = 8_000_000  # and at most; it doubles each time
STOP_TIMEOUT_US = 6_000_000  # after SIGTERM, before SIGKILL: the platform's longest answer and its slack
ENDED_KEPT = 32  # keys of members that have ended, as they are reported

Actions = list[Any]


class StoredUnitsError(ClusterError):
    """The stored document of the units cannot be read."""


class UnitState(enum.StrEnum):
    """As it is reported."""

    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    REPLACING = "replacing"  # the new process starts while the old one serves
    FAILING = "failing"  # it ended by itself, and waits to be started again


class StartProcess(msgspec.Struct, frozen=True):
    """An action: start a unit's process of that version as that incarnation."""

    unit: str
    version: str
    incarnation: str


class StopProcess(msgspec.Struct, frozen=True):
    """An action: send SIGTERM; `to_kill` tells when it has not ended in time."""

    unit: str
    incarnation: str


class StoreUnits(msgspec.Struct, frozen=True):
    """An action: store this before anything that follows; it says what each unit is to be."""

    document: bytes


class OrderApplied(msgspec.Struct, frozen=True):
    """An action, for the history: the order acted on, and how long the lease still held (s)."""

    unit: str
    epoch: int
    lease_left_s: float


class Process(msgspec.Struct, rename={"incarnation": "life"}):
    """One incarnation of a unit's process."""

    incarnation: str
    version: str
    pid: int = 0
    stopping: bool = False
    kill_at: int = 0


class Unit(
    msgspec.Struct,
    rename={
        "applied_epoch": "epoch",
        "unexpected_exits": "exits",
        "processes": "lives",
        "restart_at": "again_at",
        "restart_delay_us": "wait",
    },
):
    """A unit as its supervisor knows it, and stores it."""

    name: str
    version: str  # to run
    applied_epoch: int = 0  # of the order that was acted on last
    unexpected_exits: int = 0  # since then
    processes: dict[str, Process] = {}  # by incarnation
    current: str = ""  # the incarnation that is to serve
    ready: bool = False
    restart_at: int = 0
    restart_delay_us: int = RESTART_DELAY_US

    @property
    def state(self) -> UnitState:
        """What it is doing."""
        if not self.current:
            return UnitState.FAILING if self.restart_at else UnitState.STOPPED
        if self.ready:
            return UnitState.READY
        return UnitState.REPLACING if len(self.processes) > 1 else UnitState.STARTING

    def report(self) -> UnitReport:
        """What a heartbeat reports of it."""
        current = self.processes.get(self.current)
        version = current.version if current is not None else self.version
        return UnitReport(version, self.state.value, self.unexpected_exits, self.applied_epoch)


_DECODER = msgspec.json.Decoder(dict[str, Unit])


class ProcessSupervisor:
    """The units of one machine."""

    def __init__(
        self, versions: dict[str, str], new_incarnation: Callable[[], str], stored: bytes = b""
    ) -> None:
        """`versions` is what each unit runs where nothing was stored; raises StoredUnitsError."""
        self._new_incarnation = new_incarnation
        try:
            known = _DECODER.decode(stored) if stored else {}
        except msgspec.MsgspecError as error:
            raise StoredUnitsError(f"kept units: {error}") from None
        self.units = {name: known.get(name) or Unit(name, version) for name, version in versions.items()}
        self.ended_members: list[str] = []  # keys of members that are known to have ended, lately
        self._actions: Actions = []

    def begin(self, now: int, is_alive: Callable[[Process], bool]) -> Actions:
        """Start: processes that outlived the last supervisor are adopted; others are known to have ended."""
        for unit in self.units.values():
            for process in list(unit.processes.values()):
                if not is_alive(process):
                    self._forget(now, unit, process)
            if unit.current not in unit.processes:
                self._start(unit)
            for process in unit.processes.values():
                if process.incarnation != unit.current and process.pid:
                    self._stop(now, unit, process)
        return self._take_actions()

    def order(self, now: int, orders: Mapping[str, UnitOrderFields], lease_until: int) -> Actions:
        """Orders have come; they are acted on only while the lease holds, and only newer ones."""
        for name, (version, epoch) in orders.items():
            unit = self.units.get(name)
            if unit is not None and epoch > unit.applied_epoch and now < lease_until:
                self._actions.append(OrderApplied(name, epoch, (lease_until - now) / 1e6))
                self._apply(unit, version, epoch)
        return self._take_actions()

    def _apply(self, unit: Unit, version: str, epoch: int) -> None:
        unit.applied_epoch, unit.unexpected_exits = epoch, 0
        unit.restart_delay_us, unit.restart_at = RESTART_DELAY_US, 0
        runs_already = unit.version == version and unit.ready
        unit.version = version
        if runs_already:
            self._store()
        else:
            self._start(unit)

    def on_started(self, unit_name: str, incarnation: str, pid: int) -> Actions:
        """The process runs under that id."""
        process = self.units[unit_name].processes.get(incarnation)
        if process is not None:
            process.pid = pid
            self._store()
        return self._take_actions()

    def on_ready(self, now: int, unit_name: str, incarnation: str) -> Actions:
        """The process says that it is ready: the one before it may go."""
        unit = self.units[unit_name]
        if unit.current == incarnation and not unit.ready:
            unit.ready = True
            for process in unit.processes.values():
                if process.incarnation != incarnation:
                    self._stop(now, unit, process)
            self._store()
        return self._take_actions()

    def on_exited(self, now: int, unit_name: str, incarnation: str) -> Actions:
        """A process has ended."""
        unit = self.units[unit_name]
        process = unit.processes.get(incarnation)
        if process is not None:
            self._forget(now, unit, process)
            self._store()
        return self._take_actions()

    def on_time(self, now: int) -> Actions:
        """Time has passed: what ended by itself is started again."""
        for unit in self.units.values():
            if unit.restart_at and now >= unit.restart_at:
                unit.restart_at = 0
                self._start(unit)
        return self._take_actions()

    def to_kill(self, now: int) -> list[Process]:
        """Processes that were told to stop and have had their time."""
        return [process for process in self._processes() if process.kill_at and now >= process.kill_at]

    def _processes(self) -> Iterator[Process]:
        for unit in self.units.values():
            yield from unit.processes.values()

    def reports(self) -> dict[str, UnitReportFields]:
        """What a heartbeat reports of the units."""
        return {unit.name: unit.report() for unit in self.units.values()}

    # One unit.

    def _start(self, unit: Unit) -> None:
        incarnation = self._new_incarnation()
        old = unit.processes.get(unit.current)
        if old is not None and not unit.ready and not old.stopping:
            self._stop(0, unit, old)  # one that never became ready gets no time to stop
        unit.processes[incarnation] = Process(incarnation, unit.version)
        unit.current, unit.ready = incarnation, False
        self._store()
        self._actions.append(StartProcess(unit.name, unit.version, incarnation))

    def _stop(self, now: int, unit: Unit, process: Process) -> None:
        if not process.stopping:
            process.stopping, process.kill_at = True, now + STOP_TIMEOUT_US
            self._actions.append(StopProcess(unit.name, process.incarnation))

    def _forget(self, now: int, unit: Unit, process: Process) -> None:
        """A process has ended; one that nobody stopped is started again after a while."""
        del unit.processes[process.incarnation]
        key = f"node:{unit.name}:{process.incarnation}"
        self.ended_members = [*self.ended_members, key][-ENDED_KEPT:]
        if process.incarnation != unit.current:
            return
        unit.current, unit.ready = "", False
        if not process.stopping:
            unit.unexpected_exits += 1
            unit.restart_at = now + unit.restart_delay_us
            unit.restart_delay_us = min(2 * unit.restart_delay_us, MAX_RESTART_DELAY_US)

    def _store(self) -> None:
        self._actions.append(StoreUnits(msgspec.json.encode(self.units)))

    def _take_actions(self) -> Actions:
        actions, self._actions = self._actions, []
        return actions
