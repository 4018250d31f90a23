"""Carries out the actions of a process supervisor in order, each after the document before it is stored.

A restarted supervisor continues from the stored document. After a disk failure the write is retried, and the
later actions wait; the owner makes no decisions while `is_failing`.
"""

from collections.abc import Callable
from typing import Any

from cedarmill.cluster.supervision import StopProcess, StoreUnits
from cedarmill.log import log_event
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.files import Directory

UNITS_FILE_NAME = "units.json"
# The delay before the next attempt to store the document doubles with each failure.
INITIAL_RETRY_DELAY_US = 100_000
MAX_RETRY_DELAY_US = 2_000_000


class SupervisorActions:
    """Holds the actions that are not carried out yet.

    `execute` carries out any action other than StoreUnits. `postpone_kill` extends the stop timeout of a
    process by the microseconds for which its StopProcess was delayed.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        directory: Directory,
        execute: Callable[[Any], None],
        postpone_kill: Callable[[StopProcess, int], None],
    ) -> None:
        self.driver, self.directory = driver, directory
        self.pending: list[Any] = []
        self.retry_delay_us = INITIAL_RETRY_DELAY_US
        self._failed_at: int | None = None
        self._execute, self._postpone_kill = execute, postpone_kill

    @property
    def is_failing(self) -> bool:
        """Whether the disk has failed; the first pending action is then the document to store."""
        return self._failed_at is not None

    def add(self, actions: list[Any]) -> None:
        """Carry out actions, and the actions that result from each one before the next one.

        While the disk fails, they are queued behind the pending actions, which are older.
        """
        self.pending = [*self.pending, *actions] if self.is_failing else [*actions, *self.pending]
        while self.pending and not self.is_failing:
            action = self.pending.pop(0)
            if isinstance(action, StoreUnits):
                self._store(action)
            else:
                self._execute(action)

    def _store(self, action: StoreUnits) -> None:
        try:
            self.directory.replace(UNITS_FILE_NAME, action.document)
        except OSError as error:
            log_event("supervisor-disk-failed", reason=error.strerror or error)
            self.pending.insert(0, action)
            self._failed_at, self.retry_delay_us = self.driver.now(), INITIAL_RETRY_DELAY_US
            self.driver.timers.add(self._failed_at + self.retry_delay_us, self.retry)

    def retry(self, now: int) -> None:
        """Store the pending document and carry out the actions behind it, or schedule the next attempt."""
        if self._failed_at is None:
            return
        try:
            self.directory.replace(UNITS_FILE_NAME, self.pending[0].document)
        except OSError as error:
            log_event("supervisor-disk-retry", reason=error.strerror or error)
            self.retry_delay_us = min(2 * self.retry_delay_us, MAX_RETRY_DELAY_US)
            self.driver.timers.add(now + self.retry_delay_us, self.retry)
            return
        postponement_us, self._failed_at = now - self._failed_at, None
        log_event("supervisor-disk-recovered", seconds=postponement_us / 1e6)
        self.pending.pop(0)
        for action in self.pending:
            if isinstance(action, StopProcess):  # The stop timeout begins with SIGTERM.
                self._postpone_kill(action, postponement_us)
        self.add([])
