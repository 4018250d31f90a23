"""A director on sockets: the list, and watches on its changes (protocol page, `Discovery`)."""

import asyncio
import json

import httptools

from cedarmill.lab.history import Drain

BEAT_S = 2.0  # between empty lines while nothing changes


class DiscoveryConnection(asyncio.Protocol):
    """One call: the list, or a watch that stays open."""

    def __init__(self, director: "DiscoveryServer") -> None:
        self.director = director
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, error) -> None:
        self.director.watches.discard(self)
        self.parser = None

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        watch = b"watch=1" in self.target
        self.target = b""
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.line(self.director.listing())
        if watch:
            self.director.watches.add(self)
        else:
            self.transport.write(b"0\r\n\r\n")

    def line(self, value: dict | None) -> None:
        text = (json.dumps(value) if value else "").encode() + b"\n"
        self.transport.write(b"%x\r\n%s\r\n" % (len(text), text))


class DiscoveryServer:
    """The list of a run's boxes."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.entries: dict[str, dict] = {}
        self.watches: set[DiscoveryConnection] = set()
        self.drains: list[Drain] = []
        self.index = 1
        self.address = ""
        self._server: asyncio.Server | None = None
        self._beat: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: DiscoveryConnection(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._beat = loop.call_later(BEAT_S, self._tick)

    def close(self) -> None:
        self._server.close()
        self._beat.cancel()
        for wire in list(self.watches):
            wire.transport.abort()

    def _tick(self) -> None:
        for wire in self.watches:
            wire.line(None)
        self._beat = asyncio.get_running_loop().call_later(BEAT_S, self._tick)

    def listing(self) -> dict:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def enter(self, name: str, address: str, zone: str, kind: str) -> None:
        """Put a box on the list."""
        self.entries[name] = {"name": name, "address": address, "zone": zone, "type": kind, "group": 0,
                              "status": "SERVING", "weight": 1.0, "since_ms": 0}  # fmt: skip

    def restarted(self, name: str, since_ms: int) -> None:
        """Tell every watch that a box is a new process since then (Unix ms)."""
        self.index += 1
        self.entries[name]["since_ms"] = since_ms
        news = {"index": self.index, "snapshot": False, "endpoints": [self.entries[name]]}
        for wire in self.watches:
            wire.line(news)

    def drain(self, name: str) -> None:
        """Tell every watch that a box drains."""
        self.index += 1
        self.entries[name]["status"] = "DRAINING"
        news = {"index": self.index, "snapshot": False, "endpoints": [self.entries[name]]}
        for wire in self.watches:
            wire.line(news)
        self.drains.append(Drain(name, self.clock()))
