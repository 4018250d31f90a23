"""Measure how much memory a node takes while executors and clients send messages that are never finished.

    python benchmarks/memory.py                       # all faults, 1, 3 and 12 of 12 executors, 3 limits
    python benchmarks/memory.py --memory-mb 32 --spoilt 12 --fault endless-line

Each row is one node under a steady load of requests that may be repeated, of whose answers the spoilt
executors finish none (or, for `slow`, all, slowly). `bad clients` beside them send bodies of 64 KiB and stop
before the end. The exit code is 1 if a node held more anonymous memory than its limit, or lost a request.
"""

import argparse
import asyncio
import itertools
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from tests.support.node_settings import SETTINGS  # noqa: E402  # after the path is set

EXECUTORS = 12
BODY_BYTES = 64 * 1024
REQUESTS_PER_S = 40
LOAD_S = 8.0
BUDGET_MS = 6000
SLOTS = 50  # of an executor
RUN_S = 0.05  # of a usual request
SLOW_PARTS = 8  # of a slow answer, each after SLOW_PART_S
SLOW_PART_S = 0.25
BAD_CLIENTS = 40
POLL_S = 0.005
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
BEGIN = '{"id":"%s","from":"s","state":"done","result":"'


def chunk(text: bytes) -> bytes:
    """Return a chunk of an HTTP body."""
    return b"%x\r\n%s\r\n" % (len(text), text)


def line_start(call_id: str, result: bytes) -> bytes:
    """Return an answer up to a place within its result."""
    return HEAD + b"\r\n" + chunk((BEGIN % call_id).encode() + result)


def whole_answer(call_id: str, result: bytes) -> bytes:
    """Return a whole answer."""
    return HEAD + b"\r\n" + chunk((BEGIN % call_id).encode() + result + b'"}\n') + b"0\r\n\r\n"


def many_fields(call_id: str) -> bytes:
    """Return a head without an end."""
    return HEAD + b"".join(b"x%d:\r\n" % number for number in range(100_000))


FAULTS: dict[str, Callable[[str], bytes]] = {
    "endless-line": lambda call_id: line_start(call_id, b"a" * 250_000),
    "endless-escapes": lambda call_id: line_start(call_id, b"\\u0061" * 41_000),
    "many-fields": many_fields,
    "endless-trailer": lambda call_id: HEAD + b"\r\n0\r\nX: " + b"a" * 900_000,
    "stops": lambda call_id: line_start(call_id, b"a" * 60_000),
    "slow": lambda call_id: whole_answer(call_id, b"a" * BODY_BYTES),
    "slow-escapes": lambda call_id: whole_answer(call_id, b"\\u00e9" * (BODY_BYTES // 2)),
}
SLOW_FAULTS = ("slow", "slow-escapes")


class Row(NamedTuple):
    """One node of the table."""

    fault: str
    spoilt: int
    memory_mb: int
    bad_clients: int
    peak_mb: float
    statuses: Counter[str]

    def is_lost(self) -> bool:
        """Return whether a request has no answer, or failed although its answer was sent."""
        return bool(self.statuses["none"]) or (self.fault in SLOW_FAULTS and bool(self.statuses["502"]))


class Executor:
    """An executor that answers probes, and spoils its answers if it has a fault."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.running = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = re.search(r"Content-Length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                if "/status/load" in head:
                    self._send_load(writer)
                else:
                    await self._answer(re.search(r"x-call-id: (\S+)", head)[1], writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _send_load(self, writer: asyncio.StreamWriter) -> None:
        free = max(0, SLOTS - self.running)
        body = json.dumps({"x0": free, "x1": free}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def _answer(self, call_id: str, writer: asyncio.StreamWriter) -> None:
        self.running += 1
        await asyncio.sleep(RUN_S)
        if self.fault in SLOW_FAULTS:
            text = FAULTS[self.fault](call_id)
            size = len(text) // SLOW_PARTS + 1
            for start in range(0, len(text), size):
                writer.write(text[start : start + size])
                await asyncio.sleep(SLOW_PART_S)
        else:
            writer.write(FAULTS[self.fault](call_id) if self.fault else whole_answer(call_id, b"fine"))
        self.running -= 1
        await writer.drain()


class Discovery:
    """Sends the endpoint list, and keeps the watch open."""

    def __init__(self, listing: dict[str, object]) -> None:
        self.listing = listing

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\n" + chunk(json.dumps(self.listing).encode() + b"\n"))
            while True:
                await asyncio.sleep(2)
                writer.write(chunk(b"\n"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def ask(port: int, number: int, statuses: Counter[str]) -> None:
    """Send a usual request on a connection of its own, and count the status of its answer."""
    status, writer = "none", None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"POST /api HTTP/1.1\r\nX-Call-Id: c{number:x}\r\nX-Call-Class: pin\r\nX-Caller: acme\r\n"
        writer.write(f"{head}X-Budget-Ms: {BUDGET_MS}\r\nContent-Length: 6\r\n\r\na body".encode())
        async with asyncio.timeout(BUDGET_MS / 1000 + 1):
            status = (await reader.readline()).decode().split(" ")[1]
    except (OSError, TimeoutError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.close()
    statuses[status] += 1


async def stop_in_the_middle(port: int, until: float) -> None:
    """Send half a request again and again."""
    text = b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"b" * (BODY_BYTES - 1)
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(text)
                await reader.read()
            finally:
                writer.close()
        except OSError:
            await asyncio.sleep(POLL_S)


def anonymous_mb(pid: int) -> float:
    """Return the anonymous memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"RssAnon:\s+(\d+)", status)[1]) / 1024


async def load(port: int, pid: int, bad_clients: int) -> tuple[Counter[str], float]:
    """Play the clients; return the statuses of usual requests and the most memory seen (MB)."""
    statuses: Counter[str] = Counter()
    until, peak = time.monotonic() + LOAD_S, 0.0
    tasks = [asyncio.create_task(stop_in_the_middle(port, until)) for _ in range(bad_clients)]
    next_at = time.monotonic()
    for number in itertools.count():
        tasks.append(asyncio.create_task(ask(port, number, statuses)))
        next_at += 1 / REQUESTS_PER_S
        while time.monotonic() < next_at:
            peak = max(peak, anonymous_mb(pid))
            await asyncio.sleep(POLL_S)
        if next_at > until:
            break
    while not all(task.done() for task in tasks):
        peak = max(peak, anonymous_mb(pid))
        await asyncio.sleep(POLL_S)
    return statuses, peak


def start_node(config: dict[str, object], folder: str) -> tuple["subprocess.Popen[str]", int]:
    """Start a node; return its process and its port."""
    path = Path(folder) / "config.json"
    path.write_text(json.dumps(config))
    environment = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": folder}
    process = subprocess.Popen(
        [sys.executable, "-m", "cedarmill"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )
    for line in process.stderr:
        if found := re.search(r"serves on \S+ port (\d+)", line):
            return process, int(found[1])
    raise RuntimeError("the node did not start")


async def measure(fault: str, spoilt: int, memory_mb: int, bad_clients: int) -> Row:
    """Play one row of the table."""
    executors = [Executor(fault if number < spoilt else "") for number in range(EXECUTORS)]
    servers = [await asyncio.start_server(executor.serve, "127.0.0.1", 0) for executor in executors]
    entries = [
        {
            "name": f"s-{number}",
            "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
            "zone": "here",
            "type": "box",
            "status": "SERVING",
        }
        for number, server in enumerate(servers)
    ]
    listing = {"index": 7, "snapshot": True, "endpoints": entries}
    servers.append(await asyncio.start_server(Discovery(listing).serve, "127.0.0.1", 0))
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{servers[-1].sockets[0].getsockname()[1]}",
        "seed": "5eed",
        "limits": {"sockets": 1024, "memory_mb": memory_mb},
        "known": listing,
        "settings": {**SETTINGS, "caps": {**SETTINGS["caps"], "probes": True}},
    }
    with tempfile.TemporaryDirectory() as folder:
        process, port = start_node(config, folder)
        try:
            statuses, peak_mb = await load(port, process.pid, bad_clients)
        finally:
            process.kill()
            process.communicate()
            for server in servers:
                server.close()
    return Row(fault, spoilt, memory_mb, bad_clients, peak_mb, statuses)


def main() -> int:
    """Print the table; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--memory-mb", type=int, nargs="+", default=[32, 64, 192])
    parser.add_argument("--spoilt", type=int, nargs="+", default=[1, 3, 12])
    parser.add_argument("--fault", choices=sorted(FAULTS), nargs="+", default=list(FAULTS))
    parser.add_argument("--bad-clients", type=int, nargs="+", default=[0, BAD_CLIENTS])
    options = parser.parse_args()
    is_bad = False
    print("| fault | of 12 | limit, MB | bad clients | most held, MB | answers |\n" + "| --- " * 6 + "|")
    rows = itertools.product(options.fault, options.spoilt, options.memory_mb, options.bad_clients)
    for fault, spoilt, memory_mb, bad_clients in rows:
        row = asyncio.run(measure(fault, spoilt, memory_mb, bad_clients))
        answers = ", ".join(f"{count} of {status}" for status, count in sorted(row.statuses.items()))
        print(
            f"| {fault} | {spoilt} | {memory_mb} | {bad_clients} | {row.peak_mb:.1f} | {answers} |",
            flush=True,
        )
        is_bad = is_bad or row.peak_mb > memory_mb or row.is_lost()
    return int(is_bad)


if __name__ == "__main__":
    sys.exit(main())
