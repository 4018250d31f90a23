"""A small document in a file that outlives the process: written whole or not at all, read when changed.

Two processes of one node (an old one and its replacement) share the folder; each writes its own temporary
file and renames it over the document, so neither ever reads the other's half-written bytes.

All of it runs on the loop's thread, so nothing here waits for another process, and only regular files of a
bounded size are read. `$TMPDIR` is taken for a local file system: the calls themselves cannot be bounded.
"""

import contextlib
import errno
import fcntl
import os
import stat
from collections.abc import Iterator


def state_file_path(node: str, kind: str) -> str:
    """Of a node's document of that kind, in `$TMPDIR`: its processes share that, and an upgrade leaves it."""
    safe = "".join(char if char.isalnum() or char in "-_." else "_" for char in node)
    return os.path.join(os.environ.get("TMPDIR") or "/tmp", f"cedarmill-{safe}-{kind}.json")


def _open(path: str, flags: int) -> int:
    """A regular file's descriptor; raises OSError, also for what a read or write could wait on."""
    file = os.open(path, flags | os.O_CLOEXEC | os.O_NONBLOCK, 0o600)
    try:
        if not stat.S_ISREG(os.fstat(file).st_mode):
            raise OSError(errno.EINVAL, "not a regular file", path)
    except OSError:
        os.close(file)
        raise
    return file


def _write_all(file: int, text: bytes, at: int) -> None:
    """Write at that place, however short the system cuts it; raises OSError, and a part may be written."""
    while text:
        written = os.pwrite(file, text, at)
        if not written:
            raise OSError(errno.EIO, "nothing written")
        text, at = text[written:], at + written


def _read_all(file: int, length: int, at: int) -> bytes:
    """So many bytes from there, fewer where the file ends; raises OSError."""
    text = b""
    while len(text) < length and (part := os.pread(file, length - len(text), at + len(text))):
        text += part
    return text


class StateFile:
    """One document; `read` gives it only when the file changed since this process last saw it."""

    MAX_BYTES = 1024 * 1024  # of a document: what is larger is none of ours, and is not read

    def __init__(self, path: str) -> None:
        self.path = path
        self._seen: tuple[int, int, int] | None = None  # inode, size, change time in ns

    def read(self) -> bytes | None:
        """The document if it is new to this process; None if unchanged or absent. Raises OSError."""
        try:
            if _identity(os.stat(self.path)) == self._seen:
                return None
            file = _open(self.path, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            seen = os.fstat(file)
            if seen.st_size > self.MAX_BYTES:
                raise OSError(errno.EFBIG, os.strerror(errno.EFBIG), self.path)
            text = _read_all(file, self.MAX_BYTES, 0)
        finally:
            os.close(file)
        self._seen = _identity(seen)
        return text

    @contextlib.contextmanager
    def alone(self) -> Iterator[None]:
        """Between a read and the write that follows from it, no other process changes it.

        Raises BlockingIOError at once while another process holds it: for the time of one small write, or
        for as long as that process stands still; a killed one lets go. Raises OSError where it fails.
        """
        file = _open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield
        finally:
            os.close(file)

    def write(self, text: bytes) -> None:
        """Replace the document whole; raises OSError, and the old document then stays."""
        temporary = f"{self.path}.{os.getpid()}-{id(self)}.tmp"
        try:
            file = _open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
            try:
                _write_all(file, text, 0)
                seen = _identity(os.fstat(file))  # before the rename: after it nothing may fail any more
            finally:
                os.close(file)
            os.replace(temporary, self.path)
        except OSError:
            _remove(temporary)
            raise
        self._seen = seen


def _identity(stat_result: os.stat_result) -> tuple[int, int, int]:
    return stat_result.st_ino, stat_result.st_size, stat_result.st_mtime_ns


class InPlaceStateFile:
    """A document that is written many times a second: in place, into two halves of its file in turn.

    A rename makes some file systems write out at once: measured 0.6 ms, and 76 ms for one in a hundred,
    against 0.03 ms and 0.08 ms in place. A half may be found torn: its checksum tells, and the other holds.
    """

    HALF_BYTES = 512 * 1024  # of the file for each half; only what is written takes room
    HEADER_BYTES = 8  # the length, and a line's end

    def __init__(self, path: str) -> None:
        self.path = path
        self._file = -1
        self._next_half = 0
        self._claimed = False

    def texts(self) -> list[bytes]:
        """What the halves hold, torn or not; none if there is no file. Raises OSError."""
        try:
            self._open(os.O_RDWR)
        except FileNotFoundError:
            return []
        return [text for half in range(2) if (text := self._half(half * self.HALF_BYTES))]

    def _half(self, at: int) -> bytes:
        head = _read_all(self._file, self.HEADER_BYTES, at)
        length = int(head) if head.strip().isdigit() else 0
        return _read_all(self._file, min(length, self.HALF_BYTES - self.HEADER_BYTES), at + self.HEADER_BYTES)

    def write(self, text: bytes) -> None:
        """Put the document into the half not written last; raises OSError, and that half is then torn.

        The next document goes there again, so that the other half holds till one is whole.
        """
        if len(text) > self.HALF_BYTES - self.HEADER_BYTES:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG), self.path)
        if self._file >= 0 and not os.fstat(self._file).st_nlink:
            self.close()  # removed under us: what is written there nobody would read
        self._open(os.O_RDWR | os.O_CREAT)
        _write_all(self._file, b"%07d\n" % len(text) + text, self._next_half * self.HALF_BYTES)
        self._next_half = 1 - self._next_half

    def claim(self) -> None:
        """Show that this process lives, whatever it can write, by a lock that ends with it.

        It holds till `close`. Raises BlockingIOError while another process asks, OSError where it fails.
        """
        if not self._claimed:
            self._open(os.O_RDWR | os.O_CREAT)
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._claimed = True

    def is_claimed(self) -> bool:
        """Whether the process that claimed the file read last lives; False also where nothing tells."""
        if self._file < 0:
            return False
        try:  # shared: those who ask do not see each other
            fcntl.flock(self._file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return False
        try:
            fcntl.flock(self._file, fcntl.LOCK_UN)
        except OSError:
            self.close()  # or its owner could never claim it
        return False

    def _open(self, flags: int) -> None:
        if self._file < 0:
            self._file = _open(self.path, flags)

    def close(self) -> None:
        """Let go of the file, and of the claim to it."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        self._claimed = False

    def remove(self) -> None:
        """Close the file and take it away."""
        self.close()
        _remove(self.path)


def _remove(path: str) -> None:
    with contextlib.suppress(OSError):
        os.remove(path)
