"""Sorted queue of timers.

It reads no clock: the caller passes the time, in whole microseconds of a monotonic clock, to each sweep.
"""

from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict  # type: ignore[import-untyped]  # the package ships no types

Timer = tuple[int, int]  # handle: due time (us) and a sequence number that makes it unique
Callback = Callable[[int], None]  # receives the time of the sweep (us)


class Timers:
    """Timer callbacks sorted by due time; adding and cancelling cost O(log n)."""

    def __init__(self) -> None:
        self._callbacks: SortedDict = SortedDict()
        self._sequence = 0
        self.next_due: int | None = None  # due time of the earliest timer (us), cached for frequent reads

    def add(self, due: int, callback: Callback) -> Timer:
        """Schedule a callback at `due` (us) and return a handle that can be cancelled."""
        self._sequence += 1
        self._callbacks[due, self._sequence] = callback
        if self.next_due is None or due < self.next_due:
            self.next_due = due
        return due, self._sequence

    def cancel(self, timer: Timer | None) -> None:
        """Remove a timer; None and timers that have fired are ignored."""
        if timer is not None and self._callbacks.pop(timer, None) and timer[0] == self.next_due:
            self._update_next_due()

    def sweep(self, now: int) -> Iterator[Callback]:
        """Remove and yield the due callbacks, earliest first, without timers added during the sweep."""
        last_sequence = self._sequence
        while self._callbacks:
            due, sequence = self._callbacks.peekitem(0)[0]
            if due > now or sequence > last_sequence:
                return
            callback = self._callbacks.popitem(0)[1]
            self._update_next_due()
            yield callback

    def _update_next_due(self) -> None:
        self.next_due = self._callbacks.peekitem(0)[0][0] if self._callbacks else None


class SingleTimer:
    """A timer of one owner and purpose: starting it again replaces the callback that was scheduled before.

    An owner that stored the handles of `Timers.add` itself could overwrite one and never cancel its callback.
    """

    __slots__ = ("_handle", "_timers")

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._handle: Timer | None = None

    def start(self, due: int, callback: Callback) -> None:
        """Schedule a callback at `due` (us), in place of the previous one."""
        self._timers.cancel(self._handle)
        self._handle = self._timers.add(due, callback)

    def start_or_cancel(self, due: int | None, callback: Callback) -> None:
        """Schedule a callback at `due` (us) in place of the previous one, or none if `due` is None."""
        if due is None:
            self.cancel()
        else:
            self.start(due, callback)

    def cancel(self) -> None:
        """Remove the callback, unless it has run."""
        self._timers.cancel(self._handle)
        self._handle = None
