"""A replica's store: a log file for what it acknowledges, LMDB for snapshots; one sync for many records.

A snapshot is first written to LMDB, complete and with its checksum; then the log is rewritten without what
the snapshot covers. A crash in between leaves both, and the newer snapshot wins.

Each opening rewrites the whole log from what was read: after a failed sync the page cache may hold what the
disk does not, also for the next process, and only what is written and synced again is certain.
"""

import contextlib
import secrets
from typing import NamedTuple

from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote
from cedarmill.cluster.raft.messages import Entry, Snapshot
from cedarmill.cluster.raft.state import PersistentState
from cedarmill.store import records
from cedarmill.store.errors import DamagedError, DiskInUseError, ForeignDiskError, UnknownFormatError
from cedarmill.store.files import Directory, DirectoryLock
from cedarmill.store.log import LOG_NAME, LogFile
from cedarmill.store.records import (
    FORMAT_VERSION,
    DiskIdentity,
    EntriesRecord,
    PeerDiskRecord,
    Record,
    TermRecord,
)
from cedarmill.store.snapshots import SnapshotDatabase, discard_unfinished_database

RANDOM_NAME_BYTES = 6  # of a disk that is not named by its caller
DOUBT_NAME = "needs-catch-up"  # the file that is there from a doubt until the replica was brought up to date
EMPTY_DISK = "its disk is empty"
DAMAGED_RECORD = "its last record is damaged"
LOST_RECORDS = "its disk has lost what was synced"


class RecoveryReport(NamedTuple):
    """What an operator should know of the recovery."""

    torn_bytes: int
    last_record_damaged: bool


class AcknowledgedState(NamedTuple):
    """What a replica may have acknowledged: term, vote and last entry, all of them synced."""

    term: int
    vote: str
    last_term: int
    last_index: int


class _LogContent:
    """What the log's records amount to, read one after the other."""

    def __init__(self) -> None:
        self.identity: DiskIdentity | None = None
        self.term = 0
        self.vote = ""
        self.entries: list[Entry] = []
        self.peer_start_counts: dict[str, int] = {}

    def apply(self, record: Record) -> None:
        """Read the next record."""
        match record:
            case DiskIdentity():
                self.identity = record
            case TermRecord():
                self.term, self.vote = record.term, record.vote
            case PeerDiskRecord():
                known = self.peer_start_counts.get(record.disk, 0)
                self.peer_start_counts[record.disk] = max(record.start_count, known)
            case EntriesRecord():
                self._replace_from(record.entries)

    def _replace_from(self, entries: tuple[Entry, ...]) -> None:
        while self.entries and self.entries[-1].index >= entries[0].index:
            self.entries.pop()
        self.entries.extend(entries)


class ReplicaStore:
    """The disk of one replica, locked for this process.

    `persistent_state` is what the replica starts from, `identity` the disk's, with this start counted.
    `doubt` says why the disk may lack what the replica had acknowledged; empty: it lacks nothing.
    """

    def __init__(
        self,
        directory: Directory,
        cluster: str,
        replica: str,
        new_disk: str = "",
        acknowledged: AcknowledgedState | None = None,
    ) -> None:
        """Open the store, recover its content, and count this start.

        `new_disk` names a disk to be formatted, and a directory that holds another one is refused; without
        it an empty directory gets a disk with a random name. `acknowledged` is what this process has
        acknowledged on this disk before. Raises StoreError or OSError, and nothing is left open then.
        """
        self.directory = directory
        with contextlib.ExitStack() as opened:
            if not directory.size(LOG_NAME):
                discard_unfinished_database(directory)
            self.snapshots = SnapshotDatabase(directory)
            opened.callback(self.snapshots.close)
            self.log = LogFile(directory)
            opened.callback(self.log.close)
            self._lock = opened.enter_context(self._locked())
            self._recover()
            self._check_owner(cluster, replica, new_disk)
            self._keep_doubt(new_disk, acknowledged)
            self._start(cluster, replica, new_disk)
            opened.pop_all()

    def _locked(self) -> DirectoryLock:
        """The directory's lock; raises DiskInUseError where another process holds it, or OSError."""
        try:
            return self.directory.lock()
        except BlockingIOError:
            identity = self._read_log().identity
            disk = identity.disk if identity is not None else "of another process"
            raise DiskInUseError(
                f"{self.directory.root}: holds the disk {disk} already, and it is in use"
            ) from None

    # Recovery.

    def _read_log(self) -> _LogContent:
        """Decode the log's records; raises UnknownFormatError."""
        content = _LogContent()
        path = self.directory.path(LOG_NAME)
        for body in self.log.recovered.records:
            content.apply(records.decode(body, path))
        return content

    def _recover(self) -> None:
        """Combine the newest snapshot with the log; raises StoreError or OSError."""
        snapshot = self.snapshots.read_newest()
        content = self._read_log()
        entries = self._entries_after(snapshot, content.entries)
        found = self.log.recovered
        self.recovery = RecoveryReport(found.torn_bytes, found.last_record_damaged)
        self._found_identity = content.identity
        self.was_empty = content.identity is None
        self.peer_start_counts = content.peer_start_counts
        term, vote = content.term, content.vote
        if snapshot.term > term:
            term, vote = snapshot.term, ""
        self.persistent_state = PersistentState(term, vote, snapshot, entries)
        self._term_and_vote = term, vote
        last = entries[-1] if entries else snapshot
        self._last_entry = last.term, last.index

    def _entries_after(self, snapshot: Snapshot, entries: list[Entry]) -> tuple[Entry, ...]:
        """The entries that the snapshot does not cover; raises DamagedError where some are missing."""
        rest = tuple(entry for entry in entries if entry.index > snapshot.index)
        if rest and rest[0].index != snapshot.index + 1:
            raise DamagedError(
                f"{self.directory.path(LOG_NAME)}: begins at {rest[0].index},"
                f" the snapshot ends at {snapshot.index}"
            )
        return rest

    def _check_owner(self, cluster: str, replica: str, new_disk: str) -> None:
        """Refuse another replica's disk, a newer format, and formatting a disk in use."""
        found = self._found_identity
        if found is None:
            return
        root = self.directory.root
        if (found.cluster, found.replica) != (cluster, replica):
            raise ForeignDiskError(f"{root}: of keeper {found.replica} of cluster {found.cluster}")
        if found.format_version > FORMAT_VERSION:
            raise UnknownFormatError(
                f"{root}: format {found.format_version}, this program reads up to {FORMAT_VERSION}"
            )
        has_state = self._term_and_vote[0] or self._last_entry[1]
        formatting_interrupted = found.disk == new_disk and not has_state
        if new_disk and not formatting_interrupted:
            raise DiskInUseError(f"{root}: holds the disk {found.disk} already")

    def _keep_doubt(self, new_disk: str, acknowledged: AcknowledgedState | None) -> None:
        """Find out whether the disk may lack something, and keep that before the log is rewritten.

        The rewritten log shows no damage any longer; a restart before the replica has caught up has to know.
        Raises OSError.
        """
        self.doubt = ""
        if self.was_empty and new_disk:  # to be formatted: it has promised nothing
            self.directory.remove(DOUBT_NAME)
        elif self.directory.exists(DOUBT_NAME):
            self.doubt = self.directory.read(DOUBT_NAME).decode(errors="replace")
        elif reason := self._find_doubt(acknowledged):
            self.directory.replace(DOUBT_NAME, reason.encode())
            self.doubt = reason
        self.persistent_state.needs_catch_up = bool(self.doubt)

    def _find_doubt(self, acknowledged: AcknowledgedState | None) -> str:
        """Why the disk as it was read may lack something; empty: it does not."""
        if self.recovery.last_record_damaged:
            return DAMAGED_RECORD
        if self.was_empty:
            return EMPTY_DISK
        return LOST_RECORDS if acknowledged is not None and self._may_lack(acknowledged) else ""

    def _start(self, cluster: str, replica: str, new_disk: str) -> None:
        """Write all that was recovered anew, with this start counted; raises OSError."""
        found = self._found_identity
        if found is None:
            disk = new_disk or secrets.token_hex(RANDOM_NAME_BYTES)
            self.identity = DiskIdentity(FORMAT_VERSION, cluster, replica, disk, start_count=1)
        else:
            self.identity = DiskIdentity(FORMAT_VERSION, cluster, replica, found.disk, found.start_count + 1)
        self._rewrite_log(self.persistent_state.entries)

    # Writing.

    def _rewrite_log(self, entries: tuple[Entry, ...]) -> None:
        """Replace the log by the present identity, term, vote, peers and these entries; raises OSError."""
        content: list[Record] = [self.identity, TermRecord(*self._term_and_vote)]
        content += [PeerDiskRecord(disk, count) for disk, count in self.peer_start_counts.items()]
        if entries:
            content.append(EntriesRecord(entries))
        self.log.rewrite([records.encode(record) for record in content])
        self._acknowledge()

    def _acknowledge(self) -> None:
        self.acknowledged = AcknowledgedState(*self._term_and_vote, *self._last_entry)

    def append(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Append to the log; durable after `sync`. Raises OSError."""
        if isinstance(action, PersistTermAndVote):
            self.log.append(records.encode(TermRecord(action.term, action.vote)))
            self._term_and_vote = action.term, action.vote
        else:
            self.log.append(records.encode(EntriesRecord(action.entries)))
            self._last_entry = action.entries[-1].term, action.entries[-1].index

    def record_peer_start(self, disk: str, start_count: int) -> bool:
        """Note the start count that another replica's disk shows; raises OSError.

        False: the disk has shown a higher one before, so this is an old copy of it.
        """
        known = self.peer_start_counts.get(disk, 0)
        if start_count < known:
            return False
        if start_count > known:
            self.log.append(records.encode(PeerDiskRecord(disk, start_count)))
            self.peer_start_counts[disk] = start_count
        return True

    def sync(self) -> bool:
        """Make durable what was appended; whether there was anything.

        After an OSError nothing more may be acknowledged until the store is opened anew.
        """
        synced = self.log.sync()
        self._acknowledge()
        return synced

    def write_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Write a snapshot, then the log with only the entries after it; raises OSError."""
        self.snapshots.write(snapshot)
        last = entries[-1] if entries else snapshot
        self._last_entry = last.term, last.index
        self._rewrite_log(tuple(entries))

    def end_doubt(self) -> None:
        """The replica was brought up to date, and that is synced; raises OSError."""
        if self.doubt:
            self.directory.remove(DOUBT_NAME)
            self.doubt = ""

    def _may_lack(self, acknowledged: AcknowledgedState) -> bool:
        """Whether the disk as it was read may have lost something that was synced before."""
        term, vote = self._term_and_vote
        vote_lost = term == acknowledged.term and acknowledged.vote not in ("", vote)
        entries_lost = self._last_entry < (acknowledged.last_term, acknowledged.last_index)
        return term < acknowledged.term or vote_lost or entries_lost

    def close(self) -> None:
        """Close all files and release the lock; what was not synced may be lost. Raises OSError."""
        with contextlib.suppress(OSError):
            self.log.close()
        self.snapshots.close()
        self._lock.close()
