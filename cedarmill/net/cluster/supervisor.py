"""The process supervisor, which starts, replaces and stops the units of one machine by the cluster's orders.

The supervisor holds the listening socket of each unit and passes the socket to every process of the unit, so
that no connection is refused during an upgrade. Processes continue without their supervisor, and its
successor adopts them. A successor cannot adopt the listening sockets: its first replacement of an adopted
process stops the old process before the new one starts.
"""

import secrets
import signal
import sys

import uvloop

from cedarmill import log
from cedarmill.cluster.messages import Orders
from cedarmill.cluster.session import MemberIdentity, MemberReport
from cedarmill.cluster.supervision import (
    OrderApplied,
    Process,
    ProcessSupervisor,
    StartProcess,
    StopProcess,
)
from cedarmill.core.timers import Timers
from cedarmill.log import log_event
from cedarmill.net.cluster.member import Membership
from cedarmill.net.cluster.supervisor_actions import (
    INITIAL_RETRY_DELAY_US,
    MAX_RETRY_DELAY_US,
    UNITS_FILE_NAME,
    SupervisorActions,
)
from cedarmill.net.cluster.unit_processes import UnitProcesses
from cedarmill.net.config import Address
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.errors import is_transient
from cedarmill.store.files import Directory
from cedarmill.values import SupervisorOptions, UnitOptions

CHECK_INTERVAL_US = 100_000  # between checks of all processes
INCARNATION_BYTES = 6  # random bytes in the name of an incarnation
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SupervisorProcess:
    """Runs the supervisor of one machine on an event loop."""

    def __init__(self, options: SupervisorOptions) -> None:
        """Load the units that the previous supervisor stored. Raises ValueError or OSError."""
        self.options = options
        self.loop = uvloop.new_event_loop()
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        self.directory = Directory(options.data)
        self.units = {unit.name: self._unit_processes(unit) for unit in options.units}
        stored = self.directory.read(UNITS_FILE_NAME) if self.directory.exists(UNITS_FILE_NAME) else b""
        self.core = ProcessSupervisor(
            {unit.name: unit.version for unit in options.units}, _new_incarnation, stored
        )
        self.actions = SupervisorActions(self.driver, self.directory, self._execute, self._postpone_kill)
        # Starts that wait for the listening socket, by unit.
        self.waiting_starts: dict[str, StartProcess] = {}
        self.orders: Orders | None = None
        cluster = options.cluster
        identity = MemberIdentity("steward", options.name, _new_incarnation(), address=cluster.listen)
        replicas = {name: Address.parse(address) for name, address in cluster.replicas.items()}
        self.membership = Membership(
            self.driver, cluster.cluster, identity, replicas, self.report, self.on_orders
        )

    def _unit_processes(self, unit: UnitOptions) -> UnitProcesses:
        return UnitProcesses(unit, lambda incarnation: self.directory.path(f"{unit.name}-{incarnation}.log"))

    def run(self) -> int:
        """Serve until a signal arrives, and return the exit code; the unit processes continue."""
        for signal_number in SIGNALS:
            self.loop.add_signal_handler(signal_number, self.loop.stop)
        if self.options.cluster.listen:
            self.membership.listen(Address.parse(self.options.cluster.listen))
        self.loop.call_soon(self._on_loop_started)
        self.loop.run_forever()
        log_event("ended", name=self.options.name)
        return 0

    def _on_loop_started(self) -> None:
        """Unblock signals, then begin: a unit process started earlier would inherit the blocked signals.

        Signals that arrived before are delivered now.
        """
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        self.begin(self.driver.now())
        self.driver.run_due_timers()

    def begin(self, now: int) -> None:
        """Adopt the live processes and start checks and membership, or retry later if a check fails."""
        try:
            live_incarnations = {
                process.incarnation
                for name, unit in self.core.units.items()
                for process in unit.processes.values()
                if self._adopt(name, process)
            }
        except OSError as error:  # the process may still be alive
            log_event("supervisor-waits", unit=", ".join(self.units), reason=error.strerror or error)
            self.timers.add(now + CHECK_INTERVAL_US, self.begin)
            return
        self.actions.add(self.core.begin(now, lambda process: process.incarnation in live_incarnations))
        self.check_processes(now)
        self.membership.start()
        log_event("supervisor-serves", name=self.options.name, units=", ".join(self.units))

    def _adopt(self, unit: str, process: Process) -> bool:
        """Adopt a process, and return False if it has ended. Raises OSError if its state cannot be read."""
        if not self.units[unit].adopt(process):
            return False
        log_event("supervisor-adopts", unit=unit, incarnation=process.incarnation, pid=process.pid)
        return True

    # Cluster membership.

    def report(self) -> MemberReport:
        """Return the report for a heartbeat."""
        return MemberReport(units=self.core.reports(), ended_members=list(self.core.ended_members))

    def on_orders(self, orders: Orders) -> None:
        """Store newer orders from the cluster, and apply them."""
        self.orders = orders
        self._apply_orders()

    def _apply_orders(self) -> None:
        """Apply the orders that are not applied yet, if the lease is valid and the disk works."""
        if self.orders is None or self.actions.is_failing:
            return
        applicable_orders = {}
        for name, order in self.orders.units.items():
            if name not in self.units:
                continue
            if order[0] in self.units[name].options.commands:
                applicable_orders[name] = order
            else:
                log_event("supervisor-waits", unit=name, reason=f"no command for version {order[0]}")
        lease_until = self.membership.session.lease_until
        self.actions.add(self.core.order(self.driver.now(), applicable_orders, lease_until))

    # Actions.

    def _execute(self, action: object) -> None:
        match action:
            case StartProcess():
                self.start_process(action)
            case StopProcess():
                log_event("supervisor-stops", unit=action.unit, incarnation=action.incarnation)
                process = self.core.units[action.unit].processes[action.incarnation]
                self.units[action.unit].send_signal(process, signal.SIGTERM)
            case OrderApplied():
                log_event(
                    "supervisor-acts", unit=action.unit, epoch=action.epoch, lease_left_s=action.lease_left_s
                )

    def _postpone_kill(self, action: StopProcess, postponement_us: int) -> None:
        self.core.units[action.unit].processes[action.incarnation].kill_at += postponement_us

    def start_process(self, action: StartProcess) -> None:
        """Start a process, or keep the start waiting until the listening socket can be opened."""
        unit = self.units[action.unit]
        reason = unit.open_socket()
        if reason:  # usually, an adopted process still holds the socket of the previous supervisor
            log_event("supervisor-waits", unit=action.unit, reason=reason)
            self.waiting_starts[action.unit] = action
            if unit.is_address_in_use:
                self._stop_other_processes(action)
            return
        self.waiting_starts.pop(action.unit, None)
        name, version, incarnation = action.unit, action.version, action.incarnation
        try:
            pid = unit.start(action)
        except OSError as error:  # such as a missing command; counts as a process that exited at once
            log_event("supervisor-waits", unit=name, reason=f"version {version}: {error.strerror}")
            self.actions.add(self.core.on_exited(self.driver.now(), name, incarnation))
            return
        log_event("supervisor-starts", unit=name, version=version, incarnation=incarnation, pid=pid)
        self.actions.add(self.core.on_started(name, incarnation, pid))

    def _stop_other_processes(self, action: StartProcess) -> None:
        for process in self.core.units[action.unit].processes.values():
            if process.incarnation != action.incarnation and process.pid and not process.stopping:
                process.stopping = True
                self.units[action.unit].send_signal(process, signal.SIGTERM)

    # Periodic checks.

    def check_processes(self, now: int) -> None:
        """Check all processes, kill those that exceed the stop timeout, and start the pending ones."""
        self.timers.add(now + CHECK_INTERVAL_US, self.check_processes)
        if self.actions.is_failing:
            return  # Every decision must be stored before it is carried out.
        for name in self.core.units:
            self._check_unit(now, name)
        if self.actions.is_failing:
            return
        for process in self.core.to_kill(now):
            for name, unit in self.core.units.items():
                if process.incarnation in unit.processes:
                    self.units[name].send_signal(process, signal.SIGKILL)
        for action in list(self.waiting_starts.values()):
            if self.core.units[action.unit].current == action.incarnation:
                self.start_process(action)
            else:
                del self.waiting_starts[action.unit]
        self.actions.add(self.core.on_time(now))
        self._apply_orders()

    def _check_unit(self, now: int, name: str) -> None:
        """Record which processes of a unit have ended, and whether its current process is ready."""
        unit, processes = self.core.units[name], self.units[name]
        for process in list(unit.processes.values()):
            if process.pid and not processes.is_alive(process):
                incarnation = process.incarnation
                code = processes.remove(incarnation)
                log_event(
                    "supervisor-process-ended",
                    unit=name,
                    incarnation=incarnation,
                    code="?" if code is None else code,
                )
                self.actions.add(self.core.on_exited(self.driver.now(), name, incarnation))
        if unit.current and not unit.ready and processes.is_ready(unit.current):
            log_event("supervisor-ready", unit=name, incarnation=unit.current, version=unit.version)
            self.actions.add(self.core.on_ready(now, name, unit.current))


def _new_incarnation() -> str:
    return secrets.token_hex(INCARNATION_BYTES)


def main(options: SupervisorOptions, log_format: str = "text") -> int:
    """Run a process supervisor, and return the exit code: 0 after a signal, 2 if the supervisor cannot start.

    The process survives temporary disk failures, during its start and later.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until the loop handles them
    log.configure(log_format)
    retry_delay_us = INITIAL_RETRY_DELAY_US
    try:
        while (process := _create_supervisor(options)) is None:
            if signal.sigtimedwait(SIGNALS, retry_delay_us / 1e6) is not None:
                return 0
            retry_delay_us = min(2 * retry_delay_us, MAX_RETRY_DELAY_US)
        return process.run()
    except (ValueError, OSError) as error:
        print(f"cedarmill: {options.data}: {error}", file=sys.stderr)
        return 2


def _create_supervisor(options: SupervisorOptions) -> SupervisorProcess | None:
    """Return a supervisor with the stored units, or None if the disk fails temporarily."""
    try:
        return SupervisorProcess(options)
    except OSError as error:
        if not is_transient(error):
            raise
        log_event("supervisor-disk-failed", reason=error.strerror or error)
        return None
