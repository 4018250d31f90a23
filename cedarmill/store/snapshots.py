"""Snapshots of the state machine in LMDB, each with its checksum, and the form of a backup file.

A checksummed snapshot is 8 bytes of XXH3 followed by the snapshot as MessagePack, in LMDB and in a backup.
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
CREATED_BYTES = 2 * mmap.PAGESIZE  # of a database: its two meta pages, which LMDB writes first
MAP_BYTES = 1 << 28  # of address space for LMDB; the file grows as needed
SNAPSHOTS_KEPT = 2
CHECKSUM_BYTES = 8
EMPTY_SNAPSHOT = Snapshot(0, 0, {}, b"")
_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_checksummed(snapshot: Snapshot) -> bytes:
    """A snapshot with its checksum; also the content of a backup file."""
    data = msgspec.msgpack.encode(snapshot)
    return xxhash.xxh3_64_digest(data) + data


def is_intact(data: bytes) -> bool:
    """Whether a checksummed snapshot is complete and undamaged."""
    return len(data) >= CHECKSUM_BYTES and (
        xxhash.xxh3_64_digest(data[CHECKSUM_BYTES:]) == data[:CHECKSUM_BYTES]
    )


def decode_backup(data: bytes) -> Snapshot:
    """The snapshot in a backup file; raises DamagedError, or msgspec.ValidationError for another format."""
    if not is_intact(data):
        raise DamagedError("torn or damaged: the checksum does not fit")
    return _DECODER.decode(data[CHECKSUM_BYTES:])


def discard_unfinished_database(directory: Directory) -> None:
    """Delete a database whose creation was cut short, by a full disk or a kill; raises OSError.

    LMDB would refuse it for ever. Only to be called where the replica's log is not there or empty: the log
    is created after the database, so nothing can have been stored.
    """
    if 0 < directory.size(DATABASE_FILE) < CREATED_BYTES:
        directory.remove(DATABASE_FILE)


class SnapshotDatabase:
    """Snapshots by the index up to which they go. Raises OSError where LMDB fails."""

    def __init__(self, directory: Directory, map_bytes: int = MAP_BYTES) -> None:
        """Open or create it; raises OSError, DamagedError or UnknownFormatError."""
        self.path = directory.path(DATABASE_NAME)
        with self._lmdb_errors(), self._unreadable():
            self._environment = lmdb.open(self.path, map_size=map_bytes, subdir=True, max_dbs=0)

    def write(self, snapshot: Snapshot) -> None:
        """Write a snapshot durably, and delete all but the newest ones; raises OSError."""
        with self._lmdb_errors(), self._environment.begin(write=True) as transaction:
            transaction.put(b"%020d" % snapshot.index, encode_checksummed(snapshot))
            keys = [bytes(key) for key, _ in transaction.cursor()]
            for key in keys[:-SNAPSHOTS_KEPT]:
                transaction.delete(key)

    def read_newest(self) -> Snapshot:
        """The newest undamaged snapshot; an empty one where there is none at all.

        Raises OSError, DamagedError where all are damaged, UnknownFormatError for the newest.
        """
        damaged = 0
        with self._lmdb_errors(), self._unreadable(), self._environment.begin() as transaction:
            for _, data in reversed(list(transaction.cursor())):
                if is_intact(data):
                    return self._decode(data[CHECKSUM_BYTES:])
                damaged += 1
        if damaged:
            raise DamagedError(f"{self.path}: {damaged} snapshots, all damaged")
        return EMPTY_SNAPSHOT

    def _decode(self, data: bytes) -> Snapshot:
        try:
            return _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            raise UnknownFormatError(f"{self.path}: of another format: {error}") from None

    @contextlib.contextmanager
    def _lmdb_errors(self) -> Iterator[None]:
        """LMDB's errors (a full map, or a system call that failed) as OSError."""
        try:
            yield
        except lmdb.Error as error:
            code = getattr(error, "code", 0) or 0  # errno(3) where it is above 0, else one of LMDB's own
            raise OSError(max(code, 0) or errno.EIO, str(error), self.path) from None

    @contextlib.contextmanager
    def _unreadable(self) -> Iterator[None]:
        """LMDB's word that the file is none of its own, or damaged: no later try reads it."""
        try:
            yield
        except lmdb.VersionMismatchError as error:
            raise UnknownFormatError(str(error)) from None
        except (lmdb.InvalidError, lmdb.CorruptedError, lmdb.PageNotFoundError) as error:
            raise DamagedError(str(error)) from None

    def close(self) -> None:
        """Close the database."""
        self._environment.close()
