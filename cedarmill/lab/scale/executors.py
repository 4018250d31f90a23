"""Thousands of emulated executors in one process, each on a loopback port of its own.

Each executor is also used by other nodes, which are not emulated: their requests occupy a random part of its
slots, so the load of one executor does not depend on the number of executors.
"""

import asyncio
import json
from dataclasses import dataclass, field

import httptools
import numpy

LISTEN_BACKLOG = 16
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ExecutorProfile:
    """Settings shared by all executors of a run."""

    slots: int = 4
    background_busy_share: float = 0.5  # share of the slots that requests of other nodes occupy on average
    mean_service_time_s: float = 0.05
    cold_duration_s: float = 3.0  # time after a start in which requests take longer
    cold_speed_factor: float = 0.3  # speed while cold, relative to normal
    idle_timeout_s: float = 10.0  # how long an idle connection may stay open, for the node


@dataclass(slots=True, eq=False)
class ScaleExecutor:
    """One emulated executor: its listening socket, its connections and its injected fault."""

    name: str
    zone: str
    server: asyncio.Server = field(init=False)
    address: str = ""
    started_at: float = float("-inf")  # time of the event loop; only set for a cold start
    is_silent: bool = False  # accepts connections and requests but never responds
    connections: set["ScaleExecutorConnection"] = field(default_factory=set)
    running_requests: int = 0


class ScaleExecutorConnection(asyncio.Protocol):
    """Executor side of a connection from the node, which carries one request at a time."""

    transport: asyncio.Transport

    def __init__(self, cluster: "ExecutorCluster", executor: ScaleExecutor) -> None:
        self.cluster, self.executor = cluster, executor
        self.parser = httptools.HttpRequestParser(self)
        self.target = self.request_id = b""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and count the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.cluster.connections_made += 1
        self.executor.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection."""
        self.closed = True
        self.executor.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a malformed request aborts the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Clear the state of the previous request."""
        self.target = self.request_id = b""

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the request id."""
        if name.lower() == b"x-call-id":
            self.request_id = value

    def on_message_complete(self) -> None:
        """Answer the complete request, unless the executor is silent or does not answer probes."""
        if self.executor.is_silent:
            return
        if self.target.startswith((b"/status/load", b"/health")):
            self.cluster.probes_received += 1
            if not self.cluster.answers_probes:
                return
            self.write_probe_response(self.cluster.load_report(self.executor))
        else:
            self.cluster.serve_request(self, self.executor, self.request_id.decode())

    def write_probe_response(self, body: bytes) -> None:
        """Write the response to a probe."""
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def write_response(self, request_id: str) -> None:
        """Write the response to a request, unless the connection is closed."""
        if self.closed:
            return
        record = {"id": request_id, "from": self.executor.name, "state": "done", "result": "fine"}
        line = json.dumps(record).encode() + b"\n"
        self.transport.write(RESPONSE_HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))


class ExecutorCluster:
    """Runs all executors of a run and counts their connections, probes and requests."""

    def __init__(self, profile: ExecutorProfile, generator: numpy.random.Generator) -> None:
        self.profile, self.generator = profile, generator
        self.executors: dict[str, ScaleExecutor] = {}
        self.connections_made = self.probes_received = self.requests_served = 0
        self.answers_probes = True

    async def start(self, name: str, zone: str, *, cold: bool = False) -> ScaleExecutor:
        """Start an executor on a free loopback port."""
        loop = asyncio.get_running_loop()
        executor = ScaleExecutor(name, zone)
        executor.server = await loop.create_server(
            lambda: ScaleExecutorConnection(self, executor), "127.0.0.1", 0, backlog=LISTEN_BACKLOG
        )
        executor.address = f"127.0.0.1:{executor.server.sockets[0].getsockname()[1]}"
        if cold:
            executor.started_at = loop.time()
        self.executors[name] = executor
        return executor

    def stop(self, name: str) -> None:
        """Stop an executor: reset its connections and refuse new ones."""
        executor = self.executors.pop(name)
        executor.server.close()
        for connection in list(executor.connections):
            connection.transport.abort()

    def stop_all(self) -> None:
        """Stop all executors."""
        for name in list(self.executors):
            self.stop(name)

    def _busy_slots(self, executor: ScaleExecutor) -> int:
        """Return the number of occupied slots; the slots of other nodes are drawn at random on each call."""
        background_busy = int(self.generator.binomial(self.profile.slots, self.profile.background_busy_share))
        return min(self.profile.slots, background_busy + executor.running_requests)

    def load_report(self, executor: ScaleExecutor) -> bytes:
        """Return the load report for a probe: free slots and free memory."""
        free = self.profile.slots - self._busy_slots(executor)
        return json.dumps({"x0": free, "x1": free}).encode()

    def serve_request(
        self, connection: ScaleExecutorConnection, executor: ScaleExecutor, request_id: str
    ) -> None:
        """Schedule the response to a request, later if the request has to wait for a free slot."""
        loop, profile = asyncio.get_running_loop(), self.profile
        must_queue = self._busy_slots(executor) >= profile.slots
        executor.running_requests += 1
        service_time_s = float(self.generator.exponential(profile.mean_service_time_s))
        if must_queue:
            service_time_s += float(self.generator.exponential(profile.mean_service_time_s / profile.slots))
        if loop.time() - executor.started_at < profile.cold_duration_s:
            service_time_s /= profile.cold_speed_factor
        loop.call_later(service_time_s, self._complete_request, connection, executor, request_id)

    def _complete_request(
        self, connection: ScaleExecutorConnection, executor: ScaleExecutor, request_id: str
    ) -> None:
        executor.running_requests -= 1
        self.requests_served += 1
        connection.write_response(request_id)
