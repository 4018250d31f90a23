"""The actions of a process supervisor in their order: what follows of a document waits until that is stored.

So a supervisor that ends in between goes on where it was. Where the disk fails, storing is tried again, and
all that follows waits; its owner takes no decisions meanwhile (`failing`).
"""

from collections.abc import Callable
from typing import Any

from cedarmill.cluster.supervision import StopProcess, StoreUnits
from cedarmill.log import log_event
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.files import Directory

UNITS_NAME = "units.json"  # the stored document
RETRY_FIRST_US = 100_000  # from a failure of the disk to the first try to store again
RETRY_MOST_US = 2_000_000  # between two tries; each wait is twice the one before


class SupervisorActions:
    """Actions that are not carried out yet.

    `carry_out` does one that is no StoreUnits; `postpone_kill` gives the process of a StopProcess that was
    held back so many microseconds more before it is killed.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        directory: Directory,
        carry_out: Callable[[Any], None],
        postpone_kill: Callable[[StopProcess, int], None],
    ) -> None:
        self.driver, self.directory = driver, directory
        self.pending: list[Any] = []
        self.retry_us = RETRY_FIRST_US
        self._failed_at: int | None = None
        self._carry_out, self._postpone_kill = carry_out, postpone_kill

    @property
    def failing(self) -> bool:
        """Whether the disk has failed, and the first of `pending` is to be stored."""
        return self._failed_at is not None

    def add(self, actions: list[Any]) -> None:
        """Carry these out, and what follows of each before the next.

        While the disk fails they come last: what waits to be stored is older.
        """
        self.pending = [*self.pending, *actions] if self.failing else [*actions, *self.pending]
        while self.pending and not self.failing:
            action = self.pending.pop(0)
            if isinstance(action, StoreUnits):
                self._store(action)
            else:
                self._carry_out(action)

    def _store(self, action: StoreUnits) -> None:
        try:
            self.directory.replace(UNITS_NAME, action.document)
        except OSError as error:
            log_event("supervisor-disk-failed", reason=error.strerror or error)
            self.pending.insert(0, action)
            self._failed_at, self.retry_us = self.driver.now(), RETRY_FIRST_US
            self.driver.timers.add(self._failed_at + self.retry_us, self.retry)

    def retry(self, now: int) -> None:
        """Store what could not be stored, then do what waits for it; else try again later."""
        if self._failed_at is None:
            return
        try:
            self.directory.replace(UNITS_NAME, self.pending[0].document)
        except OSError as error:
            log_event("supervisor-disk-retry", reason=error.strerror or error)
            self.retry_us = min(2 * self.retry_us, RETRY_MOST_US)
            self.driver.timers.add(now + self.retry_us, self.retry)
            return
        held_us, self._failed_at = now - self._failed_at, None
        log_event("supervisor-disk-recovered", seconds=held_us / 1e6)
        self.pending.pop(0)
        for action in self.pending:
            if isinstance(action, StopProcess):  # its time to stop begins when it is told to
                self._postpone_kill(action, held_us)
        self.add([])
