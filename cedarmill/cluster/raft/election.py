"""Elections: pre-vote, votes, and the beginning of a leader's term (thesis, 3.4, 3.6.1, 4.2.3 and 9.6)."""

from cedarmill.cluster.raft.actions import RoleChanged
from cedarmill.cluster.raft.messages import EntryKind, RequestVote, RequestVoteReply, TimeoutNow
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.replication import Replicator
from cedarmill.cluster.raft.roles import Role
from cedarmill.cluster.raft.state import NOBODY, NodeState


class Election:
    """Asks for votes, counts them, and gives this replica's own."""

    def __init__(self, state: NodeState, replicator: Replicator) -> None:
        self._state = state
        self._replicator = replicator
        self._votes: dict[str, bool] = {}  # of the present election, or the questions before it

    # As a candidate.

    def on_election_timeout(self, now: int) -> None:
        """No leader has spoken in time: ask for votes, if this replica may be elected."""
        state = self._state
        if state.cluster.is_voter and not state.needs_catch_up:
            self._start_pre_vote(now)
        else:
            state.restart_election_timer(now)

    def on_timeout_now(self, now: int, source: str, message: TimeoutNow) -> None:
        """The leader transfers its leadership to this replica."""
        state = self._state
        may_stand = state.cluster.is_voter and not state.needs_catch_up
        if message.term == state.term and state.leader == source and may_stand:
            state.leader = NOBODY
            self._start_election(now, leadership_transfer=True)

    def _start_pre_vote(self, now: int) -> None:
        """Ask whether there would be a majority, with the term as it is (9.6)."""
        state = self._state
        state.leader = NOBODY
        state.change_role(Role.PRE_CANDIDATE)
        self._votes = {state.name: True}
        state.restart_election_timer(now)
        self._request_votes(state.term + 1, pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now: int, leadership_transfer: bool = False) -> None:
        """Raise the term, and ask for votes in it."""
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
        """Count a vote, if it was given to what this replica asks now."""
        state = self._state
        if not reply.vote_granted and reply.term > state.term:
            state.become_follower(now, reply.term, NOBODY)
            return
        if state.role is Role.PRE_CANDIDATE:
            awaited = reply.pre_vote and reply.term == state.term + 1
        else:
            awaited = state.role is Role.CANDIDATE and not reply.pre_vote and reply.term == state.term
        if awaited:
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
        leader_state.progress = {name: FollowerProgress(next_index, now) for name in state.cluster.others}
        state.emit(RoleChanged(True, state.name, state.term))
        state.append_entry(EntryKind.NOOP, b"")  # commits the entries of earlier terms with it (3.6.2)
        self._replicator.send_heartbeats(now)

    # As a voter.

    def on_request_vote(self, now: int, source: str, message: RequestVote) -> None:
        """Vote for a candidate whose log is at least as up to date (3.6.1), unless a leader is alive."""
        state = self._state
        if self._has_live_leader(now) and not message.leadership_transfer:
            state.send(source, RequestVoteReply(state.term, False, message.pre_vote))
        elif message.pre_vote:
            granted = message.term > state.term and self._may_vote_for(message)
            term = message.term if granted else state.term
            state.send(source, RequestVoteReply(term, granted, True))
        else:
            granted = self._vote(now, source, message)
            state.send(source, RequestVoteReply(state.term, granted, False))

    def _has_live_leader(self, now: int) -> bool:
        """Whether a leader has spoken within an election timeout, or this replica leads (4.2.3)."""
        state = self._state
        return now - state.last_leader_contact < state.timing.election_timeout or state.leads(now)

    def _may_vote_for(self, message: RequestVote) -> bool:
        """Whether the candidate's log has all that this replica's has, which it knows for certain (3.6.1)."""
        state = self._state
        candidates_end = (message.last_log_term, message.last_log_index)
        return candidates_end >= (state.log.last_term, state.log.last_index) and not state.needs_catch_up

    def _vote(self, now: int, source: str, message: RequestVote) -> bool:
        """Give the vote of the message's term, if it is not given to another; whether it was."""
        state = self._state
        if message.term > state.term:
            state.become_follower(now, message.term, NOBODY)
        granted = (
            message.term == state.term and state.vote in (NOBODY, source) and self._may_vote_for(message)
        )
        if granted:
            state.set_term_and_vote(state.term, source)
            state.restart_election_timer(now)
        return granted
