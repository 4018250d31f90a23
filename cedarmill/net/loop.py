"""The event loop's driver: the clock, the timers due, the one loop timer, the guard around callbacks."""

import asyncio
import functools
import os
import time
from collections.abc import Callable
from typing import Concatenate, ParamSpec, Protocol, TypeVar, cast

from cedarmill.admin.sealed_document import ClockReading
from cedarmill.core.timers import Timers
from cedarmill.log import log_event

BOOT_ID = "/proc/sys/kernel/random/boot_id"  # random(4): a new one with each start of the kernel
BOOT_ID_BYTES = 64


def unix_us() -> int:
    """Unix time, for people and for stamps of other machines: it may be stepped."""
    return time.time_ns() // 1000


@functools.cache
def boot_id() -> str:
    """Which start of the machine the monotonic clock counts from; empty where that cannot be read."""
    try:
        file = os.open(BOOT_ID, os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.read(file, BOOT_ID_BYTES).decode("ascii", "replace").strip()
        finally:
            os.close(file)
    except OSError as error:
        log_event("boot-unknown", reason=error)
        return ""


def clock_reading(clock_us: int) -> ClockReading:
    """That time of `EventLoopDriver.now`, as other processes of this machine can read it."""
    return ClockReading(unix_us(), clock_us, boot_id())


class EventLoopDriver:
    """Runs what the loop calls; after each call it runs the timers due and sets the loop timer anew."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timers: Timers) -> None:
        self.loop, self.timers = loop, timers
        self._timer: asyncio.TimerHandle | None = None
        self._armed: int | None = None

    @staticmethod
    def now() -> int:
        """Return the balancer's clock: monotonic microseconds, the same for all processes of this machine."""
        return time.monotonic_ns() // 1000

    def end(self) -> None:
        """Sweep what is due, then wait for the earliest of the rest."""
        first = self.timers.next_due
        if first is not None and first <= (now := self.now()):
            for call in self.timers.sweep(now):
                try:
                    call(now)
                except Exception:
                    log_event("defect", True, what="deadline")
            first = self.timers.next_due
        if first is None or (self._armed is not None and self._armed <= first):
            return  # most are cancelled: to wake for one in vain costs less than a new timer
        if self._timer is not None:
            self._timer.cancel()
        self._armed = first
        # the loop counts whole milliseconds: rounded up, it never wakes before the deadline
        delay = max(0, first - self.now() + 999) // 1000 / 1000
        self._timer = self.loop.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._timer = self._armed = None
        self.end()


class Guarded(Protocol):
    """An object whose callbacks are guarded."""

    @property
    def driver(self) -> EventLoopDriver:
        """Runs the timers due after each callback."""

    def abort(self) -> object:
        """Give up: one of its callbacks has raised."""


Owner = TypeVar("Owner", bound=Guarded)
Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


def callback(
    method: Callable[Concatenate[Owner, Arguments], Result],
) -> Callable[Concatenate[Owner, Arguments], Result | None]:
    """Wrap a callback that the loop makes: an exception costs its object only; what is due runs after it."""

    @functools.wraps(method)
    def run(self: Owner, *args: Arguments.args, **keywords: Arguments.kwargs) -> Result | None:
        try:
            return method(self, *args, **keywords)
        except Exception:
            log_event("defect", True, what=f"callback {method.__qualname__}")
            self.abort()
            return None
        finally:
            self.driver.end()

    return cast(Callable[Concatenate[Owner, Arguments], Result | None], run)
