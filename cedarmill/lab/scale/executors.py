"""Thousands of emulated executors in one process, each on a loopback port of its own.

An executor is shared with nodes that are not played: a share of its slots is busy with their requests at any
time, so the load of each executor does not depend on how many there are.
"""

import asyncio
import json
from dataclasses import dataclass, field

import httptools
import numpy

LISTEN_BACKLOG = 16
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ExecutorProfile:
    """What all executors have in common."""

    slots: int = 4
    busy_share: float = 0.5  # of the slots, by requests of other nodes
    work_s: float = 0.05  # mean time of a request
    cold_s: float = 3.0  # after a start, for which work takes longer
    cold_speed: float = 0.3
    idle_close_s: float = 10.0


@dataclass(slots=True, eq=False)
class ScaleExecutor:
    """One executor: its listening socket, its connections, and its faults."""

    name: str
    zone: str
    server: asyncio.Server = field(init=False)
    address: str = ""
    started_at: float = float("-inf")  # on the loop's clock
    silent: bool = False  # it takes requests and connections, and says nothing
    connections: set["ScaleConnection"] = field(default_factory=set)
    running: int = 0


class ScaleConnection(asyncio.Protocol):
    """One connection of the node to an executor: one request at a time."""

    transport: asyncio.Transport

    def __init__(self, fleet: "ExecutorFleet", executor: ScaleExecutor) -> None:
        self.fleet, self.executor = fleet, executor
        self.parser = httptools.HttpRequestParser(self)
        self.target = self.request_id = b""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count it."""
        self.transport = transport  # type: ignore[assignment]
        self.fleet.connections_made += 1
        self.executor.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget it."""
        self.closed = True
        self.executor.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read a request."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """A request begins."""
        self.target = self.request_id = b""

    def on_url(self, url: bytes) -> None:
        """Take a part of its target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep its id."""
        if name.lower() == b"x-call-id":
            self.request_id = value

    def on_message_complete(self) -> None:
        """The request is whole."""
        if self.executor.silent:
            return
        if self.target.startswith((b"/status/load", b"/health")):
            self.fleet.probes += 1
            if not self.fleet.answers_probes:
                return
            self.write_body(self.fleet.load_report(self.executor))
        else:
            self.fleet.serve(self, self.executor, self.request_id.decode())

    def write_body(self, body: bytes) -> None:
        """Answer a probe."""
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def write_done(self, request_id: str) -> None:
        """Answer a request."""
        if self.closed:
            return
        row = {"id": request_id, "from": self.executor.name, "state": "done", "result": "fine"}
        line = json.dumps(row).encode() + b"\n"
        self.transport.write(HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))


class ExecutorFleet:
    """All executors of a run."""

    def __init__(self, profile: ExecutorProfile, generator: numpy.random.Generator) -> None:
        self.profile, self.generator = profile, generator
        self.members: dict[str, ScaleExecutor] = {}
        self.connections_made = self.probes = self.served = 0
        self.answers_probes = True

    async def start(self, name: str, zone: str, *, cold: bool = False) -> ScaleExecutor:
        """Start an executor on a free loopback port."""
        loop = asyncio.get_running_loop()
        executor = ScaleExecutor(name, zone)
        executor.server = await loop.create_server(
            lambda: ScaleConnection(self, executor), "127.0.0.1", 0, backlog=LISTEN_BACKLOG
        )
        executor.address = f"127.0.0.1:{executor.server.sockets[0].getsockname()[1]}"
        if cold:
            executor.started_at = loop.time()
        self.members[name] = executor
        return executor

    def stop(self, name: str) -> None:
        """End an executor: its connections are reset, new ones refused."""
        executor = self.members.pop(name)
        executor.server.close()
        for connection in list(executor.connections):
            connection.transport.abort()

    def stop_all(self) -> None:
        """End all."""
        for name in list(self.members):
            self.stop(name)

    def _busy(self, executor: ScaleExecutor) -> int:
        """Slots taken now, by this node and, drawn anew, by those that are not played."""
        others = int(self.generator.binomial(self.profile.slots, self.profile.busy_share))
        return min(self.profile.slots, others + executor.running)

    def load_report(self, executor: ScaleExecutor) -> bytes:
        """Free slots and free memory, as a probe's body."""
        free = self.profile.slots - self._busy(executor)
        return json.dumps({"x0": free, "x1": free}).encode()

    def serve(self, connection: ScaleConnection, executor: ScaleExecutor, request_id: str) -> None:
        """Run a request: it waits for a slot where none is free."""
        loop, profile = asyncio.get_running_loop(), self.profile
        waits = self._busy(executor) >= profile.slots
        executor.running += 1
        took = float(self.generator.exponential(profile.work_s))
        if waits:
            took += float(self.generator.exponential(profile.work_s / profile.slots))
        if loop.time() - executor.started_at < profile.cold_s:
            took /= profile.cold_speed
        loop.call_later(took, self._end, connection, executor, request_id)

    def _end(self, connection: ScaleConnection, executor: ScaleExecutor, request_id: str) -> None:
        executor.running -= 1
        self.served += 1
        connection.write_done(request_id)
