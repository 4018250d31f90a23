"""Carries a replica's actions out in their order, whatever the disk and the network are; no I/O of its own.

All that came in a turn is kept by one sync, and nothing is sent or answered before it.
"""

from typing import Protocol

from cedarmill.cluster.raft.actions import (
    PersistEntries,
    PersistTermAndVote,
    RaiseAlarm,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
)
from cedarmill.cluster.raft.messages import Entry, Snapshot
from cedarmill.cluster.replica import Actions, Replica, StoreSnapshot
from cedarmill.cluster.request_router import Reply


class Port(Protocol):
    """A disk, a network, and a log for operators."""

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Append to the disk; it is kept after `sync`. Raises OSError."""

    def sync(self) -> bool:
        """Keep all that was saved; whether there was anything. Raises OSError."""

    def put_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Keep a snapshot and the entries after it. Raises OSError."""

    def send(self, target: str, message: object) -> None:
        """Send to another replica, if it is connected."""

    def reply(self, token: int, answer: object) -> None:
        """Answer a request of a member or an operator."""

    def tell(self, action: RoleChanged | RaiseAlarm) -> None:
        """Log for operators."""


class Host:
    """Runs one replica on a port."""

    def __init__(self, replica: Replica, port: Port) -> None:
        self.replica, self.port = replica, port
        self.pending: Actions = []

    def take(self, actions: Actions) -> None:
        """Actions of this turn; `flush` carries them out."""
        self.pending += actions

    def flush(self, now: int) -> None:
        """Carry out all that is pending, and what follows of it.

        Raises OSError where the disk fails: nothing of this turn was sent or answered then, and nothing more
        may be taken; a new host and core start from what the disk holds.
        """
        outward: Actions = []
        while self.pending:
            actions, self.pending = self.pending, []
            last = -1
            for action in actions:
                if isinstance(action, PersistTermAndVote | PersistEntries):
                    self.port.save(action)
                    last = action.entries[-1].index if isinstance(action, PersistEntries) else last
                elif isinstance(action, RestoreSnapshot):
                    self.port.put_snapshot(action.snapshot, list(self.replica.raft.log.entries))
                elif isinstance(action, StoreSnapshot):
                    self._snap(now, action.snapshot)
                else:
                    outward.append(action)
            if self.port.sync() and last >= 0:
                self.pending += self.replica.on_synced(now, last)
        self._out(outward)

    def _snap(self, now: int, snapshot: Snapshot) -> None:
        rest = [entry for entry in self.replica.raft.log.entries if entry.index > snapshot.index]
        self.port.put_snapshot(snapshot, rest)
        self.pending += self.replica.on_snapshot_stored(now, snapshot)

    def _out(self, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self.port.send(action.target, action.message)
            elif isinstance(action, Reply):
                self.port.reply(action.token, action.reply)
            else:
                self.port.tell(action)
