"""An event loop driver whose clock and timers a test advances."""

from unittest.mock import Mock

from cedarmill.core.timers import Timers
from cedarmill.net.loop import EventLoopDriver


class ClockedDriver(EventLoopDriver):
    """A driver whose clock stands still until a test advances it; its event loop is a mock."""

    def __init__(self) -> None:
        super().__init__(Mock(), Timers())
        self.time = 0  # us

    def now(self) -> int:  # type: ignore[override]
        """Return the time that the test has set."""
        return self.time

    def advance(self, span: int) -> int:
        """Advance the clock, run each timer at the time when it is due, and return how many ran."""
        until, count = self.time + span, 0
        while self.timers.next_due is not None and self.timers.next_due <= until:
            self.time = max(self.time, self.timers.next_due)
            for call in self.timers.sweep(self.time):
                call(self.time)
                count += 1
        self.time = until
        return count
