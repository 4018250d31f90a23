"""Faults of a replica's disk, put in under the store: full, a failed sync, a torn tail, lost writes.

The laboratory runs a replica by this module instead of by the command; a word in a file says what befalls the
next write or sync. What is not synced is held back in the process, so that a kill loses it, as a power cut
would. A flipped bit is put into the file while the replica is down.
"""

import errno
import os
import signal
import sys
from pathlib import Path

from cedarmill.store.files import AppendFile, Directory


class FaultyFile(AppendFile):
    """A file on a disk that may fail."""

    control: Path

    def __init__(self, path: str) -> None:
        super().__init__(path)
        self.unsynced = b""

    def _fault(self) -> str:
        try:
            return self.control.read_text().strip()
        except OSError:
            return ""

    def _fail(self, number: int) -> OSError:
        return OSError(number, os.strerror(number), self.path)

    def write(self, data: bytes) -> None:
        """Hold the data back until it is synced; raises OSError where the disk is full."""
        if self._fault() == "full":
            raise self._fail(errno.ENOSPC)
        self.unsynced += data

    def truncate(self, size: int) -> None:
        """Drop what is behind, in the process first: the file itself may end before `size`."""
        written = os.fstat(self.fileno()).st_size
        self.unsynced = self.unsynced[: max(0, size - written)]
        super().truncate(min(size, written))

    def sync(self) -> None:
        """Write and sync, or end the process and lose what was held; raises OSError where the sync fails."""
        fault = self._fault()
        if fault == "fsync":
            raise self._fail(errno.EIO)
        if fault in ("torn", "lost") and self.unsynced:
            self.control.unlink()
            if fault == "torn":
                super().write(self.unsynced[: len(self.unsynced) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        unsynced, self.unsynced = self.unsynced, b""
        super().write(unsynced)
        super().sync()


class FaultyDirectory(Directory):
    """A directory on such a disk."""

    def open_path(self, path: str) -> FaultyFile:
        """Open a file by its path; raises OSError."""
        return FaultyFile(path)


def flip_bit(path: Path, back: int) -> None:
    """Flip a bit of a file, so many bytes before its end; raises OSError."""
    content = bytearray(path.read_bytes())
    content[max(0, len(content) - 1 - back)] ^= 1
    path.write_bytes(bytes(content))


def main(settings: str, control: str) -> int:
    """Run a replica on a disk whose faults the control file names; its exit code."""
    from cedarmill.conf import cluster
    from cedarmill.net.cluster import replica

    options = cluster.read_replica_settings(settings)
    FaultyFile.control = Path(control)
    return replica.main(options, "json", FaultyDirectory(options.data))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
