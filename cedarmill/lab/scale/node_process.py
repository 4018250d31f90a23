"""A real node as a process, and what it costs: processor time, peak memory, descriptors."""

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

SERVES = " serves on "  # of the node's log, before its port
START_S = 20.0
END_S = 10.0
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """What the platform allows the node."""

    sockets: int = 544
    memory_mb: int = 96


class NodeProcess(asyncio.SubprocessProtocol):
    """The node: its port, its log, its figures as the system counts them."""

    transport: asyncio.SubprocessTransport

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.port: asyncio.Future[int] = loop.create_future()
        self.ended: asyncio.Future[int] = loop.create_future()
        self.log: list[str] = []
        self.most_descriptors = 0
        self._rest = ""

    @classmethod
    async def start(cls, configuration: dict[str, object], folder: Path) -> "NodeProcess":
        """Start it; returns once it serves. Raises RuntimeError with its last line where it does not."""
        path = folder / "node.json"
        path.write_text(json.dumps(configuration))
        environment = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)}
        command = [sys.executable, "-m", "cedarmill"]
        loop = asyncio.get_running_loop()
        _, node = await loop.subprocess_exec(cls, *command, env=environment, stdin=None, stdout=None)
        await asyncio.wait_for(node.port, START_S)
        return node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the process."""
        self.transport = transport  # type: ignore[assignment]

    def pipe_data_received(self, fd: int, data: bytes) -> None:
        """Read its log."""
        *lines, self._rest = (self._rest + data.decode("utf-8", "replace")).split("\n")
        self.log += lines
        for line in lines:
            if SERVES in line and not self.port.done():
                self.port.set_result(int(line.split()[-1]))

    def process_exited(self) -> None:
        """It has ended."""
        if not self.port.done():
            self.port.set_exception(RuntimeError(f"the node did not start: {' '.join(self.log[-1:])}"))
        if not self.ended.done():
            self.ended.set_result(self.transport.get_returncode() or 0)

    @property
    def _folder(self) -> Path:
        return Path(f"/proc/{self.transport.get_pid()}")

    def sample(self) -> None:
        """Look at how many descriptors it holds now."""
        if not self.ended.done():
            self.most_descriptors = max(self.most_descriptors, len(os.listdir(self._folder / "fd")))

    def cpu_s(self) -> float:
        """Processor time so far (s), user and system."""
        fields = (self._folder / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def peak_memory_mb(self) -> float:
        """Most memory that it held at once (resident, MB)."""
        status = (self._folder / "status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) / 1024

    def reload(self) -> None:
        """SIGHUP."""
        self.transport.send_signal(signal.SIGHUP)

    async def stop(self) -> int:
        """SIGTERM, and SIGKILL where that is not enough; its exit code."""
        if not self.ended.done():
            self.transport.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(asyncio.shield(self.ended), END_S)
        except TimeoutError:
            self.transport.kill()
            return await self.ended
