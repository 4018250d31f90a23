"""The anonymous memory of this process, as the platform limits it; see proc_pid_statm(5)."""

import gc
import os

from cedarmill.core.memory_budget import CRITICAL_BYTES_LEFT
from cedarmill.net.loop import EventLoopDriver

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 128
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
COLLECT_INTERVAL_US = 1_000_000  # a collection takes some milliseconds


class ProcessMemory:
    """Tells how much memory is left below a limit, and has garbage collected while that is critical.

    Connections and requests that are over are in reference cycles, so what they take is free only after that.
    """

    def __init__(self, driver: EventLoopDriver) -> None:
        self.limit_bytes = 0  # set by the owner
        self._driver = driver
        self._collected_at = -COLLECT_INTERVAL_US  # us
        self._descriptor = -1

    def bytes_left(self) -> int:
        """Return the bytes below the limit that are not in use; 0 if that cannot be read."""
        bytes_left = self._read_bytes_left()
        now = self._driver.now()
        if bytes_left >= CRITICAL_BYTES_LEFT or now - self._collected_at < COLLECT_INTERVAL_US:
            return bytes_left
        self._collected_at = now
        gc.collect()
        return self._read_bytes_left()

    def _read_bytes_left(self) -> int:
        try:
            if self._descriptor < 0:
                self._descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
            _, resident, shared, *_ = map(int, os.pread(self._descriptor, STATM_BYTES, 0).split())
        except (OSError, ValueError):
            return 0
        return max(0, self.limit_bytes - (resident - shared) * PAGE_BYTES)
