"""Lookup boxes on sockets: cores that jobs share, slots, an in-order queue, and faults by script.

They speak the executors' side of the platform's protocol page.
"""

import asyncio
import json
from collections import deque
from collections.abc import Callable

import httptools
import numpy

from cedarmill.lab.history import Visit

REJECT = b"HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
BREAK_S = 0.2  # mean time into a request at which a reset comes, where that is the fault
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ExecutorRequest:
    """One attempt at a box: its visit, and the work that it still needs (us at speed 1)."""

    __slots__ = ("visit", "left", "wire", "began")

    def __init__(self, visit: Visit, work: float, wire: "ExecutorConnection") -> None:
        self.visit, self.left, self.wire = visit, work, wire
        self.began = 0


class ExecutorConnection(asyncio.Protocol):
    """One connection to a box: one request at a time."""

    def __init__(self, box: "EmulatedExecutor") -> None:
        self.box = box
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.job: ExecutorRequest | None = None
        self.target, self.headers, self.body = b"", {}, bytearray()

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.box.wires.add(self)
        self.box.spent.append((self.box.clock(), "connects"))

    def connection_lost(self, error) -> None:
        self.box.wires.discard(self)
        self.parser = None
        self.box.abandoned(self)

    def eof_received(self) -> bool:
        """An end of sending cancels as a close does, where the box honours it."""
        self.box.abandoned(self)
        return False

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.target, self.headers, self.body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        if self.target.startswith(b"/status/load"):
            self.box.spent.append((self.box.clock(), "probes"))
            self.write_whole(200, json.dumps({"x0": self.box.free(), "x1": self.box.free()}).encode())
        else:
            self.box.asked(self)

    def write_whole(self, status: int, body: bytes) -> None:
        head = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        self.transport.write(head + body)

    def done(self, visit: Visit) -> None:
        line = json.dumps({"id": visit.id, "from": visit.executor, "state": "done",
                           "result": f"{visit.id} by {visit.executor}"}).encode() + b"\n"  # fmt: skip
        self.transport.write(HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))


class EmulatedExecutor:
    """One lookup box: the sum of running jobs shares its cores, the rest waits in order."""

    def __init__(self, name: str, zone: str, cores: int, slots: int, speed: float, queue: int, honours: bool,
                 work: Callable[[bytes, str], float], clock: Callable[[], int],
                 visits: list[Visit], dice: numpy.random.Generator) -> None:  # fmt: skip
        self.name, self.zone, self.cores, self.slots, self.speed = name, zone, cores, slots, speed
        self.queue_bound, self.honours, self.work, self.clock = queue, honours, work, clock
        self.visits, self.dice = visits, dice
        self.spent: list[tuple[int, str]] = []  # when, of which budget: probes and connections that came
        self.running: list[ExecutorRequest] = []
        self.waiting: deque[ExecutorRequest] = deque()
        self.wires: set[ExecutorConnection] = set()
        self.faults: dict[str, float] = {}  # kind to part or factor, while it lasts
        self.address = ""
        self._counted = 0
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free loopback port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ExecutorConnection(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """End the box."""
        self._server.close()
        if self._timer is not None:
            self._timer.cancel()
        for wire in list(self.wires):
            wire.transport.abort()

    def free(self) -> int:
        return max(0, self.slots - len(self.running) - len(self.waiting))

    # Faults.

    def fault(self, kind: str, size: float) -> None:
        """Begin a fault; `lift` ends it."""
        self._advance()
        self.faults[kind] = size
        self._plan()

    def lift(self, kind: str) -> None:
        self._advance()
        self.faults.pop(kind, None)
        self._start()

    def _rate(self) -> float:
        """What each running job gets of a core, times its speed."""
        if not self.running or "stall" in self.faults:
            return 0.0
        return self.speed * self.faults.get("slow", 1.0) * min(1.0, self.cores / len(self.running))

    # Jobs.

    def asked(self, wire: ExecutorConnection) -> None:
        """A request is whole: from now on it counts."""
        now, faults = self.clock(), self.faults
        job_class = wire.headers.get(b"x-call-class", b"").decode()
        visit = Visit(self.name, self.zone, wire.headers[b"x-call-id"].decode(), job_class, now)
        self.visits.append(visit)
        if self.dice.random() < faults.get("refuse", 0.0) or len(self.waiting) >= self.queue_bound:
            visit.outcome, visit.ended = "rejected", now
            wire.transport.write(REJECT)
            return
        if self.dice.random() < faults.get("reset", 0.0):
            after = float(self.dice.exponential(BREAK_S))
            asyncio.get_running_loop().call_later(after, self._break, wire, visit)
        wire.job = ExecutorRequest(visit, self.work(bytes(wire.body), job_class), wire)
        if "hang" not in faults:  # one that hangs takes work and says nothing
            self.waiting.append(wire.job)
            self._advance()
            self._start()

    def abandoned(self, wire: ExecutorConnection) -> None:
        """The node has closed: a box that honours it stops, any other goes on for nobody."""
        job, wire.job = wire.job, None
        if job is None or job.visit.ended is not None or not self.honours:
            return
        self._advance()
        self._take_out(job)
        self._end(job, "stopped")
        self._start()

    def _break(self, wire: ExecutorConnection, visit: Visit) -> None:
        """The connection breaks under its request, and the job dies with it."""
        job = wire.job
        if job is None or job.visit is not visit or visit.ended is not None:
            return
        self._advance()
        self._take_out(job)
        self._end(job, "lost")
        wire.job = None
        wire.transport.abort()
        self._start()

    def _take_out(self, job: ExecutorRequest) -> None:
        for place in (self.running, self.waiting):
            if job in place:
                place.remove(job)

    def _end(self, job: ExecutorRequest, outcome: str) -> None:
        visit = job.visit
        visit.ended, visit.outcome = self.clock(), outcome
        visit.slot_time = visit.ended - visit.began if visit.began is not None else 0

    def _advance(self) -> None:
        """Count the work done since the last call."""
        now, rate = self.clock(), self._rate()
        for job in self.running:
            job.left -= rate * (now - self._counted)
        self._counted = now

    def _start(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            job.visit.began = self.clock()
            self.running.append(job)
        self._plan()

    def _plan(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer, rate = None, self._rate()
        if rate > 0:
            wait = max(0.0, min(job.left for job in self.running)) / rate
            self._timer = asyncio.get_running_loop().call_later(wait / 1e6, self._due)

    def _due(self) -> None:
        self._advance()
        for job in [job for job in self.running if job.left <= 1]:
            self.running.remove(job)
            self._end(job, "done")
            wire = job.wire
            if wire.job is job and not wire.transport.is_closing():
                wire.job = None
                wire.done(job.visit)
        self._start()
