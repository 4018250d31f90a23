"""Faults below the program: system calls that fail, come short or stall, and a stepped wall clock.

Tests run a process of the program under this script (`command` builds its command line) and hold a
`FaultPlan` that arms faults while it runs. The program knows nothing of it. Names of the calls:

* `accept`, `setsockopt`, `getsockopt`, `ioctl`, `poll`, `flock`: of the standard library;
* `open` (the built-in and os.open), `write`, `pwrite`, `read`, `pread`, `fsync`, `fdatasync`, `ftruncate`,
  `replace`, `remove`, `listdir`, `stat`: files, matched by path where the call names one;
* `connect` (matched by HOST:PORT) and `open_session`: what the event loop opens and accepts;
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
    """One fault: of the calls that match, `after` pass, then `times` fail."""

    call: str
    errno: str = ""  # the name of an error, such as "ENOSPC"; empty: the call is carried out
    match: str = ""  # a part of the path or of HOST:PORT; empty: any
    after: int = 0
    times: int = 1  # 0: until it is disarmed
    short: int = 0  # bytes that a write or read does at most, where not 0
    stall_s: float = 0.0  # seconds that the call takes longer


@dataclass
class FaultPlan:
    """The test's side: a folder through which a running process learns its faults."""

    folder: str
    offset_s: float = 0.0
    faults: list[Fault] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._publish()

    def command(self, module: str, *arguments: str) -> list[str]:
        """The command line that runs a module of the program under this plan."""
        return [sys.executable, __file__, self.folder, module, *arguments]

    def arm(self, *faults: Fault) -> None:
        """From now on these faults hold, and no others."""
        self.faults = list(faults)
        self._publish()

    def step_clock(self, seconds: float) -> None:
        """Set the wall clock off by so much from now on (0: right); the monotonic one runs on."""
        self.offset_s = seconds
        self._publish()

    def hits(self, call: str = "") -> int:
        """How many calls have failed, come short or stalled: of that name, or all."""
        path = Path(self.folder, HITS)
        names = path.read_text().split() if path.exists() else []
        return sum(not call or name == call for name in names)

    def _publish(self) -> None:
        text = json.dumps({"offset_s": self.offset_s, "faults": [asdict(fault) for fault in self.faults]})
        new = Path(self.folder, f"{PLAN}.new")
        new.write_text(text)
        os.replace(new, Path(self.folder, PLAN))


class FaultLayer:
    """The process's side: carries out what the plan says, looked up at each call."""

    def __init__(self, folder: str) -> None:
        self.path, self.hits_path = os.path.join(folder, PLAN), os.path.join(folder, HITS)
        self.stat, self.open, self.os_open, self.os_write = os.stat, builtins.open, os.open, os.write
        self.os_close, self.readlink, self.sleep = os.close, os.readlink, time.sleep
        self.seen: tuple[int, int] | None = None  # inode and time of change of the plan that was read
        self.offset_s = 0.0
        self.faults: list[Fault] = []
        self.counts: list[int] = []
        self.inside = False  # while the layer itself makes system calls

    def refresh(self) -> None:
        """Read the plan again where it has changed."""
        stat = self.stat(self.path)
        seen = (stat.st_ino, stat.st_mtime_ns)
        if seen == self.seen:
            return
        self.seen = seen
        with self.open(self.path) as file:
            plan = json.load(file)
        self.offset_s = plan["offset_s"]
        self.faults = [Fault(**fault) for fault in plan["faults"]]
        self.counts = [0] * len(self.faults)

    def find(self, call: str, about: str = "") -> Fault | None:
        """The fault that this call meets, if any; it is counted. Stalls are served here."""
        if self.inside:
            return None
        self.inside = True
        try:
            self.refresh()
            for number, fault in enumerate(self.faults):
                if fault.call != call or fault.match not in about:
                    continue
                self.counts[number] += 1
                past = self.counts[number] - fault.after
                if past <= 0 or (fault.times and past > fault.times):
                    continue
                self._hit(call)
                if fault.stall_s:
                    self.sleep(fault.stall_s)
                return fault
            return None
        finally:
            self.inside = False  # while the layer itself makes system calls

    def _hit(self, call: str) -> None:
        number = self.os_open(self.hits_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.os_write(number, f"{call}\n".encode())
        self.os_close(number)

    def check(self, call: str, about: str = "") -> Fault | None:
        """Raise the error that this call meets; else its fault, if any."""
        fault = self.find(call, about)
        if fault is not None and fault.errno:
            number = getattr(errno, fault.errno)
            raise OSError(number, os.strerror(number))  # Python makes the subclass of the number
        return fault

    def wrap(self, owner: object, name: str, call: str, named: bool = False) -> None:
        """Lay this layer over a function of a module or class."""
        real = getattr(owner, name)

        def wrapped(*args: Any, **keywords: Any) -> Any:
            fault = self.check(call, self._about(args[0]) if named and args else "")
            if fault is not None and fault.short:
                args = _shortened(args, fault.short)
            return real(*args, **keywords)

        setattr(owner, name, wrapped)

    def _about(self, first: object) -> str:
        """What a call concerns: a path, also where it names an open descriptor."""
        if not isinstance(first, int):
            return str(first)
        try:
            return self.readlink(f"/proc/self/fd/{first}")
        except OSError:
            return ""

    def install(self) -> None:
        """Over all calls that the program makes."""
        self.wrap(builtins, "open", "open", named=True)
        for name in ("open", "replace", "remove", "unlink", "listdir", "stat"):
            self.wrap(os, name, "remove" if name == "unlink" else name, named=True)
        for name in ("write", "pwrite", "read", "pread", "fsync", "fdatasync", "ftruncate"):
            self.wrap(os, name, name, named=True)
        self.wrap(fcntl, "flock", "flock")
        self.wrap(fcntl, "ioctl", "ioctl")
        self.wrap(select, "poll", "poll")
        for name in ("accept", "setsockopt", "getsockopt"):
            self.wrap(socket.socket, name, name)
        real_ns, real = time.time_ns, time.time
        time.time_ns = lambda: real_ns() + int(self._offset() * NS_PER_S)
        time.time = lambda: real() + self._offset()
        self._install_loop()

    def _offset(self) -> float:
        if not self.inside:
            self.refresh()
        return self.offset_s

    def _install_loop(self) -> None:
        import uvloop

        layer = self

        class Loop(uvloop.Loop):
            """The program's loop, whose connections this layer can break."""

            async def create_connection(
                self,
                factory: ProtocolFactory,
                host: str | None = None,
                port: int | None = None,
                **more: Any,
            ) -> tuple[asyncio.Transport, asyncio.Protocol]:
                layer.check("connect", f"{host}:{port}")
                return await super().create_connection(
                    lambda: _watched(layer, factory(), "outgoing", f"{host}:{port}"), host, port, **more
                )

            async def connect_accepted_socket(
                self, factory: ProtocolFactory, sock: socket.socket, **more: Any
            ) -> tuple[asyncio.Transport, asyncio.Protocol]:
                layer.check("open_session")
                return await super().connect_accepted_socket(
                    lambda: _watched(layer, factory(), "accepted"), sock, **more
                )

        uvloop.new_event_loop = Loop


def _shortened(args: tuple[Any, ...], most: int) -> tuple[Any, ...]:
    """The arguments of a write or read (descriptor, then bytes or a size), with so many bytes at most."""
    first, second, *rest = args
    return (first, second[:most] if not isinstance(second, int) else min(second, most), *rest)


def _watched(layer: FaultLayer, protocol: asyncio.Protocol, side: str, about: str = "") -> asyncio.Protocol:
    """The protocol, which is given a transport that this layer can break."""
    connection_made = protocol.connection_made

    def made(transport: asyncio.Transport) -> None:
        connection_made(FaultyTransport(layer, transport, side, about))

    protocol.connection_made = made
    return protocol


class FaultyTransport:
    """A transport whose methods raise when the plan says so."""

    def __init__(self, layer: FaultLayer, transport: asyncio.Transport, side: str, about: str) -> None:
        self._layer, self._transport, self._side, self._about = layer, transport, side, about

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._transport, name)
        if name not in TRANSPORT_CALLS:
            return method

        def call(*args: Any, **keywords: Any) -> Any:
            self._layer.check(f"{self._side}.{name}", self._about)
            return method(*args, **keywords)

        return call


if __name__ == "__main__":
    FaultLayer(sys.argv[1]).install()
    sys.path[0] = str(ROOT)
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
