"""The node's processes in a soak run: start, readiness, signals, and what is left when they are quiet."""

import asyncio
import json
import os
import signal
import socket
import subprocess
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.soak.history import History, NodeEnded, NodeQuiet, NodeReady, NodeStarted, SignalSent, now
from tests.support.node_case import ROOT
from tests.support.system_call_faults import FaultPlan
from tests.support.timer_guard import VIOLATION

NS_PER_S = 1e9
READY_POLL_S = 0.02
READY_TIMEOUT_S = 10.0  # the protocol's limit
QUIET_WAIT_S = 3.0  # a node closes what its clients and executors have closed within this time
BAD_WORDS = ("Traceback", VIOLATION)


@dataclass(frozen=True)
class Place:
    """Where the node's processes run: a folder for their files, their address, and the platform's socket."""

    folder: Path
    port: int
    held_socket: socket.socket | None


class NodeProcess:
    """One process of the node; `number` counts the processes of a run."""

    def __init__(self, number: int, place: Place, plan: FaultPlan, history: History) -> None:
        self.number, self.place, self.plan, self.history = number, place, plan, history
        self.log_path = place.folder / f"node-{number}.log"
        self._idle_descriptors = 0
        self._waited_s = 0.0  # for a processor, since its start
        self._terminated_at: float | None = None  # time of the first SIGTERM
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, command: list[str]) -> None:
        """Start the process on the place's configuration file."""
        held = self.place.held_socket
        environment = {"LB_CONFIG": str(self.place.folder / "config.json"), "TMPDIR": str(self.place.folder)}
        if held is not None:
            environment["LB_SOCKET_FD"] = str(held.fileno())
        with open(self.log_path, "wb") as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, **environment},
                stdout=subprocess.DEVNULL,
                stderr=log,
                pass_fds=() if held is None else (held.fileno(),),
            )
        self.history.add(NodeStarted(now(), self.number))

    @property
    def process(self) -> "subprocess.Popen[bytes]":
        """Return the process, which has been started."""
        assert self._process is not None
        return self._process

    async def wait_until_ready(self) -> None:
        """Ask /ready until it returns 200 or the time is up."""
        until = now() + READY_TIMEOUT_S
        while now() < until and self.process.poll() is None:
            if await is_ready(self.place.port):
                self.history.add(NodeReady(now(), self.number))
                self._idle_descriptors = self.descriptors()
                return
            await asyncio.sleep(READY_POLL_S)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            if number is signal.SIGTERM and self._terminated_at is None:
                self._terminated_at = now()
            self.history.add(SignalSent(now(), self.number, number.name))
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process if it still runs, whatever has become of the run."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def take_waiting_time(self) -> float:
        """Return how long the process has waited for a processor since the last call, in seconds."""
        try:
            text = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        except OSError:  # the process has ended
            return 0.0
        waited_s = int(text.split()[1]) / NS_PER_S
        previous, self._waited_s = self._waited_s, waited_s
        return waited_s - previous

    def descriptors(self) -> int:
        """Return the number of open descriptors; 0 once the process has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except FileNotFoundError:
            return 0

    async def check_quiet(self, allowed: int) -> None:
        """Record the descriptors that stay open beyond an idle node's and `allowed` more."""
        until = now() + QUIET_WAIT_S
        limit = self._idle_descriptors + allowed
        while self.descriptors() > limit and now() < until:
            await asyncio.sleep(READY_POLL_S)
        self.history.add(NodeQuiet(now(), self.number, max(0, self.descriptors() - limit)))

    async def wait_for_end(self, kill_delay_s: float) -> None:
        """Wait until the process has ended, or kill it so long after its first SIGTERM; record its end."""
        assert self._terminated_at is not None
        while self.process.poll() is None and now() < self._terminated_at + kill_delay_s:
            await asyncio.sleep(READY_POLL_S)
        self.send(signal.SIGKILL)
        exit_code = self.process.wait()
        lines = self.log_path.read_text(errors="replace").splitlines()
        bad_lines = tuple(line for line in lines if any(word in line for word in BAD_WORDS))
        self.history.add(NodeEnded(now(), self.number, exit_code, bad_lines))


async def is_ready(port: int) -> bool:
    """Return whether the node answers GET /ready with 200."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
        return b" 200 " in await asyncio.wait_for(reader.readline(), READY_TIMEOUT_S)
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def write_config(place: Place, discovery_port: int, settings: dict[str, Any], known: object) -> None:
    """Write the node's configuration file, replacing an earlier one atomically."""
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{place.port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "5eed",
        "limits": {"sockets": 256, "memory_mb": 192},
        "known": known,
        "settings": settings,
    }
    new = place.folder / "config.new"
    new.write_text(json.dumps(config))
    os.replace(new, place.folder / "config.json")
