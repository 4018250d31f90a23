"""Opens the store of a replica, and reopens it after a disk failure.

The owner is notified once per failure and acknowledges nothing until the store is open again. The replica
then starts from the stored state, as after a restart.
"""

from collections.abc import Callable

from cedarmill.core.timers import Timers
from cedarmill.log import log_event
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.errors import StoreError, is_transient
from cedarmill.store.files import Directory
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.values import ReplicaOptions

# The delay before the store is reopened doubles with each failed attempt.
INITIAL_RETRY_DELAY_US = 100_000
MAX_RETRY_DELAY_US = 2_000_000


class ReplicaDisk:
    """Opens the store of one replica at the start and after each failure.

    `on_opened` is called with each opened store, and `on_failed` when the disk fails, in use or at the first
    opening. `on_permanent_failure` is called if a retry of the first opening shows that no retry can succeed:
    the configuration is wrong, the store is damaged, or the store belongs to another replica.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        options: ReplicaOptions,
        directory: Directory | None,
        on_opened: Callable[[ReplicaStore], None],
        on_failed: Callable[[], None],
        on_permanent_failure: Callable[[], None],
    ) -> None:
        self.driver, self.options = driver, options
        self.timers: Timers = driver.timers
        self.is_failing = False  # whether the disk has failed and the store is not reopened yet
        self.retry_delay_us = INITIAL_RETRY_DELAY_US
        self.permanent_failure: StoreError | OSError | None = None
        self._directory = directory
        self._store: ReplicaStore | None = None  # the last opened store
        self._failed_at = 0
        self._on_opened, self._on_failed, self._on_permanent_failure = (
            on_opened,
            on_failed,
            on_permanent_failure,
        )

    def start(self) -> None:
        """Open the store, or schedule a retry if the disk fails temporarily.

        Raises StoreError or OSError if no retry can succeed.
        """
        try:
            self._open_store()
        except OSError as error:
            if not is_transient(error):
                raise
            self.handle_failure(error)

    def _open_store(self) -> None:
        """Open the store, and pass it to the owner. Raises StoreError or OSError."""
        if self._directory is None:
            self._directory = Directory(self.options.data)
        acknowledged = None if self._store is None else self._store.acknowledged
        self._store = ReplicaStore(
            self._directory, self.options.cluster, self.options.name, acknowledged=acknowledged
        )
        self._on_opened(self._store)

    def handle_failure(self, error: OSError) -> None:
        """Notify the owner of a failed system call, and schedule the reopening of the store."""
        if self.is_failing:
            return
        log_event("replica-disk-failed", reason=error.strerror or error)
        self.is_failing, self._failed_at, self.retry_delay_us = (
            True,
            self.driver.now(),
            INITIAL_RETRY_DELAY_US,
        )
        self._on_failed()
        self.timers.add(self._failed_at + self.retry_delay_us, self.retry)

    def retry(self, now: int) -> None:
        """Reopen the store, or schedule the next attempt."""
        try:
            self.close()
            self._open_store()
        except (StoreError, OSError) as error:
            if self._store is None and not is_transient(error):
                self.permanent_failure = error
                self._on_permanent_failure()
                return
            log_event("replica-disk-retry", reason=getattr(error, "strerror", None) or error)
            self.retry_delay_us = min(2 * self.retry_delay_us, MAX_RETRY_DELAY_US)
            self.timers.add(now + self.retry_delay_us, self.retry)
            return
        self.is_failing = False
        log_event("replica-disk-recovered", seconds=(self.driver.now() - self._failed_at) / 1e6)

    def close(self) -> None:
        """Close the last opened store, if any. Raises OSError."""
        if self._store is not None:
            self._store.close()


def log_recovery(store: ReplicaStore) -> None:
    """Log the state of an opened store, and what was truncated or may be missing."""
    recovery, saved = store.recovery, store.persistent_state
    log_event(
        "replica-store",
        disk=store.identity.disk,
        start_count=store.identity.start_count,
        index=saved.entries[-1].index if saved.entries else saved.snapshot.index,
    )
    if recovery.torn_bytes:
        log_event("replica-log-truncated", bytes=recovery.torn_bytes)
    if store.doubt:
        log_event("replica-needs-catch-up", reason=store.doubt)
