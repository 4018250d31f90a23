"""A simulated executor, which processes requests in order even after their clients have left."""

import heapq
from collections import deque

# Seconds until a restarted executor reaches full speed, and the share of full speed at its start.
SLOW_START_TIME, SLOW_START_SPEED = 8.9, 0.3
MAX_REQUESTS_PER_SLOT = 12.0  # running and queued, at full speed
LONG_AGO = -1e9  # seconds


class SimulatedExecutor:
    """Computes the end of each request on arrival, since slots work in order."""

    __slots__ = ("_free_at", "slots", "_started_at", "_end_times")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._free_at = [0.0] * slots  # heap of the times at which slots become free
        self._started_at = LONG_AGO
        self._end_times: deque[float] = deque()

    def requests(self, now: float) -> int:
        """Return the number of running and queued requests."""
        while self._end_times and self._end_times[0] <= now:
            self._end_times.popleft()
        return len(self._end_times)

    def is_full(self, now: float, requests: int) -> bool:
        """Return whether the executor refuses another request while it has this number of requests."""
        return requests >= MAX_REQUESTS_PER_SLOT * self.slots * self._speed(now)

    def _speed(self, now: float) -> float:
        age = min(1.0, max(0.0, (now - self._started_at) / SLOW_START_TIME))
        return SLOW_START_SPEED + (1 - SLOW_START_SPEED) * age

    def occupy_slot(self, now: float, size: float) -> float:
        """Occupy the next free slot with `size` slot-seconds of work and return the end time."""
        start = max(now, self._free_at[0])
        end = start + size / self._speed(start)
        heapq.heapreplace(self._free_at, end)
        return end

    def enqueue(self, now: float, size: float) -> float:
        """Accept a request and return its end time; recorded end times never decrease."""
        end = self.occupy_slot(now, size)
        self._end_times.append(max(end, self._end_times[-1] if self._end_times else 0.0))
        return end

    def restart(self, now: float) -> None:
        """Restart empty and at reduced speed."""
        self._started_at, self._free_at = now, [now] * self.slots
        self._end_times.clear()
