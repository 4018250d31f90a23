"""File and directory operations of the store: the only layer that makes system calls.

Tests and the lab override these classes to inject disk faults. All operations raise OSError on failure.
"""

import contextlib
import fcntl
import os
from types import TracebackType
from typing import Self

LOCK_FILE_NAME = "lock"
READ_CHUNK_BYTES = 1 << 20
FILE_MODE = 0o600
DIRECTORY_MODE = 0o700
CLOSED_DESCRIPTOR = -1


class _Descriptor:
    """An open file descriptor that is closed at most once, also by the end of a `with` block."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def fileno(self) -> int:
        """Return the number of the file descriptor."""
        return self._descriptor

    def close(self) -> None:
        """Close the descriptor once; Linux frees it even if the system call reports an error."""
        if self._descriptor != CLOSED_DESCRIPTOR:
            descriptor, self._descriptor = self._descriptor, CLOSED_DESCRIPTOR
            os.close(descriptor)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()


def _read_all(descriptor: int) -> bytes:
    content = bytearray()
    while chunk := os.pread(descriptor, READ_CHUNK_BYTES, len(content)):
        content += chunk
    return bytes(content)


class AppendFile(_Descriptor):
    """A file opened for reading and appending, and created if it does not exist."""

    def __init__(self, path: str) -> None:
        super().__init__(os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, FILE_MODE))
        self.path = path

    def read(self) -> bytes:
        """Return the content of the whole file."""
        return _read_all(self._descriptor)

    def write(self, data: bytes) -> None:
        """Append data, which `sync` makes durable; after an OSError part of the data may be written."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._descriptor, remaining)
            remaining = remaining[written:]

    def sync(self) -> None:
        """Make all written data durable."""
        os.fdatasync(self._descriptor)

    def truncate(self, size: int) -> None:
        """Shorten the file durably to its first `size` bytes."""
        os.ftruncate(self._descriptor, size)
        os.fsync(self._descriptor)


class DirectoryLock(_Descriptor):
    """An exclusive lock on a directory, held until the lock is closed."""


class Directory:
    """A directory, created with its parents if it does not exist."""

    def __init__(self, root: str) -> None:
        self.root = root
        os.makedirs(root, mode=DIRECTORY_MODE, exist_ok=True)

    def path(self, name: str) -> str:
        """Return the path of a file in the directory."""
        return os.path.join(self.root, name)

    def open_path(self, path: str) -> AppendFile:
        """Open a file by path for appending; overridden to inject faults into the file."""
        return AppendFile(path)

    def open(self, name: str) -> AppendFile:
        """Open a file of the directory for appending, and create the file if it does not exist."""
        return self.open_path(self.path(name))

    def exists(self, name: str) -> bool:
        """Return whether a file of that name exists; raise OSError where that cannot be determined."""
        try:
            os.stat(self.path(name))
        except FileNotFoundError:
            return False
        return True

    def size(self, name: str) -> int:
        """Return the size of a file in bytes, or 0 if the file does not exist."""
        try:
            return os.stat(self.path(name)).st_size
        except FileNotFoundError:
            return 0

    def read(self, name: str) -> bytes:
        """Return the content of a file; raise FileNotFoundError if the file does not exist."""
        with _Descriptor(os.open(self.path(name), os.O_RDONLY | os.O_CLOEXEC)) as file:
            return _read_all(file.fileno())

    def remove(self, name: str) -> None:
        """Delete a file of the directory durably, if the file exists."""
        with contextlib.suppress(FileNotFoundError):
            os.remove(self.path(name))
        self.sync()

    def replace(self, name: str, content: bytes) -> None:
        """Replace a file atomically and durably.

        After an OSError either the old or the new file exists, complete: syncing the directory comes last.
        """
        temporary = self.path(f"{name}.new")
        # A temporary file left by a killed process must not be appended to.
        with contextlib.suppress(FileNotFoundError):
            os.remove(temporary)
        try:
            self._write_new(temporary, content)
            os.replace(temporary, self.path(name))
        except OSError:
            # An incomplete file would only take up space on a full disk.
            with contextlib.suppress(OSError):
                os.remove(temporary)
            raise
        self.sync()

    def _write_new(self, path: str, content: bytes) -> None:
        with self.open_path(path) as file:
            file.write(content)
            file.sync()

    def lock(self) -> DirectoryLock:
        """Lock the directory for this process; raise BlockingIOError if another process holds the lock."""
        descriptor = os.open(self.path(LOCK_FILE_NAME), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        lock = DirectoryLock(descriptor)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            raise
        return lock

    def sync(self) -> None:
        """Make the directory's entries durable: created, renamed and deleted files."""
        with _Descriptor(os.open(self.root, os.O_RDONLY | os.O_DIRECTORY)) as directory:
            os.fsync(directory.fileno())


def replace_file(path: str, content: bytes) -> None:
    """Write a file atomically and durably, replacing any existing file at the path."""
    directory, name = os.path.split(os.path.abspath(path))
    Directory(directory).replace(name, content)
