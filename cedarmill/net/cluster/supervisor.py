"""A process supervisor: it starts, replaces and stops the units of one machine by the cluster's orders.

It holds each unit's listening socket and passes it to every process of the unit, as in an upgrade, so that no
connection is refused. Processes outlive their supervisor; the next one takes them over. It cannot take a
socket over from a dead supervisor: the next change of such a unit stops the old process first.
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
    RETRY_FIRST_US,
    RETRY_MOST_US,
    UNITS_NAME,
    SupervisorActions,
)
from cedarmill.net.cluster.unit_processes import UnitProcesses
from cedarmill.net.config import Address
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.errors import may_pass
from cedarmill.store.files import Directory
from cedarmill.values import SupervisorOptions, UnitOptions

LOOK_US = 100_000  # between two looks at processes
INCARNATION_BYTES = 6  # of a random name
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SupervisorProcess:
    """The supervisor of one machine on one loop."""

    def __init__(self, options: SupervisorOptions) -> None:
        """Read what the supervisor before has left; raises ValueError or OSError."""
        self.options = options
        self.loop = uvloop.new_event_loop()
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        self.directory = Directory(options.data)
        self.units = {unit.name: self._unit_processes(unit) for unit in options.units}
        stored = self.directory.read(UNITS_NAME) if self.directory.exists(UNITS_NAME) else b""
        self.core = ProcessSupervisor(
            {unit.name: unit.version for unit in options.units}, _new_incarnation, stored
        )
        self.actions = SupervisorActions(self.driver, self.directory, self._carry_out, self._postpone_kill)
        self.waiting: dict[str, StartProcess] = {}  # starts that wait for their socket, by unit
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
        """Serve until a signal; units go on. The exit code."""
        for number in SIGNALS:
            self.loop.add_signal_handler(number, self.loop.stop)
        if self.options.cluster.listen:
            self.membership.listen(Address.parse(self.options.cluster.listen))
        self.loop.call_soon(self._started)
        self.loop.run_forever()
        log_event("ended", name=self.options.name)
        return 0

    def _started(self) -> None:
        """The loop runs: only now does it hear of signals, those that came before included.

        Units are started after that, or they would inherit that signals are blocked.
        """
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        self.begin(self.driver.now())
        self.driver.run_due_timers()

    def begin(self, now: int) -> None:
        """Take the units over, once it is known which of their processes live."""
        try:
            alive = {
                process.incarnation
                for name, unit in self.core.units.items()
                for process in unit.processes.values()
                if self._adopt(name, process)
            }
        except OSError as error:  # one that is said to have ended may serve still
            log_event("supervisor-waits", unit=", ".join(self.units), reason=error.strerror or error)
            self.timers.add(now + LOOK_US, self.begin)
            return
        self.actions.add(self.core.begin(now, lambda process: process.incarnation in alive))
        self.look(now)
        self.membership.start()
        log_event("supervisor-serves", name=self.options.name, units=", ".join(self.units))

    def _adopt(self, unit: str, process: Process) -> bool:
        """Take over a process that has not ended; raises OSError where nobody can tell."""
        if not self.units[unit].adopt(process):
            return False
        log_event("supervisor-adopts", unit=unit, incarnation=process.incarnation, pid=process.pid)
        return True

    # The cluster.

    def report(self) -> MemberReport:
        """As it stands at a heartbeat."""
        return MemberReport(units=self.core.reports(), ended_members=list(self.core.ended_members))

    def on_orders(self, orders: Orders) -> None:
        """Newer orders have come."""
        self.orders = orders
        self._obey()

    def _obey(self) -> None:
        """What is ordered and not done yet, while the lease holds at this moment and the disk works."""
        if self.orders is None or self.actions.failing:
            return
        known = {}
        for name, order in self.orders.units.items():
            if name not in self.units:
                continue
            if order[0] in self.units[name].options.commands:
                known[name] = order
            else:
                log_event("supervisor-waits", unit=name, reason=f"no command for version {order[0]}")
        lease_until = self.membership.session.lease_until
        self.actions.add(self.core.order(self.driver.now(), known, lease_until))

    # Actions.

    def _carry_out(self, action: object) -> None:
        match action:
            case StartProcess():
                self.start_process(action)
            case StopProcess():
                log_event("supervisor-stops", unit=action.unit, incarnation=action.incarnation)
                process = self.core.units[action.unit].processes[action.incarnation]
                self.units[action.unit].signal(process, signal.SIGTERM)
            case OrderApplied():
                log_event(
                    "supervisor-acts", unit=action.unit, epoch=action.epoch, lease_left_s=action.lease_left_s
                )

    def _postpone_kill(self, action: StopProcess, held_us: int) -> None:
        self.core.units[action.unit].processes[action.incarnation].kill_at += held_us

    def start_process(self, action: StartProcess) -> None:
        """Start a process, or wait for its socket."""
        unit = self.units[action.unit]
        reason = unit.hold()
        if reason:  # most often the process before still has it, and its supervisor has died
            log_event("supervisor-waits", unit=action.unit, reason=reason)
            self.waiting[action.unit] = action
            if unit.in_use:
                self._stop_others(action)
            return
        self.waiting.pop(action.unit, None)
        name, version, incarnation = action.unit, action.version, action.incarnation
        try:
            pid = unit.start(action)
        except OSError as error:  # no such command, say: as a process that ended at once
            log_event("supervisor-waits", unit=name, reason=f"version {version}: {error.strerror}")
            self.actions.add(self.core.on_exited(self.driver.now(), name, incarnation))
            return
        log_event("supervisor-starts", unit=name, version=version, incarnation=incarnation, pid=pid)
        self.actions.add(self.core.on_started(name, incarnation, pid))

    def _stop_others(self, action: StartProcess) -> None:
        for process in self.core.units[action.unit].processes.values():
            if process.incarnation != action.incarnation and process.pid and not process.stopping:
                process.stopping = True
                self.units[action.unit].signal(process, signal.SIGTERM)

    # Looks.

    def look(self, now: int) -> None:
        """Ten times a second: who has ended, who is ready, what is to be started anew."""
        self.timers.add(now + LOOK_US, self.look)
        if self.actions.failing:
            return  # whatever is seen, what follows has to be stored first
        for name in self.core.units:
            self._look_at(now, name)
        if self.actions.failing:
            return
        for process in self.core.to_kill(now):
            for name, unit in self.core.units.items():
                if process.incarnation in unit.processes:
                    self.units[name].signal(process, signal.SIGKILL)
        for action in list(self.waiting.values()):
            if self.core.units[action.unit].current == action.incarnation:
                self.start_process(action)
            else:
                del self.waiting[action.unit]
        self.actions.add(self.core.on_time(now))
        self._obey()

    def _look_at(self, now: int, name: str) -> None:
        """Which processes of a unit have ended, and whether the one that is to serve is ready."""
        unit, processes = self.core.units[name], self.units[name]
        for process in list(unit.processes.values()):
            if process.pid and not processes.is_alive(process):
                incarnation = process.incarnation
                code = processes.forget(incarnation)
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
    """Run a process supervisor; the exit code: 0 ended by a signal, 2 it could not start.

    A disk that fails for a while does not end it, neither while it starts nor while it runs.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until the loop runs
    log.configure(log_format)
    wait_us = RETRY_FIRST_US
    try:
        while (process := _take_up(options)) is None:
            if signal.sigtimedwait(SIGNALS, wait_us / 1e6) is not None:
                return 0
            wait_us = min(2 * wait_us, RETRY_MOST_US)
        return process.run()
    except (ValueError, OSError) as error:
        print(f"cedarmill: {options.data}: {error}", file=sys.stderr)
        return 2


def _take_up(options: SupervisorOptions) -> SupervisorProcess | None:
    """The process with what the one before has left; None where the disk fails, and may work again."""
    try:
        return SupervisorProcess(options)
    except OSError as error:
        if not may_pass(error):
            raise
        log_event("supervisor-disk-failed", reason=error.strerror or error)
        return None
