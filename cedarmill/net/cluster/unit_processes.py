"""The processes of one unit, as the system has them: started on the held socket, looked at, signalled.

They outlive their supervisor; the next one takes them over by process id, start time and environment.
"""

import contextlib
import errno
import http.client
import os
import signal
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path

from cedarmill.cluster.supervision import Process, StartProcess
from cedarmill.net.config import Address
from cedarmill.net.listener import listening_socket
from cedarmill.values import UnitOptions

READY_S = 0.5  # for a process's admin API to answer
ADMIN_PORT_WORDS = "operators' door on "  # in a process's log, before HOST port PORT: a form between versions
BACKLOG = 1024  # connections that wait to be accepted
INCARNATION_VARIABLE = "CEDARMILL_LIFE"  # of the environment
VERSION_VARIABLE = "CEDARMILL_VERSION"
START_TICKS_FIELD = 19  # of /proc/PID/stat after the command's name: proc(5), field 22


def start_ticks(pid: int) -> str:
    """When a process began, as the system counts; empty where there is none, or it has only to be reaped.

    Raises OSError where that cannot be found out: no descriptor or memory is no end of a process.
    """
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return ""
    fields = text[text.rindex(")") + 2 :].split()
    return "" if fields[0] == "Z" else fields[START_TICKS_FIELD]


def runs_as(pid: int, incarnation: str) -> bool:
    """Whether that process was started as this incarnation; raises OSError where nobody can tell."""
    try:
        environment = Path(f"/proc/{pid}/environ").read_bytes().split(b"\0")
        return f"{INCARNATION_VARIABLE}={incarnation}".encode() in environment and os.getsid(pid) == pid
    except (FileNotFoundError, ProcessLookupError, PermissionError):  # ended, or another user's
        return False


def find_process(incarnation: str) -> int:
    """The id of the process that was started as this incarnation; 0: there is none. Raises OSError."""
    pids = (int(name) for name in os.listdir("/proc") if name.isdecimal())
    return next((pid for pid in pids if runs_as(pid, incarnation)), 0)


def admin_port(log: Path) -> int:
    """The port of a process's admin API, as its log says; 0: it does not yet."""
    try:
        text = log.read_text(errors="replace")
    except OSError:
        return 0
    _, found, rest = text.partition(ADMIN_PORT_WORDS)
    words = rest.split("\n", 1)[0].split()
    return int(words[2]) if found and len(words) > 2 and words[2].isdecimal() and "\n" in rest else 0


class UnitProcesses:
    """One unit's settings, its listening socket, its children, and those taken over."""

    def __init__(self, options: UnitOptions, log_path: Callable[[str], str]) -> None:
        """`log_path` gives the path of an incarnation's log."""
        self.options = options
        self.socket: socket.socket | None = None
        self.children: dict[str, subprocess.Popen[bytes]] = {}  # by incarnation
        self.in_use = False  # another process had the address when it was tried last
        self._log_path = log_path
        self._adopted_ticks: dict[str, str] = {}  # when those taken over began, by incarnation

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

    def start(self, action: StartProcess) -> int:
        """Start a process on the held socket; its id. Raises OSError."""
        if self.socket is None:
            raise OSError(errno.EBADF, "its listening socket is not held")
        descriptor = self.socket.fileno()
        environment = {
            **os.environ,
            **self.options.env,
            "LB_SOCKET_FD": str(descriptor),
            "LB_MGMT": "127.0.0.1:0",
            INCARNATION_VARIABLE: action.incarnation,
            VERSION_VARIABLE: action.version,
        }
        with open(self._log_path(action.incarnation), "ab") as log:
            child = subprocess.Popen(
                self.options.commands[action.version],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(descriptor,),
                start_new_session=True,
            )
        self.children[action.incarnation] = child
        return child.pid

    def adopt(self, process: Process) -> bool:
        """Take over a process that an earlier supervisor started; False: it has ended.

        That supervisor may have ended before it could store the id. Raises OSError where nobody can tell.
        """
        if not process.pid:
            process.pid = find_process(process.incarnation)
        ticks = start_ticks(process.pid) if process.pid else ""
        if not ticks or not runs_as(process.pid, process.incarnation):
            return False
        self._adopted_ticks[process.incarnation] = ticks
        return True

    def is_alive(self, process: Process) -> bool:
        """Whether it has not ended, as far as anybody has seen."""
        child = self.children.get(process.incarnation)
        if child is not None:
            return child.poll() is None
        try:
            ticks = start_ticks(process.pid) if process.pid else ""
        except OSError:
            return True  # nobody has seen it end: drains and new processes wait for that
        return ticks != "" and ticks == self._adopted_ticks.get(process.incarnation, ticks)

    def signal(self, process: Process, number: signal.Signals) -> None:
        """Only to a process that is this unit's still: its id may have become another's."""
        if process.pid and self.is_alive(process):
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.kill(process.pid, number)

    def forget(self, incarnation: str) -> int | None:
        """A process has ended; its exit code, None where it was not a child of this supervisor."""
        self._adopted_ticks.pop(incarnation, None)
        child = self.children.pop(incarnation, None)
        return None if child is None else child.returncode

    def is_ready(self, incarnation: str) -> bool:
        """Whether that very process says so at its own admin API: the clients' socket may be answered by
        another.
        """
        port = admin_port(Path(self._log_path(incarnation)))
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
