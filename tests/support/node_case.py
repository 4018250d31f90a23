"""Starts the real program on loopback, and plays its clients, backends and director, driven by the tests."""

import contextlib
import http.client
import json
import os
import queue
import re
import resource
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
WAIT = 10  # seconds, at most, for a condition
SETTINGS = {
    "instances": 1, "zone": 0, "localities": ["here", "there"], "kinds": ["box"], "quantum": 2000,
    "registry_mode": "on_request", "value_by": "work", "over_share_worth": 0.2,
    "tenants": [{"name": "acme", "quota_per_s": 100.0, "share": 1.0}],
    "report": {"names": ["x0", "x1"], "via": "pull"},
    "rules": {"answer_slack": 8000, "ask_within": 400000, "cold": 8900000, "cold_share": 0.3,
              "fall_multiple": 2.5, "overload_for": 1500000, "stop_sending_within": 1500000},
    "caps": {"cancelling": True, "conn_idle": 10000000, "connect_timeout": 250000, "probes": False,
             "max_retry_after": 2000000, "may_duplicate": True, "retry_after": True, "try_limit": 5},
    "family_info": {"report_x0": "free slots", "report_x1": "free memory"},
    "request_classes": [
        {"aim": 250000, "group": "zone", "hard_limit": 6000000, "name": "pin", "repeat": "guarded",
         "repeat_window": 10000000, "value": 5.0},
        {"aim": 500000, "group": "all", "hard_limit": 12000000, "name": "issue", "repeat": "single_shot",
         "value": 3.0}],
}  # fmt: skip


class ServerConnection:
    """One accepted connection, read by its own thread; each request goes into the owner's queue."""

    def __init__(self, owner: "StandInServer", sock: socket.socket) -> None:
        self.sock, self.ended, self.broken = sock, threading.Event(), False
        self.thread = threading.Thread(target=self._read, args=(owner,), daemon=True)
        self.thread.start()

    def _read(self, owner: "StandInServer") -> None:
        try:
            with self.sock.makefile("rb") as file:
                if owner.resets:
                    file.read(1)
                    return self.reset()
                early = owner.early and file.read(1)
                if early:
                    self.send(owner.early)
                while line := (early or b"") + file.readline():
                    headers = http.client.parse_headers(file)
                    body = file.read(length := int(headers.get("Content-Length", 0)))
                    if not early and len(body) == length:  # else it has its answer, or never came whole
                        owner.received.put(ReceivedRequest(self, line.decode().split(), headers, body))
                    early = None
        except OSError:
            pass
        finally:
            if self.broken:
                self.sock.close()
            self.ended.set()

    def send(self, text: str) -> None:
        self.sock.sendall(text.encode())

    def close(self) -> None:
        self.sock.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        """Close at once, with a reset: the thread that reads does it."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.broken = True
        with contextlib.suppress(OSError):  # the node closed meanwhile, and the thread that reads was first
            self.sock.shutdown(socket.SHUT_RD)


class ReceivedRequest:
    """One request that a server got, for the test to answer."""

    def __init__(self, wire: ServerConnection, first: list[str], headers, body: bytes) -> None:
        self.connection, (self.method, self.path, _), self.headers, self.body = wire, first, headers, body

    def send_head(self, status: str = "200 OK", *headers: str) -> None:
        self.connection.send(
            "\r\n".join([f"HTTP/1.1 {status}", "Transfer-Encoding: chunked", *headers, "", ""])
        )

    def send_line(self, value: dict | None) -> None:
        text = json.dumps(value) + "\n" if value is not None else "\n"
        self.connection.send(f"{len(text):x}\r\n{text}\r\n")

    def send_state(self, state: str, **more) -> None:
        self.send_line({"id": self.headers["X-Call-Id"], "from": "s-1", "state": state, **more})

    def done(self, result: str = "fine") -> None:
        self.send_head()
        self.send_state("done", result=result)
        self.connection.send("0\r\n\r\n")


class StandInServer:
    """A listening socket of a backend or of the director."""

    def __init__(self) -> None:
        self.received: queue.Queue[ReceivedRequest] = queue.Queue()
        self.connections: list[ServerConnection] = []
        self.resets, self.early = False, None  # at a connection's first byte: reset it, or answer
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        try:
            while True:
                self.connections.append(ServerConnection(self, self.sock.accept()[0]))
        except OSError:
            pass

    def next_request(self) -> ReceivedRequest:
        return self.received.get(timeout=WAIT)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Client(http.client.HTTPConnection):
    """A client session."""

    count = 0

    def __init__(self, node: "NodeCase") -> None:
        super().__init__("127.0.0.1", node.port, timeout=WAIT)

    def ask(self, job_class: str = "pin", budget: object = 6000, path: str = "/api", **headers) -> "Client":
        Client.count += 1
        fixed = {"X-Call-Id": f"{Client.count:016x}", "X-Call-Class": job_class, "X-Caller": "acme",
                 "X-Budget-Ms": str(budget), "X-Call-Info": "slots=1,memory=0.500"}  # fmt: skip
        self.request("POST", path, b"a body", {**fixed, **headers})
        return self

    def answered(self, wait: float) -> bool:
        """Whether an answer begins to arrive within that time."""
        return bool(select.select([self.sock], [], [], wait)[0])

    def answer(self) -> tuple[int, bytes]:
        answer = self.getresponse()
        self.headers = answer.headers
        return answer.status, answer.read()


def call_admin_api(port: int, method: str, path: str) -> tuple[int, bytes]:
    """One call on a connection of its own, as the operators' tools make it."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
        return read_answer(sock)


def read_answer(sock: socket.socket) -> tuple[int, bytes]:
    """Status and body of an answer that ends its connection."""
    text = b""
    while chunk := sock.recv(4096):
        text += chunk
    head, _, body = text.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


class NodeCase(unittest.TestCase):
    """A node with its backends and a director; every test starts its own."""

    executor_count = 1
    sockets = 256
    memory_mb = 192
    settings_changes: dict = {}
    xml_settings = ""  # our own settings, the inside of <cedarmill>
    log_format = "text"
    environment: dict = {}  # more of the environment that the platform sets
    pass_fds: tuple = ()
    descriptor_limit = 0  # where not 0, the process may hold no more descriptors

    def setUp(self) -> None:
        self.prepare()
        self.process = self.start(self.config())
        self.addCleanup(self.end)
        self.wait_log("serves on")
        self.port = self.logged_port()

    def prepare(self) -> None:
        """All but the node: its `$TMPDIR`, its director and backends."""
        self.tmpdir = tempfile.TemporaryDirectory()  # the node's own `$TMPDIR`: marks kept there are its own
        self.addCleanup(self.tmpdir.cleanup)
        self.discovery = StandInServer()
        self.executors = [StandInServer() for _ in range(self.executor_count)]
        for server in (self.discovery, *self.executors):
            self.addCleanup(server.close)
        self.log: list[str] = []
        self.path = ""

    def config(self) -> dict:
        settings = json.loads(json.dumps(SETTINGS))
        for path, value in self.settings_changes.items():
            table, _, key = path.partition(".")
            settings[table][key] = value
        known = {
            "index": 7,
            "snapshot": True,
            "endpoints": [self.entry(n) for n in range(self.executor_count)],
        }
        limits = {"sockets": self.sockets, "memory_mb": self.memory_mb}
        return {"name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "5eed",
                "limits": limits, "known": known, "settings": settings}  # fmt: skip

    def entry(self, number: int, **changes) -> dict:
        return {"name": f"s-{number}", "address": self.executors[number].address,
                "zone": "here", "type": "box", "group": 0,
                "status": "SERVING", "weight": 1.0, "since_ms": 0, **changes}  # fmt: skip

    def start(self, config: dict) -> subprocess.Popen:
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(config, file)
        self.addCleanup(os.unlink, file.name)
        self.path = file.name
        env = {**os.environ, "LB_CONFIG": file.name, "TMPDIR": self.tmpdir.name, **self.environment}
        command = self.command("cedarmill")
        if self.xml_settings or self.log_format != "text":
            Path(f"{file.name}.xml").write_text(f'<cedarmill version="1">{self.xml_settings}</cedarmill>')
            self.addCleanup(os.unlink, f"{file.name}.xml")
            own = ["node", "-c", f"{file.name}.xml", "--log-format", self.log_format]
            command = self.command("cedarmill.cli", *own)
        limit = self.descriptor_limit
        bounded = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))) if limit else None
        return subprocess.Popen(
            command,
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=self.pass_fds,
            preexec_fn=bounded,
        )

    def command(self, module: str, *arguments: str) -> list[str]:
        """The command line that runs a module of the program."""
        return [sys.executable, "-m", module, *arguments]

    def wait_log(self, words: str) -> str:
        """Read the log up to a line with those words."""
        late = threading.Timer(WAIT, self.process.kill)  # a log that stays silent must not hang the test
        late.start()
        try:
            for line in iter(self.process.stderr.readline, ""):
                self.log.append(line.strip())
                if words in line:
                    return line
        finally:
            late.cancel()
        raise AssertionError(f"no {words!r} in {self.log}")

    def reload(self, text: str) -> None:
        """Replace the configuration file, as the platform does, then say so."""
        Path(f"{self.path}.new").write_text(text)
        os.replace(f"{self.path}.new", self.path)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        rest = self.process.communicate(timeout=WAIT)[1]
        self.assertNotIn("Traceback", "\n".join(self.log) + rest)

    def logged_port(self) -> int:
        """The port in the log's last line, text or JSON."""
        return int(re.search(r"serves on \S+ port (\d+)", self.log[-1])[1])

    def admin_port(self) -> int:
        """The port of the operators' door, as the log tells it."""
        line = next(line for line in self.log if "operators' door on" in line)
        return int(re.search(r"port (\d+)", line)[1])

    def descriptors(self) -> int:
        """How many the node holds."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def wait_for(self, condition) -> None:
        """Wait till a condition holds."""
        until = time.monotonic() + WAIT
        while not condition():
            self.assertLess(time.monotonic(), until, "the condition never came")
            select.select([], [], [], 0.005)

    def client(self) -> Client:
        client = Client(self)
        self.addCleanup(client.close)
        return client

    def served_by(self) -> int:
        """Where the next request goes."""
        client, found = self.client().ask(), -1
        while not client.answered(0.01):
            for number, server in enumerate(self.executors):
                if not server.received.empty():
                    server.next_request().done()
                    found = number
        self.assertEqual(client.answer()[0], 200)
        return found
