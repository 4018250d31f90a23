"""A test's node: the real program on loopback, with stand-ins for its executors and for discovery."""

import copy
import json
import os
import re
import resource
import select
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

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
POLL_S = 0.005  # between two looks at a condition


class NodeCase(unittest.TestCase):
    """A node with its executors and discovery; every test starts its own. Subclasses set the attributes."""

    executor_count = 1
    sockets = 256  # `limits.sockets` of the configuration
    memory_mb = 192  # `limits.memory_mb`
    settings_changes: Mapping[str, object] = {}  # "TABLE.KEY" to its value, in place of those of SETTINGS
    xml_settings = ""  # our own settings, the inside of <cedarmill>
    log_format = "text"
    environment: Mapping[str, str] = {}  # more of the environment that the platform sets
    pass_fds: Sequence[int] = ()  # descriptors that the node inherits
    descriptor_limit = 0  # where not 0, the process may hold no more descriptors

    def setUp(self) -> None:
        """Start the node and wait until it serves."""
        self.prepare()
        self.process = self.start(self.config())
        self.addCleanup(self.end)
        self.wait_log("serves on")
        self.port = self.logged_port()

    def prepare(self) -> None:
        """All but the node: its `$TMPDIR`, the stand-ins for discovery and executors."""
        self.tmpdir = tempfile.TemporaryDirectory()  # of its own, so that it inherits no state file
        self.addCleanup(self.tmpdir.cleanup)
        self.discovery = StandInServer()
        self.executors = [StandInServer() for _ in range(self.executor_count)]
        for server in (self.discovery, *self.executors):
            self.addCleanup(server.close)
        self.log: list[str] = []
        self.config_path = ""

    def config(self) -> dict[str, Any]:
        """The node's configuration, as the platform writes it."""
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
        """The entry of the endpoint list for one of the executors."""
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
        """Start a node with this configuration, by the command where it needs settings of our own."""
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
            # The child only sets its own limit: it takes no lock that a stand-in's thread may hold.
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
        """Runs in the child before the program does."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptor_limit, self.descriptor_limit))

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
        """Replace the configuration file, as the platform does, and send SIGHUP."""
        Path(f"{self.config_path}.new").write_text(text)
        os.replace(f"{self.config_path}.new", self.config_path)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        """Kill the node where it still runs; no traceback may be in its log."""
        if self.process.poll() is None:
            self.process.kill()
        rest = self.process.communicate(timeout=WAIT)[1]
        self.assertNotIn("Traceback", "\n".join(self.log) + rest)

    def logged_port(self) -> int:
        """The port in the log's last line, text or JSON."""
        return int(re.search(r"serves on \S+ port (\d+)", self.log[-1])[1])

    def admin_port(self) -> int:
        """The port of the admin API, as the log names it."""
        line = next(line for line in self.log if "operators' door on" in line)
        return int(re.search(r"port (\d+)", line)[1])

    def descriptors(self) -> int:
        """How many descriptors the node holds."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def wait_for(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds, for WAIT seconds at most."""
        until = time.monotonic() + WAIT
        while not condition():
            self.assertLess(time.monotonic(), until, "the condition never came")
            select.select([], [], [], POLL_S)

    def client(self) -> Client:
        """A client of the node, closed with the test."""
        client = Client(self.port)
        self.addCleanup(client.close)
        return client

    def served_by(self) -> int:
        """Send a request and serve it; the number of the executor that it went to."""
        client, served = self.client().ask(), -1
        while not client.answered(POLL_S):
            for number, server in enumerate(self.executors):
                if not server.received.empty():
                    server.next_request().done()
                    served = number
        self.assertEqual(client.answer()[0], 200)
        return served
