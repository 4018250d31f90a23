"""A replica's store while it works and while it fails: opened, given up, and opened anew.

Where the disk fails, nothing more is promised: the owner is told once, and the store is opened anew until
that succeeds. The replica then starts from what was read, as after a restart.
"""

from collections.abc import Callable

from cedarmill.core.timers import Timers
from cedarmill.log import log_event
from cedarmill.net.loop import EventLoopDriver
from cedarmill.store.errors import StoreError, may_pass
from cedarmill.store.files import Directory
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.values import ReplicaOptions

RETRY_FIRST_US = 100_000  # from a failure of the disk to the first try to open it anew
RETRY_MOST_US = 2_000_000  # between two tries; each wait is twice the one before


class ReplicaDisk:
    """Opens one replica's store, at the start and after each failure.

    `on_opened` gets each store that was opened, `on_failed` hears of a failure while the store was in use or
    at the first opening, `on_final_failure` of one that ends a start: the configuration is wrong, or the
    store is damaged or another replica's, so that no later try can succeed.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        options: ReplicaOptions,
        files: Directory | None,
        on_opened: Callable[[ReplicaStore], None],
        on_failed: Callable[[], None],
        on_final_failure: Callable[[], None],
    ) -> None:
        self.driver, self.options = driver, options
        self.timers: Timers = driver.timers
        self.failing = False  # the disk has failed, and was not opened anew yet
        self.retry_us = RETRY_FIRST_US
        self.final_failure: StoreError | OSError | None = None
        self._directory = files
        self._store: ReplicaStore | None = None  # the newest that was opened; none before the first opening
        self._failed_at = 0
        self._on_opened, self._on_failed, self._on_final_failure = on_opened, on_failed, on_final_failure

    def start(self) -> None:
        """Open the store, or leave that to the loop where the disk fails.

        Raises StoreError or OSError where no later try can succeed.
        """
        try:
            self._open()
        except OSError as error:
            if not may_pass(error):
                raise
            self.fail(error)

    def _open(self) -> None:
        """Open the store; raises StoreError or OSError."""
        if self._directory is None:
            self._directory = Directory(self.options.data)
        acknowledged = None if self._store is None else self._store.acknowledged
        self._store = ReplicaStore(
            self._directory, self.options.cluster, self.options.name, acknowledged=acknowledged
        )
        self._on_opened(self._store)

    def fail(self, error: OSError) -> None:
        """A system call has failed: nothing may be promised until the store was opened anew."""
        if self.failing:
            return
        log_event("replica-disk-failed", reason=error.strerror or error)
        self.failing, self._failed_at, self.retry_us = True, self.driver.now(), RETRY_FIRST_US
        self._on_failed()
        self.timers.add(self._failed_at + self.retry_us, self.retry)

    def retry(self, now: int) -> None:
        """Open the store anew; else try again later."""
        try:
            self.close()
            self._open()
        except (StoreError, OSError) as error:
            if self._store is None and not may_pass(error):
                self.final_failure = error
                self._on_final_failure()
                return
            log_event("replica-disk-retry", reason=getattr(error, "strerror", None) or error)
            self.retry_us = min(2 * self.retry_us, RETRY_MOST_US)
            self.timers.add(now + self.retry_us, self.retry)
            return
        self.failing = False
        log_event("replica-disk-recovered", seconds=(self.driver.now() - self._failed_at) / 1e6)

    def close(self) -> None:
        """Close the store, if one was opened; raises OSError."""
        if self._store is not None:
            self._store.close()


def log_recovery(store: ReplicaStore) -> None:
    """Say what was found on the disk."""
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
