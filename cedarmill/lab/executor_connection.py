"""One connection to an emulated executor: the executors' side of the platform's protocol page."""

import asyncio
import json
from typing import TYPE_CHECKING, cast

import httptools

from cedarmill.lab.history import Visit

if TYPE_CHECKING:
    from cedarmill.lab.executor import EmulatedExecutor

LOAD_REPORT_PATH = b"/status/load"
REJECTION = b"HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ExecutorJob:
    """One attempt at an executor: its visit, and the work that it still needs (us at speed 1)."""

    __slots__ = ("connection", "remaining_us", "visit")

    def __init__(self, visit: Visit, work_us: float, connection: "ExecutorConnection") -> None:
        self.visit, self.remaining_us, self.connection = visit, work_us, connection

    @property
    def awaited(self) -> bool:
        """Whether its connection still waits for it."""
        return self.connection.job is self


class ExecutorConnection(asyncio.Protocol):
    """One connection to an executor: one request at a time."""

    transport: asyncio.Transport

    def __init__(self, executor: "EmulatedExecutor") -> None:
        self.executor = executor
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.job: ExecutorJob | None = None
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio: there is a connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.executor.connections.add(self)
        self.executor.note_spending("connects")

    def connection_lost(self, error: Exception | None) -> None:
        """Asyncio: the connection has ended."""
        self.executor.connections.discard(self)
        self.parser = None
        self.executor.on_abandoned(self)

    def eof_received(self) -> bool:
        """An end of sending cancels as a close does, where the executor honours it."""
        self.executor.on_abandoned(self)
        return False

    def data_received(self, data: bytes) -> None:
        """Asyncio: bytes have come in."""
        if self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """httptools: a request begins."""
        self.target, self.headers, self.body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        """httptools: a piece of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """httptools: a header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """httptools: a piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """httptools: a request is whole."""
        if self.target.startswith(LOAD_REPORT_PATH):
            self.executor.note_spending("probes")
            free = self.executor.free_slots()
            self._send_report(json.dumps({"x0": free, "x1": free}).encode())
        else:
            self.executor.on_request(self)

    def _send_report(self, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def reject(self) -> None:
        """Refuse the request: nothing has run."""
        self.transport.write(REJECTION)

    def send_result(self, visit: Visit) -> None:
        """Answer: the job is done, with a result that names call and executor."""
        answer = {
            "id": visit.id,
            "from": visit.executor,
            "state": "done",
            "result": f"{visit.id} by {visit.executor}",
        }
        line = json.dumps(answer).encode() + b"\n"
        self.transport.write(ANSWER_HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))
