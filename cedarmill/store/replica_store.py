"""A keeper's store: the log file for what is promised, LMDB for snapshots; one sync for all of a turn.

Records: the disk's identity and how often it was started on, the term and vote, entries, a cut by a
snapshot. A snapshot goes into LMDB first, whole and with its checksum; then the log is rewritten without
what it holds. A crash in between leaves both, and the newer snapshot wins.

Each opening writes the log anew, whole, from what was read: after a failed sync the system's memory may hold
what the disk does not, also for the next process, and only what is written and synced again is sure.
"""

import contextlib
import errno
import os
import secrets
from collections.abc import Iterator
from typing import NamedTuple

import lmdb
import msgspec
import xxhash

from cedarmill.fleet.agree.actions import PersistEntries, PersistTermAndVote
from cedarmill.fleet.agree.messages import Entry, Snapshot
from cedarmill.fleet.agree.state import PersistentState
from cedarmill.store.files import Files
from cedarmill.store.log import DiskLog, StoreError

FORMAT = 1
MAP_BYTES = 1 << 28  # of address space for LMDB; the file grows as needed
SNAPSHOTS = 2  # that are held


class Identity(msgspec.Struct, tag="identity", array_like=True):
    """Of the disk: made when it was formatted; `boot` grows with each start."""

    format: int
    cluster: str
    name: str
    disk: str
    boot: int


class Term(msgspec.Struct, tag="term", array_like=True):
    term: int
    vote: str


class Entries(msgspec.Struct, tag="entries", array_like=True):
    """What stood in the log from the first one's index on is replaced."""

    entries: tuple[Entry, ...]


class Met(msgspec.Struct, tag="met", array_like=True):
    """Another keeper's disk, and the highest boot seen of it."""

    disk: str
    boot: int


Record = Identity | Term | Entries | Met
_DECODE = msgspec.msgpack.Decoder(Record)
_SNAPSHOT = msgspec.msgpack.Decoder(Snapshot)
_EMPTY = Snapshot(0, 0, {}, b"")


class Told(NamedTuple):
    """For the operator: what recovery found."""

    torn: int
    damaged: bool


class Persisted(NamedTuple):
    """What a replica may have promised: the term, the vote, and the last entry, all of them synced."""

    term: int
    vote: str
    last_term: int
    last_index: int


class Snapshots:
    """Snapshots in LMDB, by index, each with its checksum. Raises OSError where LMDB fails."""

    def __init__(self, files: Files, map_bytes: int = MAP_BYTES) -> None:
        self.files = files
        with self._lmdb_errors():
            self._env = lmdb.open(files.path("snapshots"), map_size=map_bytes, subdir=True, max_dbs=0)

    def put(self, snapshot: Snapshot) -> None:
        """Keep it, and drop all but the newest; raises OSError."""
        text = msgspec.msgpack.encode(snapshot)
        whole = xxhash.xxh3_64_digest(text) + text
        with self._lmdb_errors(), self._env.begin(write=True) as change:
            change.put(b"%020d" % snapshot.index, whole)
            keys = [bytes(key) for key, _ in change.cursor()]
            for key in keys[:-SNAPSHOTS]:
                change.delete(key)

    def newest(self) -> Snapshot:
        """The newest that is whole; an empty one where there is none. Raises OSError, or StoreError where all
        are damaged or the newest is of another format.
        """
        found = 0
        with self._lmdb_errors(), self._env.begin() as look:
            cursor = look.cursor()
            for _, text in reversed(list(cursor)):
                found += 1
                if xxhash.xxh3_64_digest(text[8:]) == text[:8]:
                    return self._decode(text[8:])
        if found:
            raise StoreError(f"{self.files.path('snapshots')}: {found} snapshots, all damaged")
        return _EMPTY

    def _decode(self, text: bytes) -> Snapshot:
        try:
            return _SNAPSHOT.decode(text)
        except msgspec.MsgspecError as error:
            raise StoreError(f"{self.files.path('snapshots')}: of another format: {error}") from None

    @contextlib.contextmanager
    def _lmdb_errors(self) -> Iterator[None]:
        """LMDB's errors (a full map, or a system call that failed) as OSError."""
        try:
            yield
        except lmdb.Error as error:
            raise OSError(errno.EIO, str(error), self.files.path("snapshots")) from None

    def close(self) -> None:
        self._env.close()


class Store:
    """All that a keeper keeps."""

    def __init__(self, files: Files, cluster: str, name: str, disk: str = "") -> None:
        """Open, recover, and count this start.

        `disk` names a disk to be formatted, and one that holds anything is refused; else a disk that holds
        nothing gets a name by chance. Raises StoreError or OSError, and nothing is left open then.
        """
        self.files = files
        self.met: dict[str, int] = {}
        self.identity: Identity | None = None
        with contextlib.ExitStack() as opened:
            self.snapshots = Snapshots(files)
            opened.callback(self.snapshots.close)
            self.log = DiskLog(files)
            opened.callback(self.log.close)
            self._lock = self._locked()
            opened.callback(os.close, self._lock)
            self._recover()
            self._check_owner(cluster, name, disk)
            self._begin(cluster, name, disk)
            opened.pop_all()

    def _recover(self) -> None:
        """Take up what the disk holds; raises StoreError or OSError."""
        snapshot = self.snapshots.newest()
        term, vote, entries = 0, "", []
        for text in self.log.recovered.records:
            record = self._decode(text)
            if isinstance(record, Identity):
                self.identity = record
            elif isinstance(record, Term):
                term, vote = record.term, record.vote
            elif isinstance(record, Met):
                self.met[record.disk] = max(record.boot, self.met.get(record.disk, 0))
            else:
                self._lay(entries, record.entries)
        self.told = Told(self.log.recovered.torn, self.log.recovered.damaged)
        self.fresh = self.identity is None
        rest = [entry for entry in entries if entry.index > snapshot.index]
        if rest and rest[0].index != snapshot.index + 1:
            raise StoreError(
                f"{self.files.path('log')}: begins at {rest[0].index}, the snapshot ends at {snapshot.index}"
            )
        doubtful = self.told.damaged or self.fresh
        if snapshot.term > term:
            term, vote = snapshot.term, ""
        self.saved = PersistentState(term, vote, snapshot, tuple(rest), doubtful)
        self._term = term, vote
        last = rest[-1] if rest else snapshot
        self._last = last.term, last.index

    def _decode(self, text: bytes) -> Record:
        try:
            return _DECODE.decode(text)
        except msgspec.MsgspecError as error:
            raise StoreError(f"{self.files.path('log')}: a record of another format: {error}") from None

    @staticmethod
    def _lay(entries: list[Entry], new: tuple[Entry, ...]) -> None:
        while entries and entries[-1].index >= new[0].index:
            entries.pop()
        entries.extend(new)

    def _check_owner(self, cluster: str, name: str, disk: str) -> None:
        """Raise StoreError for another replica's disk, a newer format, and for formatting a disk in use."""
        before = self.identity
        if before is None:
            return
        if (before.cluster, before.name) != (cluster, name):
            raise StoreError(f"{self.files.folder}: of keeper {before.name} of cluster {before.cluster}")
        if before.format > FORMAT:
            raise StoreError(
                f"{self.files.folder}: format {before.format}, this program reads up to {FORMAT}"
            )
        half_formatted = before.disk == disk and not self._term[0] and not self._last[1]
        if disk and not half_formatted:
            raise StoreError(f"{self.files.folder}: holds the disk {before.disk} already")

    def _locked(self) -> int:
        """The folder's lock; raises StoreError where another process has it, or OSError."""
        try:
            return self.files.lock()
        except BlockingIOError:
            self._recover()
            held = self.identity.disk if self.identity is not None else "of another process"
            raise StoreError(
                f"{self.files.folder}: holds the disk {held} already, and it is in use"
            ) from None

    def _begin(self, cluster: str, name: str, disk: str) -> None:
        """Write anew all that was recovered, with this start's identity; raises OSError."""
        before = self.identity
        disk = before.disk if before is not None else disk or secrets.token_hex(6)
        self.identity = Identity(FORMAT, cluster, name, disk, before.boot + 1 if before is not None else 1)
        self._rewrite(self.saved.entries)

    def _rewrite(self, entries: tuple[Entry, ...]) -> None:
        """The log anew: the identity, the term and vote, the disks met, and these entries; raises OSError."""
        records: list[Record] = [self.identity, Term(*self._term)]
        records += [Met(disk, boot) for disk, boot in self.met.items()]
        if entries:
            records.append(Entries(entries))
        self.log.rewrite([msgspec.msgpack.encode(record) for record in records])
        self.persisted = Persisted(*self._term, *self._last)

    def _add(self, record: Record) -> None:
        self.log.add(msgspec.msgpack.encode(record))

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Take what is to be kept; it is after `sync`. Raises OSError."""
        if isinstance(action, PersistTermAndVote):
            self._add(Term(action.term, action.vote))
            self._term = action.term, action.vote
        else:
            self._add(Entries(action.entries))
            self._last = action.entries[-1].term, action.entries[-1].index

    def meet(self, disk: str, boot: int) -> bool:
        """Another keeper's disk says hello; False: it was seen with a later start, so this is an old copy.

        Raises OSError.
        """
        known = self.met.get(disk, 0)
        if boot < known:
            return False
        if boot > known:
            self._add(Met(disk, boot))
            self.met[disk] = boot
        return True

    def sync(self) -> bool:
        """All that was taken is on the disk; raises OSError, and nothing more may be promised then."""
        synced = self.log.sync()
        self.persisted = Persisted(*self._term, *self._last)
        return synced

    def lacks(self, promised: Persisted) -> bool:
        """Whether this disk, as it was read, may have lost something that was synced before."""
        term, vote, last_term, last_index = self.persisted
        forgot_vote = term == promised.term and promised.vote not in ("", vote)
        forgot_entries = (last_term, last_index) < (promised.last_term, promised.last_index)
        return term < promised.term or forgot_vote or forgot_entries

    def put_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Keep a snapshot, then the log without what it holds; raises OSError."""
        self.snapshots.put(snapshot)
        last = entries[-1] if entries else snapshot
        self._last = last.term, last.index
        self._rewrite(tuple(entries))

    def close(self) -> None:
        """Give all back; what was not synced may be lost."""
        with contextlib.suppress(OSError):
            self.log.close()
        self.snapshots.close()
        if self._lock >= 0:
            number, self._lock = self._lock, -1
            os.close(number)


def restore(text: bytes) -> Snapshot:
    """A snapshot from a file written by `backup`; raises StoreError."""
    if len(text) < 8 or xxhash.xxh3_64_digest(text[8:]) != text[:8]:
        raise StoreError("torn or damaged: the checksum does not fit")
    return _SNAPSHOT.decode(text[8:])


def backup(snapshot: Snapshot) -> bytes:
    """A snapshot as a file."""
    text = msgspec.msgpack.encode(snapshot)
    return xxhash.xxh3_64_digest(text) + text


def write_file(path: str, text: bytes) -> None:
    """Whole or not at all; raises OSError."""
    folder, name = os.path.split(os.path.abspath(path))
    Files(folder).replace(name, text)
