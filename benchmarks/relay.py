"""Measure the node's CPU time per request and its idle memory, compared with a bare relay.

    python benchmarks/relay.py                      # 12 and 400 executors, ratios with spread
    python benchmarks/relay.py --against ../before  # also the node of another checkout
    python benchmarks/relay.py --cluster            # also nodes with a session to a replica

The relay is built from uvloop and httptools only: it forwards each request over a persistent connection to
one executor after the other, and returns the response. Rounds of the relay and the nodes alternate, so that
other load of the machine affects all of them alike. Results are the median, minimum and
maximum of the rounds.
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
ROUNDS = 8  # after one warm-up round
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
RESULT_LINE = '{"id":"%s","from":"b","state":"done","result":"fine"}\n'
LOAD_REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b'{"x0": 64, "x1": 64}'


class ExecutorProtocol(asyncio.Protocol):
    """Answers each request, and each request for a load report, at once."""

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
            self.transport.write(LOAD_REPORT)
            return
        line = RESULT_LINE % self.id
        response = (
            f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{len(line):x}\r\n{line}\r\n0\r\n\r\n"
        )
        self.transport.write(response.encode())


class RelayUpstream(asyncio.Protocol):
    """The relay's connection to an executor; forwards the response to the waiting client."""

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
        IDLE_UPSTREAMS.append(self)


IDLE_UPSTREAMS: list[RelayUpstream] = []


class RelayClientProtocol(asyncio.Protocol):
    """The relay's connection to a client; forwards each request over an idle upstream connection."""

    def connection_made(self, transport) -> None:
        self.transport, self.parser, self.request = transport, httptools.HttpRequestParser(self), b""

    def data_received(self, data: bytes) -> None:
        self.request += data
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        request, self.request = self.request, b""
        upstream = IDLE_UPSTREAMS.pop(0)
        upstream.client = self
        upstream.transport.write(request)


class DiscoveryProtocol(asyncio.Protocol):
    """Sends the endpoint list, then an empty line every two seconds that keeps the watch alive."""

    endpoint_list = b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        line = self.endpoint_list
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.transport.write(b"%x\r\n%s\r\n" % (len(line), line))
        asyncio.get_running_loop().call_later(2, self.send_empty_line)

    def send_empty_line(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2, self.send_empty_line)


async def _listen(protocol, count: int) -> list[int]:
    """Open `count` servers of a protocol class and return their ports."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(protocol, "127.0.0.1", 0) for _ in range(count)]
    _SERVERS.extend(servers)
    return [server.sockets[0].getsockname()[1] for server in servers]


_SERVERS: list = []  # references keep the servers open


def serve_executors(count: int, pipe) -> None:
    """Run the executors and discovery in this process; send their ports and the endpoint list to `pipe`."""

    async def main() -> None:
        ports = await _listen(ExecutorProtocol, count)
        entries = [{"name": f"b{n}", "address": f"127.0.0.1:{port}", "zone": "here", "type": "box",
                    "status": "SERVING"} for n, port in enumerate(ports)]  # fmt: skip
        endpoint_list = {"index": 1, "snapshot": True, "endpoints": entries}
        DiscoveryProtocol.endpoint_list = json.dumps(endpoint_list).encode() + b"\n"
        pipe.send((ports, (await _listen(DiscoveryProtocol, 1))[0], endpoint_list))
        await asyncio.Event().wait()

    uvloop.run(main())


def serve_relay(ports: list[int], pipe) -> None:
    """Run the bare relay in this process; send its port to `pipe`."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for n in range(2 * CONNECTIONS):
            _, upstream = await loop.create_connection(RelayUpstream, "127.0.0.1", ports[n % len(ports)])
            IDLE_UPSTREAMS.append(upstream)
        pipe.send((await _listen(RelayClientProtocol, 1))[0])
        await asyncio.Event().wait()

    uvloop.run(main())


class ClientProtocol(asyncio.Protocol):
    """Sends requests in a closed loop: the next request follows the response to the previous one."""

    sent_count = 0  # of all connections

    def __init__(self, round_state: dict) -> None:
        self.round_state, self.parser = round_state, httptools.HttpResponseParser(self)

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.send_request()

    def send_request(self) -> None:
        ClientProtocol.sent_count += 1
        self.transport.write(
            b"POST /api/%x HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Call-Class: pin\r\nX-Caller: acme\r\n"
            b"X-Budget-Ms: 6000\r\nContent-Length: 6\r\n\r\na body"
            % (ClientProtocol.sent_count, ClientProtocol.sent_count)
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.round_state["failed"] += 1
        self.round_state["remaining"] -= 1
        if self.round_state["remaining"] >= CONNECTIONS:
            self.send_request()
        elif self.round_state["remaining"] == 0:
            self.round_state["done"].set()


async def _run_round(port: int, count: int) -> int:
    """Send `count` requests to a port and return the number of responses that were not 200."""
    round_state = {"remaining": count, "failed": 0, "done": asyncio.Event()}
    loop = asyncio.get_running_loop()
    connections = [
        await loop.create_connection(lambda: ClientProtocol(round_state), "127.0.0.1", port)
        for _ in range(CONNECTIONS)
    ]
    await round_state["done"].wait()
    for transport, _ in connections:
        transport.close()
    return round_state["failed"]


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds of a single-threaded process, with the precision of /proc/PID/schedstat."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident_memory(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_SIZE / 2**20


def start_replica(folder: str, cluster_settings: str = "") -> tuple[subprocess.Popen, str]:
    """Start one replica; return its process and the `<fleet>` element for a node with a session to it."""
    from cedarmill.lab.cluster.ports import free_port

    port, path = free_port(), Path(folder) / f"keeper{bool(cluster_settings):d}.xml"
    path.write_text(f'<keeper version="1" cluster="c" name="k0" listen="127.0.0.1:{port}" '
                    f'data="{folder}/k{bool(cluster_settings):d}">'
                    f'<peer name="k0" address="127.0.0.1:{port}"/>'
                    f'{cluster_settings}</keeper>')  # fmt: skip
    command = [sys.executable, "-m", "cedarmill.cli", "keeper", "-c", str(path)]
    subprocess.run([*command, "--init"], cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    replica = f'<keeper name="k0" address="127.0.0.1:{port}"/>'
    return process, f'<fleet cluster="c" listen="127.0.0.1:0">{replica}</fleet>'


def overload_settings() -> str:
    """Return the replica settings that enable cluster-wide budgets, shedding and gossip.

    The benchmark reaches none of the limits.
    """
    from tests.support.node_settings import SETTINGS

    names = ("probes", "connects", "retries", "lists")
    budgets = "".join(f'<budget name="{name}" per-second="100000" nodes="4"/>' for name in names)
    zones = "".join(f'<zone name="{zone}"/>' for zone in SETTINGS["localities"])
    return f'{budgets}<zones sheds="on" news="on"><region name="r">{zones}</region></zones>'


def start_node(root: Path, discovery_port: int, endpoint_list: dict, folder: str,
         xml_settings: str | None = None) -> tuple[subprocess.Popen, int, float]:  # fmt: skip
    """Start the node of a checkout; return its process, port and memory (MB) before the first client.

    With `xml_settings`, the content of a cedarmill.xml, the node is started by the `cedarmill node` command.
    """
    from tests.support.node_settings import SETTINGS

    settings = json.loads(json.dumps(SETTINGS))
    settings["caps"]["probes"] = True
    path = Path(folder) / "config.json"
    path.write_text(json.dumps({"name": "n", "listen": "127.0.0.1:0",
                                "discovery": f"127.0.0.1:{discovery_port}", "seed": "1",
                                "limits": {"sockets": 1024, "memory_mb": 192}, "known": endpoint_list,
                                "settings": settings}))  # fmt: skip
    command = [sys.executable, "-m", "cedarmill"]
    if xml_settings is not None:
        xml = Path(folder) / "cedarmill.xml"
        xml.write_text(f'<cedarmill version="1">{xml_settings}</cedarmill>')
        command = [sys.executable, "-m", "cedarmill.cli", "node", "-c", str(xml)]
    process = subprocess.Popen(command, cwd=root, text=True, stderr=subprocess.PIPE,
                               env={**os.environ, "LB_CONFIG": str(path)})  # fmt: skip
    port = int(process.stderr.readline().split()[-1])
    process.stderr.readline()  # the line that reports the start of the watch
    if xml_settings:
        while "the lease holds" not in process.stderr.readline():
            pass
    return process, port, resident_memory(process.pid)


def measure(executors: int, count: int, against: list[Path], with_cluster: bool) -> None:
    """Run alternating rounds with the relay and each node; print the CPU times and their ratios."""
    receiver, sender = multiprocessing.Pipe()
    executors_process = multiprocessing.Process(target=serve_executors, args=(executors, sender), daemon=True)
    executors_process.start()
    ports, discovery_port, endpoint_list = receiver.recv()
    relay_process = multiprocessing.Process(target=serve_relay, args=(ports, sender), daemon=True)
    relay_process.start()
    targets: dict[str, tuple[int, int]] = {"relay": (relay_process.pid, receiver.recv())}
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        for root in (ROOT, *against):
            name = "node" if root == ROOT else f"node of {root.name}"
            process, port, memory_mb = start_node(root, discovery_port, endpoint_list, folder)
            processes.append(process)
            targets[name] = (process.pid, port)
            print(f"{executors} executors, {name}: {memory_mb:.2f} MB before the first client connection")
        if with_cluster:
            process, cluster_xml = start_replica(folder)
            configured_process, configured_cluster_xml = start_replica(folder, overload_settings())
            processes += [process, configured_process]
            for name, xml_settings in (("node by command", ""), ("node of a cluster", cluster_xml),
                               ("node with budgets, admission level and observations",
                                configured_cluster_xml)):  # fmt: skip
                process, port, memory_mb = start_node(
                    ROOT, discovery_port, endpoint_list, folder, xml_settings
                )
                processes.append(process)
                targets[name] = (process.pid, port)
                print(f"{executors} executors, {name}: {memory_mb:.2f} MB before the first client connection")
        cpu_times_us: dict[str, list[float]] = {name: [] for name in targets}
        for round_number in range(ROUNDS + 1):
            for name, (pid, port) in list(targets.items())[:: 1 if round_number % 2 else -1]:
                cpu_before = cpu_seconds(pid)
                failed = uvloop.run(_run_round(port, count))
                if round_number:  # the first round warms up
                    cpu_times_us[name].append((cpu_seconds(pid) - cpu_before) / count * 1e6)
                if failed:
                    print(f"{executors} executors, {name}: {failed} of {count} requests not served")
        for process in processes:
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=20)
    relay_process.kill()
    executors_process.kill()
    for name, values in cpu_times_us.items():
        comparison = f"{_format_ratios(values, cpu_times_us['relay'])} the relay's"
        if name not in ("relay", "node"):
            comparison += f", this checkout's node {_format_ratios(cpu_times_us['node'], values)} of that"
        spread = f"{min(values):.0f} to {max(values):.0f}"
        cost = f"{statistics.median(values):.0f} us per request ({spread})"
        print(f"{executors} executors, {name}: {cost}, {comparison}")


def _format_ratios(values: list[float], reference: list[float]) -> str:
    """Return the median, minimum and maximum of the ratios of each round, as text."""
    ratios = [value / reference_value for value, reference_value in zip(values, reference, strict=True)]
    return f"{statistics.median(ratios):.2f}x ({min(ratios):.2f} to {max(ratios):.2f})"


def main() -> None:
    """Run the measurement with each number of executors."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--against", type=Path, action="append", default=[])
    parser.add_argument(
        "--cluster", action="store_true", help="also measure nodes with a session to a replica"
    )
    parser.add_argument("--executors", type=int, action="append")
    parser.add_argument("--count", type=int, default=4000, help="requests per round")
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    began = time.monotonic()
    for executors in args.executors or [12, 400]:
        measure(executors, args.count, [path.resolve() for path in args.against], args.cluster)
    print(f"took {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
