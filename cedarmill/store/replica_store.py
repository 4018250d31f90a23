"""A replica's store: a log file for acknowledged state, and an LMDB database for snapshots.

A snapshot is first written to LMDB with its checksum; then the log is rewritten without the entries that the
snapshot covers. After a crash between the two steps, recovery skips the entries that the snapshot covers.

Each opening rewrites the whole log from the records read. After a failed sync the page cache, which the next
process also reads, may hold data that is not on disk; only a new write and sync make that data durable.
"""

import contextlib
import secrets
from typing import NamedTuple

from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote
from cedarmill.cluster.raft.messages import Entry, Snapshot
from cedarmill.cluster.raft.state import PersistentState
from cedarmill.store import catch_up, records
from cedarmill.store.catch_up import AcknowledgedState
from cedarmill.store.errors import DamagedError, DiskInUseError, ForeignDiskError, UnknownFormatError
from cedarmill.store.files import Directory, DirectoryLock
from cedarmill.store.log import LOG_NAME, LogFile
from cedarmill.store.log_content import LogContent
from cedarmill.store.records import (
    FORMAT_VERSION,
    DiskIdentity,
    EntriesRecord,
    PeerDiskRecord,
    Record,
    TermRecord,
)
from cedarmill.store.snapshots import SnapshotDatabase, discard_unfinished_database

RANDOM_DISK_NAME_BYTES = 6


class RecoveryReport(NamedTuple):
    """Findings of the log's recovery, for the operator."""

    torn_bytes: int
    last_record_damaged: bool


class ReplicaStore:
    """The disk of one replica, locked for this process.

    `persistent_state` is the recovered Raft state. `identity` identifies the disk and includes this start in
    its count. `catch_up_reason` says why the disk may lack acknowledged state; it is "" if it lacks none.
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

        `new_disk` names a disk to format, which fails if the directory already holds one; by default an
        empty directory gets a disk with a random name. `acknowledged` is the state that this process has
        acknowledged from this disk before. Raises StoreError or OSError after closing all opened files.
        """
        self.directory = directory
        with contextlib.ExitStack() as cleanup:
            if not directory.size(LOG_NAME):
                discard_unfinished_database(directory)
            self.snapshots = SnapshotDatabase(directory)
            cleanup.callback(self.snapshots.close)
            self.log = LogFile(directory)
            cleanup.callback(self.log.close)
            self._lock = cleanup.enter_context(self._lock_directory())
            self._recover()
            self._check_owner(cluster, replica, new_disk)
            self._check_catch_up(new_disk, acknowledged)
            self._write_recovered_state(cluster, replica, new_disk)
            cleanup.pop_all()

    def _lock_directory(self) -> DirectoryLock:
        """Lock the directory; raise DiskInUseError if another process holds the lock, or OSError."""
        try:
            return self.directory.lock()
        except BlockingIOError:
            identity = self._read_log().identity
            disk = identity.disk if identity is not None else "of another process"
            raise DiskInUseError(
                f"{self.directory.root}: holds the disk {disk} already, and another process has locked it"
            ) from None

    def _read_log(self) -> LogContent:
        """Decode the log's records; raise UnknownFormatError if one is invalid."""
        content = LogContent()
        path = self.directory.path(LOG_NAME)
        for body in self.log.recovered.records:
            content.apply(records.decode(body, path))
        return content

    def _recover(self) -> None:
        """Combine the newest snapshot with the log; raise StoreError or OSError on failure."""
        snapshot = self.snapshots.read_newest()
        content = self._read_log()
        entries = self._entries_after(snapshot, content.entries)
        recovered_log = self.log.recovered
        self.recovery = RecoveryReport(recovered_log.torn_bytes, recovered_log.last_record_damaged)
        self._recovered_identity = content.identity
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
        """Return the entries that follow the snapshot; raise DamagedError if there is a gap between them."""
        remaining = tuple(entry for entry in entries if entry.index > snapshot.index)
        if remaining and remaining[0].index != snapshot.index + 1:
            raise DamagedError(
                f"{self.directory.path(LOG_NAME)}: the first entry is {remaining[0].index},"
                f" but the snapshot ends at {snapshot.index}"
            )
        return remaining

    def _check_owner(self, cluster: str, replica: str, new_disk: str) -> None:
        """Raise a StoreError for a foreign disk, a newer format, or formatting a disk in use."""
        identity = self._recovered_identity
        if identity is None:
            return
        root = self.directory.root
        if (identity.cluster, identity.replica) != (cluster, replica):
            raise ForeignDiskError(
                f"{root}: belongs to replica {identity.replica} of cluster {identity.cluster}"
            )
        if identity.format_version > FORMAT_VERSION:
            raise UnknownFormatError(
                f"{root}: unsupported format {identity.format_version}, the newest is {FORMAT_VERSION}"
            )
        has_state = self._term_and_vote[0] or self._last_entry[1]
        formatting_interrupted = identity.disk == new_disk and not has_state
        if new_disk and not formatting_interrupted:
            raise DiskInUseError(f"{root}: holds the disk {identity.disk} already")

    def _check_catch_up(self, new_disk: str, acknowledged: AcknowledgedState | None) -> None:
        """Detect lost state, and mark it durably before the log is rewritten; raise OSError on failure."""
        self.catch_up_reason = ""
        if self.was_empty and new_disk:  # A disk to be formatted has acknowledged nothing.
            catch_up.remove_marker(self.directory)
            return
        self.catch_up_reason = catch_up.read_reason(self.directory)
        if not self.catch_up_reason and (reason := self._detect_loss(acknowledged)):
            catch_up.write_marker(self.directory, reason)
            self.catch_up_reason = reason
        self.persistent_state.needs_catch_up = bool(self.catch_up_reason)

    def _detect_loss(self, acknowledged: AcknowledgedState | None) -> str:
        """Return the reason why the recovered state may lack acknowledged state, or "" if it lacks none."""
        if self.recovery.last_record_damaged:
            return catch_up.DAMAGED_RECORD
        if self.was_empty:
            return catch_up.EMPTY_DISK
        found = AcknowledgedState(*self._term_and_vote, *self._last_entry)
        return catch_up.LOST_RECORDS if acknowledged is not None and acknowledged.may_exceed(found) else ""

    def _write_recovered_state(self, cluster: str, replica: str, new_disk: str) -> None:
        """Rewrite the log with the recovered state and the next start count; raise OSError on failure."""
        recovered = self._recovered_identity
        if recovered is None:
            disk = new_disk or secrets.token_hex(RANDOM_DISK_NAME_BYTES)
            self.identity = DiskIdentity(FORMAT_VERSION, cluster, replica, disk, start_count=1)
        else:
            self.identity = DiskIdentity(
                FORMAT_VERSION, cluster, replica, recovered.disk, recovered.start_count + 1
            )
        self._rewrite_log(self.persistent_state.entries)

    def _rewrite_log(self, entries: tuple[Entry, ...]) -> None:
        """Rewrite the log with the current identity, term, vote, peers and `entries`, or raise OSError."""
        content: list[Record] = [self.identity, TermRecord(*self._term_and_vote)]
        content += [PeerDiskRecord(disk, count) for disk, count in self.peer_start_counts.items()]
        if entries:
            content.append(EntriesRecord(entries))
        self.log.rewrite([records.encode(record) for record in content])
        self._update_acknowledged()

    def _update_acknowledged(self) -> None:
        self.acknowledged = AcknowledgedState(*self._term_and_vote, *self._last_entry)

    def append(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Append a term with its vote, or entries, which `sync` makes durable; raise OSError on failure."""
        if isinstance(action, PersistTermAndVote):
            self.log.append(records.encode(TermRecord(action.term, action.voted_for)))
            self._term_and_vote = action.term, action.voted_for
        else:
            self.log.append(records.encode(EntriesRecord(action.entries)))
            self._last_entry = action.entries[-1].term, action.entries[-1].index

    def record_peer_start(self, disk: str, start_count: int) -> bool:
        """Record the start count that another replica's disk reports; raise OSError on failure.

        Returns False if the disk has reported a higher count before and is therefore an old copy.
        """
        highest_count = self.peer_start_counts.get(disk, 0)
        if start_count < highest_count:
            return False
        if start_count > highest_count:
            self.log.append(records.encode(PeerDiskRecord(disk, start_count)))
            self.peer_start_counts[disk] = start_count
        return True

    def sync(self) -> bool:
        """Make all appended records durable, and return whether there were any.

        After an OSError the replica must not acknowledge anything more until the store is reopened.
        """
        synced = self.log.sync()
        self._update_acknowledged()
        return synced

    def write_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Write a snapshot, then rewrite the log with only `entries`; raise OSError on failure."""
        self.snapshots.write(snapshot)
        last = entries[-1] if entries else snapshot
        self._last_entry = last.term, last.index
        self._rewrite_log(tuple(entries))

    def complete_catch_up(self) -> None:
        """Record durably that the replica has caught up and synced its state; raise OSError on failure."""
        if self.catch_up_reason:
            catch_up.remove_marker(self.directory)
            self.catch_up_reason = ""

    def close(self) -> None:
        """Close all files and release the lock; unsynced records may be lost. Raises OSError on failure."""
        with contextlib.suppress(OSError):
            self.log.close()
        self.snapshots.close()
        self._lock.close()
