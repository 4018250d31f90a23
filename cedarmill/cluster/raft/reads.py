"""Linearizable reads without log entries, by the read index method (thesis, 6.4)."""

from cedarmill.cluster.raft.actions import LeadershipConfirmed, RejectionReason, RequestRejected
from cedarmill.cluster.raft.events import ConfirmLeadership
from cedarmill.cluster.raft.state import NodeState, PendingRead


class ReadIndex:
    """Confirms a read once a majority has answered a heartbeat that was sent after the read arrived."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def register(self, now: int, event: ConfirmLeadership) -> bool:
        """Queue a read for the next heartbeat round and return True.

        Reject the read and return False if this replica is not the leader.
        """
        state = self._state
        if not state.is_leading(now):
            state.emit(RequestRejected(event.token, RejectionReason.NOT_LEADER, state.leader))
            return False
        next_round = state.leader_state.heartbeat_round + 1
        state.leader_state.pending_reads.append(PendingRead(event.token, next_round))
        if event.immediate:
            state.deadline = now
        return True

    def confirm_reads(self) -> None:
        """Confirm the reads whose heartbeat round a majority has answered.

        No read is confirmed before an entry of the current term is committed.
        """
        state, leader_state = self._state, self._state.leader_state
        if not state.has_committed_in_term:
            return
        confirmed_round = state.cluster.majority_value(
            leader_state.heartbeat_round, leader_state.heartbeat_round_of
        )
        pending = leader_state.pending_reads
        leader_state.pending_reads = [read for read in pending if read.heartbeat_round > confirmed_round]
        for read in pending:
            if read.heartbeat_round <= confirmed_round:
                state.emit(LeadershipConfirmed(read.token, state.commit_index))
