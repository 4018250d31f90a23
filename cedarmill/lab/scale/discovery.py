"""A discovery stand-in that counts what it writes, falls silent, goes down, or writes lists in pieces."""

import asyncio
import json
import time

import httptools

from cedarmill.lab.scale.executors import ScaleExecutor

HEARTBEAT_S = 2.0  # between empty lines while nothing changes


class DiscoveryCall(asyncio.Protocol):
    """One call of the node: the list, or a watch that stays open."""

    transport: asyncio.Transport

    def __init__(self, discovery: "ScaleDiscovery") -> None:
        self.discovery = discovery
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep it."""
        self.transport = transport  # type: ignore[assignment]
        self.discovery.open_calls.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Forget it."""
        self.discovery.open_calls.discard(self)
        self.discovery.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """Read the call."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Take a part of its target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Answer it; where discovery is down, by 503."""
        watch, self.target = b"watch=1" in self.target, b""
        if self.discovery.down:
            self.transport.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(self.discovery.whole_list())
        if watch:
            self.discovery.watches.add(self)
        else:
            self.transport.write(b"0\r\n\r\n")

    def write_line(self, text: bytes) -> None:
        """One line in chunks; the size of a piece is the discovery's."""
        line = text + b"\n"
        self.discovery.bytes_written += len(line)
        piece = self.discovery.piece_bytes or len(line)
        parts = (line[start : start + piece] for start in range(0, len(line), piece))
        self.transport.write(b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts))


class ScaleDiscovery:
    """The endpoint list of a run."""

    _server: asyncio.Server
    _heartbeat: asyncio.TimerHandle

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, object]] = {}
        self._texts: dict[str, tuple[dict[str, object], bytes]] = {}  # by name: the entry, and its text
        self.open_calls: set[DiscoveryCall] = set()
        self.watches: set[DiscoveryCall] = set()
        self.index = 1
        self.bytes_written = 0
        self.piece_bytes = 0  # 0: a line in one piece
        self.down = self.silent = False
        self.address = ""

    async def open(self) -> None:
        """Listen on a free loopback port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: DiscoveryCall(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._heartbeat = loop.call_later(HEARTBEAT_S, self._tick)

    def close(self) -> None:
        """End it."""
        self._server.close()
        self._heartbeat.cancel()
        self.reset_calls()

    def reset_calls(self) -> None:
        """Reset every connection, as at an outage."""
        for call in list(self.open_calls):
            call.transport.abort()

    def _tick(self) -> None:
        if not self.silent:
            for call in self.watches:
                call.write_line(b"")
        self._heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._tick)

    def listing(self) -> dict[str, object]:
        """The whole list as a value."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def whole_list(self) -> bytes:
        """The whole list as a line's text.

        An entry's text is made once: this process plays the executors too and must not hold them up.
        """
        entries = b",".join(self._text(entry) for entry in self.entries.values())
        return b'{"index":%d,"snapshot":true,"endpoints":[%s]}' % (self.index, entries)

    def _text(self, entry: dict[str, object]) -> bytes:
        name = str(entry["name"])
        known = self._texts.get(name)
        if known is None or known[0] is not entry:
            known = self._texts[name] = entry, json.dumps(entry).encode()
        return known[1]

    def enter(self, executor: ScaleExecutor, *, cold: bool = False) -> dict[str, object]:
        """Make an executor's entry."""
        entry: dict[str, object] = {
            "name": executor.name,
            "address": executor.address,
            "zone": executor.zone,
            "type": "standard",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": time.time_ns() // 1_000_000 if cold else 0,
        }
        self.entries[executor.name] = entry
        return entry

    def remove(self, name: str) -> dict[str, object]:
        """Take an executor off the list; what a watch is told of it."""
        return {**self.entries.pop(name), "status": "DELETED"}

    def announce(self, changed: list[dict[str, object]]) -> None:
        """Tell every watch of changed entries, unless discovery is silent."""
        self.index += 1
        if self.silent or self.down or not changed:
            return
        text = json.dumps({"index": self.index, "snapshot": False, "endpoints": changed}).encode()
        for call in self.watches:
            call.write_line(text)

    def announce_whole(self) -> None:
        """Write the whole list on every watch."""
        self.index += 1
        for call in self.watches:
            call.write_line(self.whole_list())
