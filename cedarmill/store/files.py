"""Files and directories as the store uses them: the one layer that makes system calls.

Tests and the lab inject disk faults by overriding these classes. Everything raises OSError.
"""

import contextlib
import fcntl
import os
from types import TracebackType
from typing import Self

LOCK_NAME = "lock"  # the file in a directory that its process holds locked
READ_BYTES = 1 << 20  # per system call
FILE_MODE = 0o600
DIRECTORY_MODE = 0o700
CLOSED = -1  # in place of a file descriptor


class _Descriptor:
    """An open file descriptor that is closed once, also at the end of a `with` block."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def fileno(self) -> int:
        """The descriptor's number."""
        return self._descriptor

    def close(self) -> None:
        """Close the descriptor; where that fails, Linux has freed it all the same."""
        if self._descriptor != CLOSED:
            descriptor, self._descriptor = self._descriptor, CLOSED
            os.close(descriptor)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()


def _read_all(descriptor: int) -> bytes:
    content = bytearray()
    while piece := os.pread(descriptor, READ_BYTES, len(content)):
        content += piece
    return bytes(content)


class AppendFile(_Descriptor):
    """A file that grows at its end; created if it does not exist."""

    def __init__(self, path: str) -> None:
        super().__init__(os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, FILE_MODE))
        self.path = path

    def read(self) -> bytes:
        """Read the whole file."""
        return _read_all(self._descriptor)

    def write(self, data: bytes) -> None:
        """Append; the data is durable after `sync`. After an OSError a part of it may have been written."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._descriptor, remaining)
            remaining = remaining[written:]

    def sync(self) -> None:
        """Make durable what was written."""
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        """Drop what is behind the first `size` bytes, durably."""
        os.ftruncate(self._descriptor, size)
        os.fsync(self._descriptor)


class DirectoryLock(_Descriptor):
    """Keeps other processes out of a directory until it is closed."""


class Directory:
    """A directory, created with its parents if it does not exist."""

    def __init__(self, root: str) -> None:
        self.root = root
        os.makedirs(root, mode=DIRECTORY_MODE, exist_ok=True)

    def path(self, name: str) -> str:
        """The path of a file in the directory."""
        return os.path.join(self.root, name)

    def open_path(self, path: str) -> AppendFile:
        """Open a file by its path; a directory with injected faults overrides this."""
        return AppendFile(path)

    def open(self, name: str) -> AppendFile:
        """Open a file of the directory to append to; it is created if it does not exist."""
        return self.open_path(self.path(name))

    def exists(self, name: str) -> bool:
        """Whether there is a file of that name; where that cannot be found out, an OSError and not False."""
        try:
            os.stat(self.path(name))
        except FileNotFoundError:
            return False
        return True

    def size(self, name: str) -> int:
        """The bytes of a file; 0 where there is none."""
        try:
            return os.stat(self.path(name)).st_size
        except FileNotFoundError:
            return 0

    def read(self, name: str) -> bytes:
        """Read a whole file of the directory; raises FileNotFoundError where there is none."""
        with _Descriptor(os.open(self.path(name), os.O_RDONLY | os.O_CLOEXEC)) as opened:
            return _read_all(opened.fileno())

    def remove(self, name: str) -> None:
        """Delete a file of the directory durably, if there is one."""
        with contextlib.suppress(FileNotFoundError):
            os.remove(self.path(name))
        self.sync()

    def replace(self, name: str, content: bytes) -> None:
        """Replace a file atomically.

        After an OSError there is either the old file or the new one, each complete: the last step is the sync
        of the directory.
        """
        temporary = self.path(f"{name}.new")
        with contextlib.suppress(FileNotFoundError):  # what a kill has left must not be appended to
            os.remove(temporary)
        try:
            self._write_new(temporary, content)
            os.replace(temporary, self.path(name))
        except OSError:
            with contextlib.suppress(OSError):
                os.remove(temporary)  # half a file would only take up space on a full disk
            raise
        self.sync()

    def _write_new(self, path: str, content: bytes) -> None:
        with self.open_path(path) as file:
            file.write(content)
            file.sync()

    def lock(self) -> DirectoryLock:
        """Lock the directory for this process; raises BlockingIOError where another one holds the lock."""
        descriptor = os.open(self.path(LOCK_NAME), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        lock = DirectoryLock(descriptor)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            raise
        return lock

    def sync(self) -> None:
        """Make durable which files the directory has."""
        with _Descriptor(os.open(self.root, os.O_RDONLY | os.O_DIRECTORY)) as opened:
            os.fsync(opened.fileno())


def replace_file(path: str, content: bytes) -> None:
    """Write a file atomically: it is there complete or not at all."""
    directory, name = os.path.split(os.path.abspath(path))
    Directory(directory).replace(name, content)
