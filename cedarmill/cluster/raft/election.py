"""Leader election: pre-votes, votes, and the start of a leader's term (thesis, 3.4, 3.6.1, 4.2.3 and 9.6)."""

from cedarmill.cluster.raft.actions import RoleChanged
from cedarmill.cluster.raft.messages import EntryKind, RequestVote, RequestVoteReply, TimeoutNow
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.replication import Replicator
from cedarmill.cluster.raft.roles import Role
from cedarmill.cluster.raft.state import NO_REPLICA, NodeState


class Election:
    """Requests and counts votes as a candidate, and grants votes as a voter."""

    def __init__(self, state: NodeState, replicator: Replicator) -> None:
        self._state = state
        self._replicator = replicator
        self._votes: dict[str, bool] = {}  # replies of the current election or pre-vote, by voter

    # Candidate.

    def on_election_timeout(self, now: int) -> None:
        """Start a pre-vote if this replica is electable; otherwise restart the election timer."""
        state = self._state
        if state.cluster.is_voter and not state.needs_catch_up:
            self._start_pre_vote(now)
        else:
            state.restart_election_timer(now)

    def on_timeout_now(self, now: int, source: str, message: TimeoutNow) -> None:
        """Start an election without a pre-vote when the leader transfers its leadership to this replica."""
        state = self._state
        is_electable = state.cluster.is_voter and not state.needs_catch_up
        if message.term == state.term and state.leader == source and is_electable:
            state.leader = NO_REPLICA
            self._start_election(now, leadership_transfer=True)

    def _start_pre_vote(self, now: int) -> None:
        """Ask the voters whether they would vote for this replica, without raising the term (9.6)."""
        state = self._state
        state.leader = NO_REPLICA
        state.change_role(Role.PRE_CANDIDATE)
        self._votes = {state.name: True}
        state.restart_election_timer(now)
        self._request_votes(state.term + 1, pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now: int, leadership_transfer: bool = False) -> None:
        """Raise the term and request votes in the new term."""
        state = self._state
        state.change_role(Role.CANDIDATE)
        self._votes = {state.name: True}
        state.set_term_and_vote(state.term + 1, state.name)
        state.restart_election_timer(now)
        self._request_votes(state.term, leadership_transfer=leadership_transfer)
        self._count_votes(now)

    def _request_votes(self, term: int, pre_vote: bool = False, leadership_transfer: bool = False) -> None:
        log = self._state.log
        message = RequestVote(term, log.last_index, log.last_term, pre_vote, leadership_transfer)
        for name in self._state.cluster.other_voters:
            self._state.send(name, message)

    def on_request_vote_reply(self, now: int, source: str, reply: RequestVoteReply) -> None:
        """Count the reply to a request of the current election or pre-vote; ignore any other reply."""
        state = self._state
        if not reply.vote_granted and reply.term > state.term:
            state.become_follower(now, reply.term, NO_REPLICA)
            return
        if state.role is Role.PRE_CANDIDATE:
            is_awaited = reply.pre_vote and reply.term == state.term + 1
        else:
            is_awaited = state.role is Role.CANDIDATE and not reply.pre_vote and reply.term == state.term
        if is_awaited:
            self._votes[source] = reply.vote_granted
            self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        granted = {name for name, vote_granted in self._votes.items() if vote_granted}
        if not self._state.cluster.is_majority(granted):
            return
        if self._state.role is Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self._state.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        state, leader_state = self._state, self._state.leader_state
        state.change_role(Role.LEADER)
        state.leader = state.name
        leader_state.reset()
        leader_state.quorum_confirmed_at = now
        next_index = state.log.last_index + 1
        leader_state.progress = {
            name: FollowerProgress(next_index, now) for name in state.cluster.other_replicas
        }
        state.emit(RoleChanged(True, state.name, state.term))
        # The commit of the no-op entry also commits the entries of earlier terms (3.6.2).
        state.append_entry(EntryKind.NOOP, b"")
        self._replicator.send_heartbeats(now)

    # Voter.

    def on_request_vote(self, now: int, source: str, message: RequestVote) -> None:
        """Vote for a candidate with a log at least as up to date (3.6.1), unless there is a live leader."""
        state = self._state
        if self._has_live_leader(now) and not message.leadership_transfer:
            state.send(source, RequestVoteReply(state.term, False, message.pre_vote))
        elif message.pre_vote:
            granted = message.term > state.term and self._may_vote_for(message)
            term = message.term if granted else state.term
            state.send(source, RequestVoteReply(term, granted, True))
        else:
            granted = self._grant_vote(now, source, message)
            state.send(source, RequestVoteReply(state.term, granted, False))

    def _has_live_leader(self, now: int) -> bool:
        """Return whether a leader made contact within the election timeout, or this replica leads (4.2.3)."""
        state = self._state
        return now - state.last_leader_contact < state.timing.election_timeout or state.is_leading(now)

    def _may_vote_for(self, message: RequestVote) -> bool:
        """Return whether the candidate's log is at least as up to date as this replica's log (3.6.1).

        A replica that needs to catch up cannot compare the logs and never votes.
        """
        state = self._state
        candidate_last_entry = (message.last_log_term, message.last_log_index)
        return (
            candidate_last_entry >= (state.log.last_term, state.log.last_index) and not state.needs_catch_up
        )

    def _grant_vote(self, now: int, source: str, message: RequestVote) -> bool:
        """Grant the vote unless another candidate has it in this term; return whether it was granted."""
        state = self._state
        if message.term > state.term:
            state.become_follower(now, message.term, NO_REPLICA)
        granted = (
            message.term == state.term
            and state.voted_for in (NO_REPLICA, source)
            and self._may_vote_for(message)
        )
        if granted:
            state.set_term_and_vote(state.term, source)
            state.restart_election_timer(now)
        return granted
