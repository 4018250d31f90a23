"""Emulated discovery that counts the bytes it writes and can stall, fail, or send lists in small chunks."""

import asyncio
import json
import time

import httptools

from cedarmill.lab.scale.executors import ScaleExecutor

HEARTBEAT_INTERVAL_S = 2.0  # between the empty lines sent on an idle watch


class ScaleDiscoveryConnection(asyncio.Protocol):
    """One connection of the node, which requests a snapshot of the list or a watch on it."""

    transport: asyncio.Transport

    def __init__(self, discovery: "ScaleDiscovery") -> None:
        self.discovery = discovery
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.discovery.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection and its watch."""
        self.discovery.connections.discard(self)
        self.discovery.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a malformed request aborts the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Respond with a snapshot, followed by changes for a watch, or with 503 while discovery is down."""
        is_watch, self.target = b"watch=1" in self.target, b""
        if self.discovery.is_down:
            self.transport.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(self.discovery.encode_snapshot())
        if is_watch:
            self.discovery.watches.add(self)
        else:
            self.transport.write(b"0\r\n\r\n")

    def write_line(self, content: bytes) -> None:
        """Write one line, split into chunks of the size set in the discovery."""
        line = content + b"\n"
        self.discovery.bytes_written += len(line)
        chunk_size = self.discovery.chunk_bytes or len(line)
        chunks = (line[start : start + chunk_size] for start in range(0, len(line), chunk_size))
        self.transport.write(b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks))


class ScaleDiscovery:
    """Discovery service of a run: holds the endpoint list and serves snapshots and watches."""

    _server: asyncio.Server
    _heartbeat: asyncio.TimerHandle

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, object]] = {}
        self._encoded_entries: dict[str, tuple[dict[str, object], bytes]] = {}  # entry and its JSON, by name
        self.connections: set[ScaleDiscoveryConnection] = set()
        self.watches: set[ScaleDiscoveryConnection] = set()
        self.index = 1
        self.bytes_written = 0
        self.chunk_bytes = 0  # 0 writes each line as one chunk
        self.is_down = self.is_silent = False
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free loopback port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ScaleDiscoveryConnection(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._heartbeat = loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def close(self) -> None:
        """Stop listening, cancel the heartbeat and reset all connections."""
        self._server.close()
        self._heartbeat.cancel()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Abort every connection, as an outage would."""
        for connection in list(self.connections):
            connection.transport.abort()

    def _send_heartbeat(self) -> None:
        if not self.is_silent:
            for connection in self.watches:
                connection.write_line(b"")
        self._heartbeat = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def snapshot(self) -> dict[str, object]:
        """Return the endpoint list as an object for the node's configuration file."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def encode_snapshot(self) -> bytes:
        """Return the endpoint list as JSON.

        The JSON of each entry is cached, because encoding thousands of entries would delay the executors that
        run in the same process.
        """
        entries = b",".join(self._encode_entry(entry) for entry in self.entries.values())
        return b'{"index":%d,"snapshot":true,"endpoints":[%s]}' % (self.index, entries)

    def _encode_entry(self, entry: dict[str, object]) -> bytes:
        name = str(entry["name"])
        cached = self._encoded_entries.get(name)
        if cached is None or cached[0] is not entry:
            cached = self._encoded_entries[name] = entry, json.dumps(entry).encode()
        return cached[1]

    def add_entry(self, executor: ScaleExecutor, *, cold: bool = False) -> dict[str, object]:
        """Add or replace the entry of an executor and return it."""
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

    def remove_entry(self, name: str) -> dict[str, object]:
        """Remove the entry of an executor and return the deletion to publish on watches."""
        return {**self.entries.pop(name), "status": "DELETED"}

    def publish_changes(self, changed_entries: list[dict[str, object]]) -> None:
        """Write the changed entries to every watch, unless discovery is silent or down."""
        self.index += 1
        if self.is_silent or self.is_down or not changed_entries:
            return
        content = json.dumps({"index": self.index, "snapshot": False, "endpoints": changed_entries}).encode()
        for connection in self.watches:
            connection.write_line(content)

    def publish_snapshot(self) -> None:
        """Write a snapshot of the list to every watch."""
        self.index += 1
        for connection in self.watches:
            connection.write_line(self.encode_snapshot())
