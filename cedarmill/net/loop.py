"""The driver of the event loop: clock, timers and the decorator that guards callbacks."""

import asyncio
import functools
import os
import time
from collections.abc import Callable
from typing import Concatenate, ParamSpec, Protocol, TypeVar, cast

from cedarmill.admin.sealed_document import ClockReading
from cedarmill.core.timers import Timers
from cedarmill.log import log_event

# A later wake-up is logged; the platform may hold up a process for this long.
MAX_EXPECTED_DELAY_US = 150_000
# After a longer delay, input may be waiting that decides whether a time-out is still due.
MAX_TIMER_DELAY_US = 20_000
# Turns of the event loop: one to read, the others for what it schedules, such as a new connection.
CATCH_UP_TURNS = 3
CATCH_UP_TURN_S = 0.001
CATCH_UP_PAUSE_US = 1_000_000  # a loop that is always late delays its timers only this often
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"  # It changes with each boot, see random(4).
BOOT_ID_MAX_BYTES = 64


def unix_us() -> int:
    """Return the wall clock time in microseconds since the Unix epoch; the clock may be stepped."""
    return time.time_ns() // 1000


@functools.cache
def boot_id() -> str:
    """Return the ID of the current boot, to which monotonic times belong; empty if it cannot be read."""
    try:
        file = os.open(BOOT_ID_PATH, os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.read(file, BOOT_ID_MAX_BYTES).decode("ascii", "replace").strip()
        finally:
            os.close(file)
    except OSError as error:
        log_event("boot-unknown", reason=error)
        return ""


def clock_reading(clock_us: int) -> ClockReading:
    """Return a time of `EventLoopDriver.now` with the wall clock and boot ID, for use by other processes."""
    return ClockReading(unix_us(), clock_us, boot_id())


class EventLoopDriver:
    """Runs due timers after each callback of the event loop, and schedules one loop timer for the next.

    A loop that was held up would run its timers before it reads: time-outs would strike peers that have
    answered in time. So the driver then lets the loop take a few turns before it runs the due timers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self.loop, self.timers = loop, timers
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due: int | None = None
        self._wake_at = 0  # time for which the loop timer is scheduled (us)
        self._catch_up_turns = 0  # turns of the loop until due timers run again
        self._caught_up_at = -CATCH_UP_PAUSE_US  # us

    @staticmethod
    def now() -> int:
        """Return the monotonic time in microseconds; the clock is shared by all processes of the machine."""
        return time.monotonic_ns() // 1000

    def run_due_timers(self) -> None:
        """Run the timers that are due and schedule the loop timer for the next one."""
        if self._catch_up_turns:
            return
        first = self.timers.next_due
        if first is not None and first <= (now := self.now()):
            if now - first > MAX_TIMER_DELAY_US and now - self._caught_up_at >= CATCH_UP_PAUSE_US:
                self._catch_up_turns = CATCH_UP_TURNS
                self.loop.call_later(CATCH_UP_TURN_S, self._catch_up)
                return
            for call in self.timers.sweep(now):
                try:
                    call(now)
                except Exception:
                    log_event("defect", True, what="deadline")
            first = self.timers.next_due
        if first is None or (self._timer_due is not None and self._timer_due <= first):
            return  # A spurious wake-up costs less than replacing the loop timer.
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = first
        # The event loop has millisecond resolution: rounding up avoids a wake-up before the deadline.
        now = self.now()
        delay = max(0, first - now + 999) // 1000 / 1000
        self._wake_at = max(first, now)
        self._timer = self.loop.call_later(delay, self._wake)

    def _catch_up(self) -> None:
        """Count a turn of the loop, and run the due timers after the last."""
        self._catch_up_turns -= 1
        if self._catch_up_turns:
            self.loop.call_later(CATCH_UP_TURN_S, self._catch_up)
            return
        self._caught_up_at = self.now()
        self.run_due_timers()

    def _wake(self) -> None:
        self._timer = self._timer_due = None
        delay_us = self.now() - self._wake_at
        if delay_us > MAX_EXPECTED_DELAY_US:
            log_event("held-up", delay_ms=delay_us // 1000)
        self.run_due_timers()


class Guarded(Protocol):
    """An object whose methods can be decorated with `guarded_callback`."""

    @property
    def driver(self) -> EventLoopDriver:
        """The driver that runs due timers after each callback."""

    def abort(self) -> object:
        """Clean up after one of the callbacks has raised an exception."""


Owner = TypeVar("Owner", bound=Guarded)
Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


def guarded_callback(
    method: Callable[Concatenate[Owner, Arguments], Result],
) -> Callable[Concatenate[Owner, Arguments], Result | None]:
    """Decorate a callback of the event loop: an exception aborts only its object, then due timers run."""

    @functools.wraps(method)
    def run(self: Owner, *args: Arguments.args, **keywords: Arguments.kwargs) -> Result | None:
        try:
            return method(self, *args, **keywords)
        except Exception:
            log_event("defect", True, what=f"callback {method.__qualname__}")
            self.abort()
            return None
        finally:
            self.driver.run_due_timers()

    return cast(Callable[Concatenate[Owner, Arguments], Result | None], run)
