"""Changes of the cluster, one replica at a time (thesis, chapter 4).

With Ongaro's later amendment to 4.1: a leader first commits an entry of its own term.
"""

from cedarmill.cluster.raft.actions import ProposalAccepted, RejectionReason, RequestRejected
from cedarmill.cluster.raft.configuration import encode_config
from cedarmill.cluster.raft.events import ChangeMembership
from cedarmill.cluster.raft.messages import Config, EntryKind, Peer
from cedarmill.cluster.raft.state import NodeState

CATCH_UP_ENTRIES = 16  # that a replica may lack of the log to be made a voter


class MembershipChanges:
    """Proposes changes of the configuration, as the leader."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def propose(self, event: ChangeMembership) -> None:
        """Append the changed configuration to the log, or reject the change."""
        state = self._state
        peers = self._changed(event)
        reason = self._reason_against(peers)
        if reason is not None:
            state.emit(RequestRejected(event.token, reason))
            return
        index = state.append_entry(EntryKind.CONFIG, encode_config(peers))
        state.emit(ProposalAccepted(event.token, index, state.term))

    def _changed(self, event: ChangeMembership) -> Config:
        peers = dict(self._state.cluster.peers)
        if event.peer is None:
            peers.pop(event.name, None)
        else:
            peers[event.name] = event.peer
        return peers

    def _reason_against(self, peers: Config) -> RejectionReason | None:
        state = self._state
        if state.cluster.index > state.commit_index:
            return RejectionReason.CHANGE_PENDING
        if not state.committed_in_term:
            return RejectionReason.TERM_NOT_COMMITTED
        if not any(peer.voter for peer in peers.values()):
            return RejectionReason.NO_VOTER_LEFT
        return None

    def promote_if_caught_up(self, name: str) -> None:
        """Make a replica that was added a voter once it lacks little of the log (thesis, 4.2.1)."""
        state = self._state
        peer = state.cluster.peers.get(name)
        if peer is None or peer.voter or state.cluster.index > state.commit_index:
            return
        progress = state.leader_state.progress.get(name)
        if progress is None or progress.match_index + CATCH_UP_ENTRIES < state.log.last_index:
            return
        if not state.committed_in_term:
            return
        peers = {**state.cluster.peers, name: Peer(peer.address, True, peer.disk)}
        state.append_entry(EntryKind.CONFIG, encode_config(peers))
