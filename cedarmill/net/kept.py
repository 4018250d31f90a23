"""A small document kept in a file that outlives the process: written whole or not at all, read when changed.

Two processes of one node (an old one and its replacement) share the folder; each writes its own temporary
file and renames it over the kept one, so neither ever reads the other's half-written bytes.
"""

import contextlib
import os


class KeptFile:
    """One kept document; `read` gives it only when the file changed since this process last saw it."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._seen: tuple[int, int, int] | None = None  # inode, size, change time in ns

    def read(self) -> bytes | None:
        """The document if it is new to this process; None if unchanged or absent. Raises OSError."""
        try:
            stat = os.stat(self.path)
        except FileNotFoundError:
            return None
        seen = (stat.st_ino, stat.st_size, stat.st_mtime_ns)
        if seen == self._seen:
            return None
        with open(self.path, "rb") as file:
            text = file.read()
        self._seen = seen
        return text

    def write(self, text: bytes) -> None:
        """Replace the document whole; raises OSError, and the old document then stays."""
        temporary = f"{self.path}.{os.getpid()}.tmp"
        try:
            with open(temporary, "wb") as file:
                file.write(text)
            os.replace(temporary, self.path)
        except OSError:
            _remove(temporary)
            raise
        stat = os.stat(self.path)
        self._seen = (stat.st_ino, stat.st_size, stat.st_mtime_ns)


def _remove(path: str) -> None:
    with contextlib.suppress(OSError):
        os.remove(path)
