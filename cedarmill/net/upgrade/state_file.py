"""Files in `$TMPDIR` that hold one small document and outlive the process that wrote them.

Two processes of one node (the old one and its replacement) share the folder. A `StateFile` is replaced
atomically by renaming a temporary file over it, an `InPlaceStateFile` is written in place in two alternating
halves.

Everything here runs on the event loop's thread. No call waits for another process, and only regular files of
limited size are read. `$TMPDIR` must be on a local file system, since file system calls have no timeout.
"""

import contextlib
import errno
import fcntl
import os
import stat
from collections.abc import Iterator


def state_file_path(node: str, kind: str) -> str:
    """Return the path in `$TMPDIR` of a node's document; all processes of the node share it."""
    safe_name = "".join(char if char.isalnum() or char in "-_." else "_" for char in node)
    return os.path.join(os.environ.get("TMPDIR") or "/tmp", f"cedarmill-{safe_name}-{kind}.json")


def open_regular_file(path: str, flags: int) -> int:
    """Return a descriptor of a regular file; raise OSError for any other kind, which reads could block on."""
    descriptor = os.open(path, flags | os.O_CLOEXEC | os.O_NONBLOCK, 0o600)
    try:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise OSError(errno.EINVAL, "not a regular file", path)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Write all of `data` at `offset`; an OSError may leave a part of it written."""
    while data:
        written = os.pwrite(descriptor, data, offset)
        if not written:
            raise OSError(errno.EIO, "pwrite wrote 0 bytes")
        data, offset = data[written:], offset + written


def _read_all(descriptor: int, length: int, offset: int) -> bytes:
    """Return `length` bytes from `offset`, or fewer at the end of the file; raise OSError on failure."""
    data = b""
    while len(data) < length and (chunk := os.pread(descriptor, length - len(data), offset + len(data))):
        data += chunk
    return data


class FileLock:
    """An exclusive lock on a file of its own; the system releases that of a killed process."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._descriptor = -1

    def take(self) -> None:
        """Take the lock unless it is held; raise BlockingIOError if another holds it, OSError on failure."""
        if self._descriptor >= 0:
            return
        descriptor = open_regular_file(self.path, os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._descriptor = descriptor

    def release(self) -> None:
        """Release the lock, if it is held."""
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)


class StateFile:
    """A document that is replaced atomically and read only when another process has changed it."""

    MAX_BYTES = 1024 * 1024  # this program writes no larger document, so larger files are not read

    def __init__(self, path: str) -> None:
        self.path = path
        self._last_identity: tuple[int, int, int] | None = None  # inode, size, modification time in ns

    def read(self) -> bytes | None:
        """Return the document, or None if it is absent or unchanged since the last call; raise OSError."""
        try:
            if _file_identity(os.stat(self.path)) == self._last_identity:
                return None
            descriptor = open_regular_file(self.path, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            status = os.fstat(descriptor)
            if status.st_size > self.MAX_BYTES:
                raise OSError(errno.EFBIG, os.strerror(errno.EFBIG), self.path)
            data = _read_all(descriptor, self.MAX_BYTES, 0)
        finally:
            os.close(descriptor)
        self._last_identity = _file_identity(status)
        return data

    def lock_turn(self) -> FileLock:
        """Return a turn for `exclusive_lock`, for a caller that tries again; it has to release it.

        A process that waits holds the turn to take the lock next, so that no other overtakes it: a lock that
        is free for microseconds only is seldom free when a waiting process tries again.
        """
        return FileLock(f"{self.path}.lock-turn")

    @contextlib.contextmanager
    def exclusive_lock(self, turn: FileLock | None = None) -> Iterator[None]:
        """Hold an exclusive lock, so that no other process changes the document between a read and a write.

        Raises BlockingIOError at once if another process holds the lock: it does so for one small write, or
        longer if it is stopped. It then has to give way if the caller tries again with the same `turn`.
        Raises OSError if locking fails.
        """
        lock, own_turn = FileLock(f"{self.path}.lock"), turn or self.lock_turn()
        try:
            own_turn.take()
            lock.take()
            own_turn.release()
            yield
        finally:
            lock.release()
            if turn is None:
                own_turn.release()

    def write(self, data: bytes) -> None:
        """Replace the document atomically; raise OSError and keep the old document on failure."""
        temporary = f"{self.path}.{os.getpid()}-{id(self)}.tmp"
        try:
            descriptor = open_regular_file(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
            try:
                _write_all(descriptor, data, 0)
                # Taken before the rename: once the document is replaced, no step may fail.
                identity = _file_identity(os.fstat(descriptor))
            finally:
                os.close(descriptor)
            os.replace(temporary, self.path)
        except OSError:
            _remove_if_possible(temporary)
            raise
        self._last_identity = identity


def _file_identity(status: os.stat_result) -> tuple[int, int, int]:
    """Return inode, size and modification time, which together change whenever the file is replaced."""
    return status.st_ino, status.st_size, status.st_mtime_ns


class InPlaceStateFile:
    """A document that is written many times a second, in place, alternating between two halves of its file.

    Writing in place avoids a rename, which some file systems flush to disk at once: that would block the
    event loop. A process that dies during a write leaves a torn half, which the document's checksum reveals;
    the other half then still holds the document before it.
    """

    HALF_BYTES = 512 * 1024  # offset of the second half; the file is sparse, so unused bytes take no space
    HEADER_BYTES = 8  # seven digits of the document's length and a newline

    def __init__(self, path: str) -> None:
        self.path = path
        self._descriptor = -1  # -1 while the file is closed
        self._next_half = 0
        self._holds_claim = False

    def read_halves(self) -> list[bytes]:
        """Return the content of each non-empty half, torn or not; [] if there is no file."""
        try:
            self._ensure_open(os.O_RDWR)
        except FileNotFoundError:
            return []
        return [text for half in range(2) if (text := self._read_half(half * self.HALF_BYTES))]

    def _read_half(self, offset: int) -> bytes:
        """Return the content of the half that begins at `offset`; empty if its header is invalid."""
        header = _read_all(self._descriptor, self.HEADER_BYTES, offset)
        length = int(header) if header.strip().isdigit() else 0
        return _read_all(
            self._descriptor, min(length, self.HALF_BYTES - self.HEADER_BYTES), offset + self.HEADER_BYTES
        )

    def write(self, data: bytes) -> None:
        """Write the document into the half that was not written last; an OSError may leave that half torn.

        After a failure the next document goes into the same half, so that the other half stays valid.
        """
        if len(data) > self.HALF_BYTES - self.HEADER_BYTES:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG), self.path)
        if self._descriptor >= 0 and not os.fstat(self._descriptor).st_nlink:
            self.close()  # another process removed the file: readers cannot find it under its path
        self._ensure_open(os.O_RDWR | os.O_CREAT)
        _write_all(self._descriptor, b"%07d\n" % len(data) + data, self._next_half * self.HALF_BYTES)
        self._next_half = 1 - self._next_half

    def claim(self) -> None:
        """Lock the file until `close` or the end of the process, to show that the process is alive.

        Raises BlockingIOError while another process tests the lock, OSError if locking fails.
        """
        if not self._holds_claim:
            self._ensure_open(os.O_RDWR | os.O_CREAT)
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._holds_claim = True

    def is_claimed(self) -> bool:
        """Return whether another process has locked the open file; False if that cannot be determined."""
        if self._descriptor < 0:
            return False
        try:  # a shared lock, so that several processes can test at the same time
            fcntl.flock(self._descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return False
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_UN)
        except OSError:
            self.close()  # closing releases the lock, which would keep the owner from claiming the file
        return False

    def _ensure_open(self, flags: int) -> None:
        """Open the file unless it is open already; raise OSError."""
        if self._descriptor < 0:
            self._descriptor = open_regular_file(self.path, flags)

    def close(self) -> None:
        """Close the file, which releases its lock."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        self._holds_claim = False

    def remove(self) -> None:
        """Close the file and delete it, ignoring errors of the deletion."""
        self.close()
        _remove_if_possible(self.path)


def _remove_if_possible(path: str) -> None:
    """Delete a file, ignoring OSError."""
    with contextlib.suppress(OSError):
        os.remove(path)
