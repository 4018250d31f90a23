"""Stand-ins for the second review: the platform, discovery, executors and clients on loopback addresses.

They follow the protocol pages: HTTP/1.1 on plain TCP, one request at a time on a connection to an executor,
answers of executors in chunks with one JSON object a line, a watch of the endpoint list that stays open.
Only the standard library is used.
"""

import contextlib
import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 110  # of a whole case
started: list[subprocess.Popen[bytes]] = []  # processes of the program, which the case ends
CLASSES = [
    {
        "name": "pin-confirm",
        "repeat": "guarded",
        "group": "zone",
        "value": 5.0,
        "aim": 250_000,
        "hard_limit": 6_000_000,
        "repeat_window": 10_000_000,
        "late_value": 0.0,
        "streamed": False,
    },
    {
        "name": "code-issue",
        "repeat": "single_shot",
        "group": "all",
        "value": 3.0,
        "aim": 500_000,
        "hard_limit": 12_000_000,
        "repeat_window": 5_000_000,
        "late_value": 0.0,
        "streamed": False,
    },
]


class CannotRun(Exception):
    """The case could not be played; the message says why."""


class Record:
    """What was sent, answered and run, one line an event, in the order in which it was seen."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began = time.monotonic()
        self._lines: list[str] = []
        self._lock = threading.Lock()

    def add(self, who: str, what: str) -> float:
        """Add an event; return its time in seconds from the begin."""
        with self._lock:
            at = time.monotonic() - self.began
            self._lines.append(f"{at:9.4f}  {who:<12} {what}")
            return at

    def save(self) -> None:
        """Write the file."""
        with self._lock:
            self.path.write_text("\n".join(self._lines) + "\n")


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment with two classes; `changes` replace whole keys."""
    return {
        "instances": 1,
        "slot_no": 0,
        "layer": 0,
        "zone": 0,
        "localities": ["westlands", "kilimani"],
        "kinds": ["box"],
        "tiers": ["boxes"],
        "quantum": 2000,
        "registry_mode": "on_request",
        "family": "jobs",
        "family_info": {
            "class_kind": [-1, -1],
            "class_priority": [1, 0],
            "class_stretch": [2.5, 1.75],
            "report_x0": "free slots",
            "report_x1": "free memory",
            "progress": 0,
            "queue_order": "fifo",
            "tells_start": False,
        },
        "caps": {
            "cancelling": True,
            "conn_idle": 10_000_000,
            "connect_timeout": 250_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 1_000_000,
            "max_open": 26_666,
            "max_retry_after": 2_000_000,
            "may_duplicate": True,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "streams_per_conn": 1,
            "try_limit": 5,
        },
        "callers": {"marks_retry": True},
        "goal": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.25, "worst_window": 0.15},
        "over_share_worth": 0.2,
        "report": {"names": ["x0", "x1"], "via": "pull"},
        "request_classes": CLASSES,
        "rules": {
            "answer_slack": 8_000,
            "ask_within": 10_000_000,
            "cold": 8_900_000,
            "cold_share": 0.3,
            "fall_multiple": 2.5,
            "overload_for": 1_500_000,
            "stop_sending_within": 1_500_000,
        },
        "tariffs": {},
        "tenants": [
            {"name": "mtaa-express", "quota_per_s": 24.0, "share": 0.63},
            {"name": "pwani-parcels", "quota_per_s": 14.0, "share": 0.37},
        ],
        "value_by": "work",
        "weights": "nominal",
        **changes,
    }


class Connection:
    """A connection that a stand-in server accepted."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.stream = sock.makefile("rb")

    def read_request(self) -> tuple[str, str, dict[str, str], bytes] | None:
        """Return method, target, headers and body of the next whole request, or None at the end."""
        line = self.stream.readline()
        if not line.endswith(b"\n"):
            return None
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while (line := self.stream.readline()) not in (b"\r\n", b"\n"):
            if not line:
                return None
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = self.stream.read(length)
        return (method, target, headers, body) if len(body) == length else None

    def send(self, data: bytes) -> bool:
        """Write; return False if the node has closed the connection."""
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True


class Server:
    """A listener whose connections are served by a thread each."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.stopped = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while not self.stopped:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._run, args=(Connection(sock),), daemon=True).start()

    def _run(self, connection: Connection) -> None:
        try:
            with contextlib.suppress(OSError):
                self.serve(connection)
        finally:
            with contextlib.suppress(OSError):
                connection.sock.close()

    def serve(self, connection: Connection) -> None:
        """Serve one connection to its end."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening."""
        self.stopped = True
        with contextlib.suppress(OSError):
            self.listener.close()


class Job:
    """A job that an executor has taken: its last byte has arrived."""

    def __init__(
        self, executor: "Executor", connection: Connection, headers: dict[str, str], body: bytes
    ) -> None:
        self.executor, self.connection, self.headers, self.body = executor, connection, headers, body
        self.id = headers["x-call-id"]

    def send(self, data: bytes) -> bool:
        """Write raw bytes of the answer."""
        return self.connection.send(data)

    def send_head(self) -> bool:
        """Write the head of an answer in chunks."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        return self.send(head)

    def send_line(self, **fields: Any) -> bool:
        """Write one line of the answer in a chunk."""
        line = json.dumps(fields).encode() + b"\n"
        return self.send(b"%x\r\n%s\r\n" % (len(line), line))

    def finish(self, **fields: Any) -> None:
        """Write head, one last line and the end, and record it."""
        self.executor.record.add(self.executor.name, f"job {self.id}: last line {json.dumps(fields)[:150]}")
        self.send_head()
        self.send_line(**fields)
        self.send(b"0\r\n\r\n")

    def done(self, result: str) -> None:
        """Answer as an executor does that has run the job."""
        self.finish(id=self.id, **{"from": self.executor.name}, state="done", result=result)

    def reject(self) -> bool:
        """Turn the job away unstarted."""
        return self.send(REJECTION)


REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


class Executor(Server):
    """An executor: it answers probes with its load, and hands each job to `handle`."""

    def __init__(
        self,
        record: Record,
        name: str,
        handle: Callable[[Job], None],
        zone: str = "westlands",
        slots: int = 3,
    ) -> None:
        self.handle, self.zone, self.slots = handle, zone, slots
        self.running = 0
        self.jobs: list[Job] = []
        self.lock = threading.Lock()
        super().__init__(record, name)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the entry of the endpoint list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "box",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
            **changes,
        }

    def serve(self, connection: Connection) -> None:
        """Serve one connection, one request at a time."""
        while (request := connection.read_request()) is not None:
            _, target, headers, body = request
            if target.startswith("/status/load"):
                self._send_load(connection)
                continue
            job = Job(self, connection, headers, body)
            with self.lock:
                self.running += 1
                self.jobs.append(job)
            self.record.add(self.name, f"job {job.id}: last byte received, {headers.get('x-call-class')}")
            try:
                self.handle(job)
            finally:
                with self.lock:
                    self.running -= 1

    def _send_load(self, connection: Connection) -> None:
        free = float(max(0, self.slots - self.running))
        body = json.dumps({"x0": free, "x1": free}).encode()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Discovery(Server):
    """Discovery: sends the whole list on a watch, then an empty line every 2 s."""

    def __init__(self, record: Record, executors: list[Executor]) -> None:
        self.executors = executors
        super().__init__(record, "discovery")

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": 41, "snapshot": True, "endpoints": [each.entry() for each in self.executors]}

    def serve(self, connection: Connection) -> None:
        """Answer one call and keep its watch open."""
        if connection.read_request() is None:
            return
        line = json.dumps(self.listing()).encode() + b"\n"
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        connection.send(b"%x\r\n%s\r\n" % (len(line), line))
        while not self.stopped:
            time.sleep(2)
            if not connection.send(b"1\r\n\n\r\n"):
                return


class Node:
    """A node, started as the platform starts it, with the command `run` of the deploy file."""

    def __init__(self, record: Record, discovery: Discovery, **changes: Any) -> None:
        self.record = record
        self.port = free_port()
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        (folder / "tmp").mkdir()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings(),
            **changes,
        }
        (folder / "config.json").write_text(json.dumps(config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if not (ROOT / ".venv" / "bin" / "python").exists():
            raise CannotRun("there is no .venv: the build of the deploy file has not run")
        self.log_path = folder / "log.txt"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={
                    **os.environ,
                    "LB_CONFIG": str(folder / "config.json"),
                    "LB_NAME": "n0",
                    "LB_LISTEN": config["listen"],
                    "LB_DISCOVERY": config["discovery"],
                    "TMPDIR": str(folder / "tmp"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        started.append(self.process)
        self.record.add("platform", "node started")

    def wait_ready(self, timeout_s: float = 15) -> None:
        """Wait until `GET /ready` says 200."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                client = Client(self, "front")
                client.send(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                answer = client.read_answer(1)
                client.close()
                if answer is not None and answer.status == 200:
                    self.record.add("platform", "node ready")
                    return
            time.sleep(0.05)
        raise CannotRun("the node did not become ready: " + self.log_path.read_text()[-500:])

    def anonymous_kib(self) -> int:
        """Return the anonymous memory that the process holds, or 0 once it has ended."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            found = re.search(r"RssAnon:\s+(\d+)", status)
            return int(found[1]) if found else 0
        return 0

    def stop(self) -> None:
        """End the process, and record what its log says of faults."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.record.add("platform", f"node ended with {self.process.returncode}")
        for line in self.log_path.read_text(errors="replace").splitlines():
            self.record.add("node's log", line)
        self._folder.cleanup()


class Answer:
    """A whole answer of the node."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    def __str__(self) -> str:
        return f"{self.status} {self.body[:60]!r}"


class Client:
    """One connection of a client."""

    def __init__(self, node: Node, name: str) -> None:
        self.node, self.name, self.record = node, name, node.record
        self.sock = socket.create_connection(("127.0.0.1", node.port), timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""
        self.ended = False  # the node has ended the connection

    def send(self, data: bytes) -> None:
        """Write bytes."""
        self.sock.sendall(data)

    def _receive(self, until: float) -> bool:
        """Read some bytes; return False at the end of the connection or when the time is up."""
        wait = until - time.monotonic()
        if wait <= 0 or not select.select([self.sock], [], [], wait)[0]:
            return False
        try:
            data = self.sock.recv(65536)
        except OSError:
            data = b""
        self.ended = not data
        self._buffer += data
        return bool(data)

    def read_answer(self, timeout_s: float) -> Answer | None:
        """Return the next whole answer; None if the time is up or the connection ends before."""
        until = time.monotonic() + timeout_s
        while b"\r\n\r\n" not in self._buffer:
            if not self._receive(until):
                return None
        head, _, rest = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        self._buffer = rest
        while len(self._buffer) < length:
            if not self._receive(until):
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return Answer(int(lines[0].split()[1]), headers, body)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.close()


def request_bytes(
    call_id: str,
    job_class: str = "code-issue",
    budget_ms: int = 12_000,
    body: bytes = b"plot 7, Ngong Road",
    tenant: str = "mtaa-express",
    cost_us: int = 300_000,
) -> bytes:
    """Return a request as the clients send it."""
    head = (
        f"POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {call_id}\r\n"
        f"X-Call-Class: {job_class}\r\nX-Caller: {tenant}\r\nX-Budget-Ms: {budget_ms}\r\n"
        f"X-Call-Cost: {cost_us}\r\nX-Call-Info: slots=1,memory=0.100\r\n"
    )
    if job_class == "pin-confirm":
        head += f"Idempotency-Key: {call_id}{call_id}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _give_up(record: Record) -> None:
    """End a case that takes too long."""
    for process in started:
        process.kill()
    record.add("verdict", f"the case could not run: over {MAX_SECONDS} s")
    record.save()
    os._exit(NOT_RUN)


def _on_signal(number: int, frame: object) -> None:
    raise CannotRun(f"ended by signal {number}")


def play(file: str, case: Callable[[Record], int]) -> None:
    """Play a case, write its record and exit with its verdict."""
    record, verdict = Record(Path(file).resolve().parent), NOT_RUN
    signal.signal(signal.SIGTERM, _on_signal)
    signal.signal(signal.SIGINT, _on_signal)
    watchdog = threading.Timer(MAX_SECONDS, _give_up, [record])
    watchdog.daemon = True
    watchdog.start()
    record.add("case", "with the disruption" if TROUBLE else "without the disruption")
    try:
        verdict = case(record)
    except CannotRun as error:
        record.add("case", f"cannot run: {error}")
    except Exception:
        record.add("case", traceback.format_exc())
    for process in started:
        if process.poll() is None:
            process.kill()
            process.wait()
    names = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}
    record.add("verdict", names[verdict])
    record.save()
    print(names[verdict])
    sys.stdout.flush()
    os._exit(verdict)
