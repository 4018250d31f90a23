"""Membership changes, one replica at a time (thesis, chapter 4).

As in Ongaro's later correction to 4.1, a leader commits an entry of its own term before any change.
"""

from cedarmill.cluster.raft.actions import ProposalAccepted, RejectionReason, RequestRejected
from cedarmill.cluster.raft.configuration import encode_config
from cedarmill.cluster.raft.events import ChangeMembership
from cedarmill.cluster.raft.messages import Config, EntryKind, Peer
from cedarmill.cluster.raft.state import NodeState

MAX_PROMOTION_LAG = 16  # entries by which a non-voter may trail the leader when it is promoted


class MembershipChanges:
    """Proposes configuration changes on the leader."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def propose(self, event: ChangeMembership) -> None:
        """Append the changed configuration to the log, or reject the change if it is not allowed now."""
        state = self._state
        peers = self._changed_config(event)
        reason = self._rejection_reason(peers)
        if reason is not None:
            state.emit(RequestRejected(event.token, reason))
            return
        index = state.append_entry(EntryKind.CONFIG, encode_config(peers))
        state.emit(ProposalAccepted(event.token, index, state.term))

    def _changed_config(self, event: ChangeMembership) -> Config:
        peers = dict(self._state.cluster.peers)
        if event.peer is None:
            peers.pop(event.name, None)
        else:
            peers[event.name] = event.peer
        return peers

    def _rejection_reason(self, peers: Config) -> RejectionReason | None:
        state = self._state
        if state.cluster.index > state.commit_index:
            return RejectionReason.CHANGE_PENDING
        if not state.has_committed_in_term:
            return RejectionReason.TERM_NOT_COMMITTED
        if not any(peer.is_voter for peer in peers.values()):
            return RejectionReason.NO_VOTER_LEFT
        return None

    def promote_if_caught_up(self, name: str) -> None:
        """Promote a non-voter to voter once its log is close to the leader's log (thesis, 4.2.1)."""
        state = self._state
        peer = state.cluster.peers.get(name)
        if peer is None or peer.is_voter or state.cluster.index > state.commit_index:
            return
        progress = state.leader_state.progress.get(name)
        if progress is None or progress.match_index + MAX_PROMOTION_LAG < state.log.last_index:
            return
        if not state.has_committed_in_term:
            return
        peers = {**state.cluster.peers, name: Peer(peer.address, True, peer.disk)}
        state.append_entry(EntryKind.CONFIG, encode_config(peers))
