"""A replica's simulated disk: what is synced outlives a kill; what is not, may be lost whole or in part."""

from cedarmill.cluster.raft.actions import PersistEntries, PersistTermAndVote
from cedarmill.cluster.raft.messages import Entry, Snapshot
from cedarmill.cluster.raft.state import PersistentState

Persist = PersistTermAndVote | PersistEntries


class Disk:
    """The persistent state of one replica, and what is written but not synced."""

    def __init__(self, saved: PersistentState) -> None:
        self.saved = saved
        self.unsynced: list[Persist] = []

    def save(self, action: Persist) -> None:
        """Write; it is kept after `sync`."""
        self.unsynced.append(action)

    def sync(self) -> bool:
        """Keep all that was written; whether there was anything."""
        if not self.unsynced:
            return False
        for action in self.unsynced:
            self._keep(action)
        self.unsynced = []
        return True

    def _keep(self, action: Persist) -> None:
        saved = self.saved
        if isinstance(action, PersistTermAndVote):
            self.saved = PersistentState(action.term, action.voted_for, saved.snapshot, saved.entries)
        else:
            first = action.entries[0].index
            older = tuple(entry for entry in saved.entries if entry.index < first)
            self.saved = PersistentState(saved.term, saved.voted_for, saved.snapshot, older + action.entries)

    def put_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Keep a snapshot and the entries after it, with all that was written before."""
        self.sync()
        self.saved = PersistentState(self.saved.term, self.saved.voted_for, snapshot, tuple(entries))

    def load(self) -> PersistentState:
        """What a process finds that starts now; what was not synced is gone."""
        self.unsynced = []
        saved = self.saved
        entries = tuple(entry for entry in saved.entries if entry.index > saved.snapshot.index)
        return PersistentState(saved.term, saved.voted_for, saved.snapshot, entries, saved.needs_catch_up)
