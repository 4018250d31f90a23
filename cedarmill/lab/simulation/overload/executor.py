"""A simulated executor: slots that work in order, and do not know whose client has left."""

import heapq
from collections import deque

SLOW_START, SLOW_START_SHARE = 8.9, 0.3  # s, and the share of its speed with which an executor starts
MAX_REQUESTS_PER_SLOT = 12.0  # that an executor takes before it says that it is full
LONG_AGO = -1e9  # s


class SimulatedExecutor:
    """The end of each request is known as soon as it is sent, since slots work in order."""

    __slots__ = ("_free_at", "slots", "_started_at", "_ends")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._free_at = [0.0] * slots  # a heap: when each slot is free
        self._started_at = LONG_AGO
        self._ends: deque[float] = deque()

    def requests(self, now: float) -> int:
        """How many run or wait."""
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        return len(self._ends)

    def is_full(self, now: float, requests: int) -> bool:
        """Whether it refuses more, with so many there."""
        return requests >= MAX_REQUESTS_PER_SLOT * self.slots * self._speed(now)

    def _speed(self, now: float) -> float:
        age = min(1.0, max(0.0, (now - self._started_at) / SLOW_START))
        return SLOW_START_SHARE + (1 - SLOW_START_SHARE) * age

    def work(self, now: float, size: float) -> float:
        """Spend so much of a slot (slot-seconds); when that ends."""
        begin = max(now, self._free_at[0])
        end = begin + size / self._speed(begin)
        heapq.heapreplace(self._free_at, end)
        return end

    def take(self, now: float, size: float) -> float:
        """Take a request; when it ends. They end in about the order in which they came."""
        end = self.work(now, size)
        self._ends.append(max(end, self._ends[-1] if self._ends else 0.0))
        return end

    def restart(self, now: float) -> None:
        """Start anew, with nothing there."""
        self._started_at, self._free_at = now, [now] * self.slots
        self._ends.clear()
