"""Carries out a replica's actions in order through a port that provides the disk and the network.

One sync persists all writes of a turn, and messages and replies are sent only after that sync.
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
    """The interface to the disk, the network and the operators' log."""

    def save(self, action: PersistTermAndVote | PersistEntries) -> None:
        """Append the action's data to the disk, to be made durable by `sync`. Raises OSError."""

    def sync(self) -> bool:
        """Make all saved data durable, and return whether there was any. Raises OSError."""

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Store a snapshot and the log entries after it. Raises OSError."""

    def send(self, target: str, message: object) -> None:
        """Send a message to another replica, or drop it if that replica is not connected."""

    def reply(self, token: int, answer: object) -> None:
        """Send the reply to a member's or an operator's request."""

    def log_action(self, action: RoleChanged | RaiseAlarm) -> None:
        """Write a role change or an alarm to the operators' log."""


class ReplicaHost:
    """Executes the actions of one replica through a port."""

    def __init__(self, replica: Replica, port: Port) -> None:
        self.replica, self.port = replica, port
        self.pending: Actions = []

    def queue_actions(self, actions: Actions) -> None:
        """Queue actions of this turn for `flush`."""
        self.pending += actions

    def flush(self, now: int) -> None:
        """Carry out all pending actions, and the actions that result from them.

        Raises OSError if the disk fails. Nothing of this turn has been sent then, and the host must not be
        used further: a new host and a new replica start from the data on the disk.
        """
        outgoing: Actions = []
        while self.pending:
            actions, self.pending = self.pending, []
            last_index = -1
            for action in actions:
                if isinstance(action, PersistTermAndVote | PersistEntries):
                    self.port.save(action)
                    last_index = (
                        action.entries[-1].index if isinstance(action, PersistEntries) else last_index
                    )
                elif isinstance(action, RestoreSnapshot):
                    self.port.save_snapshot(action.snapshot, list(self.replica.raft.log.entries))
                elif isinstance(action, StoreSnapshot):
                    self._store_snapshot(now, action.snapshot)
                else:
                    outgoing.append(action)
            if self.port.sync() and last_index >= 0:
                self.pending += self.replica.on_synced(now, last_index)
        self._send_outgoing(outgoing)

    def _store_snapshot(self, now: int, snapshot: Snapshot) -> None:
        later_entries = [entry for entry in self.replica.raft.log.entries if entry.index > snapshot.index]
        self.port.save_snapshot(snapshot, later_entries)
        self.pending += self.replica.on_snapshot_stored(now, snapshot)

    def _send_outgoing(self, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self.port.send(action.target, action.message)
            elif isinstance(action, Reply):
                self.port.reply(action.token, action.reply)
            else:
                self.port.log_action(action)
