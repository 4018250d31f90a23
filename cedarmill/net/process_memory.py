"""The anonymous memory of this process, as the platform limits it; see proc_pid_statm(5)."""

import os

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 128
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessMemory:
    """Tells how much memory is left below a limit."""

    def __init__(self) -> None:
        self.limit_bytes = 0  # set by the owner
        self._descriptor = -1

    def bytes_left(self) -> int:
        """Return the bytes below the limit that are not in use; 0 if that cannot be read."""
        try:
            if self._descriptor < 0:
                self._descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
            _, resident, shared, *_ = map(int, os.pread(self._descriptor, STATM_BYTES, 0).split())
        except (OSError, ValueError):
            return 0
        return max(0, self.limit_bytes - (resident - shared) * PAGE_BYTES)
