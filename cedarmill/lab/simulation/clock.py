"""Virtual time: a queue of events that all simulations share, and clocks that run at rates of their own."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, Generic, TypeVar

MILLISECOND = 1_000  # us
SECOND = 1_000_000  # us

MAX_RATE_ERROR = 0.005  # by which a process's clock is fast or slow: half of what leases are made for
MAX_START_OFFSET = 10**9  # us that a process's clock shows at the start, at the most

TimeT = TypeVar("TimeT", int, float)
Callback = Callable[..., object]


class EventQueue(Generic[TimeT]):
    """Calls by the time at which they are due; those of one instant in the order of their entry."""

    def __init__(self) -> None:
        self._heap: list[tuple[TimeT, int, Callback, tuple[Any, ...]]] = []
        self._sequence = itertools.count()

    def push(self, at: TimeT, callback: Callback, *arguments: Any) -> None:
        """Enter a call."""
        heapq.heappush(self._heap, (at, next(self._sequence), callback, arguments))

    def next_at(self) -> TimeT | None:
        """When the first call is due; None where there is none."""
        return self._heap[0][0] if self._heap else None

    def pop(self) -> tuple[TimeT, Callback, tuple[Any, ...]]:
        """Take the first call out: its time, what is called, and with what. Raises IndexError."""
        at, _, callback, arguments = heapq.heappop(self._heap)
        return at, callback, arguments


class Scheduler:
    """True time of a run in microseconds, which moves from one event to the next."""

    def __init__(self) -> None:
        self.now = 0
        self._queue = EventQueue[int]()

    def after(self, delay: int, callback: Callback, *arguments: Any) -> None:
        """Call that after a true time (us); a negative one counts as none."""
        self._queue.push(self.now + max(0, delay), callback, *arguments)

    def run_until(self, end: int) -> None:
        """Let all events up to a time (us) happen, that time's own included."""
        while (next_at := self._queue.next_at()) is not None and next_at <= end:
            self.now, callback, arguments = self._queue.pop()
            callback(*arguments)


class ProcessClock:
    """The clock of one process: it only moves forward, at its own rate."""

    def __init__(self, scheduler: Scheduler, generator: random.Random) -> None:
        self._scheduler = scheduler
        self._rate = 1 + generator.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self._offset = generator.randrange(MAX_START_OFFSET)

    def now(self) -> int:
        """What the clock shows (us)."""
        return self._offset + int(self._scheduler.now * self._rate)

    def true_delay(self, shown: int) -> int:
        """True time (us) till this clock shows that."""
        return max(0, int((shown - self.now()) / self._rate) + 1)
