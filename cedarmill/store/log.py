"""The log on disk: records one after the other, each with its length and checksum; group commit by the
caller.

A record that is not whole at the end is a torn tail: it was never synced, so nobody was promised anything,
and it is cut off. A whole record whose checksum does not fit was damaged after it was written: if others
follow, the file is refused; at the very end it is cut off and the keeper doubts itself, since it may have
promised it.
"""

import contextlib
import errno
import struct
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from cedarmill.store.files import Files

MAGIC = b"cedarmill log 1\n"
HEAD = struct.Struct(">IQ")  # length, checksum
MAX_RECORD = 64 * 1024 * 1024


class StoreError(ValueError):
    """What cannot be used of a store, in one line with file and place."""


class Recovered(NamedTuple):
    """The records that are good, whether a damaged one stood at the end, and a torn tail's bytes."""

    records: list[bytes]
    damaged: bool
    torn: int


def record(text: bytes) -> bytes:
    """One record as it is written."""
    return HEAD.pack(len(text), xxhash.xxh3_64_intdigest(text)) + text


def scan(text: bytes, path: str) -> tuple[Recovered, int]:
    """Read records; and how many bytes of the file are good. Raises StoreError."""
    if not text.startswith(MAGIC):
        if MAGIC.startswith(text):
            return Recovered([], False, len(text)), 0  # torn in its first line
        raise StoreError(f"{path}: no log of this program, or of a newer format: {text[:16]!r}")
    at, found = len(MAGIC), []
    while at < len(text):
        if at + HEAD.size > len(text):
            return Recovered(found, False, len(text) - at), at
        length, checksum = HEAD.unpack_from(text, at)
        end = at + HEAD.size + length
        if length > MAX_RECORD or end > len(text):
            if _more_follow(text, at + 1):
                raise StoreError(
                    f"{path}: damaged at byte {at}: a length that cannot be, and good records after"
                )
            return Recovered(found, False, len(text) - at), at
        body = text[at + HEAD.size : end]
        if xxhash.xxh3_64_intdigest(body) != checksum:
            if end < len(text):
                raise StoreError(f"{path}: damaged at byte {at}: the checksum does not fit, and more follows")
            return Recovered(found, True, len(text) - at), at
        found.append(body)
        at = end
    return Recovered(found, False, 0), at


def _more_follow(text: bytes, at: int) -> bool:
    """Whether a good record of some size starts anywhere behind: then this is damage, not a torn tail."""
    for place in range(at, max(at, len(text) - HEAD.size)):
        length, checksum = HEAD.unpack_from(text, place)
        end = place + HEAD.size + length
        if (
            length >= 4
            and end <= len(text)
            and xxhash.xxh3_64_intdigest(text[place + HEAD.size : end]) == checksum
        ):
            return True
    return False


class DiskLog:
    """An open log: `add` any number of records, then `sync` once.

    A record that was written in part is cut off before another may follow it. After a failed sync, cut or
    rewrite the log is unusable until it was opened and read anew: Linux reports a failed sync once, marks
    what was not written as clean, and lets the next sync succeed without it.
    """

    def __init__(self, files: Files, name: str = "log") -> None:
        """Open and read; nothing is changed before the first `add` or `rewrite`.

        Raises StoreError or OSError.
        """
        self.files, self.name = files, name
        self.file = files.open(name)
        try:
            text = self.file.read()
            self.recovered, self.size = scan(text, files.path(name))
        except BaseException:
            self.file.close()
            raise
        self._torn = self.size < len(text)
        self._dirty = False
        self._failed = False

    def add(self, text: bytes) -> None:
        """Append a record; raises OSError, and nothing more may be promised then."""
        self._check()
        if self._torn:
            self._cut()
        whole = record(text) if self.size else MAGIC + record(text)
        self._dirty = True
        self._torn = True  # until all of it is written
        try:
            self.file.write(whole)
        except OSError:
            self._cut()
            raise
        self._torn = False
        self.size += len(whole)

    def sync(self) -> bool:
        """Everything added is on the disk; whether there was anything. Raises OSError."""
        self._check()
        if not self._dirty:
            return False
        with self._failing():
            self.file.sync()
        self._dirty = False
        return True

    def rewrite(self, records: list[bytes]) -> None:
        """Replace the log whole by these.

        Raises OSError; the folder holds the old log or the new one then, and which is known by opening anew.
        """
        self._check()
        text = MAGIC + b"".join(map(record, records))
        with self._failing():
            self.files.replace(self.name, text)
            file = self.files.open(self.name)
            self.file, before = file, self.file
            before.close()
        self.size, self._dirty, self._torn = len(text), False, False

    def close(self) -> None:
        self._failed = True
        self.file.close()

    def _cut(self) -> None:
        """Drop what was written in part; raises OSError."""
        with self._failing():
            self.file.cut(self.size)
        self._torn = False

    def _check(self) -> None:
        if self._failed:
            raise OSError(errno.EIO, "an earlier write or sync failed, the log was not read since", self.name)

    @contextlib.contextmanager
    def _failing(self) -> Iterator[None]:
        """The log is unusable once what is done here has failed."""
        try:
            yield
        except OSError:
            self._failed = True
            raise
