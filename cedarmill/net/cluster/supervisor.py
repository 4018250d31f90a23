"""A steward's process: it starts, replaces and stops the units of one machine by the fleet's word.

It holds each unit's listening socket and hands it to every process of the unit, as in an upgrade, so that no
connection is refused. Processes outlive their steward; the next one takes them over by id and start time. It
cannot take a socket over from a dead steward: the next change of such a unit stops the old process first.

What it is about to do is stored before it is done. Where the disk fails, nothing is done till it was stored:
the units run on, the session goes on, and storing is tried again.
"""

import contextlib
import errno
import http.client
import os
import secrets
import signal
import socket
import subprocess
import sys
from pathlib import Path

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
    StoreUnits,
)
from cedarmill.core.timers import Timers
from cedarmill.log import log_event
from cedarmill.net.cluster.member import Membership
from cedarmill.net.config import Address
from cedarmill.net.listener import listening_socket
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.errors import may_pass
from cedarmill.store.files import Directory
from cedarmill.values import SupervisorOptions, UnitOptions

LOOK_US = 100_000  # between two looks at processes
READY_S = 0.5  # for a process's door to answer
# The line of `admin-listening`. Its words stay: the process may be of another version than this supervisor.
DOOR_WORDS = "operators' door on "
KEPT = "units.json"
BACKLOG = 1024
SIGNALS = (signal.SIGTERM, signal.SIGINT)
RETRY_FIRST_US = 100_000  # from a failure of the disk to the first try to store again
RETRY_MOST_US = 2_000_000  # between two tries; each wait is twice the one before


def start_ticks(pid: int) -> str:
    """When a process began, as the system counts; empty where there is none, or it has only to be reaped.

    Raises OSError where that cannot be found out: no descriptor or memory is no end of a process.
    """
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return ""
    fields = text[text.rindex(")") + 2 :].split()
    return "" if fields[0] == "Z" else fields[19]


def runs_as(pid: int, incarnation: str) -> bool:
    """Whether that process was started as this incarnation; raises OSError where nobody can tell."""
    try:
        environment = Path(f"/proc/{pid}/environ").read_bytes().split(b"\0")
        return f"CEDARMILL_LIFE={incarnation}".encode() in environment and os.getsid(pid) == pid
    except (FileNotFoundError, ProcessLookupError, PermissionError):  # ended, or another user's
        return False


def find_process(incarnation: str) -> int:
    """The id of the process that was started as this incarnation; 0: there is none. Raises OSError."""
    pids = (int(name) for name in os.listdir("/proc") if name.isdecimal())
    return next((pid for pid in pids if runs_as(pid, incarnation)), 0)


class Unit:
    """A unit's settings, its listening socket, and the processes that are this steward's children."""

    def __init__(self, options: UnitOptions) -> None:
        self.options = options
        self.socket: socket.socket | None = None
        self.children: dict[str, subprocess.Popen] = {}
        self.ticks: dict[str, str] = {}  # by life
        self.in_use = False  # another process had the address when it was tried last

    def hold(self) -> str:
        """Hold the listening socket; why not, where that cannot be yet."""
        if self.socket is not None:
            return ""
        try:
            self.socket = listening_socket(Address.parse(self.options.listen), BACKLOG)
        except OSError as error:
            self.in_use = error.errno == errno.EADDRINUSE
            return f"{self.options.listen}: {error.strerror}"
        return ""


class SupervisorProcess:
    """The steward of one machine on one loop."""

    def __init__(self, options: SupervisorOptions) -> None:
        """Take up what the steward before has left; raises ValueError or OSError."""
        self.options = options
        self.loop = uvloop.new_event_loop()
        self.timers = Timers()
        self.driver = EventLoopDriver(self.loop, self.timers)
        self.files = Directory(options.data)
        self.units = {one.name: Unit(one) for one in options.units}
        kept = self.files.read(KEPT) if self.files.exists(KEPT) else b""
        self.core = ProcessSupervisor(
            {one.name: one.version for one in options.units}, lambda: secrets.token_hex(6), kept
        )
        self.waiting: dict[str, StartProcess] = {}  # starts that wait for their socket, by unit
        self.orders: Orders | None = None
        part = options.cluster
        who = MemberIdentity("steward", options.name, secrets.token_hex(6), address=part.listen)
        keepers = {name: Address.parse(address) for name, address in part.replicas.items()}
        self.membership = Membership(self.driver, part.cluster, who, keepers, self._facts, self._follow)
        self._carry_out = {
            StartProcess: self._start,
            StopProcess: self._stop,
            StoreUnits: self._keep,
            OrderApplied: self._acted,
        }
        self.pending: list = []  # actions that are not carried out yet
        self.failed_at: int | None = None  # since when the disk fails, and `pending` waits
        self.retry_us = RETRY_FIRST_US

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
        self._begin(self.driver.now())
        self.driver.end()

    def _begin(self, now: int) -> None:
        """Take the units over, once it is known which of their processes live."""
        processes = [process for unit in self.core.units.values() for process in unit.processes.values()]
        try:
            adopted = {process.incarnation for process in processes if self._adopt(process)}
        except OSError as error:  # one that is said to have ended may serve still
            log_event("supervisor-waits", unit=", ".join(self.units), reason=error.strerror or error)
            self.timers.add(now + LOOK_US, self._begin)
            return
        self._do(self.core.begin(now, lambda process: process.incarnation in adopted))
        self._look(now)
        self.membership.start()
        log_event("supervisor-serves", name=self.options.name, units=", ".join(self.units))

    # The fleet.

    def _facts(self) -> MemberReport:
        return MemberReport(units=self.core.reports(), ended_members=list(self.core.ended_members))

    def _follow(self, orders: Orders) -> None:
        self.orders = orders
        self._obey()

    def _obey(self) -> None:
        """What is ordered and not done yet, while the lease holds at this moment and the disk works."""
        if self.orders is None or self.failed_at is not None:
            return
        now = self.driver.now()
        known = {
            name: told
            for name, told in self.orders.units.items()
            if name in self.units and told[0] in self.units[name].options.commands
        }
        for name in self.orders.units.keys() - known.keys():
            if name in self.units:
                log_event(
                    "supervisor-waits",
                    unit=name,
                    reason=f"no command for version {self.orders.units[name][0]}",
                )
        self._do(self.core.order(now, known, self.membership.agent.lease_until))

    # Processes.

    def _do(self, actions: list) -> None:
        """Carry these out, and what follows of each before the next; nothing passes a document to store."""
        self.pending = [*actions, *self.pending]
        while self.pending and self.failed_at is None:
            action = self.pending.pop(0)
            self._carry_out[type(action)](action)

    def _acted(self, action: OrderApplied) -> None:
        log_event("supervisor-acts", unit=action.unit, epoch=action.epoch, lease_left_s=action.lease_left_s)

    def _keep(self, action: StoreUnits) -> None:
        """Before what follows of it; where that fails, all of it waits."""
        try:
            self.files.replace(KEPT, action.document)
        except OSError as error:
            log_event("supervisor-disk-failed", reason=error.strerror or error)
            self.pending.insert(0, action)
            self.failed_at, self.retry_us = self.driver.now(), RETRY_FIRST_US
            self.timers.add(self.failed_at + self.retry_us, self._keep_again)

    def _keep_again(self, now: int) -> None:
        """Store what could not be stored, then do what waits for it; else try again later."""
        since, action = self.failed_at, self.pending[0]
        try:
            self.files.replace(KEPT, action.document)
        except OSError as error:
            log_event("supervisor-disk-retry", reason=error.strerror or error)
            self.retry_us = min(2 * self.retry_us, RETRY_MOST_US)
            self.timers.add(now + self.retry_us, self._keep_again)
            return
        log_event("supervisor-disk-recovered", seconds=(now - since) / 1e6)
        for held in self.pending:
            if isinstance(held, StopProcess):  # its time to stop begins when it is told to
                self.core.units[held.unit].processes[held.incarnation].kill_at += now - since
        self.failed_at = None
        self.pending.pop(0)
        self._do([])

    def _start(self, action: StartProcess) -> None:
        unit = self.units[action.unit]
        reason = unit.hold()
        if reason:  # most often the process before still has it, and its steward has died
            log_event("supervisor-waits", unit=action.unit, reason=reason)
            self.waiting[action.unit] = action
            if unit.in_use:
                self._stop_others(action)
            return
        self.waiting.pop(action.unit, None)
        env = {
            **os.environ,
            **unit.options.env,
            "LB_SOCKET_FD": str(unit.socket.fileno()),
            "LB_MGMT": "127.0.0.1:0",
            "CEDARMILL_LIFE": action.incarnation,
            "CEDARMILL_VERSION": action.version,
        }
        try:
            child = self._spawn(unit, action, env)
        except OSError as error:  # no such command, say: as a process that ended at once
            log_event(
                "supervisor-waits", unit=action.unit, reason=f"version {action.version}: {error.strerror}"
            )
            self._do(self.core.on_exited(self.driver.now(), action.unit, action.incarnation))
            return
        unit.children[action.incarnation] = child
        log_event(
            "supervisor-starts",
            unit=action.unit,
            version=action.version,
            incarnation=action.incarnation,
            pid=child.pid,
        )
        self._do(self.core.on_started(action.unit, action.incarnation, child.pid))

    def _spawn(self, unit: Unit, action: StartProcess, env: dict[str, str]) -> subprocess.Popen:
        """The unit's process with its log; raises OSError."""
        with open(self._log_path(action.unit, action.incarnation), "ab") as out:
            return subprocess.Popen(
                unit.options.commands[action.version],
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                pass_fds=(unit.socket.fileno(),),
                start_new_session=True,
            )

    def _stop_others(self, action: StartProcess) -> None:
        for life, process in self.core.units[action.unit].processes.items():
            if life != action.incarnation and process.pid and not process.stopping:
                process.stopping = True
                self._signal(action.unit, process, signal.SIGTERM)

    def _stop(self, action: StopProcess) -> None:
        log_event("supervisor-stops", unit=action.unit, incarnation=action.incarnation)
        process = self.core.units[action.unit].processes[action.incarnation]
        self._signal(action.unit, process, signal.SIGTERM)

    def _signal(self, unit: str, process: Process, number: int) -> None:
        """Only to a process that is ours still: its id may have become another's."""
        if process.pid and self._alive(unit, process):
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.kill(process.pid, number)

    def _alive(self, unit: str, process: Process) -> bool:
        child = self.units[unit].children.get(process.incarnation)
        if child is not None:
            return child.poll() is None
        try:
            ticks = start_ticks(process.pid) if process.pid else ""
        except OSError:
            return True  # nobody has seen it end: drains and new processes wait for that
        return ticks != "" and ticks == self.units[unit].ticks.get(process.incarnation, ticks)

    def _adopt(self, process: Process) -> bool:
        """Whether a process that an earlier steward started lives: by its id, and its environment.

        That steward may have ended before it could store the id. Raises OSError where nobody can tell.
        """
        if not process.pid:
            process.pid = find_process(process.incarnation)
        if not process.pid or not start_ticks(process.pid) or not runs_as(process.pid, process.incarnation):
            return False
        for name, unit in self.core.units.items():
            if process.incarnation in unit.processes:
                self.units[name].ticks[process.incarnation] = start_ticks(process.pid)
                log_event("supervisor-adopts", unit=name, incarnation=process.incarnation, pid=process.pid)
        return True

    def _look(self, now: int) -> None:
        """Ten times a second: who has ended, who is ready, what is to be started anew."""
        self.timers.add(now + LOOK_US, self._look)
        if self.failed_at is not None:
            return  # whatever is seen, what follows has to be stored first
        for name, unit in self.core.units.items():
            for life, process in list(unit.processes.items()):
                if process.pid and not self._alive(name, process):
                    self._ended(name, life)
            if unit.current and not unit.ready and self._ready(name, unit.current):
                log_event("supervisor-ready", unit=name, incarnation=unit.current, version=unit.version)
                self._do(self.core.on_ready(now, name, unit.current))
        for process in self.core.to_kill(now):
            for name, unit in self.core.units.items():
                if process.incarnation in unit.processes:
                    self._signal(name, process, signal.SIGKILL)
        for action in list(self.waiting.values()):
            if self.core.units[action.unit].current == action.incarnation:
                self._start(action)
            else:
                del self.waiting[action.unit]
        self._do(self.core.on_time(now))
        self._obey()

    def _ended(self, name: str, life: str) -> None:
        child = self.units[name].children.pop(life, None)
        self.units[name].ticks.pop(life, None)
        log_event(
            "supervisor-process-ended",
            unit=name,
            incarnation=life,
            code="?" if child is None else child.returncode,
        )
        self._do(self.core.on_exited(self.driver.now(), name, life))

    def _log_path(self, unit: str, life: str) -> str:
        return self.files.path(f"{unit}-{life}.log")

    def _ready(self, unit: str, life: str) -> bool:
        """Whether that very process says so at its own door: the clients' socket may be answered by
        another.
        """
        port = self._door(unit, life)
        if not port:
            return False
        call = http.client.HTTPConnection("127.0.0.1", port, timeout=READY_S)
        try:
            call.request("GET", "/api/ready")
            return call.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            call.close()

    def _door(self, unit: str, life: str) -> int:
        """The port of a process's door, as its log tells it."""
        try:
            text = Path(self._log_path(unit, life)).read_text(errors="replace")
        except OSError:
            return 0
        _, found, rest = text.partition(DOOR_WORDS)
        words = rest.split("\n", 1)[0].split()
        return int(words[2]) if found and len(words) > 2 and words[2].isdecimal() and "\n" in rest else 0


def main(options: SupervisorOptions, log_format: str = "text") -> int:
    """Run a steward; the exit code: 0 ended by a signal, 2 it could not start.

    A disk that fails for a while does not end it, neither while it starts nor while it runs.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # till the loop runs
    log.begin(log_format)
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
