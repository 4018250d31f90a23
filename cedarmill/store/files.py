"""Files as the store uses them: the one layer under which faults are put in. Raises OSError throughout."""

import contextlib
import fcntl
import os

LOCK = "lock"  # the file whose lock a process holds while it uses a folder


class File:
    """One file that grows at its end."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def read(self) -> bytes:
        """All of it."""
        found, at = bytearray(), 0
        while piece := os.pread(self._file, 1 << 20, at):
            found += piece
            at += len(piece)
        return bytes(found)

    def write(self, text: bytes) -> None:
        """Append; it is on the disk after `sync`."""
        view = memoryview(text)
        while view:
            view = view[os.write(self._file, view) :]

    def sync(self) -> None:
        os.fdatasync(self._file)

    def cut(self, size: int) -> None:
        """Drop what is behind."""
        os.ftruncate(self._file, size)
        os.fsync(self._file)

    def close(self) -> None:
        """Give the descriptor back, also where closing fails: Linux frees it then, too."""
        if self._file >= 0:
            number, self._file = self._file, -1
            os.close(number)


class Files:
    """A folder."""

    file = File

    def __init__(self, folder: str) -> None:
        self.folder = folder
        os.makedirs(folder, mode=0o700, exist_ok=True)

    def path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def open(self, name: str) -> File:
        """A file to append to; made if it is not there."""
        return self.file(self.path(name))

    def exists(self, name: str) -> bool:
        """Whether a file is there; a folder that cannot be looked at is an error, not an empty one."""
        try:
            os.stat(self.path(name))
        except FileNotFoundError:
            return False
        return True

    def replace(self, name: str, text: bytes) -> None:
        """Write a file whole, or leave the old one.

        After an OSError either may stand there, each of them whole: the last step is the folder's sync.
        """
        new = self.path(f"{name}.new")
        with contextlib.suppress(FileNotFoundError):  # what a kill has left must not be appended to
            os.remove(new)
        try:
            self._write_new(new, text)
            os.replace(new, self.path(name))
        except OSError:
            with contextlib.suppress(OSError):
                os.remove(new)  # half a file would only take room on a full disk
            raise
        self.sync_folder()

    def _write_new(self, path: str, text: bytes) -> None:
        file = self.file(path)
        try:
            file.write(text)
            file.sync()
        finally:
            file.close()

    def lock(self) -> int:
        """Keep other processes out of the folder until the descriptor returned is closed.

        Raises BlockingIOError where another process has it.
        """
        number = os.open(self.path(LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(number, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(number)
            raise
        return number

    def sync_folder(self) -> None:
        """What was made or renamed is on the disk too."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
