"""Processes of the program under faults: paused, slowed, and started anew."""

import asyncio
import signal

from cedarmill.lab.processes import Process

SLOW_CYCLE_S = 0.1  # of a slowed process: it runs for its duty and stands still for the rest
MAX_LINES = 4000  # of a process's log, that are kept


class FaultableProcess(Process):
    """A process that faults befall."""

    _slow_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start it; raises OSError."""
        if not self.alive:
            self.lines.append(f"-- start {self.starts + 1}")
        await super().start()

    def _on_gone(self) -> None:
        self._stop_slowing()

    def pause(self) -> None:
        """Let it stand still: it neither runs nor answers, and its sockets stay open."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on after a pause."""
        self.send_signal(signal.SIGCONT)

    def slow(self, duty: float) -> None:
        """Let it run for that share of the time only."""
        self._stop_slowing()
        self._run_or_stand(duty, True)

    def _run_or_stand(self, duty: float, runs: bool) -> None:
        self.send_signal(signal.SIGCONT if runs else signal.SIGSTOP)
        wait_s = SLOW_CYCLE_S * (duty if runs else 1 - duty)
        loop = asyncio.get_running_loop()
        self._slow_timer = loop.call_later(wait_s, self._run_or_stand, duty, not runs)

    def _stop_slowing(self) -> None:
        if self._slow_timer is not None:
            self._slow_timer.cancel()
            self._slow_timer = None

    def full_speed(self) -> None:
        """End a slowing and a pause."""
        self._stop_slowing()
        self.resume()

    async def stop(self, timeout_s: float) -> bool:
        """Ask it to end, at full speed; whether it did, or had to be killed."""
        if self.alive:
            self.full_speed()
        return await super().stop(timeout_s)
