"""A stand-in for an executor or for discovery: it records what it receives, and the test answers by hand."""

import contextlib
import http.client
import json
import queue
import socket
import struct
import threading
from email.message import Message
from typing import Any, BinaryIO

WAIT = 10  # seconds, at most, for a condition
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, on, for 0 s: a close sends a reset


class ServerConnection:
    """One accepted connection, read by a thread of its own; each request goes into the server's queue."""

    def __init__(self, server: "StandInServer", sock: socket.socket) -> None:
        self.sock, self.ended = sock, threading.Event()
        self._reset = False
        self._server = server
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        try:
            with self.sock.makefile("rb") as stream:
                if self._server.resets_at_first_byte:
                    stream.read(1)
                    self.reset()
                else:
                    self._read_requests(stream)
        except OSError:
            pass
        finally:
            if self._reset:
                self.sock.close()
            self.ended.set()

    def _read_requests(self, stream: BinaryIO) -> None:
        first_byte = b""
        if self._server.early_answer is not None:
            first_byte = stream.read(1)
            if first_byte:
                self.send(self._server.early_answer)
        while line := first_byte + stream.readline():
            headers = http.client.parse_headers(stream)
            length = int(headers.get("Content-Length", 0))
            body = stream.read(length)
            if not first_byte and len(body) == length:  # else it has its answer, or never came whole
                self._server.received.put(ReceivedRequest(self, line.decode(), headers, body))
            first_byte = b""

    def send(self, text: str) -> None:
        """Write to the node; raises OSError where it has closed."""
        self.sock.sendall(text.encode())

    def close(self) -> None:
        """End both directions, as a server does that closes."""
        self.sock.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        """Close at once, with a reset: the thread that reads does it."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._reset = True
        with contextlib.suppress(OSError):  # the node closed meanwhile, and the thread that reads was first
            self.sock.shutdown(socket.SHUT_RD)


class ReceivedRequest:
    """One request that a server received, for the test to answer."""

    def __init__(self, connection: ServerConnection, first_line: str, headers: Message, body: bytes) -> None:
        self.connection, self.headers, self.body = connection, headers, body
        self.method, self.path, _ = first_line.split()

    def send_head(self, status: str = "200 OK", *headers: str) -> None:
        """Begin a chunked answer."""
        lines = [f"HTTP/1.1 {status}", "Transfer-Encoding: chunked", *headers, "", ""]
        self.connection.send("\r\n".join(lines))

    def send_line(self, value: dict[str, Any] | None) -> None:
        """Send one chunk with a line of JSON; None: an empty line, by which a watch shows that it lives."""
        text = json.dumps(value) + "\n" if value is not None else "\n"
        self.connection.send(f"{len(text):x}\r\n{text}\r\n")

    def send_state(self, state: str, **fields: object) -> None:
        """Report a state of the request's work, as an executor does."""
        self.send_line({"id": self.headers["X-Call-Id"], "from": "s-1", "state": state, **fields})

    def done(self, result: str = "fine") -> None:
        """Answer whole: the work is done, with this result."""
        self.send_head()
        self.send_state("done", result=result)
        self.connection.send("0\r\n\r\n")


class StandInServer:
    """A listening socket on loopback; what it accepts and receives is there for the test."""

    def __init__(self) -> None:
        self.received: queue.Queue[ReceivedRequest] = queue.Queue()
        self.connections: list[ServerConnection] = []
        self.resets_at_first_byte = False  # of each new connection
        self.early_answer: str | None = None  # sent at a new connection's first byte, not to a whole request
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # closed
            while True:
                self.connections.append(ServerConnection(self, self.sock.accept()[0]))

    def next_request(self) -> ReceivedRequest:
        """Wait for the next request; raises queue.Empty where none comes within WAIT."""
        return self.received.get(timeout=WAIT)

    def close(self) -> None:
        """Stop listening; accepted connections stay."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
