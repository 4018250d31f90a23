"""Stand-ins for the platform, executors, discovery and clients, after the pages on protocol and deployment.

They run on one asyncio loop. Times are seconds of the monotonic clock unless a name says otherwise.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEARTBEAT_S = 2.0
READY_TIMEOUT_S = 30.0
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
OWN_VARIABLES = ("LB_", "PYTHON", "TROUBLE")  # of the test's environment; a node gets none of them
EXEC_WITH_DESCRIPTOR_3 = "import os, sys; os.dup2(int(sys.argv[1]), 3); os.execv(sys.argv[2], sys.argv[2:])"


class CannotRunError(Exception):
    """The case cannot be played here."""


def now() -> float:
    return time.monotonic()


class Record:
    """The file `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began_at = now()

    def add(self, who: str, text: str) -> float:
        """Write a line and return its time."""
        at = now()
        self._file.write(f"{at - self.began_at:9.3f} {who:<12} {text}\n")
        self._file.flush()
        return at

    def since_start(self, at: float) -> str:
        return f"{at - self.began_at:.3f}"


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings of a small deployment like the first site's, with top-level keys replaced."""
    base: dict[str, Any] = {
        "instances": 1,
        "slot_no": 0,
        "zone": 0,
        "localities": ["westlands", "kilimani"],
        "kinds": ["big-box", "small-box"],
        "quantum": 2_000,
        "registry_mode": "on_request",
        "value_by": "work",
        "over_share_worth": 0.2,
        "tenants": [{"name": "mtaa-express", "quota_per_s": 200.0, "share": 1.0}],
        "report": {"names": ["x0", "x1"], "via": "piggyback"},
        "rules": {
            "answer_slack": 8_000,
            "ask_within": 10_000_000,
            "cold": 8_900_000,
            "cold_share": 0.3,
            "fall_multiple": 2.5,
            "overload_for": 1_500_000,
            "stop_sending_within": 1_500_000,
        },
        "caps": {
            "cancelling": True,
            "conn_idle": 10_000_000,
            "connect_timeout": 250_000,
            "max_retry_after": 2_000_000,
            "may_duplicate": True,
            "probes": False,
            "retry_after": True,
            "try_limit": 5,
        },
        "family": "jobs",
        "family_info": {
            "class_stretch": [2.5, 1.75],
            "report_x0": "free slots",
            "report_x1": "free memory",
            "tells_start": False,
        },
        "request_classes": [
            {
                "name": "pin-confirm",
                "aim": 250_000,
                "hard_limit": 6_000_000,
                "repeat": "guarded",
                "group": "zone",
                "repeat_window": 10_000_000,
                "value": 5.0,
            },
            {
                "name": "code-issue",
                "aim": 500_000,
                "hard_limit": 12_000_000,
                "repeat": "single_shot",
                "value": 3.0,
            },
        ],
    }
    return {**base, **changes}


# The platform.


class Platform:
    """Starts processes of the node with the deploy file's `run`, and ends all of them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.tmpdir = self.folder / "tmp"
        self.tmpdir.mkdir()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.command = self._run_command()

    @staticmethod
    def _run_command() -> str:
        command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if not (ROOT / ".venv" / "bin" / "python").exists():
            raise CannotRunError("the build has not been run: there is no .venv")
        return command

    def write_config(self, name: str, config: dict[str, Any]) -> Path:
        """Write a configuration file, replacing an earlier one in one step."""
        path, new = self.folder / name, self.folder / f"{name}.new"
        new.write_text(json.dumps(config))
        os.replace(new, path)
        return path

    def start(
        self, config_path: Path, held: socket.socket | None = None, mgmt: str = ""
    ) -> subprocess.Popen[bytes]:
        """Start a process of the node; `held`: the clients' listening socket, inherited as descriptor 3."""
        config = json.loads(config_path.read_text())
        environment = {
            **{key: value for key, value in os.environ.items() if not key.startswith(OWN_VARIABLES)},
            "LB_CONFIG": str(config_path),
            "LB_NAME": config["name"],
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": config["discovery"],
            "TMPDIR": str(self.tmpdir),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        if mgmt:
            environment["LB_MGMT"] = mgmt
        command = ["/bin/sh", "-c", self.command]
        pass_fds: tuple[int, ...] = ()
        if held is not None:
            environment["LB_SOCKET_FD"] = "3"
            pass_fds = (held.fileno(),)
            command = [sys.executable, "-c", EXEC_WITH_DESCRIPTOR_3, str(held.fileno()), *command]
        number = len(self.processes)
        with (self.folder / f"node-{number}.log").open("wb") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        self.processes.append(process)
        self.record.add("platform", f"starts process {number} of {config['name']}")
        return process

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> float:
        """Send a signal to a process that this test started, if it still runs."""
        if process.poll() is None:
            process.send_signal(number)
        return self.record.add("platform", f"{number.name} to process {self.processes.index(process)}")

    def log_lines(self) -> list[str]:
        """Return the log lines of all processes."""
        lines = []
        for number in range(len(self.processes)):
            text = (self.folder / f"node-{number}.log").read_text(errors="replace")
            lines += [f"[{number}] {line}" for line in text.splitlines()]
        return lines

    def close(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for line in self.log_lines():
            self.record.add("node's log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_ready(port: int, host: str = "127.0.0.1") -> None:
    """Ask `GET /ready` every 0.1 s, as the front does, until it says yes."""
    until = now() + READY_TIMEOUT_S
    while now() < until:
        if await ask_ready(port, host) == 200:
            return
        await asyncio.sleep(0.1)
    raise CannotRunError("the node did not become ready within 30 s")


async def ask_ready(port: int, host: str = "127.0.0.1") -> int:
    """Return the status of `GET /ready`, 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return 0
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(read_answer(reader), 1.0)
        return answer.status if answer else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()


async def call_admin(address: str, method: str, path: str) -> int:
    """Make one call of the operators' door on a connection of its own; return the status, 0 without one."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n".encode())
        answer = await asyncio.wait_for(read_answer(reader), 2.0)
        return answer.status if answer else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()


def free_port() -> int:
    """Return a port of loopback that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


# Clients.


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Read one whole answer; None if the connection ends before."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    return Answer(int(lines[0].split()[1]), headers, body)


def request_text(
    call_id: str,
    request_class: str,
    budget_ms: int,
    body: bytes = b"plot 7, Ngong Road",
    caller: str = "mtaa-express",
    guarded: bool = False,
) -> bytes:
    """Return a client's request as the protocol page shows it."""
    lines = [
        "POST /api/7f3a9c21e0b4d655 HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {request_class}",
        f"X-Caller: {caller}",
        f"X-Budget-Ms: {budget_ms}",
        "X-Call-Info: slots=1,memory=0.1",
    ]
    if guarded:
        lines.append(f"Idempotency-Key: {call_id}{call_id}")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


# Executors.


@dataclass(eq=False)
class Job:
    """A request that an executor has received whole, and the connection that carries it."""

    executor: str
    call_id: str
    budget_ms: int
    first_byte_at: float
    last_byte_at: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send_line(self, state: str, **fields: object) -> None:
        """Send one line of the answer as a chunk."""
        text = json.dumps({"id": self.call_id, "from": self.executor, "state": state, **fields}) + "\n"
        self.writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
        await self.writer.drain()

    async def done(self, **fields: object) -> None:
        """Answer whole: served."""
        await self.finish("done", result=f"result of {self.call_id}", **fields)

    async def finish(self, state: str, **fields: object) -> None:
        """Answer whole with one last line."""
        self.writer.write(CHUNKED_HEAD)
        await self.send_line(state, **fields)
        self.writer.write(LAST_CHUNK)
        await self.writer.drain()

    async def reject(self) -> None:
        """Turn the job away unseen."""
        self.writer.write(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        await self.writer.drain()


class Executor:
    """An executor; `serve_job` answers each job that has come whole."""

    def __init__(
        self,
        name: str,
        record: Record,
        serve_job: Callable[["Executor", Job], Awaitable[None]],
        zone: str = "westlands",
        kind: str = "big-box",
        slots: int = 4,
    ) -> None:
        self.name, self.record, self.serve_job = name, record, serve_job
        self.zone, self.kind, self.slots = zone, kind, slots
        self.status, self.since_ms = "SERVING", 0
        self.jobs: list[Job] = []
        self.busy = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def load(self) -> dict[str, float]:
        """Return a load report with all fields that the cases' settings name."""
        free = float(max(0, self.slots - self.busy))
        return {"x0": free, "x1": free, "busy_reqs": float(self.busy), "pending": 0.0}

    def restart(self) -> None:
        """End the process and start it anew: its connections are reset, and it is cold."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):  # closed already
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        self.since_ms = int(time.time() * 1000)
        self.record.add(self.name, f"is restarted with {self.busy} jobs in it")

    def entry(self) -> dict[str, object]:
        """Return the entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": self.kind,
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        first = await reader.read(1)
        if not first:
            return False
        first_byte_at = now()
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        await reader.readexactly(int(headers.get("content-length", "0")))
        if lines[0].startswith("GET "):
            report = json.dumps(self.load()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report))
            await writer.drain()
            return True
        call_id = headers.get("x-call-id", "")
        budget_ms = int(headers.get("x-budget-ms", "0"))
        job = Job(self.name, call_id, budget_ms, first_byte_at, now(), reader, writer)
        self.jobs.append(job)
        self.record.add(self.name, f"receives {call_id} whole, X-Budget-Ms {budget_ms}")
        self.busy += 1
        try:
            await self.serve_job(self, job)
        finally:
            self.busy -= 1
        return not writer.is_closing()


# Discovery.


@dataclass
class Discovery:
    """The list of executors, and the watches on it, where discovery is asked."""

    executors: list[Executor]
    record: Record
    index: int = 1
    changed_in: dict[str, int] = field(default_factory=dict)
    port: int = 0
    _watches: dict[asyncio.StreamWriter, int] = field(default_factory=dict)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()

    def listing(self, after: int = 0) -> dict[str, object]:
        """Return what changed after a version; the whole list after 0."""
        entries = [
            executor.entry()
            for executor in self.executors
            if not after or self.changed_in.get(executor.name, 0) > after
        ]
        return {"index": self.index, "snapshot": not after, "endpoints": entries}

    def set_status(self, executor: Executor, status: str) -> float:
        """Change an executor's status and write the change to all watches; return the time."""
        self.index += 1
        executor.status, self.changed_in[executor.name] = status, self.index
        at = self.record.add("discovery", f"tells that {executor.name} is {status}")
        for writer in list(self._watches):
            self._write(writer)
        return at

    def _write(self, writer: asyncio.StreamWriter) -> None:
        text = json.dumps(self.listing(self._watches[writer])).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        self._watches[writer] = self.index

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0]
            if b"watch=1" not in line:
                text = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
                return
            writer.write(CHUNKED_HEAD)
            self._watches[writer] = int(line.split(b"from=")[1].split()[0]) if b"from=" in line else 0
            self._write(writer)
            while writer in self._watches and not reader.at_eof():
                await asyncio.sleep(HEARTBEAT_S)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._watches.pop(writer, None)
            writer.close()


# A case.


@dataclass
class Stage:
    """What a case plays on; all of it ends with the case."""

    record: Record
    platform: Platform
    trouble: bool
    closers: list[Callable[[], None]] = field(default_factory=list)

    async def executor(
        self, name: str, serve_job: Callable[[Executor, Job], Awaitable[None]], **options: Any
    ) -> Executor:
        """Start an executor."""
        executor = Executor(name, self.record, serve_job, **options)
        await executor.start()
        self.closers.append(executor.close)
        return executor

    async def discovery(self, *executors: Executor) -> Discovery:
        """Start discovery."""
        discovery = Discovery(list(executors), self.record)
        await discovery.start()
        self.closers.append(discovery.close)
        return discovery

    def config(
        self,
        discovery: Discovery,
        listen_port: int,
        node_settings: dict[str, Any],
        limits: dict[str, float] | None = None,
        file: str = "config.json",
    ) -> Path:
        """Write the node's configuration file."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{listen_port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": node_settings,
        }
        return self.platform.write_config(file, config)


def main(folder: Path, play: Callable[[Stage], Awaitable[bool]], limit_s: float = 110.0) -> int:
    """Play a case, which returns whether its rule held; return the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))  # ends the node's processes on the way
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("test", f"TROUBLE={int(trouble)}")
    try:
        platform = Platform(record)
    except (CannotRunError, OSError, KeyError) as error:
        record.add("test", f"cannot run: {error}")
        print(f"cannot run: {error}", file=sys.stderr)
        return CANNOT_RUN
    stage = Stage(record, platform, trouble)

    async def play_in_time() -> bool:
        try:
            async with asyncio.timeout(limit_s):
                return await play(stage)
        finally:
            for close in stage.closers:
                close()

    try:
        held = asyncio.run(play_in_time())
    except (CannotRunError, OSError, TimeoutError) as error:
        record.add("test", f"cannot run: {error!r}")
        print(f"cannot run: {error!r}", file=sys.stderr)
        return CANNOT_RUN
    finally:
        platform.close()
    record.add("test", "the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
