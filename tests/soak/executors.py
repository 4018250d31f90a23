"""Stand-in executors of a soak run: they answer in pieces, late or not at all, as their plans say."""

import asyncio
import json
import random
import socket
import struct
from dataclasses import dataclass

from tests.soak.history import ExecutorBroke, ExecutorEnded, ExecutorLost, ExecutorReceived, History, now
from tests.soak.listening import ListeningStandIn
from tests.soak.schedule import ExecutorPlan

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0 s
LAST_CHUNK = b"0\r\n\r\n"
MAX_PIECES = 4
POLL_S = 0.01  # interval at which a running request looks whether the node has closed its connection


@dataclass
class ReceivedRequest:
    """A request that an executor has received whole."""

    call_id: str
    path: str
    budget_s: float
    began_at: float


@dataclass(eq=False)
class Connection:
    """A connection of the node to an executor."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_reset: bool = False  # whether the executor itself has reset it

    @property
    def is_closed_by_node(self) -> bool:
        """Return whether the node has closed its side; it sends nothing while a request is in flight."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def reset(self) -> None:
        """Close with a reset."""
        self.is_reset = True
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()


class Executor(ListeningStandIn):
    """One executor; `restart` gives it a new process with no connections."""

    def __init__(self, plan: ExecutorPlan, number: int, history: History, source: random.Random) -> None:
        super().__init__()
        self.plan, self.number, self.history, self.source = plan, number, history, source
        self.busy = 0
        self.is_hanging = False
        self.started_at_ms = 0  # Unix time of the last start; 0 means long ago
        self.connections: set[Connection] = set()
        self._connection_count = 0

    def _abort_connections(self) -> None:
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def break_all(self) -> None:
        """Reset all connections, as a process that dies does."""
        for connection in list(self.connections):
            connection.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connection_count += 1
        connection = Connection(self._connection_count, reader, writer)
        self.connections.add(connection)
        try:
            while await self._serve_one(connection):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection or the run is over
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _serve_one(self, connection: Connection) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = await asyncio.wait_for(read_request(connection.reader), self.plan.idle_close_s)
        except TimeoutError:  # idle for too long, or a request that never becomes whole
            return False
        if request is None:
            return False
        received = ExecutorReceived(
            now(), request.call_id, self.number, connection.number, request.budget_s, request.began_at
        )
        self.history.add(received)
        return await self._answer(connection, request)

    async def _answer(self, connection: Connection, request: ReceivedRequest) -> bool:
        plan, draw = self.plan, self.source.random()
        if self.busy >= plan.slots or draw < plan.reject_share:
            self._end(request, "rejected")
            await self._send(connection, [b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"])
            return True
        self.busy += 1
        try:
            return await self._run(connection, request, draw - plan.reject_share)
        finally:
            self.busy -= 1

    async def _run(self, connection: Connection, request: ReceivedRequest, draw: float) -> bool:
        plan = self.plan
        await self._send(connection, [answer_head(closes := self._draws(plan.close_share))])
        await self._send(connection, [self._line(request, "started")])
        if await self._is_cut_off(connection, self.source.expovariate(1 / plan.mean_run_s)):
            self._record_broken(connection, request)
            return False
        if draw < plan.reset_share:
            self.history.add(ExecutorBroke(now(), request.call_id, self.number, "reset"))
            connection.reset()
            return False
        state = "failed" if draw - plan.reset_share < plan.fail_share else "done"
        return await self._finish(connection, request, state) and not closes

    async def _is_cut_off(self, connection: Connection, run_s: float) -> bool:
        """Run for a time, and on while the executor hangs; return whether the node has closed meanwhile."""
        until = now() + min(run_s, 4 * self.plan.mean_run_s)
        while now() < until or self.is_hanging:
            if connection.is_closed_by_node:
                return True
            await asyncio.sleep(min(POLL_S, max(0.001, until - now())))
        return connection.is_closed_by_node

    async def _finish(self, connection: Connection, request: ReceivedRequest, state: str) -> bool:
        """Send the final line and the last chunk, in pieces and late where the plan says so.

        Return whether the connection is still open.
        """
        plan = self.plan
        line = self._line(request, state, result=f"result of {request.call_id}", load=self._load())
        pieces = cut(line, self.source) if self._draws(plan.split_share) else [line]
        is_late = self._draws(plan.late_end_share)
        if not is_late:
            pieces[-1] += LAST_CHUNK
        try:
            await self._send(connection, pieces)
        except OSError:
            self._record_broken(connection, request)
            raise
        self._end(request, state)
        if is_late:
            await asyncio.sleep(self.source.uniform(0.0, plan.max_late_end_s))
            await self._send(connection, [LAST_CHUNK])
        return not connection.is_closed_by_node

    def _record_broken(self, connection: Connection, request: ReceivedRequest) -> None:
        """Record that the connection of a request in flight has ended, and on which side."""
        if connection.is_reset:
            self.history.add(ExecutorBroke(now(), request.call_id, self.number, "reset"))
        else:
            self.history.add(ExecutorLost(now(), request.call_id, self.number))

    async def _send(self, connection: Connection, pieces: list[bytes]) -> None:
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(self.source.uniform(0.001, self.plan.max_pause_s))
            connection.writer.write(piece)
            await connection.writer.drain()

    def _line(self, request: ReceivedRequest, state: str, **fields: object) -> bytes:
        """Return one chunk that holds a line."""
        text = json.dumps({"id": request.call_id, "from": self.plan.name, "state": state, **fields}) + "\n"
        return f"{len(text):x}\r\n{text}\r\n".encode()

    def _load(self) -> dict[str, float]:
        return {"x0": max(0, self.plan.slots - self.busy), "x1": 100.0}

    def _end(self, request: ReceivedRequest, state: str) -> None:
        self.history.add(ExecutorEnded(now(), request.call_id, self.number, state))

    def _draws(self, share: float) -> bool:
        return self.source.random() < share


def answer_head(closes: bool) -> bytes:
    """Return the head of a chunked answer."""
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + b"Connection: close\r\n" * closes + b"\r\n"


def cut(data: bytes, source: random.Random) -> list[bytes]:
    """Cut bytes at random places into at most MAX_PIECES pieces."""
    places = sorted({source.randrange(1, len(data)) for _ in range(source.randint(1, MAX_PIECES - 1))})
    return [data[begin:end] for begin, end in zip([0, *places], [*places, len(data)], strict=True)]


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """Read one request whole; return None at the end of the stream or for half a request."""
    first = await reader.read(1)
    if not first:
        return None
    began_at = now()
    try:
        head = first + await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    budget_s = int(headers.get("x-budget-ms", "0")) / 1000
    return ReceivedRequest(headers.get("x-call-id", ""), lines[0].split()[1], budget_s, began_at)
