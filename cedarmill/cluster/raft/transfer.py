"""Transfer of leadership to another voter (thesis, 3.10)."""

from cedarmill.cluster.raft.events import TransferLeadership
from cedarmill.cluster.raft.messages import TimeoutNow
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.state import NodeState

TRANSFER_TIMEOUT = 2  # in election timeouts; after that the leader goes on leading


class LeadershipTransfer:
    """Tells the target to stand for election as soon as it has the whole log.

    As long as a transfer lasts, RaftNode rejects proposals.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def start(self, now: int, event: TransferLeadership) -> None:
        """Begin a transfer; without effect where this replica does not lead, or the target cannot."""
        state, leader_state = self._state, self._state.leader_state
        if not state.leads(now):
            return
        candidates = [name for name in state.cluster.other_voters if name in leader_state.progress]
        target = event.target or max(candidates, key=leader_state.match_index_of, default="")
        if target not in candidates:
            return
        leader_state.transfer_target = target
        leader_state.transfer_deadline = now + TRANSFER_TIMEOUT * state.timing.election_timeout
        if leader_state.match_index_of(target) == state.log.last_index:
            state.send(target, TimeoutNow(state.term))

    def on_match(self, name: str, progress: FollowerProgress) -> None:
        """A follower's log has come to match: the target may have the whole of it now."""
        state = self._state
        is_target = state.leader_state.transfer_target == name
        if is_target and progress.match_index == state.log.last_index:
            state.send(name, TimeoutNow(state.term))

    def check_deadline(self, now: int) -> None:
        """Go on leading where the target did not come to lead in time."""
        leader_state = self._state.leader_state
        if leader_state.transfer_target is not None and now > leader_state.transfer_deadline:
            leader_state.transfer_target = None
