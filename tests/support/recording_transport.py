"""A transport without a socket that records what is done with it."""

import math


class RecordingTransport:
    """Of each write, `accepted_bytes` leave at once and the rest stays buffered, as its peer reads nothing.

    With `fails_writes` the socket refuses the first write, and the transport closes as in asyncio.
    """

    def __init__(self, accepted_bytes: float = math.inf, fails_writes: bool = False) -> None:
        self.accepted_bytes, self.fails_writes = accepted_bytes, fails_writes
        self.unsent_bytes = 0.0
        self.writes: list[bytes] = []
        self.aborted = self.ended_sending = False

    def write(self, data: bytes) -> None:
        """Record a write, or close if writes fail."""
        if self.fails_writes:
            self.aborted = True
            return
        self.writes.append(data)
        self.unsent_bytes += max(0, len(data) - self.accepted_bytes)

    def write_eof(self) -> None:
        """Record the end of sending."""
        self.ended_sending = True

    def get_write_buffer_size(self) -> float:
        """Return the number of bytes that have not left."""
        return self.unsent_bytes

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limits."""

    def is_closing(self) -> bool:
        """Return whether the transport was aborted."""
        return self.aborted

    def abort(self) -> None:
        """Record an abort."""
        self.aborted = True
