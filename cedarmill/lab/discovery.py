"""A stand-in for discovery on sockets: the list, and watches on its changes (protocol page, `Discovery`)."""

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

import httptools

from cedarmill.lab.history import Drain
from cedarmill.lab.listener import listen_on_loopback, port_of

HEARTBEAT_S = 2.0  # between empty lines while nothing changes
WATCH_QUERY = b"watch=1"

Document = dict[str, Any]  # a JSON object


class DiscoveryConnection(asyncio.Protocol):
    """One call: the list, or a watch that stays open."""

    transport: asyncio.Transport

    def __init__(self, server: "DiscoveryServer") -> None:
        self.server = server
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio: there is a connection."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Asyncio: the connection has ended."""
        self.server.watches.discard(self)
        self.parser = None

    def data_received(self, data: bytes) -> None:
        """Asyncio: bytes have come in."""
        if self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """httptools: a piece of the target."""
        self.target += url

    def on_message_complete(self) -> None:
        """httptools: a request is whole."""
        watch = WATCH_QUERY in self.target
        self.target = b""
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.send_line(self.server.listing())
        if watch:
            self.server.watches.add(self)
        else:
            self.transport.write(b"0\r\n\r\n")

    def send_line(self, document: Document | None) -> None:
        """One line as a chunk; an empty one shows that the watch lives."""
        text = (json.dumps(document) if document else "").encode() + b"\n"
        self.transport.write(b"%x\r\n%s\r\n" % (len(text), text))


class DiscoveryServer:
    """The list of a run's executors, or of the nodes behind a front."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.entries: dict[str, Document] = {}
        self.watches: set[DiscoveryConnection] = set()
        self.drains: list[Drain] = []
        self.index = 1
        self.address = ""
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Listen on a free loopback port; raises OSError."""
        self._server = await listen_on_loopback(lambda: DiscoveryConnection(self))
        self.address = f"127.0.0.1:{port_of(self._server)}"
        self._schedule_heartbeat()

    def close(self) -> None:
        """Stop listening, and abort all watches."""
        if self._server is not None:
            self._server.close()
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        for connection in list(self.watches):
            connection.transport.abort()

    def _schedule_heartbeat(self) -> None:
        self._heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self._tell_watches(None)
        self._schedule_heartbeat()

    def _tell_watches(self, document: Document | None) -> None:
        for connection in self.watches:
            connection.send_line(document)

    def listing(self) -> Document:
        """The whole list, as it is sent."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def enter(self, name: str, address: str, zone: str, kind: str) -> None:
        """Put an executor on the list."""
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": kind,
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }

    def restarted(self, name: str, since_ms: int) -> None:
        """Tell every watch that an executor is a new process since then (Unix ms)."""
        self._change(name, "since_ms", since_ms)

    def drain(self, name: str) -> None:
        """Tell every watch that an executor drains."""
        self._change(name, "status", "DRAINING")
        self.drains.append(Drain(name, self.clock()))

    def _change(self, name: str, key: str, value: object) -> None:
        self.index += 1
        self.entries[name][key] = value
        self._tell_watches({"index": self.index, "snapshot": False, "endpoints": [self.entries[name]]})
