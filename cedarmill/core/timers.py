"""The one sorted structure of a node's timers.

It reads no clock: times are whole microseconds of the caller's monotonic clock, and the caller sweeps.
"""

from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict  # type: ignore[import-untyped]  # the package ships no types

Timer = tuple[int, int]  # a handle: when it is due (us), and its number among those due at once
Callback = Callable[[int], None]  # is given the time of the sweep that calls it (us)


class Timers:
    """Callbacks sorted by the time at which they are due; adding and cancelling cost O(log n)."""

    def __init__(self) -> None:
        self._callbacks: SortedDict = SortedDict()
        self._count = 0
        self.next_due: int | None = None  # of the earliest timer (us): read after every callback, so cached

    def add(self, due: int, callback: Callback) -> Timer:
        """Have a callback made at `due` (us); the handle serves to cancel it."""
        self._count += 1
        self._callbacks[due, self._count] = callback
        if self.next_due is None or due < self.next_due:
            self.next_due = due
        return due, self._count

    def cancel(self, timer: Timer | None) -> None:
        """Remove a timer; one that has fired, or None, is passed over."""
        if timer is not None and self._callbacks.pop(timer, None) and timer[0] == self.next_due:
            self._update_next_due()

    def sweep(self, now: int) -> Iterator[Callback]:
        """Remove and yield what is due, earliest first; timers added meanwhile wait for the next sweep."""
        last = self._count
        while self._callbacks:
            due, number = self._callbacks.peekitem(0)[0]
            if due > now or number > last:
                return
            callback = self._callbacks.popitem(0)[1]
            self._update_next_due()
            yield callback

    def _update_next_due(self) -> None:
        self.next_due = self._callbacks.peekitem(0)[0][0] if self._callbacks else None
