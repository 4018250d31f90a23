"""Clients on sockets: open-loop arrivals, so that waiting counts from when a call was due.

A closed loop would send less while the node is slow and hide just what it is to show.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

import httptools
import numpy

from cedarmill.lab.history import Answer, Call

EXTRA_US = 300_000  # past its budget a client waits no longer: then it closes


@dataclass(frozen=True, slots=True)
class Habits:
    """What the clients of one class do. Times in microseconds, shares from 0 to 1."""

    job_class: str
    part: float  # of all arrivals
    budget: int
    work: float  # mean work of a job at speed 1
    spread: float  # sigma of the log of the work
    leave: float  # share of the calls whose client goes before its answer
    patience: float  # mean time after which such a client goes (exponential)
    retries: int  # times that a client comes back after a refusal, or a break where it may
    repeats: bool = True  # whether it may come back after a break, when the job may have run


class ClientConnection(asyncio.Protocol):
    """One connection of the clients: one call at a time."""

    def __init__(self, load: "Load") -> None:
        self.load = load
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.call: Call | None = None
        self.headers, self.body = {}, bytearray()

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, error) -> None:
        call, self.call = self.call, None
        self.load.idle.discard(self)
        if call is not None:
            call.broken = True
            self.load.call_ended(call, None)
        self.parser = None

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.headers, self.body = {}, bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        call, self.call = self.call, None
        keep = self.parser.should_keep_alive()
        status = self.parser.get_status_code()
        answer = Answer(self.load.clock(), status, self.body.decode("utf-8", "replace"))
        if call is None:  # a second answer, or one that nobody asked for
            self.load.stray.append(answer)
        if keep:
            self.load.idle.add(self)
        else:
            self.transport.close()
        if call is not None:
            call.answers.append(answer)
            self.load.call_ended(call, float(self.headers.get(b"retry-after", 0)))

    def leave(self, how: str) -> None:
        """Go away: `close`, `reset`, or `half` (end the sending only)."""
        call, self.call = self.call, None
        call.left = self.load.clock()
        if how == "half":
            self.transport.write_eof()
        else:
            self.transport.abort()


class Load:
    """All clients of a run, spread over the first nodes."""

    def __init__(self, clock: Callable[[], int], seeds: numpy.random.SeedSequence, habits: tuple[Habits, ...],
                 rate: float, ports: Callable[[], list[int]], leave_by: str,
                 trace: tuple[int, ...] = ()) -> None:  # fmt: skip
        self.clock, self.habits, self.rate, self.ports, self.leave_by = clock, habits, rate, ports, leave_by
        streams = [numpy.random.Generator(numpy.random.PCG64(seed)) for seed in seeds.spawn(3)]
        self.arrivals, self.traits, self.waits = streams  # apart: one more draw here moves none there
        self.calls: list[Call] = []
        self.stray: list[Answer] = []
        self.idle: set[ClientConnection] = set()
        self.open = 0
        self.until = 0
        self._jobs, self._ids, self._turns = itertools.count(1), itertools.count(1), itertools.count()
        self._plans: dict[int, tuple[Habits, float, int, int | None]] = {}
        self._next = 0.0
        self._trace = iter(trace) if trace else None
        self._tasks: set[asyncio.Task] = set()

    def start(self, until: int) -> None:
        """Let arrivals come until that time."""
        self.until = until
        self._schedule()

    def _schedule(self) -> None:
        if self._trace is not None:
            self._next = next(self._trace, self.until)
        else:
            self._next += self.arrivals.exponential(1e6 / self.rate)
        if self._next < self.until:
            wait = max(0.0, self._next - self.clock()) / 1e6
            asyncio.get_running_loop().call_later(wait, self._arrive, int(self._next))

    def _arrive(self, due: int) -> None:
        self._schedule()
        habits = self.habits[int(self.traits.choice(len(self.habits), p=[h.part for h in self.habits]))]
        sigma = habits.spread
        work = float(self.traits.lognormal(numpy.log(habits.work) - sigma**2 / 2, sigma))
        goes, after = self.traits.random() < habits.leave, int(self.traits.exponential(habits.patience))
        self._try(next(self._jobs), due, habits, work, 0, after if goes else None)

    def _try(self, job: int, due: int, habits: Habits, work: float, tries: int, leaves: int | None) -> None:
        call = Call(f"{next(self._ids):016x}", habits.job_class, job, due, budget=habits.budget)
        self._plans[id(call)] = habits, work, tries, leaves
        self.calls.append(call)
        self.open += 1
        wire = self._idle()
        if wire is not None:
            self._send(wire, call)
            return
        ports = self.ports()
        port = call.port = ports[next(self._turns) % len(ports)]
        opening = asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(self), "127.0.0.1", port
        )
        task = asyncio.ensure_future(opening)  # the connection's, whatever it will carry
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._opened(done, call))

    def _idle(self) -> "ClientConnection | None":
        while self.idle:
            wire = self.idle.pop()
            if not wire.transport.is_closing():
                return wire
        return None

    def _opened(self, task: asyncio.Task, call: Call) -> None:
        self._tasks.discard(task)
        failed = task.cancelled() or task.exception() is not None
        if failed or task.result()[0].is_closing():  # it may be lost before this is called
            call.sent, call.broken = self.clock(), True
            self.call_ended(call, None)
            return
        self._send(task.result()[1], call)

    def _send(self, wire: "ClientConnection", call: Call) -> None:
        habits, work, _, leaves = self._plans[id(call)]
        wire.call, call.sent = call, self.clock()
        body = b"%d" % int(work)
        wire.transport.write(
            b"POST /api/%x HTTP/1.1\r\nHost: lab\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: lab\r\n"
            b"X-Budget-Ms: %d\r\nX-Call-Cost: %d\r\nIdempotency-Key: %032x\r\nContent-Length: %d\r\n\r\n%s"
            % (call.job, call.id.encode(), call.job_class.encode(), habits.budget // 1000, int(work),
               call.job, len(body), body))  # fmt: skip
        wait = habits.budget + EXTRA_US if leaves is None else leaves
        asyncio.get_running_loop().call_later(wait / 1e6, self._go, wire, call)

    def _go(self, wire: "ClientConnection", call: Call) -> None:
        if wire.call is call and not wire.transport.is_closing():
            wire.leave(self.leave_by)
            self._ended(call)

    def _ended(self, call: Call) -> None:
        self.open -= 1
        self._plans.pop(id(call), None)

    def call_ended(self, call: Call, retry_after: float | None) -> None:
        """A try has its answer or its break; the client may come back, as it was told to."""
        habits, work, tries, leaves = self._plans[id(call)]
        self._ended(call)
        refused = bool(call.answers) and call.answers[-1].status in (429, 503)
        if (refused or (call.broken and habits.repeats)) and tries < habits.retries:
            wait = max(retry_after or 0.0, float(self.waits.exponential(0.1)))
            due = self.clock() + int(wait * 1e6)
            if due < self.until:
                again = call.job, due, habits, work, tries + 1, leaves
                asyncio.get_running_loop().call_later(wait, self._try, *again)
