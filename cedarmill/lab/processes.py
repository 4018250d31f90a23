"""Real processes of a run: started, read line by line, and ended. Only our own, by id."""

import asyncio
import os
import signal
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from cedarmill.conf.document import ConfError

SERVES = " serves on "  # in a node's log, before host and port
ADMIN_SERVES = "operators' door on"  # of its admin API


def environment(**more: str) -> dict[str, str]:
    """This process's environment with some more."""
    return {**os.environ, **more}


def trailing_port(line: str) -> int:
    """The number that ends a line of a log."""
    return int(line.rsplit(maxsplit=1)[-1])


@dataclass(frozen=True, slots=True)
class ProcessOptions:
    """How a process is started, and who is told of it."""

    name: str
    command: Sequence[str]
    environment: Mapping[str, str]
    on_change: Callable[[str, str, str], None] | None = None  # its name, `started` or `ended`, id or code
    on_line: Callable[[str, str], None] | None = None  # its name, and each line of its log
    max_lines: int | None = None  # of its log, that are kept; None: all


@dataclass(slots=True)
class _Wait:
    """Somebody waits for a line of the log."""

    text: str
    line: asyncio.Future[str]


class _Pipes(asyncio.SubprocessProtocol):
    """The log of one start of a process, and its end."""

    def __init__(self, process: "Process") -> None:
        self.process, self._rest = process, ""

    def pipe_data_received(self, fd: int, data: bytes) -> None:
        *lines, self._rest = (self._rest + data.decode("utf-8", "replace")).split("\n")
        for line in lines:
            self.process.on_line(line)

    def process_exited(self) -> None:
        self.process.on_exited(self)


class Process:
    """One process of a run; it may be started several times, under one name."""

    def __init__(self, options: ProcessOptions) -> None:
        self.options, self.name = options, options.name
        self.lines: list[str] = []
        self.starts = 0
        self.code: int | None = None  # of its last end
        self._transport: asyncio.SubprocessTransport | None = None
        self._pipes: _Pipes | None = None
        self._waits: list[_Wait] = []
        self._gone: asyncio.Future[int] | None = None

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self._transport is not None

    @property
    def pid(self) -> int:
        """Its process id; 0 where it does not run."""
        return self._transport.get_pid() if self._transport is not None else 0

    async def start(self) -> None:
        """Start it; raises OSError."""
        if self.alive:
            return
        loop = asyncio.get_running_loop()
        self._gone, self.code = loop.create_future(), None
        self.starts += 1
        options = self.options
        self._transport, self._pipes = await loop.subprocess_exec(
            lambda: _Pipes(self), *options.command, env=dict(options.environment), stdin=None, stdout=None
        )
        self._tell("started", str(self.pid))

    async def wait_for_line(self, text: str, timeout_s: float, since: int = 0) -> str:
        """The first line with that text, from line `since` on; raises ConfError when it does not come."""
        for line in self.lines[since:]:
            if text in line:
                return line
        wait = _Wait(text, asyncio.get_running_loop().create_future())
        self._waits.append(wait)
        try:
            return await asyncio.wait_for(wait.line, timeout_s)
        except TimeoutError:
            last = " / ".join(self.lines[-3:])
            raise ConfError(f"{self.name} did not say {text!r} in {timeout_s:.0f} s: {last}") from None

    def on_line(self, line: str) -> None:
        """A line of its log."""
        if self.options.on_line is not None:
            self.options.on_line(self.name, line)
        if self.options.max_lines is None or len(self.lines) < self.options.max_lines:
            self.lines.append(line)
        for wait in [wait for wait in self._waits if wait.text in line]:
            self._waits.remove(wait)
            if not wait.line.done():
                wait.line.set_result(line)

    def on_exited(self, pipes: _Pipes) -> None:
        """It has ended, by itself or not."""
        if pipes is not self._pipes or self._transport is None:
            return
        code = self.code = self._transport.get_returncode()
        self._transport.close()
        self._transport = self._pipes = None
        self._on_gone()
        for wait in self._waits:
            if not wait.line.done():
                last = " ".join(self.lines[-1:])
                wait.line.set_exception(ConfError(f"{self.name} ended with {code}: {last}"))
        self._waits.clear()
        self._tell("ended", str(code))
        if self._gone is not None and not self._gone.done():
            self._gone.set_result(code or 0)

    def _on_gone(self) -> None:
        """A kind of process that has more to end overrides this."""

    def _tell(self, change: str, note: str) -> None:
        if self.options.on_change is not None:
            self.options.on_change(self.name, change, note)

    def send_signal(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self._transport is not None:
            self._transport.send_signal(number)

    def kill(self) -> None:
        """End it at once, if it runs."""
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask it to end, if it runs."""
        self.send_signal(signal.SIGTERM)

    async def wait_ended(self, timeout_s: float) -> bool:
        """Whether it has ended within that time."""
        if not self.alive or self._gone is None:
            return True
        try:
            await asyncio.wait_for(asyncio.shield(self._gone), timeout_s)
        except TimeoutError:
            return False
        return True

    async def stop(self, timeout_s: float) -> bool:
        """Ask it to end; whether it did, or had to be killed."""
        if not self.alive:
            return True
        self.terminate()
        if await self.wait_ended(timeout_s):
            return True
        self.kill()
        await self.wait_ended(timeout_s)
        return False
