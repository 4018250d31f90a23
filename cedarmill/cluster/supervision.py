"""The decisions of a process supervisor about the units on its machine, without I/O: start a unit, replace
a process on the same listening socket, and stop a process.

A supervisor applies only orders with a new epoch, while its lease is valid. Each intended action is stored
first, so that a restarted supervisor continues from there. A unit whose process exits unexpectedly is
restarted at the same version without an order. All times are microseconds of a monotonic clock. `rename` maps
each field to its key in the stored document.
"""

import enum
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import msgspec

from cedarmill.cluster.errors import ClusterError
from cedarmill.cluster.state import UnitOrderFields, UnitReport, UnitReportFields

# The delay before the restart of a unit doubles with each unexpected exit.
INITIAL_RESTART_DELAY_US = 500_000
MAX_RESTART_DELAY_US = 8_000_000
# The time from SIGTERM to SIGKILL, enough for the platform's longest response.
STOP_TIMEOUT_US = 6_000_000
# The number of ended members that are kept for reports.
MAX_ENDED_MEMBERS = 32

Actions = list[Any]


class StoredUnitsError(ClusterError):
    """The stored document of the units cannot be decoded."""


class UnitState(enum.StrEnum):
    """The state of a unit, as reported in heartbeats."""

    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    REPLACING = "replacing"  # The new process starts while the old process serves.
    FAILING = "failing"  # The process exited unexpectedly, and its restart is pending.


class StartProcess(msgspec.Struct, frozen=True):
    """An action: start a process of the unit, with the given version and incarnation."""

    unit: str
    version: str
    incarnation: str


class StopProcess(msgspec.Struct, frozen=True):
    """An action: send SIGTERM; `processes_to_kill` returns the processes that do not exit in time."""

    unit: str
    incarnation: str


class StoreUnits(msgspec.Struct, frozen=True):
    """An action: store the document of all units before any later action is carried out."""

    document: bytes


class OrderApplied(msgspec.Struct, frozen=True):
    """An action for the log: the epoch of the applied order, and the remaining lease time (s)."""

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
    """The stored state of a unit at its supervisor."""

    name: str
    version: str  # version to run
    applied_epoch: int = 0  # epoch of the last applied order
    unexpected_exits: int = 0  # unexpected exits since the last applied order
    processes: dict[str, Process] = {}  # by incarnation
    current: str = ""  # incarnation of the process that has to serve
    ready: bool = False
    restart_at: int = 0
    restart_delay_us: int = INITIAL_RESTART_DELAY_US

    @property
    def state(self) -> UnitState:
        """The state of the unit, derived from its processes."""
        if not self.current:
            return UnitState.FAILING if self.restart_at else UnitState.STOPPED
        if self.ready:
            return UnitState.READY
        return UnitState.REPLACING if len(self.processes) > 1 else UnitState.STARTING

    def report(self) -> UnitReport:
        """Return the report on the unit for a heartbeat."""
        current = self.processes.get(self.current)
        version = current.version if current is not None else self.version
        return UnitReport(version, self.state.value, self.unexpected_exits, self.applied_epoch)


_DECODER = msgspec.json.Decoder(dict[str, Unit])


class ProcessSupervisor:
    """Decides on the processes of all units on one machine."""

    def __init__(
        self, versions: dict[str, str], new_incarnation: Callable[[], str], stored: bytes = b""
    ) -> None:
        """Load the stored units, with `versions` for units not stored yet. Raises StoredUnitsError."""
        self._new_incarnation = new_incarnation
        try:
            stored_units = _DECODER.decode(stored) if stored else {}
        except msgspec.MsgspecError as error:
            raise StoredUnitsError(f"stored units cannot be decoded: {error}") from None
        self.units = {
            name: stored_units.get(name) or Unit(name, version) for name, version in versions.items()
        }
        self.ended_members: list[str] = []  # keys of members that have ended recently
        self._actions: Actions = []

    def start(self, now: int, is_alive: Callable[[Process], bool]) -> Actions:
        """Adopt live processes of the previous supervisor, record the ended ones, and start missing ones."""
        for unit in self.units.values():
            for process in list(unit.processes.values()):
                if not is_alive(process):
                    self._remove_ended_process(now, unit, process)
            if unit.current not in unit.processes:
                self._start_process(unit)
            for process in unit.processes.values():
                if process.incarnation != unit.current and process.pid:
                    self._stop_process(now, unit, process)
        return self._take_actions()

    def apply_orders(self, now: int, orders: Mapping[str, UnitOrderFields], lease_until: int) -> Actions:
        """Apply orders with a newer epoch, if the lease is valid."""
        for name, (version, epoch) in orders.items():
            unit = self.units.get(name)
            if unit is not None and epoch > unit.applied_epoch and now < lease_until:
                self._actions.append(OrderApplied(name, epoch, (lease_until - now) / 1e6))
                self._apply_order(unit, version, epoch)
        return self._take_actions()

    def _apply_order(self, unit: Unit, version: str, epoch: int) -> None:
        unit.applied_epoch, unit.unexpected_exits = epoch, 0
        unit.restart_delay_us, unit.restart_at = INITIAL_RESTART_DELAY_US, 0
        is_already_running = unit.version == version and unit.ready
        unit.version = version
        if is_already_running:
            self._store()
        else:
            self._start_process(unit)

    def on_started(self, unit_name: str, incarnation: str, pid: int) -> Actions:
        """Record the process id of a started process."""
        process = self.units[unit_name].processes.get(incarnation)
        if process is not None:
            process.pid = pid
            self._store()
        return self._take_actions()

    def on_ready(self, now: int, unit_name: str, incarnation: str) -> Actions:
        """Mark the unit as ready, and stop the processes that the ready process replaces."""
        unit = self.units[unit_name]
        if unit.current == incarnation and not unit.ready:
            unit.ready = True
            for process in unit.processes.values():
                if process.incarnation != incarnation:
                    self._stop_process(now, unit, process)
            self._store()
        return self._take_actions()

    def on_exited(self, now: int, unit_name: str, incarnation: str) -> Actions:
        """Record the exit of a process, and schedule a restart if the exit was unexpected."""
        unit = self.units[unit_name]
        process = unit.processes.get(incarnation)
        if process is not None:
            self._remove_ended_process(now, unit, process)
            self._store()
        return self._take_actions()

    def on_time(self, now: int) -> Actions:
        """Restart the units whose restart delay has passed."""
        for unit in self.units.values():
            if unit.restart_at and now >= unit.restart_at:
                unit.restart_at = 0
                self._start_process(unit)
        return self._take_actions()

    def processes_to_kill(self, now: int) -> list[Process]:
        """Return the stopping processes whose stop timeout has passed."""
        return [process for process in self._all_processes() if process.kill_at and now >= process.kill_at]

    def _all_processes(self) -> Iterator[Process]:
        for unit in self.units.values():
            yield from unit.processes.values()

    def reports(self) -> dict[str, UnitReportFields]:
        """Return the reports on all units for a heartbeat."""
        return {unit.name: unit.report() for unit in self.units.values()}

    # Actions on a single unit.

    def _start_process(self, unit: Unit) -> None:
        incarnation = self._new_incarnation()
        previous = unit.processes.get(unit.current)
        if previous is not None and not unit.ready and not previous.stopping:
            self._stop_process(0, unit, previous)  # A process that was never ready is killed at once.
        unit.processes[incarnation] = Process(incarnation, unit.version)
        unit.current, unit.ready = incarnation, False
        self._store()
        self._actions.append(StartProcess(unit.name, unit.version, incarnation))

    def _stop_process(self, now: int, unit: Unit, process: Process) -> None:
        if not process.stopping:
            process.stopping, process.kill_at = True, now + STOP_TIMEOUT_US
            self._actions.append(StopProcess(unit.name, process.incarnation))

    def _remove_ended_process(self, now: int, unit: Unit, process: Process) -> None:
        """Remove an ended process, and schedule a restart if the current process exited unexpectedly."""
        del unit.processes[process.incarnation]
        key = f"node:{unit.name}:{process.incarnation}"
        self.ended_members = [*self.ended_members, key][-MAX_ENDED_MEMBERS:]
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
