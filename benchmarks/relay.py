"""The node's CPU for one request and its memory at rest, against a bare relay and another checkout.

    python benchmarks/relay.py                      # 12 and 400 executors, ratios with spread
    python benchmarks/relay.py --against ../before  # also the node of another checkout
    python benchmarks/relay.py --cluster            # also nodes that have a session with a replica

The relay is uvloop and httptools with nothing in between: it passes each request on over one kept connection
to each executor in turn, and its answer back. Rounds alternate, so that what this machine does meanwhile
befalls all alike; figures are the median of the rounds, and the least and the most.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import resource
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httptools
import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]
CONNECTIONS = 32
ROUNDS = 8
PAGE = os.sysconf("SC_PAGE_SIZE")
DONE = '{"id":"%s","from":"b","state":"done","result":"fine"}\n'
LOAD = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b'{"x0": 64, "x1": 64}'


class ExecutorProtocol(asyncio.Protocol):
    """Answers each request at once."""

    def connection_made(self, transport) -> None:
        self.transport, self.parser, self.target, self.id = (
            transport,
            httptools.HttpRequestParser(self),
            b"",
            "",
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.target = url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-call-id":
            self.id = value.decode()

    def on_message_complete(self) -> None:
        if self.target.startswith(b"/status"):
            self.transport.write(LOAD)
            return
        line = DONE % self.id
        text = f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{len(line):x}\r\n{line}\r\n0\r\n\r\n"
        self.transport.write(text.encode())


class RelayUpstream(asyncio.Protocol):
    """The relay's connection to an executor: whatever comes back goes to the client that waits."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.client = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.client.transport.write(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.client = None
        IDLE.append(self)


IDLE: list[RelayUpstream] = []


class RelayClientProtocol(asyncio.Protocol):
    """The relay's connection of a client."""

    def connection_made(self, transport) -> None:
        self.transport, self.parser, self.text = transport, httptools.HttpRequestParser(self), b""

    def data_received(self, data: bytes) -> None:
        self.text += data
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        text, self.text = self.text, b""
        upstream = IDLE.pop(0)
        upstream.client = self
        upstream.transport.write(text)


class DiscoveryProtocol(asyncio.Protocol):
    """Sends the endpoint list, then nothing but that nothing changes."""

    listing = b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        text = self.listing
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.transport.write(b"%x\r\n%s\r\n" % (len(text), text))
        asyncio.get_running_loop().call_later(2, self.send_empty_line)

    def send_empty_line(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2, self.send_empty_line)


async def _listen(kind, count: int) -> list[int]:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(kind, "127.0.0.1", 0) for _ in range(count)]
    _SERVERS.extend(servers)
    return [server.sockets[0].getsockname()[1] for server in servers]


_SERVERS: list = []


def serve_executors(count: int, pipe) -> None:
    """The process of the executors and of discovery; sends their ports."""

    async def main() -> None:
        ports = await _listen(ExecutorProtocol, count)
        entries = [{"name": f"b{n}", "address": f"127.0.0.1:{port}", "zone": "here", "type": "box",
                    "status": "SERVING"} for n, port in enumerate(ports)]  # fmt: skip
        known = {"index": 1, "snapshot": True, "endpoints": entries}
        DiscoveryProtocol.listing = json.dumps(known).encode() + b"\n"
        pipe.send((ports, (await _listen(DiscoveryProtocol, 1))[0], known))
        await asyncio.Event().wait()

    uvloop.run(main())


def serve_relay(ports: list[int], pipe) -> None:
    """The process of the bare relay."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for n in range(2 * CONNECTIONS):
            _, upstream = await loop.create_connection(RelayUpstream, "127.0.0.1", ports[n % len(ports)])
            IDLE.append(upstream)
        pipe.send((await _listen(RelayClientProtocol, 1))[0])
        await asyncio.Event().wait()

    uvloop.run(main())


class ClientProtocol(asyncio.Protocol):
    """A client connection in a closed loop: this measures CPU for each request, not waiting."""

    count = 0

    def __init__(self, state: dict) -> None:
        self.state, self.parser = state, httptools.HttpResponseParser(self)

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        ClientProtocol.count += 1
        self.transport.write(
            b"POST /api/%x HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Call-Class: pin\r\nX-Caller: acme\r\n"
            b"X-Budget-Ms: 6000\r\nContent-Length: 6\r\n\r\na body"
            % (ClientProtocol.count, ClientProtocol.count)
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.state["bad"] += 1
        self.state["left"] -= 1
        if self.state["left"] >= CONNECTIONS:
            self.ask()
        elif self.state["left"] == 0:
            self.state["done"].set()


async def _round(port: int, count: int) -> int:
    state = {"left": count, "bad": 0, "done": asyncio.Event()}
    loop = asyncio.get_running_loop()
    connections = [
        await loop.create_connection(lambda: ClientProtocol(state), "127.0.0.1", port)
        for _ in range(CONNECTIONS)
    ]
    await state["done"].wait()
    for transport, _ in connections:
        transport.close()
    return state["bad"]


def cpu(pid: int) -> float:
    """Seconds on a CPU of a process of one thread, to the nanosecond (/proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory(pid: int) -> float:
    """Resident MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 2**20


def start_replica(folder: str, inner: str = "") -> tuple[subprocess.Popen, str]:
    """Start one replica; its process, and the `<fleet>` of a node that has a session with it."""
    from cedarmill.lab.cluster.ports import free_port

    port, path = free_port(), Path(folder) / f"keeper{bool(inner):d}.xml"
    path.write_text(f'<keeper version="1" cluster="c" name="k0" listen="127.0.0.1:{port}" '
                    f'data="{folder}/k{bool(inner):d}"><peer name="k0" address="127.0.0.1:{port}"/>'
                    f'{inner}</keeper>')  # fmt: skip
    command = [sys.executable, "-m", "cedarmill.cli", "keeper", "-c", str(path)]
    subprocess.run([*command, "--init"], cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    replicas = f'<keeper name="k0" address="127.0.0.1:{port}"/>'
    return process, f'<fleet cluster="c" listen="127.0.0.1:0">{replicas}</fleet>'


def overload_settings() -> str:
    """What a replica's file sets where a cluster acts as one under overload; no bound is reached here."""
    from tests.support.node_settings import SETTINGS

    names = ("probes", "connects", "retries", "lists")
    budgets = "".join(f'<budget name="{name}" per-second="100000" nodes="4"/>' for name in names)
    zones = "".join(f'<zone name="{zone}"/>' for zone in SETTINGS["localities"])
    return f'{budgets}<zones sheds="on" news="on"><region name="r">{zones}</region></zones>'


def start_node(root: Path, discovery: int, known: dict, folder: str,
         xml_settings: str | None = None) -> tuple[subprocess.Popen, int, float]:  # fmt: skip
    """Start the node of a checkout; its process, its port, and its memory before the first session.

    `xml_settings`: the inside of a cedarmill.xml, with which the command starts it.
    """
    from tests.support.node_settings import SETTINGS

    settings = json.loads(json.dumps(SETTINGS))
    settings["caps"]["probes"] = True
    path = Path(folder) / "config.json"
    path.write_text(json.dumps({"name": "n", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery}",
                                "seed": "1", "limits": {"sockets": 1024, "memory_mb": 192}, "known": known,
                                "settings": settings}))  # fmt: skip
    command = [sys.executable, "-m", "cedarmill"]
    if xml_settings is not None:
        xml = Path(folder) / "cedarmill.xml"
        xml.write_text(f'<cedarmill version="1">{xml_settings}</cedarmill>')
        command = [sys.executable, "-m", "cedarmill.cli", "node", "-c", str(xml)]
    process = subprocess.Popen(command, cwd=root, text=True, stderr=subprocess.PIPE,
                               env={**os.environ, "LB_CONFIG": str(path)})  # fmt: skip
    port = int(process.stderr.readline().split()[-1])
    process.stderr.readline()  # the watch has begun
    if xml_settings:
        while "the lease holds" not in process.stderr.readline():
            pass
    return process, port, memory(process.pid)


def measure(executors: int, count: int, against: list[Path], with_cluster: bool) -> None:
    """Alternate rounds over the relay and each checkout's node; print the ratios."""
    here, there = multiprocessing.Pipe()
    executors_process = multiprocessing.Process(target=serve_executors, args=(executors, there), daemon=True)
    executors_process.start()
    ports, discovery, known = here.recv()
    relay_process = multiprocessing.Process(target=serve_relay, args=(ports, there), daemon=True)
    relay_process.start()
    sides: dict[str, tuple[int, int]] = {"relay": (relay_process.pid, here.recv())}
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        for root in (ROOT, *against):
            name = "node" if root == ROOT else f"node of {root.name}"
            process, port, resident = start_node(root, discovery, known, folder)
            nodes.append(process)
            sides[name] = (process.pid, port)
            print(f"{executors} executors, {name}: {resident:.2f} MB before the first session")
        if with_cluster:
            process, part = start_replica(folder)
            other, whole = start_replica(folder, overload_settings())
            nodes += [process, other]
            for name, xml_settings in (("node by command", ""), ("node of a cluster", part),
                               ("node with budgets, admission level and observations", whole)):  # fmt: skip
                process, port, resident = start_node(ROOT, discovery, known, folder, xml_settings)
                nodes.append(process)
                sides[name] = (process.pid, port)
                print(f"{executors} executors, {name}: {resident:.2f} MB before the first session")
        figures: dict[str, list[float]] = {name: [] for name in sides}
        for round_number in range(ROUNDS + 1):
            for name, (pid, port) in list(sides.items())[:: 1 if round_number % 2 else -1]:
                before = cpu(pid)
                bad = uvloop.run(_round(port, count))
                if round_number:  # the first warms up
                    figures[name].append((cpu(pid) - before) / count * 1e6)
                if bad:
                    print(f"{executors} executors, {name}: {bad} of {count} not served")
        for process in nodes:
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=20)
    relay_process.kill()
    executors_process.kill()
    for name, values in figures.items():
        compared = f"{_ratio(values, figures['relay'])} the relay"
        if name not in ("relay", "node"):
            compared += f", the node here {_ratio(figures['node'], values)} of it"
        spread = f"{min(values):.0f} to {max(values):.0f}"
        cost = f"{statistics.median(values):.0f} us a request ({spread})"
        print(f"{executors} executors, {name}: {cost}, {compared}")


def _ratio(values: list[float], others: list[float]) -> str:
    """The median of the ratios round by round, and their spread."""
    ratios = [value / other for value, other in zip(values, others, strict=True)]
    return f"{statistics.median(ratios):.2f}x ({min(ratios):.2f} to {max(ratios):.2f})"


def main() -> None:
    """Measure with each count of executors."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--against", type=Path, action="append", default=[])
    parser.add_argument(
        "--cluster", action="store_true", help="also nodes that have a session with a replica"
    )
    parser.add_argument("--executors", type=int, action="append")
    parser.add_argument("--count", type=int, default=4000, help="requests a round")
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    began = time.monotonic()
    for executors in args.executors or [12, 400]:
        measure(executors, args.count, [path.resolve() for path in args.against], args.cluster)
    print(f"took {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
