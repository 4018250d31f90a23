"""Ids of requests that ended a short time ago, for requests that were sent before and are read only now.

A request may be read long after it was sent: it waits in the accept backlog, behind paused reading, or for
its own last bytes. If its id was open at that time, it is a duplicate, although the id is closed by now.
"""

from collections import OrderedDict
from collections.abc import ItemsView
from typing import NamedTuple

MAX_CLOSED_IDS = 4096  # about 0.6 MB with ids of 16 characters


class Closing(NamedTuple):
    """When an id was closed."""

    closed_at: int  # us
    is_certain: bool  # False: the id may have been closed at any time until then, or never opened


NEVER_CLOSED = Closing(-1, False)


class ClosedIds:
    """The ids that were closed within `retention_us`, at most MAX_CLOSED_IDS of them."""

    def __init__(self, retention_us: int) -> None:
        """`retention_us`: no request is forwarded that was sent longer ago than this."""
        self._retention_us = retention_us
        self._closed_at: OrderedDict[bytes, int] = OrderedDict()  # us by id, earliest first
        self._forgotten = NEVER_CLOSED  # ids closed by then may have been removed too early

    def add(self, call_id: bytes, now: int) -> None:
        """Record that an id was closed at `now` (us), which never decreases."""
        self._closed_at[call_id] = now
        self._closed_at.move_to_end(call_id)
        while self._earliest() < now - self._retention_us:
            self._closed_at.popitem(last=False)
        if len(self._closed_at) > MAX_CLOSED_IDS:
            self._forgotten = Closing(self._closed_at.popitem(last=False)[1], False)

    def _earliest(self) -> int:
        return next(iter(self._closed_at.values()))

    def items(self) -> ItemsView[bytes, int]:
        """Return the ids with the times at which they were closed (us), earliest first."""
        return self._closed_at.items()

    def last_closing(self, call_id: bytes) -> Closing:
        """Return when an id was last closed."""
        closed_at = self._closed_at.get(call_id)
        return self._forgotten if closed_at is None else Closing(closed_at, True)
