"""Faults of a keeper's disk, put in under the store: full, a failed sync, a torn tail, lost writes, a
flipped bit.

The lab runs a keeper by this module instead of by the command; a word in a file says what befalls the next
write or sync. What is not synced is held back in the process, so that a kill loses it, as a power cut would.
"""

import errno
import os
import signal
import sys
from pathlib import Path

from cedarmill.store.files import AppendFile, Directory

KINDS = ("full", "fsync", "torn", "lost", "flip")


class FaultyFile(AppendFile):
    """A file on a disk that may fail."""

    control: Path

    def __init__(self, path: str) -> None:
        super().__init__(path)
        self.waiting = b""

    def _word(self) -> str:
        try:
            return self.control.read_text().strip()
        except OSError:
            return ""

    def write(self, text: bytes) -> None:
        if self._word() == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), self.path)
        self.waiting += text

    def truncate(self, size: int) -> None:
        """Drop what is behind, in the process first: the file itself may end before `size`."""
        written = os.fstat(self.fileno()).st_size
        self.waiting = self.waiting[: max(0, size - written)]
        super().truncate(min(size, written))

    def sync(self) -> None:
        word = self._word()
        if word == "fsync":
            raise OSError(errno.EIO, os.strerror(errno.EIO), self.path)
        if word in ("torn", "lost") and self.waiting:
            self.control.unlink()
            if word == "torn":
                super().write(self.waiting[: len(self.waiting) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        waiting, self.waiting = self.waiting, b""
        super().write(waiting)
        super().sync()


class FaultyDirectory(Directory):
    """A directory on such a disk."""

    def open_path(self, path: str) -> FaultyFile:
        return FaultyFile(path)


def flip(path: Path, back: int) -> None:
    """Flip a bit of a file, so many bytes before its end; raises OSError."""
    text = bytearray(path.read_bytes())
    text[max(0, len(text) - 1 - back)] ^= 1
    path.write_bytes(bytes(text))


def main(conf: str, control: str) -> int:
    """Run a keeper on a disk whose faults the control file names; its exit code."""
    from cedarmill.conf.cluster import read_replica_settings
    from cedarmill.net.cluster.replica import main as run

    options = read_replica_settings(conf)
    FaultyFile.control = Path(control)
    return run(options, "json", FaultyDirectory(options.data))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
