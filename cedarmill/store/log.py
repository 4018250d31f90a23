"""The log on disk: records one after the other, each with its length and checksum; group commit by the
caller.

An incomplete record at the end is a torn write: it was never synced, so nothing depends on it, and it is cut
off. A complete record whose checksum does not fit was damaged after it was written. If others follow, the
file is refused; at the very end the record is cut off and the replica needs to catch up, since it may have
acknowledged what is lost.
"""

import contextlib
import errno
import struct
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from cedarmill.store.errors import DamagedError, LogUnusableError, UnknownFormatError
from cedarmill.store.files import Directory

LOG_NAME = "log"
MAGIC = b"cedarmill log 1\n"
RECORD_HEADER = struct.Struct(">IQ")  # the body's length in bytes, its XXH3 checksum
MAX_RECORD_BYTES = 64 * 1024 * 1024
MIN_RECORD_BYTES = 4  # of a body, where a record is looked for in damaged data


class RecoveredLog(NamedTuple):
    """What reading a log has found."""

    records: list[bytes]
    last_record_damaged: bool
    torn_bytes: int  # behind the last good record
    valid_bytes: int  # up to the end of the last good record


def encode_record(body: bytes) -> bytes:
    """A record as it is written."""
    return RECORD_HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def read_records(data: bytes, path: str) -> RecoveredLog:
    """Read the content of the log at `path`; raises UnknownFormatError or DamagedError."""
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return RecoveredLog([], False, len(data), 0)  # torn in its first line
        raise UnknownFormatError(f"{path}: no log of this program, or of a newer format: {data[:16]!r}")
    position = len(MAGIC)
    records: list[bytes] = []
    while position < len(data):
        if position + RECORD_HEADER.size > len(data):
            return RecoveredLog(records, False, len(data) - position, position)
        length, checksum = RECORD_HEADER.unpack_from(data, position)
        start = position + RECORD_HEADER.size
        end = start + length
        if length > MAX_RECORD_BYTES or end > len(data):
            if _has_record_behind(data, position + 1):
                raise DamagedError(
                    f"{path}: damaged at byte {position}: a length that cannot be, and good records after"
                )
            return RecoveredLog(records, False, len(data) - position, position)
        body = data[start:end]
        if xxhash.xxh3_64_intdigest(body) != checksum:
            if end < len(data):
                raise DamagedError(
                    f"{path}: damaged at byte {position}: the checksum does not fit, and more follows"
                )
            return RecoveredLog(records, True, len(data) - position, position)
        records.append(body)
        position = end
    return RecoveredLog(records, False, 0, position)


def _has_record_behind(data: bytes, first: int) -> bool:
    """Whether a good record starts anywhere from `first` on: then this is damage, not a torn write."""
    for position in range(first, max(first, len(data) - RECORD_HEADER.size)):
        length, checksum = RECORD_HEADER.unpack_from(data, position)
        start = position + RECORD_HEADER.size
        end = start + length
        complete = length >= MIN_RECORD_BYTES and end <= len(data)
        if complete and xxhash.xxh3_64_intdigest(data[start:end]) == checksum:
            return True
    return False


class LogFile:
    """An open log: `append` any number of records, then `sync` once.

    A partly written record is cut off before another may follow it. After a failed sync, truncation or
    rewrite the log is unusable until it is opened and read anew: Linux reports a failed sync once, marks
    what was not written as clean, and lets the next sync succeed without it.
    """

    def __init__(self, directory: Directory, name: str = LOG_NAME) -> None:
        """Open and read; nothing is changed before the first `append` or `rewrite`.

        Raises StoreError or OSError.
        """
        self.directory = directory
        self.name = name
        self.file = directory.open(name)
        try:
            data = self.file.read()
            self.recovered = read_records(data, directory.path(name))
        except BaseException:
            self.file.close()
            raise
        self.size = self.recovered.valid_bytes
        self._partly_written = self.size < len(data)
        self._unsynced = False
        self._unusable = False

    def append(self, body: bytes) -> None:
        """Append a record; after an OSError nothing more may be acknowledged."""
        self._check_usable()
        if self._partly_written:
            self._truncate()
        record = encode_record(body)
        if not self.size:
            record = MAGIC + record
        self._unsynced = True
        self._partly_written = True  # until all of it is written
        try:
            self.file.write(record)
        except OSError:
            self._truncate()
            raise
        self._partly_written = False
        self.size += len(record)

    def sync(self) -> bool:
        """Make all that was appended durable; whether there was anything. Raises OSError."""
        self._check_usable()
        if not self._unsynced:
            return False
        with self._unusable_on_error():
            self.file.sync()
        self._unsynced = False
        return True

    def rewrite(self, bodies: list[bytes]) -> None:
        """Replace the whole log by these records.

        After an OSError the directory holds the old log or the new one; opening it anew tells which.
        """
        self._check_usable()
        content = MAGIC + b"".join(map(encode_record, bodies))
        with self._unusable_on_error():
            self.directory.replace(self.name, content)
            file = self.directory.open(self.name)
            self.file, replaced = file, self.file
            replaced.close()
        self.size = len(content)
        self._unsynced = False
        self._partly_written = False

    def close(self) -> None:
        """Close the file; the log is unusable from then on. Raises OSError."""
        self._unusable = True
        self.file.close()

    def _truncate(self) -> None:
        """Cut off what was partly written; raises OSError."""
        with self._unusable_on_error():
            self.file.truncate(self.size)
        self._partly_written = False

    def _check_usable(self) -> None:
        if self._unusable:
            raise LogUnusableError(
                errno.EIO, "an earlier write or sync failed, the log was not read since", self.name
            )

    @contextlib.contextmanager
    def _unusable_on_error(self) -> Iterator[None]:
        """Mark the log as unusable where what is done here fails."""
        try:
            yield
        except OSError:
            self._unusable = True
            raise
