"""Open-loop clients of one node: the request rate does not depend on the responses."""

import asyncio
from collections import deque

import httptools
import numpy

REQUEST_CLASS_SHARES = (("pin-confirm", 0.7), ("code-issue", 0.3))  # class and share of all requests
REQUEST_BUDGET_MS = 2_000
CLIENT_TIMEOUT_S = 2.5  # after which a client without a response closes its connection


class ClientConnection(asyncio.Protocol):
    """One client connection, which carries one request at a time."""

    transport: asyncio.Transport
    timeout_timer: asyncio.TimerHandle  # active while a response is awaited

    def __init__(self, clients: "ScaleClients") -> None:
        self.clients = clients
        self.parser = httptools.HttpResponseParser(self)
        self.is_awaiting_response = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Record a request that was in flight as unanswered."""
        self._complete(0)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of the response."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Record the complete response and return the connection to the idle ones, or close it."""
        is_reusable = self.parser.should_keep_alive()
        self._complete(self.parser.get_status_code())
        if is_reusable:
            self.clients.idle.append(self)
        else:
            self.transport.close()

    def send(self, request: bytes) -> None:
        """Send a request and start its timeout."""
        self.is_awaiting_response = True
        self.timeout_timer = asyncio.get_running_loop().call_later(CLIENT_TIMEOUT_S, self.transport.abort)
        self.transport.write(request)

    def _complete(self, status: int) -> None:
        if self.is_awaiting_response:
            self.is_awaiting_response = False
            self.timeout_timer.cancel()
            self.clients.record_response(status)


class ScaleClients:
    """Sends requests to the node at random intervals and counts the responses."""

    def __init__(self, port: int, requests_per_second: float, generator: numpy.random.Generator) -> None:
        self.port, self.requests_per_second, self.generator = port, requests_per_second, generator
        self.idle: deque[ClientConnection] = deque()
        self.sent = self.served = self.pending = 0
        self.status_counts: dict[int, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def send_requests(self, duration_s: float) -> None:
        """Send requests for the given duration, then wait for the outstanding responses."""
        loop = asyncio.get_running_loop()
        send_at = loop.time()
        end = send_at + duration_s
        while (send_at := send_at + float(self.generator.exponential(1 / self.requests_per_second))) < end:
            await asyncio.sleep(max(0.0, send_at - loop.time()))
            task = loop.create_task(self._send_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self.pending:
            await asyncio.sleep(0.05)

    def record_response(self, status: int) -> None:
        """Count a finished request by its status, which is 0 if no response arrived."""
        self.pending -= 1
        self.served += status == 200
        self.status_counts[status] = self.status_counts.get(status, 0) + 1

    async def _send_request(self) -> None:
        self.sent += 1
        self.pending += 1
        request = self._encode_request(self.sent)
        while self.idle:
            connection = self.idle.popleft()
            if not connection.transport.is_closing():
                connection.send(request)
                return
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self), "127.0.0.1", self.port
            )
        except OSError:
            self.record_response(0)
            return
        connection.send(request)

    def _encode_request(self, request_number: int) -> bytes:
        shares = [share for _, share in REQUEST_CLASS_SHARES]
        name = REQUEST_CLASS_SHARES[int(self.generator.choice(len(REQUEST_CLASS_SHARES), p=shares))][0]
        return (
            f"POST /api/{request_number:x} HTTP/1.1\r\nHost: lab\r\n"
            f"X-Call-Id: {request_number:016x}\r\nX-Call-Class: {name}\r\n"
            f"X-Caller: lab\r\nX-Budget-Ms: {REQUEST_BUDGET_MS}\r\nIdempotency-Key: {request_number:032x}\r\n"
            "Content-Length: 6\r\n\r\na body"
        ).encode()
