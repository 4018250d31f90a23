"""The in-memory log of a replica: a snapshot and the entries after the snapshot."""

from collections.abc import Sequence

from cedarmill.cluster.raft.messages import Entry, EntryKind, Snapshot

UNKNOWN_TERM = -1  # term of an index that is compacted or not in the log yet


class Log:
    """The entries after `snapshot`, ordered by index and without gaps."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries = [entry for entry in entries if entry.index > snapshot.index]

    @property
    def first_index(self) -> int:
        """Index of the first entry that is not compacted."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there are no entries."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index: int) -> int:
        """Return the term of the entry at `index`, or UNKNOWN_TERM if compacted or not in the log yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first_index <= index <= self.last_index:
            return UNKNOWN_TERM
        return self.entries[index - self.first_index].term

    def batch_from(self, start: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return a batch of entries that starts at the index `start`.

        The batch has at most `max_entries` entries and `max_bytes` of data, but always includes the first
        entry, whatever its size.
        """
        batch: list[Entry] = []
        remaining_bytes = max_bytes
        offset = start - self.first_index
        for entry in self.entries[offset : offset + max_entries]:
            remaining_bytes -= len(entry.data)
            if batch and remaining_bytes < 0:
                break
            batch.append(entry)
        return tuple(batch)

    def entries_after(self, index: int, last_index: int) -> tuple[Entry, ...]:
        """Return the entries after `index`, up to and including `last_index`."""
        return tuple(self.entries[index + 1 - self.first_index : last_index + 1 - self.first_index])

    def replace_from(self, entries: Sequence[Entry]) -> None:
        """Replace the log from the index of the first of `entries` onwards."""
        del self.entries[entries[0].index - self.first_index :]
        self.entries.extend(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the snapshot and drop the entries that the new snapshot covers."""
        remaining = self.entries[max(0, snapshot.index + 1 - self.first_index) :]
        self.snapshot, self.entries = snapshot, remaining

    def newest_config(self) -> tuple[int, bytes | None]:
        """Return the index and the data of the newest configuration entry, committed or not.

        Return the index of the snapshot and None if the log has no configuration entry.
        """
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.CONFIG:
                return entry.index, entry.data
        return self.snapshot.index, None
