"""The state that results from applying all records of a replica's log."""

from cedarmill.cluster.raft.messages import Entry
from cedarmill.store.records import DiskIdentity, EntriesRecord, PeerDiskRecord, Record, TermRecord


class LogContent:
    """Accumulates identity, term, vote, entries and peers from records applied in order."""

    def __init__(self) -> None:
        self.identity: DiskIdentity | None = None
        self.term = 0
        self.vote = ""
        self.entries: list[Entry] = []
        self.peer_start_counts: dict[str, int] = {}

    def apply(self, record: Record) -> None:
        """Apply the next record."""
        match record:
            case DiskIdentity():
                self.identity = record
            case TermRecord():
                self.term, self.vote = record.term, record.vote
            case PeerDiskRecord():
                highest_count = self.peer_start_counts.get(record.disk, 0)
                self.peer_start_counts[record.disk] = max(record.start_count, highest_count)
            case EntriesRecord():
                self._replace_from(record.entries)

    def _replace_from(self, entries: tuple[Entry, ...]) -> None:
        while self.entries and self.entries[-1].index >= entries[0].index:
            self.entries.pop()
        self.entries.extend(entries)
