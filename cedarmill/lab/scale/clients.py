"""Open-loop clients of one node: requests come at a set rate, whatever the answers do."""

import asyncio
from collections import deque

import httptools
import numpy

CLASSES = (("pin-confirm", 0.7), ("code-issue", 0.3))  # with their shares of the requests
DEADLINE_MS = 2_000
PATIENCE_S = 2.5  # a client that has no answer by then goes


class ClientConnection(asyncio.Protocol):
    """One client connection: one request at a time."""

    transport: asyncio.Transport
    timer: asyncio.TimerHandle  # while it waits for an answer

    def __init__(self, clients: "ScaleClients") -> None:
        self.clients = clients
        self.parser = httptools.HttpResponseParser(self)
        self.waits = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep it."""
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """An answer that is owed will not come."""
        self._end(0)

    def data_received(self, data: bytes) -> None:
        """Read the answer."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """The answer is whole."""
        keep = self.parser.should_keep_alive()
        self._end(self.parser.get_status_code())
        if keep:
            self.clients.idle.append(self)
        else:
            self.transport.close()

    def send(self, text: bytes) -> None:
        """Ask, and wait for the answer."""
        self.waits = True
        self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.transport.abort)
        self.transport.write(text)

    def _end(self, status: int) -> None:
        if self.waits:
            self.waits = False
            self.timer.cancel()
            self.clients.answered(status)


class ScaleClients:
    """All clients of the node."""

    def __init__(self, port: int, rate: float, generator: numpy.random.Generator) -> None:
        self.port, self.rate, self.generator = port, rate, generator  # rate: requests a second
        self.idle: deque[ClientConnection] = deque()
        self.sent = self.served = self.open = 0
        self.statuses: dict[int, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, seconds: float) -> None:
        """Send for so long, then wait for the last answers."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + seconds
        while (due := due + float(self.generator.exponential(1 / self.rate))) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = loop.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self.open:
            await asyncio.sleep(0.05)

    def answered(self, status: int) -> None:
        """A request has its end; 0: without an answer."""
        self.open -= 1
        self.served += status == 200
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def _ask(self) -> None:
        self.sent += 1
        self.open += 1
        text = self._request(self.sent)
        while self.idle:
            connection = self.idle.popleft()
            if not connection.transport.is_closing():
                connection.send(text)
                return
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self), "127.0.0.1", self.port
            )
        except OSError:
            self.answered(0)
            return
        connection.send(text)

    def _request(self, number: int) -> bytes:
        shares = [share for _, share in CLASSES]
        name = CLASSES[int(self.generator.choice(len(CLASSES), p=shares))][0]
        return (
            f"POST /api/{number:x} HTTP/1.1\r\nHost: lab\r\n"
            f"X-Call-Id: {number:016x}\r\nX-Call-Class: {name}\r\n"
            f"X-Caller: lab\r\nX-Budget-Ms: {DEADLINE_MS}\r\nIdempotency-Key: {number:032x}\r\n"
            "Content-Length: 6\r\n\r\na body"
        ).encode()
