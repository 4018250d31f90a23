"""Fault injection for system calls, which fail, transfer less or stall, and for the wall clock.

Tests run a process of the program under this script, with the command line from `FaultPlan.command`, and arm
faults through the `FaultPlan` while the process runs. The program itself is unchanged. Names of the calls:

* `accept`, `setsockopt`, `getsockopt`, `ioctl`, `poll`, `flock`, `lockf`: functions of the standard library;
* `open` (the built-in and os.open), `write`, `pwrite`, `read`, `pread`, `fsync`, `fdatasync`, `ftruncate`,
  `replace`, `remove`, `listdir`, `stat`: calls on files, matched by path where the call has one;
* `connect` (matched by HOST:PORT) and `open_session`: connections that the event loop opens and accepts;
* `outgoing.NAME` and `accepted.NAME`: the transport's method NAME (`write`, `write_eof`, `pause_reading`,
  `resume_reading`, `get_extra_info`, `set_write_buffer_limits`, `abort`) of connections that the program
  opened (matched by HOST:PORT) or accepted.
"""

import asyncio
import builtins
import errno
import fcntl
import json
import os
import runpy
import select
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
PLAN, HITS = "plan.json", "hits"
TRANSPORT_CALLS = frozenset(
    (
        "write",
        "write_eof",
        "pause_reading",
        "resume_reading",
        "get_extra_info",
        "set_write_buffer_limits",
        "abort",
    )
)
NS_PER_S = 1e9

ProtocolFactory = Callable[[], asyncio.Protocol]


@dataclass
class Fault:
    """A fault: of the matching calls the first `after` succeed and the next `times` are affected."""

    call: str
    errno: str = ""  # name of an error, such as "ENOSPC"; empty: the call succeeds
    match: str = ""  # substring of the path or of HOST:PORT; empty: matches all
    after: int = 0
    times: int = 1  # 0: no limit
    short: int = 0  # maximum bytes of a write or read; 0: no limit
    stall_s: float = 0.0  # delay before the call, in seconds


@dataclass
class FaultPlan:
    """The faults that a test arms, passed to the running process through a file in a folder."""

    folder: str
    offset_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._publish()

    def command(self, module: str, *arguments: str) -> list[str]:
        """Return the command line that runs a module of the program under this plan."""
        return [sys.executable, __file__, self.folder, module, *arguments]

    def arm(self, *faults: Fault) -> None:
        """Replace the armed faults by these."""
        self.faults = list(faults)
        self._publish()

    def step_clock(self, seconds: float) -> None:
        """Set the offset of the wall clock (0: the true time); the monotonic clock is not changed."""
        self.offset_s = seconds
        self._publish()

    def hits(self, call: str = "") -> int:
        """Return how many calls of this name, or of any name, were affected by a fault."""
        path = Path(self.folder, HITS)
        names = path.read_text().split() if path.exists() else []
        return sum(not call or name == call for name in names)

    def _publish(self) -> None:
        text = json.dumps({"offset_s": self.offset_s, "faults": [asdict(fault) for fault in self.faults]})
        new = Path(self.folder, f"{PLAN}.new")
        new.write_text(text)
        os.replace(new, Path(self.folder, PLAN))


class FaultLayer:
    """Applies the plan inside the process, reading it again at each call if it has changed."""

    def __init__(self, folder: str) -> None:
        self.path, self.hits_path = os.path.join(folder, PLAN), os.path.join(folder, HITS)
        self.stat, self.open, self.os_open, self.os_write = os.stat, builtins.open, os.open, os.write
        self.os_close, self.readlink, self.sleep = os.close, os.readlink, time.sleep
        self.plan_version: tuple[int, int] | None = None  # inode and modification time of the plan file
        self.offset_s = 0.0
        self.faults: list[Fault] = []
        self.counts: list[int] = []
        self.is_bypassed = False  # True while the layer itself makes system calls

    def refresh(self) -> None:
        """Read the plan again if its file has changed."""
        stat = self.stat(self.path)
        plan_version = (stat.st_ino, stat.st_mtime_ns)
        if plan_version == self.plan_version:
            return
        self.plan_version = plan_version
        with self.open(self.path) as file:
            plan = json.load(file)
        self.offset_s = plan["offset_s"]
        self.faults = [Fault(**fault) for fault in plan["faults"]]
        self.counts = [0] * len(self.faults)

    def find(self, call: str, target: str = "") -> Fault | None:
        """Return the fault that applies to this call, if any; count it and wait for its stall."""
        if self.is_bypassed:
            return None
        self.is_bypassed = True
        try:
            self.refresh()
            for number, fault in enumerate(self.faults):
                if fault.call != call or fault.match not in target:
                    continue
                self.counts[number] += 1
                affected_count = self.counts[number] - fault.after
                if affected_count <= 0 or (fault.times and affected_count > fault.times):
                    continue
                self._record_hit(call)
                if fault.stall_s:
                    self.sleep(fault.stall_s)
                return fault
            return None
        finally:
            self.is_bypassed = False

    def _record_hit(self, call: str) -> None:
        descriptor = self.os_open(self.hits_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.os_write(descriptor, f"{call}\n".encode())
        self.os_close(descriptor)

    def check(self, call: str, target: str = "") -> Fault | None:
        """Raise the error of the fault that applies to this call; return a fault without an error."""
        fault = self.find(call, target)
        if fault is not None and fault.errno:
            number = getattr(errno, fault.errno)
            raise OSError(number, os.strerror(number))  # Python chooses the subclass by the number.
        return fault

    def wrap(self, owner: object, name: str, call: str, named: bool = False) -> None:
        """Replace a function of a module or class by one that applies faults.

        `named`: the first argument is a path or descriptor to match.
        """
        real = getattr(owner, name)

        def wrapped(*args: Any, **keywords: Any) -> Any:
            fault = self.check(call, self._target(args[0]) if named and args else "")
            if fault is not None and fault.short:
                args = _with_short_transfer(args, fault.short)
            return real(*args, **keywords)

        setattr(owner, name, wrapped)

    def _target(self, argument: object) -> str:
        """Return the path that a call concerns, given the path itself or an open descriptor."""
        if not isinstance(argument, int):
            return str(argument)
        try:
            return self.readlink(f"/proc/self/fd/{argument}")
        except OSError:
            return ""

    def install(self) -> None:
        """Replace all calls listed in the module's docstring, and the wall clock."""
        self.wrap(builtins, "open", "open", named=True)
        for name in ("open", "replace", "remove", "unlink", "listdir", "stat"):
            self.wrap(os, name, "remove" if name == "unlink" else name, named=True)
        for name in ("write", "pwrite", "read", "pread", "fsync", "fdatasync", "ftruncate"):
            self.wrap(os, name, name, named=True)
        self.wrap(fcntl, "flock", "flock")
        self.wrap(fcntl, "lockf", "lockf")
        self.wrap(fcntl, "ioctl", "ioctl")
        self.wrap(select, "poll", "poll")
        for name in ("accept", "setsockopt", "getsockopt"):
            self.wrap(socket.socket, name, name)
        real_ns, real = time.time_ns, time.time
        time.time_ns = lambda: real_ns() + int(self._offset() * NS_PER_S)
        time.time = lambda: real() + self._offset()
        self._install_loop()

    def _offset(self) -> float:
        if not self.is_bypassed:
            self.refresh()
        return self.offset_s

    def _install_loop(self) -> None:
        import uvloop

        layer = self

        class Loop(uvloop.Loop):
            """The event loop of the program, with faults of its connections."""

            async def create_connection(
                self,
                factory: ProtocolFactory,
                host: str | None = None,
                port: int | None = None,
                **more: Any,
            ) -> tuple[asyncio.Transport, asyncio.Protocol]:
                layer.check("connect", f"{host}:{port}")
                return await super().create_connection(
                    lambda: _with_faults(layer, factory(), "outgoing", f"{host}:{port}"), host, port, **more
                )

            async def connect_accepted_socket(
                self, factory: ProtocolFactory, sock: socket.socket, **more: Any
            ) -> tuple[asyncio.Transport, asyncio.Protocol]:
                layer.check("open_session")
                return await super().connect_accepted_socket(
                    lambda: _with_faults(layer, factory(), "accepted"), sock, **more
                )

        uvloop.new_event_loop = Loop


def _with_short_transfer(args: tuple[Any, ...], max_bytes: int) -> tuple[Any, ...]:
    """Return the arguments of a write or read (descriptor, then data or a size) with a limited size."""
    descriptor, data_or_size, *rest = args
    return (
        descriptor,
        data_or_size[:max_bytes] if not isinstance(data_or_size, int) else min(data_or_size, max_bytes),
        *rest,
    )


def _with_faults(
    layer: FaultLayer, protocol: asyncio.Protocol, side: str, target: str = ""
) -> asyncio.Protocol:
    """Return the protocol, changed to get a transport whose methods apply faults."""
    connection_made = protocol.connection_made

    def connection_made_with_faults(transport: asyncio.Transport) -> None:
        connection_made(FaultyTransport(layer, transport, side, target))

    protocol.connection_made = connection_made_with_faults
    return protocol


class FaultyTransport:
    """A transport whose methods raise the errors of armed faults."""

    def __init__(self, layer: FaultLayer, transport: asyncio.Transport, side: str, target: str) -> None:
        self._layer, self._transport, self._side, self._target = layer, transport, side, target

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._transport, name)
        if name not in TRANSPORT_CALLS:
            return method

        def call(*args: Any, **keywords: Any) -> Any:
            self._layer.check(f"{self._side}.{name}", self._target)
            return method(*args, **keywords)

        return call


if __name__ == "__main__":
    sys.path[0] = str(ROOT)
    from tests.support.timer_guard import TimerGuard

    TimerGuard().install()  # before its system calls fail
    FaultLayer(sys.argv[1]).install()
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
