"""A keeper's log in memory: what follows its snapshot."""

from cedarmill.fleet.agree.messages import Entry, EntryKind, Snapshot


class Log:
    """Entries after a snapshot, by index."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry] | tuple[Entry, ...] = ()) -> None:
        self.snapshot = snapshot
        self.entries = [entry for entry in entries if entry.index > snapshot.index]

    @property
    def first(self) -> int:
        """The index of the first entry that is held."""
        return self.snapshot.index + 1

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index: int) -> int:
        """Of the entry at an index; -1 where it is not known (compacted, or not there yet)."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first <= index <= self.last:
            return -1
        return self.entries[index - self.first].term

    def slice(self, start: int, count: int, size: int) -> tuple[Entry, ...]:
        """Entries from `start` on: at most so many, and so many bytes beside the first."""
        found: list[Entry] = []
        for entry in self.entries[start - self.first : start - self.first + count]:
            size -= len(entry.data)
            if found and size < 0:
                break
            found.append(entry)
        return tuple(found)

    def between(self, after: int, to: int) -> tuple[Entry, ...]:
        """The entries after an index, up to another."""
        return tuple(self.entries[after + 1 - self.first : to + 1 - self.first])

    def put(self, entries: tuple[Entry, ...]) -> None:
        """Replace what stands from the first one's index on."""
        del self.entries[entries[0].index - self.first :]
        self.entries.extend(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop what the snapshot holds."""
        kept = self.entries[max(0, snapshot.index + 1 - self.first) :]
        self.snapshot, self.entries = snapshot, kept

    def config(self) -> tuple[int, bytes | None]:
        """The newest change of the cluster that the log holds, agreed or not: its index and text."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.CONFIG:
                return entry.index, entry.data
        return self.snapshot.index, None
