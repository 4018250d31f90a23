"""The operating system processes of one unit: started on the unit's listening socket, checked and signalled.

A process continues without its supervisor. The next supervisor identifies the process by its id, start time
and environment.
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

READINESS_TIMEOUT_S = 0.5
# Processes of all versions log this text before "HOST port PORT" of their admin API.
ADMIN_PORT_PREFIX = "operators' door on "
LISTEN_BACKLOG = 1024  # connections
INCARNATION_VARIABLE = "CEDARMILL_LIFE"
VERSION_VARIABLE = "CEDARMILL_VERSION"
START_TICKS_FIELD = 19  # index after the command name in /proc/PID/stat, field 22 in proc(5)


def start_ticks(pid: int) -> str:
    """Return the start time of a process in clock ticks, or an empty string if it has ended or is a zombie.

    Raises OSError if the state cannot be read, for example for lack of file descriptors or memory.
    """
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return ""
    fields = text[text.rindex(")") + 2 :].split()
    return "" if fields[0] == "Z" else fields[START_TICKS_FIELD]


def is_incarnation(pid: int, incarnation: str) -> bool:
    """Return whether a process was started as this incarnation. Raises OSError if /proc cannot be read."""
    try:
        environment = Path(f"/proc/{pid}/environ").read_bytes().split(b"\0")
        return f"{INCARNATION_VARIABLE}={incarnation}".encode() in environment and os.getsid(pid) == pid
    except (FileNotFoundError, ProcessLookupError, PermissionError):  # ended, or owned by another user
        return False


def find_process(incarnation: str) -> int:
    """Return the id of the process started as this incarnation, or 0 if there is none. Raises OSError."""
    pids = (int(name) for name in os.listdir("/proc") if name.isdecimal())
    return next((pid for pid in pids if is_incarnation(pid, incarnation)), 0)


def read_admin_port(log: Path) -> int:
    """Return the port of the admin API from the log of a process, or 0 if it is not logged yet."""
    try:
        text = log.read_text(errors="replace")
    except OSError:
        return 0
    _, prefix, rest = text.partition(ADMIN_PORT_PREFIX)
    address_fields = rest.split("\n", 1)[0].split()
    return (
        int(address_fields[2])
        if prefix and len(address_fields) > 2 and address_fields[2].isdecimal() and "\n" in rest
        else 0
    )


class UnitProcesses:
    """Manages the listening socket, the child processes and the adopted processes of one unit."""

    def __init__(self, options: UnitOptions, log_path: Callable[[str], str]) -> None:
        """Create a unit without processes; `log_path` returns the path of an incarnation's log."""
        self.options = options
        self.socket: socket.socket | None = None
        self.children: dict[str, subprocess.Popen[bytes]] = {}  # by incarnation
        self.is_address_in_use = False  # whether another process held the address at the last attempt
        self._log_path = log_path
        self._adopted_ticks: dict[str, str] = {}  # start times of adopted processes by incarnation

    def open_socket(self) -> str:
        """Open the listening socket unless it is open; return the error as text, or an empty string."""
        if self.socket is not None:
            return ""
        try:
            self.socket = listening_socket(Address.parse(self.options.listen), LISTEN_BACKLOG)
        except OSError as error:
            self.is_address_in_use = error.errno == errno.EADDRINUSE
            return f"{self.options.listen}: {error.strerror}"
        return ""

    def start(self, action: StartProcess) -> int:
        """Start a process on the listening socket, and return the process id. Raises OSError."""
        if self.socket is None:
            raise OSError(errno.EBADF, "the listening socket of the unit is not open")
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
        """Adopt a process of the previous supervisor, and return False if the process has ended.

        The process is searched for if its id was not stored. Raises OSError if its state cannot be read.
        """
        if not process.pid:
            process.pid = find_process(process.incarnation)
        ticks = start_ticks(process.pid) if process.pid else ""
        if not ticks or not is_incarnation(process.pid, process.incarnation):
            return False
        self._adopted_ticks[process.incarnation] = ticks
        return True

    def is_alive(self, process: Process) -> bool:
        """Return whether a process is alive; a process whose state cannot be read counts as alive."""
        child = self.children.get(process.incarnation)
        if child is not None:
            return child.poll() is None
        try:
            ticks = start_ticks(process.pid) if process.pid else ""
        except OSError:
            return True  # Drains and restarts wait until the end of the process is certain.
        return ticks != "" and ticks == self._adopted_ticks.get(process.incarnation, ticks)

    def send_signal(self, process: Process, signal_number: signal.Signals) -> None:
        """Send a signal to a process of this unit, unless the process has ended and its id may be reused."""
        if process.pid and self.is_alive(process):
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.kill(process.pid, signal_number)

    def remove(self, incarnation: str) -> int | None:
        """Remove an ended process, and return its exit code, or None for an adopted process."""
        self._adopted_ticks.pop(incarnation, None)
        child = self.children.pop(incarnation, None)
        return None if child is None else child.returncode

    def is_ready(self, incarnation: str) -> bool:
        """Return whether a process reports its readiness at its own admin API.

        The unit's listening socket cannot be used: another process of the unit may answer there.
        """
        port = read_admin_port(Path(self._log_path(incarnation)))
        if not port:
            return False
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=READINESS_TIMEOUT_S)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
