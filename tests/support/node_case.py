"""Base class of tests that run a node process on loopback with stand-in executors and discovery."""

import copy
import json
import os
import re
import resource
import select
import signal
import subprocess
import tempfile
import threading
import time
import unittest
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from tests.support import timer_guard
from tests.support.node_client import Client, call_admin_api, read_answer
from tests.support.node_settings import SETTINGS
from tests.support.stand_in_server import WAIT, ReceivedRequest, ServerConnection, StandInServer

__all__ = [
    "ROOT",
    "SETTINGS",
    "WAIT",
    "Client",
    "NodeCase",
    "ReceivedRequest",
    "ServerConnection",
    "StandInServer",
    "call_admin_api",
    "read_answer",
]

ROOT = Path(__file__).parents[2]
POLL_S = 0.005  # interval between two checks of a condition


class NodeCase(unittest.TestCase):
    """Starts a node, its executors and discovery for each test; subclasses override the attributes."""

    executor_count = 1
    sockets = 256  # `limits.sockets` of the configuration
    memory_mb = 192  # `limits.memory_mb`
    settings_changes: Mapping[str, object] = {}  # "TABLE.KEY" to a value that replaces the one of SETTINGS
    xml_settings = ""  # content of <cedarmill> in the XML settings file
    log_format = "text"
    environment: Mapping[str, str] = {}  # additional environment variables of the node
    pass_fds: Sequence[int] = ()  # inherited file descriptors
    descriptor_limit = 0  # RLIMIT_NOFILE of the process; 0 leaves it unchanged

    def setUp(self) -> None:
        """Start the node and wait until it serves."""
        self.prepare()
        self.process = self.start(self.config())
        self.addCleanup(self.stop_node)
        self.wait_log("serves on")
        self.port = self.logged_port()

    def prepare(self) -> None:
        """Create the node's `$TMPDIR` and the stand-ins for discovery and executors."""
        self.tmpdir = tempfile.TemporaryDirectory()  # Its own, so that the node finds no state file.
        self.addCleanup(self.tmpdir.cleanup)
        self.discovery = StandInServer()
        self.executors = [StandInServer() for _ in range(self.executor_count)]
        for server in (self.discovery, *self.executors):
            self.addCleanup(server.close_connections)
            self.addCleanup(server.close)
        self.log: list[str] = []
        self.config_path = ""

    def config(self) -> dict[str, Any]:
        """Return the node's configuration in the form that the platform writes."""
        settings = copy.deepcopy(SETTINGS)
        for path, value in self.settings_changes.items():
            table, _, key = path.partition(".")
            settings[table][key] = value
        endpoints = [self.entry(number) for number in range(self.executor_count)]
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "5eed",
            "limits": {"sockets": self.sockets, "memory_mb": self.memory_mb},
            "known": {"index": 7, "snapshot": True, "endpoints": endpoints},
            "settings": settings,
        }

    def entry(self, number: int, **changes: object) -> dict[str, Any]:
        """Return the endpoint list entry of an executor, with these fields changed."""
        return {
            "name": f"s-{number}",
            "address": self.executors[number].address,
            "zone": "here",
            "type": "box",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
            **changes,
        }

    def start(self, config: Mapping[str, object]) -> "subprocess.Popen[str]":
        """Start a node with this configuration, through the command line where XML settings need it."""
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(config, file)
        self.addCleanup(os.unlink, file.name)
        self.config_path = file.name
        environment = {"LB_CONFIG": file.name, "TMPDIR": self.tmpdir.name, **self.environment}
        return subprocess.Popen(
            self._node_command(),
            cwd=ROOT,
            env={**os.environ, **environment},
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=self.pass_fds,
            # The child sets its limit only and takes no lock that a thread of a stand-in may hold.
            preexec_fn=self._limit_descriptors if self.descriptor_limit else None,  # noqa: PLW1509
        )

    def _node_command(self) -> list[str]:
        if not self.xml_settings and self.log_format == "text":
            return self.command("cedarmill")
        path = Path(f"{self.config_path}.xml")
        path.write_text(f'<cedarmill version="1">{self.xml_settings}</cedarmill>')
        self.addCleanup(path.unlink)
        return self.command("cedarmill.cli", "node", "-c", str(path), "--log-format", self.log_format)

    def _limit_descriptors(self) -> None:
        """Set RLIMIT_NOFILE in the child before it executes the program."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptor_limit, self.descriptor_limit))

    def command(self, module: str, *arguments: str) -> list[str]:
        """Return the command line that runs a module of the program."""
        return timer_guard.command(module, *arguments)

    def wait_log(self, words: str) -> str:
        """Read the log up to a line that contains this text, and return the line."""
        line = self._read_log(words)
        if line is None:
            raise AssertionError(f"no {words!r} in {self.log}")
        return line

    def _read_log(self, words: str) -> str | None:
        """Read the log up to a line that contains this text; return None if the process ends before."""
        # Killing the node ends a read that would otherwise block the test.
        timeout = threading.Timer(WAIT, self.process.kill)
        timeout.start()
        try:
            for line in iter(self.process.stderr.readline, ""):
                self.log.append(line.strip())
                if words in line:
                    return line
        finally:
            timeout.cancel()
        return None

    def reload(self, text: str) -> None:
        """Replace the configuration file atomically, as the platform does, and send SIGHUP."""
        Path(f"{self.config_path}.new").write_text(text)
        os.replace(f"{self.config_path}.new", self.config_path)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def stop_node(self) -> None:
        """Kill the node if it still runs; its log has no traceback, and no timer outlives its owner."""
        if self.process.poll() is None:
            if not self._is_stopped():
                self.process.send_signal(signal.SIGUSR2)
                self._read_log(timer_guard.CHECKED)
            self.process.kill()
        unread_log = self.process.communicate(timeout=WAIT)[1]
        self.log += unread_log.splitlines()
        print(*self.log, sep="\n")  # pytest shows it with a failure
        self.assertNotIn("Traceback", "\n".join(self.log))
        self.assertEqual([line for line in self.log if timer_guard.VIOLATION in line], [])

    def _is_stopped(self) -> bool:
        """Return whether the node is stopped by SIGSTOP."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0] == "T"

    def logged_port(self) -> int:
        """Return the port named in the last line of the log, which may be text or JSON."""
        return int(re.search(r"serves on \S+ port (\d+)", self.log[-1])[1])

    def admin_port(self) -> int:
        """Return the port of the admin API from the log."""
        line = next(line for line in self.log if "operators' door on" in line)
        return int(re.search(r"port (\d+)", line)[1])

    def descriptors(self) -> int:
        """Return the number of open file descriptors of the node."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def wait_for(self, condition: Callable[[], object]) -> None:
        """Wait until the condition holds; fail after WAIT seconds."""
        until = time.monotonic() + WAIT
        while not condition():
            self.assertLess(time.monotonic(), until, "the condition was not met in time")
            select.select([], [], [], POLL_S)

    def peak_private_kib(self) -> int:
        """Return the most private memory that the node has held so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak, file, shared = (
            int(re.search(rf"{name}:\s+(\d+)", status)[1]) for name in ("VmHWM", "RssFile", "RssShmem")
        )
        return peak - file - shared

    def client(self) -> Client:
        """Return a client of the node that is closed after the test."""
        client = Client(self.port)
        self.addCleanup(client.close)
        return client

    def wait_received(self) -> int:
        """Wait until an executor has received a request; return the index of the executor."""
        self.wait_for(lambda: any(not server.received.empty() for server in self.executors))
        return next(n for n, server in enumerate(self.executors) if not server.received.empty())

    def next_request(self) -> ReceivedRequest:
        """Wait for the next request at any executor and return it."""
        return self.executors[self.wait_received()].next_request()

    def served_by(self) -> int:
        """Send a request, answer it, and return the index of the executor that received it."""
        client, served = self.client().ask(), -1
        while not client.answered(POLL_S):
            for number, server in enumerate(self.executors):
                if not server.received.empty():
                    server.next_request().done()
                    served = number
        self.assertEqual(client.answer()[0], 200)
        return served
