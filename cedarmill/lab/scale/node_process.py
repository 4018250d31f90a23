"""Runs a real node as a process and measures its CPU time, peak memory and file descriptors."""

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

SERVING_LOG_TEXT = " serves on "  # part of the log line that ends with the node's port
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Resource limits that the platform sets for the node."""

    sockets: int = 544
    memory_mb: int = 96


class NodeProcess(asyncio.SubprocessProtocol):
    """A running node: its port, its log, and its resource usage from /proc."""

    transport: asyncio.SubprocessTransport

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.port: asyncio.Future[int] = loop.create_future()
        self.exit_code: asyncio.Future[int] = loop.create_future()
        self.log: list[str] = []
        self.peak_descriptors = 0
        self._partial_line = ""

    @classmethod
    async def start(cls, configuration: dict[str, object], folder: Path) -> "NodeProcess":
        """Start the node and wait until it serves.

        Raises RuntimeError with the last log line if the node exits first.
        """
        path = folder / "node.json"
        path.write_text(json.dumps(configuration))
        environment = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)}
        command = [sys.executable, "-m", "cedarmill"]
        loop = asyncio.get_running_loop()
        _, node = await loop.subprocess_exec(cls, *command, env=environment, stdin=None, stdout=None)
        await asyncio.wait_for(node.port, START_TIMEOUT_S)
        return node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the process."""
        self.transport = transport  # type: ignore[assignment]

    def pipe_data_received(self, fd: int, data: bytes) -> None:
        """Collect log lines and read the port from the line that reports it."""
        *lines, self._partial_line = (self._partial_line + data.decode("utf-8", "replace")).split("\n")
        self.log += lines
        for line in lines:
            if SERVING_LOG_TEXT in line and not self.port.done():
                self.port.set_result(int(line.split()[-1]))

    def process_exited(self) -> None:
        """Set the exit code, and fail the start if the node has not served."""
        if not self.port.done():
            self.port.set_exception(
                RuntimeError(f"the node exited before it served: {' '.join(self.log[-1:])}")
            )
        if not self.exit_code.done():
            self.exit_code.set_result(self.transport.get_returncode() or 0)

    @property
    def _proc_directory(self) -> Path:
        return Path(f"/proc/{self.transport.get_pid()}")

    def sample_descriptors(self) -> None:
        """Update the peak number of open file descriptors."""
        if not self.exit_code.done():
            self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(self._proc_directory / "fd")))

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, user and system, in seconds."""
        fields = (self._proc_directory / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def peak_memory_mb(self) -> float:
        """Return the peak resident memory in MB."""
        status = (self._proc_directory / "status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) / 1024

    def reload(self) -> None:
        """Send SIGHUP, on which the node reloads its configuration."""
        self.transport.send_signal(signal.SIGHUP)

    async def stop(self) -> int:
        """Send SIGTERM, then SIGKILL if the node does not exit in time, and return its exit code."""
        if not self.exit_code.done():
            self.transport.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(asyncio.shield(self.exit_code), STOP_TIMEOUT_S)
        except TimeoutError:
            self.transport.kill()
            return await self.exit_code
