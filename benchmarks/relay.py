"""The node's CPU for one req, and its memory at rest, against a bare relay and another checkout, in one run.

    python benchmarks/relay.py                         # 12 and 400 boxes, ratios with spread python
    benchmarks/relay.py --against ../before     # also the node of another checkout python
    benchmarks/relay.py --fleet                 # also the node with a keeper, and without by the same
    command

The relay is uvloop and httptools with nothing in between: it passes each request on over one kept connection
to each box in turn, and its answer back. Rounds alternate, so that what this machine does meanwhile befalls
all alike; figures are the median of the rounds, and the least and the most.
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


class BoxWire(asyncio.Protocol):
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


class Onward(asyncio.Protocol):
    """The relay's connection to a box: whatever comes back goes to the client that waits."""

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


IDLE: list[Onward] = []


class RelayWire(asyncio.Protocol):
    """The relay's client session."""

    def connection_made(self, transport) -> None:
        self.transport, self.parser, self.text = transport, httptools.HttpRequestParser(self), b""

    def data_received(self, data: bytes) -> None:
        self.text += data
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        text, self.text = self.text, b""
        onward = IDLE.pop(0)
        onward.client = self
        onward.transport.write(text)


class DirectorWire(asyncio.Protocol):
    """Tells the list, then nothing but that nothing changes."""

    listing = b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        text = self.listing
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.transport.write(b"%x\r\n%s\r\n" % (len(text), text))
        asyncio.get_running_loop().call_later(2, self.beat)

    def beat(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2, self.beat)


async def _listen(kind, count: int) -> list[int]:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(kind, "127.0.0.1", 0) for _ in range(count)]
    _KEPT.extend(servers)
    return [server.sockets[0].getsockname()[1] for server in servers]


_KEPT: list = []


def fleet(boxes: int, pipe) -> None:
    """The process of the boxes and the director; tells their ports."""

    async def main() -> None:
        ports = await _listen(BoxWire, boxes)
        entries = [{"name": f"b{n}", "address": f"127.0.0.1:{port}", "zone": "here", "type": "box",
                    "status": "SERVING"} for n, port in enumerate(ports)]  # fmt: skip
        known = {"index": 1, "snapshot": True, "endpoints": entries}
        DirectorWire.listing = json.dumps(known).encode() + b"\n"
        pipe.send((ports, (await _listen(DirectorWire, 1))[0], known))
        await asyncio.Event().wait()

    uvloop.run(main())


def relay(ports: list[int], pipe) -> None:
    """The process of the bare relay."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for n in range(2 * CONNECTIONS):
            _, onward = await loop.create_connection(Onward, "127.0.0.1", ports[n % len(ports)])
            IDLE.append(onward)
        pipe.send((await _listen(RelayWire, 1))[0])
        await asyncio.Event().wait()

    uvloop.run(main())


class Asker(asyncio.Protocol):
    """A client connection in a closed loop: this measures CPU for each req, not waiting."""

    count = 0

    def __init__(self, state: dict) -> None:
        self.state, self.parser = state, httptools.HttpResponseParser(self)

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        Asker.count += 1
        self.transport.write(
            b"POST /api/%x HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Call-Class: pin\r\nX-Caller: acme\r\n"
            b"X-Budget-Ms: 6000\r\nContent-Length: 6\r\n\r\na body" % (Asker.count, Asker.count)
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
    wires = [
        await loop.create_connection(lambda: Asker(state), "127.0.0.1", port) for _ in range(CONNECTIONS)
    ]
    await state["done"].wait()
    for transport, _ in wires:
        transport.close()
    return state["bad"]


def cpu(pid: int) -> float:
    """Seconds on a CPU of a process of one thread, to the nanosecond (/proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def memory(pid: int) -> float:
    """Resident MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 2**20


def keeper(folder: str, inner: str = "") -> tuple[subprocess.Popen, str]:
    """Start one keeper; its process, and the `<fleet>` of a node that has a session with it."""
    from cedarmill.lab.cluster.ports import free_port

    port, path = free_port(), Path(folder) / f"keeper{bool(inner):d}.xml"
    path.write_text(f'<keeper version="1" cluster="c" name="k0" listen="127.0.0.1:{port}" '
                    f'data="{folder}/k{bool(inner):d}"><peer name="k0" address="127.0.0.1:{port}"/>'
                    f'{inner}</keeper>')  # fmt: skip
    command = [sys.executable, "-m", "cedarmill.cli", "keeper", "-c", str(path)]
    subprocess.run([*command, "--init"], cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
    keepers = f'<keeper name="k0" address="127.0.0.1:{port}"/>'
    return process, f'<fleet cluster="c" listen="127.0.0.1:0">{keepers}</fleet>'


def storms() -> str:
    """What a keeper's file says where the fleet acts as one under overload: nothing of it binds here."""
    from tests.support.node_case import SETTINGS

    names = ("probes", "connects", "retries", "lists")
    budgets = "".join(f'<budget name="{name}" per-second="100000" nodes="4"/>' for name in names)
    zones = "".join(f'<zone name="{zone}"/>' for zone in SETTINGS["localities"])
    return f'{budgets}<zones sheds="on" news="on"><region name="r">{zones}</region></zones>'


def node(root: Path, director: int, known: dict, folder: str,
         conf: str | None = None) -> tuple[subprocess.Popen, int, float]:  # fmt: skip
    """Start the node of a checkout; its process, its port, and its memory before the first session.

    `conf`: the inside of a cedarmill.xml, with which the command starts it.
    """
    from tests.support.node_case import SETTINGS

    settings = json.loads(json.dumps(SETTINGS))
    settings["caps"]["probes"] = True
    path = Path(folder) / "config.json"
    path.write_text(json.dumps({"name": "n", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{director}",
                                "seed": "1", "limits": {"sockets": 1024, "memory_mb": 192}, "known": known,
                                "settings": settings}))  # fmt: skip
    command = [sys.executable, "-m", "cedarmill"]
    if conf is not None:
        xml = Path(folder) / "cedarmill.xml"
        xml.write_text(f'<cedarmill version="1">{conf}</cedarmill>')
        command = [sys.executable, "-m", "cedarmill.cli", "node", "-c", str(xml)]
    process = subprocess.Popen(command, cwd=root, text=True, stderr=subprocess.PIPE,
                               env={**os.environ, "LB_CONFIG": str(path)})  # fmt: skip
    port = int(process.stderr.readline().split()[-1])
    process.stderr.readline()  # the watch has begun
    if conf:
        while "the lease holds" not in process.stderr.readline():
            pass
    return process, port, memory(process.pid)


def measure(boxes: int, count: int, against: list[Path], with_fleet: bool) -> None:
    """Alternate rounds over the relay and each checkout's node; print the ratios."""
    here, there = multiprocessing.Pipe()
    fleet_process = multiprocessing.Process(target=fleet, args=(boxes, there), daemon=True)
    fleet_process.start()
    ports, director, known = here.recv()
    relay_process = multiprocessing.Process(target=relay, args=(ports, there), daemon=True)
    relay_process.start()
    sides: dict[str, tuple[int, int]] = {"relay": (relay_process.pid, here.recv())}
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        for root in (ROOT, *against):
            name = "node" if root == ROOT else f"node of {root.name}"
            process, port, resident = node(root, director, known, folder)
            nodes.append(process)
            sides[name] = (process.pid, port)
            print(f"{boxes} boxes, {name}: {resident:.2f} MB before the first session")
        if with_fleet:
            process, part = keeper(folder)
            other, whole = keeper(folder, storms())
            nodes += [process, other]
            for name, conf in (("node by command", ""), ("node with a fleet", part),
                               ("node with budgets, level and news", whole)):  # fmt: skip
                process, port, resident = node(ROOT, director, known, folder, conf)
                nodes.append(process)
                sides[name] = (process.pid, port)
                print(f"{boxes} boxes, {name}: {resident:.2f} MB before the first session")
        figures: dict[str, list[float]] = {name: [] for name in sides}
        for driver in range(ROUNDS + 1):
            for name, (pid, port) in list(sides.items())[:: 1 if driver % 2 else -1]:
                before = cpu(pid)
                bad = uvloop.run(_round(port, count))
                if driver:  # the first warms up
                    figures[name].append((cpu(pid) - before) / count * 1e6)
                if bad:
                    print(f"{boxes} boxes, {name}: {bad} of {count} not served")
        for process in nodes:
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=20)
    relay_process.kill()
    fleet_process.kill()
    for name, values in figures.items():
        compared = f"{_ratio(values, figures['relay'])} the relay"
        if name not in ("relay", "node"):
            compared += f", the node here {_ratio(figures['node'], values)} of it"
        spread = f"{min(values):.0f} to {max(values):.0f}"
        print(f"{boxes} boxes, {name}: {statistics.median(values):.0f} us a req ({spread}), {compared}")


def _ratio(values: list[float], others: list[float]) -> str:
    """The median of the ratios round by round, and their spread."""
    ratios = [value / other for value, other in zip(values, others, strict=True)]
    return f"{statistics.median(ratios):.2f}x ({min(ratios):.2f} to {max(ratios):.2f})"


def main() -> None:
    """Measure at each size of the fleet."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--against", type=Path, action="append", default=[])
    parser.add_argument("--fleet", action="store_true", help="also a node that has a session with a keeper")
    parser.add_argument("--boxes", type=int, action="append")
    parser.add_argument("--count", type=int, default=4000, help="reqs a round")
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    began = time.monotonic()
    for boxes in args.boxes or [12, 400]:
        measure(boxes, args.count, [path.resolve() for path in args.against], args.fleet)
    print(f"took {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
