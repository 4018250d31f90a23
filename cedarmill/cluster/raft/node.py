"""A Raft node: passes events to the modules of the protocol and returns the actions for the host.

The implementation follows Ongaro, `Consensus: Bridging Theory and Practice` (2014); "thesis" and section
numbers in this package refer to it. A node has no I/O and no clock: `step(now, event)` returns actions, and
times are microseconds of the replica's own monotonic clock.

The host carries out the actions in order, but writes everything that has to be persisted to the disk before
it sends any message. It then sends PersistenceCompleted; until then, the node does not count its own copy
of the entries towards a majority.
"""

from typing import assert_never

from cedarmill.cluster.raft.actions import Action, ProposalAccepted, RejectionReason, RequestRejected
from cedarmill.cluster.raft.election import Election
from cedarmill.cluster.raft.events import (
    ChangeMembership,
    ConfirmLeadership,
    Event,
    MessageReceived,
    PersistenceCompleted,
    ProposeCommand,
    SnapshotPersisted,
    TimeAdvanced,
    TransferLeadership,
)
from cedarmill.cluster.raft.log import Log
from cedarmill.cluster.raft.membership import MembershipChanges
from cedarmill.cluster.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Config,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    Message,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.reads import ReadIndex
from cedarmill.cluster.raft.replication import EntriesReceiver, Replicator
from cedarmill.cluster.raft.roles import Role
from cedarmill.cluster.raft.snapshots import SnapshotReceiver
from cedarmill.cluster.raft.state import NO_REPLICA, NodeState, PersistentState, Timing
from cedarmill.cluster.raft.transfer import LeadershipTransfer

_ACCEPTED_FROM_NON_MEMBERS = (AppendEntries, InstallSnapshot, RequestVote)


class RaftNode:
    """One replica of the Raft log."""

    def __init__(
        self, name: str, persistent: PersistentState, now: int, seed: int, timing: Timing | None = None
    ) -> None:
        """Start as a follower; `seed` and `name` seed the random part of election timeouts."""
        self.name = name
        self.state = NodeState(name, persistent, now, seed, timing or Timing())
        self._membership = MembershipChanges(self.state)
        self._read_index = ReadIndex(self.state)
        self._transfer = LeadershipTransfer(self.state)
        self._replicator = Replicator(self.state, self._membership, self._read_index, self._transfer)
        self._entries_receiver = EntriesReceiver(self.state)
        self._snapshot_receiver = SnapshotReceiver(self.state)
        self._election = Election(self.state, self._replicator)

    # State for the host.

    @property
    def role(self) -> Role:
        """Current role; a leader that was superseded may still have the role LEADER, see `is_leading`."""
        return self.state.role

    @property
    def term(self) -> int:
        """Current term of this replica."""
        return self.state.term

    @property
    def leader(self) -> str:
        """Leader of the current term, or empty if unknown."""
        return self.state.leader

    @property
    def needs_catch_up(self) -> bool:
        """Whether the disk may have lost acknowledged votes or entries.

        False again once the log holds all committed entries.
        """
        return self.state.needs_catch_up

    @property
    def deadline(self) -> int:
        """Latest time for the next TimeAdvanced, in microseconds of the replica's clock."""
        return self.state.deadline

    @property
    def log(self) -> Log:
        """The log; callers must not modify it."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed; ApplyEntries has covered all entries up to it."""
        return self.state.commit_index

    @property
    def config(self) -> Config:
        """Cluster configuration in effect."""
        return self.state.cluster.peers

    @property
    def config_index(self) -> int:
        """Log index of the entry or snapshot that holds the configuration in effect."""
        return self.state.cluster.index

    @property
    def voters(self) -> list[str]:
        """Names of the voters."""
        return self.state.cluster.voters

    @property
    def progress(self) -> dict[str, FollowerProgress]:
        """Replication progress of each follower; empty unless this replica is the leader."""
        return self.state.leader_state.progress

    def is_leading(self, now: int) -> bool:
        """Return whether this replica is the leader and has been in contact with a majority recently."""
        return self.state.is_leading(now)

    # Events.

    def step(self, now: int, event: Event) -> list[Action]:
        """Handle an event and return the resulting actions in the order to carry them out."""
        state = self.state
        state.actions = []
        if state.role is Role.LEADER and state.has_lost_quorum_contact(now):
            state.become_follower(now, state.term, NO_REPLICA)
        self._route(now, event)
        return state.actions

    def _route(self, now: int, event: Event) -> None:
        match event:
            case MessageReceived():
                self._on_message(now, event.source, event.message)
            case TimeAdvanced():
                self._on_time_advanced(now)
            case ProposeCommand():
                self._on_propose(now, event)
            case ConfirmLeadership():
                self._on_confirm_leadership(now, event)
            case PersistenceCompleted():
                self._replicator.on_persistence_completed(now, event)
            case SnapshotPersisted():
                self._snapshot_receiver.on_persisted(event)
            case ChangeMembership():
                if self._accepts_proposals(now, event.token):
                    self._membership.propose(event)
            case TransferLeadership():
                self._transfer.start(now, event)
            case _:
                assert_never(event)

    def _on_message(self, now: int, source: str, message: Message) -> None:
        """Pass a message to its handler; drop replies and TimeoutNow from non-members.

        Other messages from non-members are handled, because the configuration here may be out of date.
        Without a configuration, all messages are handled.
        """
        if self.config and source not in self.config and not isinstance(message, _ACCEPTED_FROM_NON_MEMBERS):
            return
        match message:
            case AppendEntries():
                self._entries_receiver.on_append_entries(now, source, message)
            case AppendEntriesReply():
                self._replicator.on_append_entries_reply(now, source, message)
            case RequestVote():
                self._election.on_request_vote(now, source, message)
            case RequestVoteReply():
                self._election.on_request_vote_reply(now, source, message)
            case InstallSnapshot():
                self._snapshot_receiver.on_install_snapshot(now, source, message)
            case InstallSnapshotReply():
                self._replicator.on_install_snapshot_reply(now, source, message)
            case TimeoutNow():
                self._election.on_timeout_now(now, source, message)
            case _:
                assert_never(message)

    def _on_time_advanced(self, now: int) -> None:
        if now < self.state.deadline:
            return
        if self.state.role is Role.LEADER:
            self._replicator.send_heartbeats(now)
        else:
            self._election.on_election_timeout(now)

    def _on_propose(self, now: int, event: ProposeCommand) -> None:
        if self._accepts_proposals(now, event.token):
            index = self.state.append_entry(EntryKind.COMMAND, event.data)
            self.state.emit(ProposalAccepted(event.token, index, self.state.term))

    def _accepts_proposals(self, now: int, token: int) -> bool:
        """Return whether proposals are accepted now; reject the one with `token` otherwise.

        Only a leader that is not transferring its leadership accepts proposals.
        """
        state = self.state
        if not state.is_leading(now):
            state.emit(RequestRejected(token, RejectionReason.NOT_LEADER, state.leader))
            return False
        target = state.leader_state.transfer_target
        if target is not None:
            state.emit(RequestRejected(token, RejectionReason.TRANSFERRING, target))
            return False
        return True

    def _on_confirm_leadership(self, now: int, event: ConfirmLeadership) -> None:
        is_registered = self._read_index.register(now, event)
        if is_registered and len(self.voters) == 1:
            self._replicator.send_heartbeats(now)  # A single voter confirms the read without replies.
