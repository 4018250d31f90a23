"""The memory that a process keeps for its peers' messages: counted in one place, under one limit.

A message is kept while a peer has not finished it, while it waits, or while a peer does not read it. The
connection that keeps it is its holder: it reports the bytes that it keeps after each change, and reports none
at its end. Messages that are small are not counted one by one; each connection counts with a fixed cost that
covers them.

Times are whole microseconds of the node's monotonic clock.
"""

import sys
from enum import Enum
from typing import NamedTuple, Protocol

from cedarmill.log import log_event

# The cost of a connection with its protocol objects, buffers and a message that is not counted.
CONNECTION_BYTES = 8 * 1024
MIN_COUNTED_BYTES = 2 * 1024  # smaller messages are part of CONNECTION_BYTES
UNLIMITED = sys.maxsize


class MessageKind(Enum):
    """Kind of a message that is kept, in the words of the log."""

    EXECUTOR_ANSWER = "an executor's answer"
    CLIENT_REQUEST = "a client's unfinished request"
    UNREAD_ANSWERS = "answers that a client does not read"
    ENDPOINT_LIST = "discovery's endpoint list"


class MemoryHolder(Protocol):
    """A connection that keeps messages of a peer."""

    def held_bytes(self) -> int:
        """Return the bytes that are kept at present."""

    def message_kind(self) -> MessageKind:
        """Return what most of them belong to."""


class HeldMessages(NamedTuple):
    """What a holder keeps, and since when it has kept anything that counts (us)."""

    size: int
    since: int

    def cost(self, now: int) -> int:
        """Return the product of bytes and time, by which holders are compared."""
        return self.size * (now - self.since)


class MemoryBudget:
    """Counts the messages of all holders against one limit, in bytes."""

    def __init__(self, limit_bytes: int = UNLIMITED) -> None:
        self.limit_bytes = limit_bytes
        self._held: dict[MemoryHolder, HeldMessages] = {}
        self._message_bytes = 0  # the sum of `_held`
        self._connection_count = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all messages and connections."""
        return self._message_bytes + self._connection_count * CONNECTION_BYTES

    def add_connection(self) -> None:
        """Count a connection that was opened."""
        self._connection_count += 1

    def remove_connection(self) -> None:
        """Stop counting a connection that has ended."""
        self._connection_count -= 1

    def update(self, holder: MemoryHolder, now: int) -> None:
        """Count what a holder keeps at present."""
        size = holder.held_bytes()
        if size < MIN_COUNTED_BYTES:
            self.remove(holder)
            return
        previous = self._held.get(holder)
        self._message_bytes += size - (previous.size if previous is not None else 0)
        self._held[holder] = HeldMessages(size, previous.since if previous is not None else now)
        if self.held_bytes > self.limit_bytes:
            self._on_limit_exceeded(now)

    def remove(self, holder: MemoryHolder) -> None:
        """Stop counting a holder's messages; no effect if it has none."""
        held = self._held.pop(holder, None)
        if held is not None:
            self._message_bytes -= held.size

    def _on_limit_exceeded(self, now: int) -> None:
        costliest = max(self._held, key=lambda holder: self._held[holder].cost(now))
        log_event("messages-full", bound_kib=self.limit_bytes // 1024, kind=costliest.message_kind().value)
