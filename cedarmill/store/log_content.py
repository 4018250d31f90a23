"""What the records of a replica's log amount to."""

from cedarmill.cluster.raft.messages import Entry
from cedarmill.store.records import DiskIdentity, EntriesRecord, PeerDiskRecord, Record, TermRecord


class LogContent:
    """The records that were applied, one after the other."""

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
