"""Leadership transfer to another voter (thesis, 3.10)."""

from cedarmill.cluster.raft.events import TransferLeadership
from cedarmill.cluster.raft.messages import TimeoutNow
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.state import NodeState

TRANSFER_ELECTION_TIMEOUTS = 2  # election timeouts until the leader abandons a transfer


class LeadershipTransfer:
    """Sends TimeoutNow to the target of a transfer as soon as the target has the whole log.

    RaftNode rejects proposals during a transfer.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def start(self, now: int, event: TransferLeadership) -> None:
        """Start a transfer; do nothing if this replica does not lead or there is no eligible target."""
        state, leader_state = self._state, self._state.leader_state
        if not state.is_leading(now):
            return
        candidates = [name for name in state.cluster.other_voters if name in leader_state.progress]
        target = event.target or max(candidates, key=leader_state.match_index_of, default="")
        if target not in candidates:
            return
        leader_state.transfer_target = target
        leader_state.transfer_deadline = now + TRANSFER_ELECTION_TIMEOUTS * state.timing.election_timeout
        if leader_state.match_index_of(target) == state.log.last_index:
            state.send(target, TimeoutNow(state.term))

    def on_match(self, name: str, progress: FollowerProgress) -> None:
        """Send TimeoutNow if the follower is the target and now has the whole log."""
        state = self._state
        is_target = state.leader_state.transfer_target == name
        if is_target and progress.match_index == state.log.last_index:
            state.send(name, TimeoutNow(state.term))

    def check_deadline(self, now: int) -> None:
        """Abandon a transfer that has passed its deadline."""
        leader_state = self._state.leader_state
        if leader_state.transfer_target is not None and now > leader_state.transfer_deadline:
            leader_state.transfer_target = None
