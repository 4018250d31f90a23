"""Mutants of the replicated log: votes, commits, what is kept before it is promised, and reads."""

import msgspec

from cedarmill.cluster.hosting import ReplicaHost
from cedarmill.cluster.raft import replication
from cedarmill.cluster.raft.actions import (
    LeadershipConfirmed,
    PersistEntries,
    PersistTermAndVote,
    RestoreSnapshot,
    SendMessage,
)
from cedarmill.cluster.raft.election import Election
from cedarmill.cluster.raft.events import ConfirmLeadership
from cedarmill.cluster.raft.messages import RequestVote
from cedarmill.cluster.raft.reads import ReadIndex
from cedarmill.cluster.raft.replication import Replicator
from cedarmill.cluster.raft.state import NodeState
from cedarmill.lab.cluster.mutants.patches import Patch
from cedarmill.lab.simulation.disk import Disk
from cedarmill.lab.simulation.raft_log_replica import LogReplica


def stale_leader_grants() -> list[Patch]:
    """What the leader itself has is committed, whoever else has it."""

    def advance_commit_index(self: Replicator, now: int) -> None:
        self._state.commit_up_to(self._state.persisted_index)

    return [(Replicator, "advance_commit_index", advance_commit_index)]


def vote_twice() -> list[Patch]:
    """A vote is given whoever got it before, in the same term."""
    original = Election.on_request_vote

    def on_request_vote(self: Election, now: int, source: str, message: RequestVote) -> None:
        if not message.pre_vote and message.term == self._state.term:
            self._state.voted_for = ""
        original(self, now, source, message)

    return [(Election, "on_request_vote", on_request_vote)]


def vote_not_kept() -> list[Patch]:
    """The vote is forgotten by a restart."""
    original = Disk.save

    def save(self: Disk, action: PersistTermAndVote | PersistEntries) -> None:
        if isinstance(action, PersistTermAndVote):
            action = PersistTermAndVote(action.term, "")
        original(self, action)

    return [(Disk, "save", save)]


def commit_of_an_older_term() -> list[Patch]:
    """An entry of an older term is committed as soon as a majority has it (one entry is sent at a time)."""

    def advance_commit_index(self: Replicator, now: int) -> None:
        state = self._state
        index = state.cluster.majority_value(state.persisted_index, state.leader_state.match_index_of)
        if index > state.commit_index:
            state.commit_up_to(index)
            self._read_index.confirm_reads()

    return [
        (Replicator, "advance_commit_index", advance_commit_index),
        (replication, "MAX_BATCH_ENTRIES", 1),
    ]


def votes_for_who_knows_less() -> list[Patch]:
    """A replica votes for one whose log ends before its own."""
    original = Election.on_request_vote

    def on_request_vote(self: Election, now: int, source: str, message: RequestVote) -> None:
        log = self._state.log
        as_long = msgspec.structs.replace(message, last_log_index=log.last_index, last_log_term=log.last_term)
        original(self, now, source, as_long)

    return [(Election, "on_request_vote", on_request_vote)]


def sent_before_synced() -> list[Patch]:
    """Promises leave before what they promise is on the disk."""

    def flush(self: ReplicaHost, now: int) -> None:
        while self.pending:
            actions, self.pending = self.pending, []
            last = -1
            persists = PersistTermAndVote | PersistEntries | RestoreSnapshot
            self._send_outgoing([action for action in actions if not isinstance(action, persists)])
            for action in actions:
                if isinstance(action, PersistTermAndVote | PersistEntries):
                    self.port.save(action)
                    last = action.entries[-1].index if isinstance(action, PersistEntries) else last
                elif isinstance(action, RestoreSnapshot):
                    self.port.save_snapshot(action.snapshot, list(self.replica.raft.log.entries))
            if self.port.sync() and last >= 0:
                self.pending += self.replica.on_synced(now, last)

    def send_after_sync(self: LogReplica, action: SendMessage) -> None:
        self.send_now(action)

    return [(ReplicaHost, "flush", flush), (LogReplica, "send_after_sync", send_after_sync)]


def reads_without_a_majority() -> list[Patch]:
    """A leader answers by what it knows, without asking whether it leads still."""

    def register(self: ReadIndex, now: int, event: ConfirmLeadership) -> bool:
        self._state.emit(LeadershipConfirmed(event.token, self._state.commit_index))
        return False

    return [
        (ReadIndex, "register", register),
        (NodeState, "has_lost_quorum_contact", lambda self, now: False),
    ]
