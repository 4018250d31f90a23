"""Processes of the program under faults: killed, ended, paused, slowed, started anew. Only our own, by id."""

import asyncio
import os
import signal
from collections.abc import Callable, Mapping, Sequence

from cedarmill.conf.document import ConfError

SLOW_S = 0.1  # of one turn of a slowed process: it runs for its duty and stands still for the rest
KEPT_LINES = 4000  # of a process's log


class _Pipes(asyncio.SubprocessProtocol):
    """The log of one start of a process, and its end."""

    def __init__(self, process: "Process") -> None:
        self.process, self._rest = process, ""

    def pipe_data_received(self, fd: int, data: bytes) -> None:
        *lines, self._rest = (self._rest + data.decode("utf-8", "replace")).split("\n")
        for line in lines:
            self.process.line(line)

    def process_exited(self) -> None:
        self.process.exited(self)


class Process:
    """One process of a run; it may be started several times, under one name."""

    def __init__(self, name: str, command: Sequence[str], env: Mapping[str, str],
                 told: Callable[[str, str, str], None] = lambda name, what, note: None,
                 heard: Callable[[str, str], None] = lambda name, line: None) -> None:  # fmt: skip
        self.name, self.command, self.env, self.told = name, list(command), dict(env), told
        self.heard = heard  # each line of its log
        self.lines: list[str] = []
        self.starts = 0
        self.code: int | None = None  # of its last end
        self.paused = False
        self._transport: asyncio.SubprocessTransport | None = None
        self._pipes: _Pipes | None = None
        self._waits: list[tuple[str, int, asyncio.Future[str]]] = []
        self._gone: asyncio.Future[int] | None = None
        self._slow: asyncio.TimerHandle | None = None

    @property
    def alive(self) -> bool:
        return self._transport is not None

    @property
    def pid(self) -> int:
        """Its process id; 0 where it does not run."""
        return self._transport.get_pid() if self._transport is not None else 0

    async def start(self, pass_fds: tuple[int, ...] = ()) -> None:
        """Start it; raises OSError."""
        if self.alive:
            return
        loop = asyncio.get_running_loop()
        self._gone, self.code, self.paused = loop.create_future(), None, False
        self.starts += 1
        self.lines.append(f"-- start {self.starts}")
        self._transport, self._pipes = await loop.subprocess_exec(
            lambda: _Pipes(self), *self.command, env=self.env, stdin=None, stdout=None, pass_fds=pass_fds
        )
        self.told(self.name, "started", str(self.pid))

    async def said(self, words: str, wait_s: float, since: int = 0) -> str:
        """The first line with those words, from line `since` on; raises ConfError when it does not come."""
        for line in self.lines[since:]:
            if words in line:
                return line
        future = asyncio.get_running_loop().create_future()
        self._waits.append((words, since, future))
        try:
            return await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            last = " / ".join(self.lines[-3:])
            raise ConfError(f"{self.name} did not say {words!r} in {wait_s:.0f} s: {last}") from None

    def line(self, line: str) -> None:
        """A line of its log."""
        self.heard(self.name, line)
        if len(self.lines) < KEPT_LINES:
            self.lines.append(line)
        for wait in [wait for wait in self._waits if wait[0] in line]:
            self._waits.remove(wait)
            if not wait[2].done():
                wait[2].set_result(line)

    def exited(self, pipes: _Pipes) -> None:
        """It has ended, by itself or not."""
        if pipes is not self._pipes:
            return
        self.code = self._transport.get_returncode()
        self._transport.close()
        self._transport = self._pipes = None
        self._stop_slow()
        for _, _, future in self._waits:
            if not future.done():
                future.set_exception(ConfError(f"{self.name} ended with {self.code}: {self.lines[-1]}"))
        self._waits.clear()
        self.told(self.name, "ended", str(self.code))
        if not self._gone.done():
            self._gone.set_result(self.code)

    # Faults.

    def signal(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self._transport is not None:
            self._transport.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    def term(self) -> None:
        self.signal(signal.SIGTERM)

    def pause(self) -> None:
        """Let it stand still: it neither runs nor answers, and its sockets stay open."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.paused = False
        self.signal(signal.SIGCONT)

    def slow(self, duty: float) -> None:
        """Let it run for that share of the time only."""
        self._stop_slow()
        self._turn(duty, True)

    def _turn(self, duty: float, run: bool) -> None:
        self.signal(signal.SIGCONT if run else signal.SIGSTOP)
        wait = SLOW_S * (duty if run else 1 - duty)
        self._slow = asyncio.get_running_loop().call_later(wait, self._turn, duty, not run)

    def _stop_slow(self) -> None:
        if self._slow is not None:
            self._slow.cancel()
            self._slow = None

    def full_speed(self) -> None:
        self._stop_slow()
        self.go_on()

    async def gone(self, wait_s: float) -> bool:
        """Whether it has ended within that time."""
        if not self.alive:
            return True
        try:
            await asyncio.wait_for(asyncio.shield(self._gone), wait_s)
        except TimeoutError:
            return False
        return True

    async def end(self, wait_s: float) -> bool:
        """Ask it to end; whether it did, or had to be killed."""
        if not self.alive:
            return True
        self.full_speed()
        self.term()
        if await self.gone(wait_s):
            return True
        self.kill()
        await self.gone(wait_s)
        return False


def environment(**more: str) -> dict[str, str]:
    """This process's environment with some more."""
    return {**os.environ, **more}
