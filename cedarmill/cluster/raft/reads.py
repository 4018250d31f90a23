"""Linearizable reads without entries in the log: read index (thesis, 6.4)."""

from cedarmill.cluster.raft.actions import LeadershipConfirmed, RejectionReason, RequestRejected
from cedarmill.cluster.raft.events import ConfirmLeadership
from cedarmill.cluster.raft.state import NodeState, PendingRead


class ReadIndex:
    """Answers reads once a majority has answered a heartbeat that left after they came."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def register(self, now: int, event: ConfirmLeadership) -> bool:
        """Let a read wait for the next heartbeat; False where it is rejected, since another replica leads."""
        state = self._state
        if not state.leads(now):
            state.emit(RequestRejected(event.token, RejectionReason.NOT_LEADER, state.leader))
            return False
        next_round = state.leader_state.heartbeat_round + 1
        state.leader_state.pending_reads.append(PendingRead(event.token, next_round))
        if event.immediate:
            state.deadline = now
        return True

    def answer_confirmed(self) -> None:
        """Answer the reads whose heartbeat a majority has answered, once this term has committed an entry."""
        state, leader_state = self._state, self._state.leader_state
        if not state.committed_in_term:
            return
        confirmed = state.cluster.reached_by_majority(
            leader_state.heartbeat_round, leader_state.heartbeat_round_of
        )
        pending = leader_state.pending_reads
        leader_state.pending_reads = [read for read in pending if read.heartbeat_round > confirmed]
        for read in pending:
            if read.heartbeat_round <= confirmed:
                state.emit(LeadershipConfirmed(read.token, state.commit_index))
