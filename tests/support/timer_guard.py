"""Watches the timers of a node under test, and reports timers that their owner has forgotten.

Tests run the program under this script. The program itself is unchanged. A violation is one line on standard
error that begins with VIOLATION:

* an owner schedules a second timer of the same purpose while the first one still runs;
* a timer fires, or is left at the end of a test, for an owner that has ended;
* a timer has a purpose that PURPOSES does not name.

On SIGUSR2 the process checks all timers that are left, and writes CHECKED.
"""

import asyncio
import functools
import os
import runpy
import signal
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import FunctionType, MethodType
from typing import Any, NamedTuple

ROOT = Path(__file__).parents[2]
VIOLATION = "timer guard: violation: "
CHECKED = "timer guard: checked"
STDERR = 2

_write = os.write  # saved before tests break system calls


def _never(owner: Any) -> bool:
    """Whether an owner has ended that lives as long as its process."""
    return False


class Purpose(NamedTuple):
    """What a timer is for: whether its owner has ended, and whether the owner may have several at once."""

    has_ended: Callable[[Any], bool] = _never
    is_multiple: bool = False


_CONNECTION = Purpose(lambda connection: connection.closed)
_WRITER = Purpose(lambda writer: writer._connection.closed)
_SESSION = Purpose(lambda session: session.lifecycle.state.name == "CLOSED")
_BOUNDED_SESSION = Purpose(lambda session: not session._connected)
_FRAMED_CONNECTION = Purpose(lambda connection: connection.ended)
_PROCESS = Purpose()
_SEVERAL = Purpose(is_multiple=True)

PURPOSES = {
    "UpstreamConnection.open": _CONNECTION,
    "UpstreamConnection._schedule_abort": _CONNECTION,
    "UpstreamConnection._abort_transport": _PROCESS,  # for a connection that is closed
    "RequestWriter._send_last_byte": _WRITER,
    "RequestWriter._write": _CONNECTION,
    "ProbeExchange._on_deadline": Purpose(lambda probe: probe.finished),
    "Dispatch._on_deadline": Purpose(lambda request: request.is_finished),
    "ActionRunner.set_timer": _SEVERAL,
    "ClientConnection._deadline_passed": _SESSION,
    "ClientConnection._presence_check_due": _SESSION,
    "BoundedSession._deadline_passed": _BOUNDED_SESSION,
    "BoundedSession.abort": _BOUNDED_SESSION,
    "FramedConnection.dial": _FRAMED_CONNECTION,
    "Acceptor.resume": _PROCESS,
    "ClientServer._accept_backlog": _PROCESS,
    "ClientServer.answer_all": _PROCESS,
    "Shutdown._stop_listening": _PROCESS,
    "Shutdown._leave_if_done": _PROCESS,
    "ConfigurationReload._read": _PROCESS,
    "DiscoveryClient._on_deadline": _PROCESS,
    "AdminHandlers._poll_state_file": _PROCESS,
    "AdminHandlers._close_idle": _PROCESS,
    "AdminHandlers._change_exclusion": _SEVERAL,
    "GrpcListener._poll_statuses": _PROCESS,
    "WarmStateSaver._save": _PROCESS,
    "SiblingExchange._poll": _PROCESS,
    "WasteLog._log_periodically": _PROCESS,
    "Membership._on_timer": _PROCESS,
    "Membership.ask": _SEVERAL,
    "MemberProbes.probe": _SEVERAL,
    "MemberProbes._create_connection": _SEVERAL,
    "NodeRole.leave": _PROCESS,
    "NodeRole._refresh_peers": _PROCESS,
    "ClusterRouting._on_timer": _PROCESS,
    "Gossip._on_timer": _PROCESS,
    "ReplicaProcess._on_timer": _PROCESS,
    "ReplicaProcess._dial_periodically": _PROCESS,
    "ReplicaProcess._create_connection": _SEVERAL,
    "ReplicaProcess._on_signal": _PROCESS,
    "ReplicaDisk.retry": _PROCESS,
    "SupervisorProcess.begin": _PROCESS,
    "SupervisorProcess.check_processes": _PROCESS,
    "SupervisorActions.retry": _PROCESS,
}


class Callee(NamedTuple):
    """The owner of a timer and the name of its purpose."""

    owner: Any
    purpose: str

    @property
    def key(self) -> tuple[int, str]:
        """Return what no two timers may have in common; it is valid while the timer holds its owner."""
        return id(self.owner), self.purpose


def callee_of(callback: Any) -> Callee:
    """Return the owner and the purpose of a timer's callback.

    The owner of a function inside a method is the method's object; that of a request's timer is the request.
    """
    if isinstance(callback, functools.partial):
        owner, purpose = callee_of(callback.func)
        return Callee(callback.keywords.get("request", owner), purpose)
    if isinstance(callback, MethodType):
        return Callee(callback.__self__, callback.__func__.__qualname__)
    assert isinstance(callback, FunctionType)
    purpose = callback.__qualname__.partition(".<locals>")[0]
    names = callback.__code__.co_freevars
    cells = dict(zip(names, callback.__closure__ or (), strict=True))
    cell = cells.get("self") or cells.get("connection")
    return Callee(cell.cell_contents if cell is not None else callback, purpose)


class TimerGuard:
    """Keeps a list of all timers of the process, and reports violations."""

    def __init__(self) -> None:
        self.live: dict[tuple[int, int], Callee] = {}  # by the handle of the timer
        self.counts: Counter[tuple[int, str]] = Counter()  # of live timers by owner and purpose

    def install(self) -> None:
        """Watch the program's timer queue, and check all timers on SIGUSR2."""
        from cedarmill.core.timers import Timers

        self.watch(Timers)
        signal.signal(signal.SIGUSR2, lambda number, frame: self.request_check())

    def watch(self, queue: type) -> None:
        """Wrap the methods of a class of timer queues."""
        real_add, real_cancel = queue.add, queue.cancel

        def add(timers: Any, due: int, callback: Callable[[int], None]) -> tuple[int, int]:
            callee = callee_of(callback)
            self.check_new(callee)

            def fire(now: int) -> None:
                self.forget(timer)
                self.check(callee, "fires")
                callback(now)

            timer = real_add(timers, due, fire)
            self.live[timer] = callee
            self.counts[callee.key] += 1
            return timer

        def cancel(timers: Any, timer: tuple[int, int] | None) -> None:
            real_cancel(timers, timer)
            if timer in self.live:
                self.forget(timer)

        queue.add, queue.cancel = add, cancel

    def forget(self, timer: tuple[int, int]) -> None:
        """Remove a timer that fires or is cancelled."""
        key = self.live.pop(timer).key
        self.counts[key] -= 1
        if not self.counts[key]:
            del self.counts[key]

    def check_new(self, callee: Callee) -> None:
        """Report a timer whose owner has one of the same purpose, or whose purpose is unknown."""
        if callee.purpose not in PURPOSES:
            report(f"unknown purpose {callee.purpose}")
        elif self.counts[callee.key] and not PURPOSES[callee.purpose].is_multiple:
            report(f"a second timer of {callee.purpose}")

    def check(self, callee: Callee, verb: str) -> None:
        """Report a timer whose owner has ended."""
        purpose = PURPOSES.get(callee.purpose)
        if purpose is not None and purpose.has_ended(callee.owner):
            report(f"a timer of {callee.purpose} {verb} for an owner that has ended")

    def request_check(self) -> None:
        """Check between two callbacks of the event loop: a signal may interrupt one that ends an owner."""
        asyncio.get_running_loop().call_soon_threadsafe(self.check_all)

    def check_all(self) -> None:
        """Check all timers that are left."""
        for callee in list(self.live.values()):
            self.check(callee, "is left")
        _write(STDERR, f"{CHECKED}\n".encode())


def report(text: str) -> None:
    """Write a violation."""
    _write(STDERR, f"{VIOLATION}{text}\n".encode())


def command(module: str, *arguments: str) -> list[str]:
    """Return the command line that runs a module of the program with its timers watched."""
    return [sys.executable, __file__, module, *arguments]


if __name__ == "__main__":
    sys.path[0] = str(ROOT)
    TimerGuard().install()
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
