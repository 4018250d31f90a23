"""Snapshots of the state machine in LMDB, and the format of backup files.

In both places a snapshot is stored as 8 bytes of XXH3 checksum followed by the snapshot as MessagePack.
"""

import contextlib
import errno
import mmap
from collections.abc import Iterator

import lmdb
import msgspec
import xxhash

from cedarmill.cluster.raft.messages import Snapshot
from cedarmill.store.errors import DamagedError, UnknownFormatError
from cedarmill.store.files import Directory

DATABASE_NAME = "snapshots"
DATABASE_FILE = f"{DATABASE_NAME}/data.mdb"
META_PAGES_BYTES = 2 * mmap.PAGESIZE  # LMDB writes two meta pages when it creates a database.
LMDB_MAP_BYTES = 1 << 28  # address space reserved for LMDB; the file grows as needed
MAX_STORED_SNAPSHOTS = 2
CHECKSUM_BYTES = 8
EMPTY_SNAPSHOT = Snapshot(0, 0, {}, b"")
_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_checksummed(snapshot: Snapshot) -> bytes:
    """Return a checksum and the encoded snapshot, as stored in LMDB and in a backup file."""
    data = msgspec.msgpack.encode(snapshot)
    return xxhash.xxh3_64_digest(data) + data


def is_intact(data: bytes) -> bool:
    """Return whether the checksum matches the encoded snapshot."""
    return len(data) >= CHECKSUM_BYTES and (
        xxhash.xxh3_64_digest(data[CHECKSUM_BYTES:]) == data[:CHECKSUM_BYTES]
    )


def decode_backup(data: bytes) -> Snapshot:
    """Return the snapshot in a backup file.

    Raises DamagedError on a checksum mismatch, and msgspec.ValidationError if the format is unknown.
    """
    if not is_intact(data):
        raise DamagedError("torn or damaged: checksum mismatch")
    return _DECODER.decode(data[CHECKSUM_BYTES:])


def discard_unfinished_database(directory: Directory) -> None:
    """Delete a database whose creation was interrupted by a full disk or a kill; raise OSError on failure.

    LMDB cannot open such a file. The caller must check that the replica's log is missing or empty: the log
    is created after the database, so in that case nothing has been stored yet.
    """
    if 0 < directory.size(DATABASE_FILE) < META_PAGES_BYTES:
        directory.remove(DATABASE_FILE)


class SnapshotDatabase:
    """An LMDB database of snapshots, keyed by the index of the last entry that each snapshot covers.

    Failures of LMDB raise OSError.
    """

    def __init__(self, directory: Directory, map_bytes: int = LMDB_MAP_BYTES) -> None:
        """Open or create the database; raise OSError, DamagedError or UnknownFormatError on failure."""
        self.path = directory.path(DATABASE_NAME)
        with self._lmdb_error_as_os_error(), self._unreadable_file_as_store_error():
            self._environment = lmdb.open(self.path, map_size=map_bytes, subdir=True, max_dbs=0)

    def write(self, snapshot: Snapshot) -> None:
        """Write a snapshot durably, and delete all but the newest ones; raise OSError on failure."""
        with self._lmdb_error_as_os_error(), self._environment.begin(write=True) as transaction:
            transaction.put(b"%020d" % snapshot.index, encode_checksummed(snapshot))
            keys = [bytes(key) for key, _ in transaction.cursor()]
            for key in keys[:-MAX_STORED_SNAPSHOTS]:
                transaction.delete(key)

    def read_newest(self) -> Snapshot:
        """Return the newest undamaged snapshot, or an empty snapshot if the database is empty.

        Raises DamagedError if all snapshots are damaged, UnknownFormatError if the newest undamaged one
        cannot be decoded, and OSError if LMDB fails.
        """
        damaged_count = 0
        with (
            self._lmdb_error_as_os_error(),
            self._unreadable_file_as_store_error(),
            self._environment.begin() as transaction,
        ):
            for _, data in reversed(list(transaction.cursor())):
                if is_intact(data):
                    return self._decode(data[CHECKSUM_BYTES:])
                damaged_count += 1
        if damaged_count:
            raise DamagedError(f"{self.path}: all {damaged_count} snapshots are damaged")
        return EMPTY_SNAPSHOT

    def _decode(self, data: bytes) -> Snapshot:
        try:
            return _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            raise UnknownFormatError(f"{self.path}: snapshot of an unknown format: {error}") from None

    @contextlib.contextmanager
    def _lmdb_error_as_os_error(self) -> Iterator[None]:
        """Raise OSError in place of an LMDB error, such as a full map or a failed system call."""
        try:
            yield
        except lmdb.Error as error:
            code = getattr(error, "code", 0) or 0  # Positive codes are errno values, others are LMDB's own.
            raise OSError(max(code, 0) or errno.EIO, str(error), self.path) from None

    @contextlib.contextmanager
    def _unreadable_file_as_store_error(self) -> Iterator[None]:
        """Raise a StoreError if LMDB reports an unknown format or damage, which no retry resolves."""
        try:
            yield
        except lmdb.VersionMismatchError as error:
            raise UnknownFormatError(str(error)) from None
        except (lmdb.InvalidError, lmdb.CorruptedError, lmdb.PageNotFoundError) as error:
            raise DamagedError(str(error)) from None

    def close(self) -> None:
        """Close the database."""
        self._environment.close()
