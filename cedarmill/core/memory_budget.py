"""The memory that a process keeps for its peers' messages: counted in one place, under one limit.

A message is kept while a peer has not finished it, while it waits, or while a peer does not read it. The
connection that keeps it is its holder: it reports the bytes that it keeps after each change, and reports none
at its end. Messages that are small are not counted one by one; each connection counts with a fixed cost that
covers them.

Above the limit the messages that cost most are ended: those with the largest product of their bytes, the time
for which they have been kept and a weight by kind. A peer cannot lower it but by finishing its message.

Times are whole microseconds of the node's monotonic clock.
"""

import sys
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from cedarmill.log import log_event

# The cost of a connection with its protocol objects, buffers and a message that is not counted.
CONNECTION_BYTES = 8 * 1024
MIN_COUNTED_BYTES = 2 * 1024  # smaller messages are part of CONNECTION_BYTES
# Kept for messages even if the connections take all: a request and an answer of 80 KiB for 16 clients.
GUARANTEED_BYTES = 16 * 2 * 80 * 1024
# While a process has this much left, messages may take more than their share.
AMPLE_BYTES_LEFT = 3 * 1024 * 1024
# With less than this left, messages may take only what is guaranteed.
CRITICAL_BYTES_LEFT = AMPLE_BYTES_LEFT * 3 // 4
UNLIMITED = sys.maxsize


class MessageKind(Enum):
    """Kind of a message that is kept, in the words of the log."""

    EXECUTOR_ANSWER = "an executor's answer"
    CLIENT_REQUEST = "a client's unfinished request"
    UNREAD_ANSWERS = "answers that a client does not read"
    ENDPOINT_LIST = "discovery's endpoint list"


# What a client has not finished never ran, and it may send it again: its end costs least.
COST_WEIGHTS = {MessageKind.CLIENT_REQUEST: 4}


class MemoryHolder(Protocol):
    """A connection that keeps messages of a peer."""

    def held_bytes(self) -> int:
        """Return the bytes that are kept at present."""

    def message_kind(self) -> MessageKind:
        """Return what most of them belong to."""

    def end_costly_message(self) -> bool:
        """End a message that need not be kept, with the error owed to its peer; return whether it did."""


class HeldMessages(NamedTuple):
    """What a holder keeps, and since when it has kept anything that counts (us)."""

    size: int
    since: int

    def cost(self, now: int) -> int:
        """Return the product of bytes and time (us)."""
        return self.size * (now - self.since)


class MemoryBudget:
    """Counts the messages of all holders against one limit, in bytes.

    The count cannot know what the allocator loses to gaps. So the limit follows the memory that the process
    has left: messages may take more than their share while it is ample, and less once it is critical.
    """

    def __init__(
        self,
        share_bytes: int = UNLIMITED,
        process_bytes_left: Callable[[], int] = lambda: CRITICAL_BYTES_LEFT,
    ) -> None:
        """`share_bytes`: for connections and messages; `process_bytes_left`: what the process may take."""
        self.share_bytes = share_bytes
        self._process_bytes_left = process_bytes_left
        self._extended_bytes = 0  # the most that messages have taken while memory was ample
        self._held: dict[MemoryHolder, HeldMessages] = {}
        self._message_bytes = 0  # the sum of `_held`
        self._connection_count = 0
        self._is_freeing = False

    def _find_limit(self) -> int:
        """Return what messages may take."""
        if self._message_bytes <= GUARANTEED_BYTES:  # spares the question
            return GUARANTEED_BYTES
        bytes_left = self._process_bytes_left()
        if bytes_left < CRITICAL_BYTES_LEFT:
            self._extended_bytes = 0
            return GUARANTEED_BYTES
        if bytes_left >= AMPLE_BYTES_LEFT:
            self._extended_bytes = max(self._extended_bytes, self._message_bytes)
        share_bytes = self.share_bytes - self._connection_count * CONNECTION_BYTES
        return max(share_bytes, GUARANTEED_BYTES, self._extended_bytes)

    def add_connection(self) -> None:
        """Count a connection that was opened."""
        self._connection_count += 1

    def remove_connection(self) -> None:
        """Stop counting a connection that has ended."""
        self._connection_count -= 1

    def is_counted(self, holder: MemoryHolder) -> bool:
        """Return whether a holder had messages at its last update that are counted."""
        return holder in self._held

    def update(self, holder: MemoryHolder, now: int) -> None:
        """Count what a holder keeps at present."""
        self._count(holder, now)
        if not self._is_freeing and self._message_bytes > (limit_bytes := self._find_limit()):
            self._free(limit_bytes, now)

    def _count(self, holder: MemoryHolder, now: int) -> None:
        size = holder.held_bytes()
        if size < MIN_COUNTED_BYTES:
            self.remove(holder)
            return
        previous = self._held.get(holder)
        self._message_bytes += size - (previous.size if previous is not None else 0)
        self._held[holder] = HeldMessages(size, previous.since if previous is not None else now)

    def remove(self, holder: MemoryHolder) -> None:
        """Stop counting a holder's messages; no effect if it has none."""
        held = self._held.pop(holder, None)
        if held is not None:
            self._message_bytes -= held.size

    def _free(self, limit_bytes: int, now: int) -> None:
        """End the costliest messages until the rest is within the limit."""
        self._is_freeing = True
        try:
            for holder in list(self._held):
                self._count(holder, now)  # a peer may have read since
            costs = {holder: self._cost(holder, now) for holder in self._held}
            for holder in sorted(costs, key=costs.__getitem__, reverse=True):
                if self._message_bytes <= limit_bytes:
                    break
                if holder in self._held:  # else it has ended with another one's message
                    self._end_message(holder, now)
        finally:
            self._is_freeing = False

    def _cost(self, holder: MemoryHolder, now: int) -> int:
        return self._held[holder].cost(now) * COST_WEIGHTS.get(holder.message_kind(), 1)

    def _end_message(self, holder: MemoryHolder, now: int) -> None:
        kind = holder.message_kind()
        try:
            if holder.end_costly_message():
                log_event("messages-full", bound_kib=self.share_bytes // 1024, kind=kind.value)
        except Exception:  # of this holder only: the caller is another one
            log_event("defect", True, what="the end of a message")
        self._count(holder, now)
