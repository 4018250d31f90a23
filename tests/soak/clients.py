"""Clients of a soak run: kept and new connections, slow writers, and clients that leave."""

import asyncio
import itertools
import random
from dataclasses import dataclass

from tests.soak.executors import cut
from tests.soak.history import (
    ClientAnswered,
    ClientCutOff,
    ClientGaveUp,
    ClientLeft,
    ClientSent,
    ClientSurplus,
    History,
    now,
)
from tests.soak.schedule import ClassPlan, Schedule

ANSWER_GRACE_S = 0.5  # an answer this long after its time is late; after that it is lost
GIVE_UP_S = 1.0  # beyond that grace a client waits no longer
BODY = b"a body"


@dataclass
class Connection:
    """A client's connection to the node."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    opened_at: float
    last_call_id: str = ""

    @property
    def is_first(self) -> bool:
        """Return whether no request has been sent yet."""
        return not self.last_call_id


@dataclass(frozen=True)
class Answer:
    """An answer of the node."""

    status: int
    body: str
    headers: dict[str, str]


class Clients:
    """Sends requests at random times, each on a free kept connection or on a new one."""

    def __init__(self, schedule: Schedule, port: int, history: History, source: random.Random) -> None:
        self.schedule, self.plan, self.port = schedule, schedule.clients, port
        self.history, self.source = history, source
        self.is_sending = True
        self._free: list[Connection] = []
        self._numbers = itertools.count(1)
        self._call_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until `is_sending` is false, then wait for those that are open."""
        while self.is_sending:
            await asyncio.sleep(self.source.expovariate(self.plan.requests_per_s))
            task = asyncio.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        """Close all connections that are kept."""
        for connection in self._free:
            connection.writer.close()
        self._free.clear()

    async def _request(self) -> None:
        if len(self._tasks) > 4 * self.plan.connections:
            return  # the node is far behind, and more requests would show nothing new
        plan = self._draw_class()
        connection = await self._connection()
        if connection is None:  # no process listens
            return
        call_id = f"{self.schedule.seed:08x}{next(self._call_numbers):08x}"
        try:
            await self._write(connection, self._text(call_id, plan))
        except OSError:  # the request was never sent whole
            connection.writer.transport.abort()
            return
        number, is_first, opened_at = connection.number, connection.is_first, connection.opened_at
        sent = ClientSent(now(), call_id, plan.name, plan.deadline_s, number, is_first, opened_at)
        self.history.add(sent)
        connection.last_call_id = call_id
        await self._await_answer(connection, sent)

    def _draw_class(self) -> ClassPlan:
        shares = [plan.share for plan in self.schedule.classes]
        return self.source.choices(self.schedule.classes, shares)[0]

    async def _connection(self) -> Connection | None:
        if self._free and self.source.random() >= self.plan.new_connection_share:
            connection = self._free.pop()
            if not connection.reader.at_eof():
                return connection
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return None
        return Connection(next(self._numbers), reader, writer, now())

    def _text(self, call_id: str, plan: ClassPlan) -> bytes:
        lines = [
            "POST /api/7f3a9c21e0b4d655 HTTP/1.1",
            "Host: app.svc",
            f"X-Call-Id: {call_id}",
            f"X-Call-Class: {plan.name}",
            "X-Caller: acme",
            f"X-Budget-Ms: {int(plan.deadline_s * 1000)}",
            "X-Call-Info: slots=1,memory=0.5",
            f"Content-Length: {len(BODY)}",
        ]
        if plan.repeat == "guarded":
            lines.append(f"Idempotency-Key: {call_id}{call_id}")
        return "\r\n".join([*lines, "", ""]).encode() + BODY

    async def _write(self, connection: Connection, text: bytes) -> None:
        pieces = cut(text, self.source) if self._draws(self.plan.slow_write_share) else [text]
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(self.source.uniform(0.0, 0.1))
            connection.writer.write(piece)
            await connection.writer.drain()

    async def _await_answer(self, connection: Connection, sent: ClientSent) -> None:
        limit_s = sent.budget_s + ANSWER_GRACE_S + GIVE_UP_S
        leaves = self._draws(self.plan.leave_share)
        patience_s = self.source.uniform(0.0, 0.5) if leaves else limit_s
        try:
            answer = await asyncio.wait_for(read_answer(connection.reader), patience_s)
        except TimeoutError:
            self.history.add((ClientLeft if leaves else ClientGaveUp)(now(), sent.call_id))
            connection.writer.transport.abort()
            return
        if answer is None:
            self.history.add(ClientCutOff(now(), sent.call_id))
            connection.writer.close()
            return
        has_retry_after = "retry-after" in answer.headers
        self.history.add(ClientAnswered(now(), sent.call_id, answer.status, answer.body, has_retry_after))
        await self._keep_or_close(connection, answer)

    async def _keep_or_close(self, connection: Connection, answer: Answer) -> None:
        closes = answer.headers.get("connection") == "close"
        if closes or len(self._free) >= self.plan.connections:
            connection.writer.close()
            return
        surplus = bytes(connection.reader._buffer)  # anything here was sent after the whole answer
        if surplus:
            self.history.add(ClientSurplus(now(), connection.last_call_id, surplus.decode("latin-1")))
        self._free.append(connection)

    def _draws(self, share: float) -> bool:
        return self.source.random() < share


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Read one answer; return None if the connection ends before its first byte or within it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {
            name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:] if ": " in line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Answer(int(lines[0].split()[1]), body.decode(), headers)
