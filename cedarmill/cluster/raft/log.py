"""A replica's log in memory: a snapshot, and the entries that follow it."""

from collections.abc import Sequence

from cedarmill.cluster.raft.messages import Entry, EntryKind, Snapshot

UNKNOWN_TERM = -1  # of an index that is compacted, or not in the log yet; no entry has it


class Log:
    """The entries after `snapshot`, in the order of their indexes and without gaps."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries = [entry for entry in entries if entry.index > snapshot.index]

    @property
    def first_index(self) -> int:
        """The index of the first entry that is not compacted."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot where no entry follows it."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index: int) -> int:
        """The term of the entry at `index`; UNKNOWN_TERM where it is compacted or not in the log yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first_index <= index <= self.last_index:
            return UNKNOWN_TERM
        return self.entries[index - self.first_index].term

    def batch_from(self, start: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Entries from the index `start` on, at most so many; only the first may exceed `max_bytes`."""
        batch: list[Entry] = []
        bytes_left = max_bytes
        offset = start - self.first_index
        for entry in self.entries[offset : offset + max_entries]:
            bytes_left -= len(entry.data)
            if batch and bytes_left < 0:
                break
            batch.append(entry)
        return tuple(batch)

    def entries_after(self, index: int, last: int) -> tuple[Entry, ...]:
        """The entries that follow `index`, up to and with the one at `last`."""
        return tuple(self.entries[index + 1 - self.first_index : last + 1 - self.first_index])

    def replace_from(self, entries: Sequence[Entry]) -> None:
        """Put entries in place of all that the log holds from the first one's index on."""
        del self.entries[entries[0].index - self.first_index :]
        self.entries.extend(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop the entries that the snapshot covers."""
        remaining = self.entries[max(0, snapshot.index + 1 - self.first_index) :]
        self.snapshot, self.entries = snapshot, remaining

    def newest_config(self) -> tuple[int, bytes | None]:
        """The newest configuration entry, committed or not: its index and its data.

        Without one: the snapshot's index, and None.
        """
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.CONFIG:
                return entry.index, entry.data
        return self.snapshot.index, None
