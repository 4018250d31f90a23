"""Clients on sockets: open-loop arrivals, so that waiting counts from when a call was due.

A closed loop would send less while the node is slow and hide just what it is to show.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol, cast

import httptools
import numpy

from cedarmill.lab.experiment import random_generator
from cedarmill.lab.history import Answer, Call
from cedarmill.lab.listener import LOOPBACK

EXTRA_US = 300_000  # past its budget a client waits no longer: then it closes
RETRY_MEAN_S = 0.1  # mean time until a client comes back by itself (exponential)
REFUSED = (429, 503)  # statuses by which nothing has run
SERVED = 200


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


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """What all clients of a run do."""

    habits: Sequence[Habits]
    rate: float  # calls a second; arrivals are a Poisson process
    leave_by: str = "close"  # or reset, or half: see `ClientConnection.leave`
    trace: Sequence[int] = ()  # when calls are due (us), instead of the rate
    reuse_connections: bool = True  # or each call on a connection of its own, node by node


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a client at its job."""

    job: int
    due: int
    habits: Habits
    work: float  # us at speed 1
    tries: int = 0  # before this one
    leaves_after: int | None = None  # us; None: it stays

    def again(self, due: int) -> "Attempt":
        """The next try."""
        return Attempt(self.job, due, self.habits, self.work, self.tries + 1, self.leaves_after)


class ConnectionOwner(Protocol):
    """What a client's connection tells what has become of its call."""

    clock: Callable[[], int]
    idle: "set[ClientConnection]"
    stray: list[Answer]

    def call_ended(self, call: Call, retry_after: float | None) -> None:
        """A call has its answer or its break; `retry_after` in seconds, where the answer says so."""


class ClientConnection(asyncio.Protocol):
    """One connection of the clients: one call at a time."""

    transport: asyncio.Transport

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.call: Call | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio: there is a connection."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Asyncio: the connection has ended; a call that waits on it is broken."""
        call, self.call = self.call, None
        self.owner.idle.discard(self)
        if call is not None:
            call.broken = True
            self.owner.call_ended(call, None)
        self.parser = None

    def data_received(self, data: bytes) -> None:
        """Asyncio: bytes have come in."""
        if self.parser is not None:
            self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """httptools: an answer begins."""
        self.headers, self.body = {}, bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """httptools: a header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """httptools: a piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """httptools: an answer is whole."""
        assert self.parser is not None
        call, self.call = self.call, None
        keep = self.parser.should_keep_alive()
        status = self.parser.get_status_code()
        answer = Answer(self.owner.clock(), status, self.body.decode("utf-8", "replace"))
        if call is None:  # a second answer, or one that nobody asked for
            self.owner.stray.append(answer)
        if keep:
            self.owner.idle.add(self)
        else:
            self.transport.close()
        if call is not None:
            call.answers.append(answer)
            self.owner.call_ended(call, float(self.headers.get(b"retry-after", 0)))

    def send(self, call: Call, work_us: float) -> None:
        """Send a call; its body names the work."""
        self.call = call
        body = b"%d" % int(work_us)
        head = (
            f"POST /api/{call.job:x} HTTP/1.1\r\nHost: lab\r\nX-Call-Id: {call.id}\r\n"
            f"X-Call-Class: {call.job_class}\r\nX-Caller: lab\r\nX-Budget-Ms: {call.budget // 1000}\r\n"
            f"X-Call-Cost: {int(work_us)}\r\nIdempotency-Key: {call.job:032x}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)

    def leave(self, how: str) -> None:
        """Go away: `close`, `reset`, or `half` (end the sending only)."""
        call, self.call = self.call, None
        if call is not None:
            call.left = self.owner.clock()
        if how == "half":
            self.transport.write_eof()
        else:
            self.transport.abort()


class Load:
    """All clients of a run, spread over the first nodes."""

    def __init__(
        self,
        options: LoadOptions,
        clock: Callable[[], int],
        seed: numpy.random.SeedSequence,
        ports: Callable[[], list[int]],
    ) -> None:
        self.options, self.clock, self.ports = options, clock, ports
        self._arrivals, self._traits, self._waits = map(random_generator, seed.spawn(3))
        self.calls: list[Call] = []
        self.stray: list[Answer] = []  # that nobody waited for
        self.idle: set[ClientConnection] = set()
        self.open = 0  # calls that have not ended
        self.until = 0
        self._jobs, self._ids, self._turns = itertools.count(1), itertools.count(1), itertools.count()
        self._attempts: dict[str, Attempt] = {}  # by the id of an open call
        self._next_due = 0.0
        self._trace: Iterator[int] | None = iter(options.trace) if options.trace else None
        self._tasks: set[asyncio.Task[tuple[asyncio.Transport, ClientConnection]]] = set()

    def start(self, until: int) -> None:
        """Let arrivals come until that time."""
        self.until = until
        self._schedule()

    def _schedule(self) -> None:
        if self._trace is not None:
            self._next_due = next(self._trace, self.until)
        else:
            self._next_due += self._arrivals.exponential(1e6 / self.options.rate)
        if self._next_due < self.until:
            wait_s = max(0.0, self._next_due - self.clock()) / 1e6
            asyncio.get_running_loop().call_later(wait_s, self._arrive, int(self._next_due))

    def _arrive(self, due: int) -> None:
        self._schedule()
        parts = [habits.part for habits in self.options.habits]
        habits = self.options.habits[int(self._traits.choice(len(parts), p=parts))]
        sigma = habits.spread
        work = float(self._traits.lognormal(numpy.log(habits.work) - sigma**2 / 2, sigma))
        leaves, after = self._traits.random() < habits.leave, int(self._traits.exponential(habits.patience))
        self._try(Attempt(next(self._jobs), due, habits, work, leaves_after=after if leaves else None))

    def _try(self, attempt: Attempt) -> None:
        habits = attempt.habits
        call = Call(
            f"{next(self._ids):016x}", habits.job_class, attempt.job, attempt.due, budget=habits.budget
        )
        self._attempts[call.id] = attempt
        self.calls.append(call)
        self.open += 1
        connection = self._idle_connection()
        if connection is not None:
            self._send(connection, call)
            return
        ports = self.ports()
        call.port = ports[next(self._turns) % len(ports)]
        opening = asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(self), LOOPBACK, call.port
        )
        task = asyncio.ensure_future(opening)  # the connection's, whatever it will carry
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_opened(done, call))

    def _idle_connection(self) -> ClientConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if not self.options.reuse_connections:  # one that has just started gets its part at once
                connection.transport.close()
            elif not connection.transport.is_closing():
                return connection
        return None

    def _on_opened(
        self, task: "asyncio.Task[tuple[asyncio.Transport, ClientConnection]]", call: Call
    ) -> None:
        self._tasks.discard(task)
        failed = task.cancelled() or task.exception() is not None
        if failed or task.result()[0].is_closing():  # it may be lost before this is called
            call.sent, call.broken = self.clock(), True
            self.call_ended(call, None)
            return
        self._send(task.result()[1], call)

    def _send(self, connection: ClientConnection, call: Call) -> None:
        attempt = self._attempts[call.id]
        call.sent = self.clock()
        connection.send(call, attempt.work)
        stays = attempt.leaves_after is None
        wait_us = attempt.habits.budget + EXTRA_US if stays else attempt.leaves_after or 0
        asyncio.get_running_loop().call_later(wait_us / 1e6, self._leave, connection, call)

    def _leave(self, connection: ClientConnection, call: Call) -> None:
        if connection.call is call and not connection.transport.is_closing():
            connection.leave(self.options.leave_by)
            self._forget(call)

    def _forget(self, call: Call) -> None:
        self.open -= 1
        self._attempts.pop(call.id, None)

    def call_ended(self, call: Call, retry_after: float | None) -> None:
        """A try has its answer or its break; the client may come back, as it was told to."""
        attempt = self._attempts[call.id]
        habits = attempt.habits
        self._forget(call)
        refused = bool(call.answers) and call.answers[-1].status in REFUSED
        if (refused or (call.broken and habits.repeats)) and attempt.tries < habits.retries:
            wait_s = max(retry_after or 0.0, float(self._waits.exponential(RETRY_MEAN_S)))
            due = self.clock() + int(wait_s * 1e6)
            if due < self.until:
                asyncio.get_running_loop().call_later(wait_s, self._try, attempt.again(due))


def last_answer_due(length: int, habits: Sequence[Habits], rest: int) -> int:
    """When a run of that length may end at the latest: after the longest budget and a rest (all us)."""
    return length + max(one.budget for one in habits) + rest
