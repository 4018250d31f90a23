"""The log file: a sequence of records, each with its length and checksum.

Callers append several records and then sync once (group commit).

An incomplete record at the end of the file is a torn write: it was never synced, so nothing depends on it,
and it is cut off. A complete record with a wrong checksum was damaged after it was written. If more data
follows, reading the file fails. At the end of the file the record is cut off and the replica needs to catch
up, because it may have acknowledged the lost record.
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
RECORD_HEADER = struct.Struct(">IQ")  # length of the body in bytes, XXH3 checksum of the body
MAX_BODY_BYTES = 64 * 1024 * 1024
# A search for valid records in damaged data ignores shorter bodies.
MIN_SEARCHED_BODY_BYTES = 4


class RecoveredLog(NamedTuple):
    """The result of reading a log file."""

    records: list[bytes]
    last_record_damaged: bool
    torn_bytes: int  # bytes after the last valid record
    valid_bytes: int  # bytes up to the end of the last valid record


def encode_record(body: bytes) -> bytes:
    """Return a record as written to the file: header and body."""
    return RECORD_HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def read_records(data: bytes, path: str) -> RecoveredLog:
    """Parse the content of the log file at `path`; raise UnknownFormatError or DamagedError."""
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return RecoveredLog([], False, len(data), 0)  # The first write was torn within the magic bytes.
        raise UnknownFormatError(f"{path}: no log of this program, or a newer format: {data[:16]!r}")
    position = len(MAGIC)
    records: list[bytes] = []
    while position < len(data):
        if position + RECORD_HEADER.size > len(data):
            return RecoveredLog(records, False, len(data) - position, position)
        length, checksum = RECORD_HEADER.unpack_from(data, position)
        start = position + RECORD_HEADER.size
        end = start + length
        if length > MAX_BODY_BYTES or end > len(data):
            if _has_valid_record(data, position + 1):
                raise DamagedError(
                    f"{path}: damaged at byte {position}: invalid record length, followed by valid records"
                )
            return RecoveredLog(records, False, len(data) - position, position)
        body = data[start:end]
        if xxhash.xxh3_64_intdigest(body) != checksum:
            if end < len(data):
                raise DamagedError(
                    f"{path}: damaged at byte {position}: checksum mismatch in a record before the last"
                )
            return RecoveredLog(records, True, len(data) - position, position)
        records.append(body)
        position = end
    return RecoveredLog(records, False, 0, position)


def _has_valid_record(data: bytes, offset: int) -> bool:
    """Return whether a valid record starts at `offset` or later, which rules out a torn write before it."""
    for position in range(offset, max(offset, len(data) - RECORD_HEADER.size)):
        length, checksum = RECORD_HEADER.unpack_from(data, position)
        start = position + RECORD_HEADER.size
        end = start + length
        is_complete = length >= MIN_SEARCHED_BODY_BYTES and end <= len(data)
        if is_complete and xxhash.xxh3_64_intdigest(data[start:end]) == checksum:
            return True
    return False


class LogFile:
    """An open log file: callers `append` any number of records, then `sync` once.

    A partly written record is cut off before the next record is appended. After a failed sync, truncation or
    rewrite the log is unusable until it is reopened: Linux reports a failed sync only once and marks the
    unwritten pages as clean, so the next sync succeeds although the data is not on disk.
    """

    def __init__(self, directory: Directory, name: str = LOG_NAME) -> None:
        """Open and read the log; raise StoreError or OSError on failure.

        The file's content is unchanged until the first `append` or `rewrite`.
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
        """Append a record; after an OSError the caller must not acknowledge anything more."""
        self._check_usable()
        if self._partly_written:
            self._truncate()
        record = encode_record(body)
        if not self.size:
            record = MAGIC + record
        self._unsynced = True
        self._partly_written = True
        try:
            self.file.write(record)
        except OSError:
            self._truncate()
            raise
        self._partly_written = False
        self.size += len(record)

    def sync(self) -> bool:
        """Make all appended records durable, and return whether there were any; raise OSError on failure."""
        self._check_usable()
        if not self._unsynced:
            return False
        with self._unusable_on_error():
            self.file.sync()
        self._unsynced = False
        return True

    def rewrite(self, bodies: list[bytes]) -> None:
        """Replace all records of the log by the given ones.

        After an OSError the directory holds either the old or the new log, and the log must be reopened.
        """
        self._check_usable()
        content = MAGIC + b"".join(map(encode_record, bodies))
        with self._unusable_on_error():
            self.directory.replace(self.name, content)
            new_file = self.directory.open(self.name)
            self.file, old_file = new_file, self.file
            old_file.close()
        self.size = len(content)
        self._unsynced = False
        self._partly_written = False

    def close(self) -> None:
        """Close the file and make the log unusable; raise OSError on failure."""
        self._unusable = True
        self.file.close()

    def _truncate(self) -> None:
        """Cut off a partly written record; raise OSError on failure."""
        with self._unusable_on_error():
            self.file.truncate(self.size)
        self._partly_written = False

    def _check_usable(self) -> None:
        if self._unusable:
            raise LogUnusableError(
                errno.EIO, "the log must be reopened after a failed write or sync", self.name
            )

    @contextlib.contextmanager
    def _unusable_on_error(self) -> Iterator[None]:
        """Mark the log as unusable if the block raises OSError."""
        try:
            yield
        except OSError:
            self._unusable = True
            raise
