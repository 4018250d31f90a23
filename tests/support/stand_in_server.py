"""Stand-in server for an executor or discovery: it queues requests, and the test answers them."""

import contextlib
import http.client
import json
import queue
import socket
import struct
import threading
from email.message import Message
from typing import Any, BinaryIO

WAIT = 10  # seconds; time-out of waits for a condition
# Value of SO_LINGER with a time of 0 s, so that a close sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerConnection:
    """An accepted connection whose thread reads requests into the queue of the server."""

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
            # Skip requests that have their early answer or are incomplete.
            if not first_byte and len(body) == length:
                request = ReceivedRequest(self, line.decode(), headers, body)
                if self._server.answers_at_once:
                    request.done()
                else:
                    self._server.received.put(request)
            first_byte = b""

    def send(self, text: str) -> None:
        """Write to the node; raise OSError if the node has closed the connection."""
        self.sock.sendall(text.encode())

    def close(self) -> None:
        """Shut down both directions, as a closing server does."""
        self.sock.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        """Let the reading thread close the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._reset = True
        # The reading thread may have closed the socket after a close by the node.
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)


class ReceivedRequest:
    """A request that a server has received and the test answers."""

    def __init__(self, connection: ServerConnection, first_line: str, headers: Message, body: bytes) -> None:
        self.connection, self.headers, self.body = connection, headers, body
        self.method, self.path, _ = first_line.split()

    def send_head(self, status: str = "200 OK", *headers: str) -> None:
        """Send the head of a chunked answer."""
        lines = [f"HTTP/1.1 {status}", "Transfer-Encoding: chunked", *headers, "", ""]
        self.connection.send("\r\n".join(lines))

    def send_line(self, value: dict[str, Any] | None, following: str = "") -> None:
        """Send one chunk with a line of JSON, or an empty keep-alive line for None, and what follows it."""
        text = json.dumps(value) + "\n" if value is not None else "\n"
        self.connection.send(f"{len(text):x}\r\n{text}\r\n{following}")

    def send_state(self, state: str, following: str = "", **fields: object) -> None:
        """Send a progress line of the request, as an executor does, and what follows it."""
        self.send_line({"id": self.headers["X-Call-Id"], "from": "s-1", "state": state, **fields}, following)

    def done(self, result: str = "fine") -> None:
        """Send a complete answer with this result."""
        self.send_head()
        self.send_state("done", result=result)
        self.connection.send("0\r\n\r\n")


class StandInServer:
    """A listener on loopback that keeps its connections and received requests for the test."""

    def __init__(self) -> None:
        self.received: queue.Queue[ReceivedRequest] = queue.Queue()
        self.connections: list[ServerConnection] = []
        self.resets_at_first_byte = False  # applies to each new connection
        self.early_answer: str | None = None  # sent at the first byte of each new connection
        self.answers_at_once = False  # whether each request is answered when it has come
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # raised when the listener is closed
            while True:
                self.connections.append(ServerConnection(self, self.sock.accept()[0]))

    def next_request(self) -> ReceivedRequest:
        """Wait for the next request; raise queue.Empty if none arrives within WAIT seconds."""
        return self.received.get(timeout=WAIT)

    def close_connections(self) -> None:
        """Close all accepted connections."""
        for connection in self.connections:
            connection.sock.close()

    def close(self) -> None:
        """Stop listening and keep accepted connections open."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
