"""One replica of the log: routes events to the modules that decide, and returns what is to be done.

After Raft (Ongaro, `Consensus: Bridging Theory and Practice`, 2014), whose sections the modules name. No I/O
and no clock: `step(now, event) -> actions`, with times in microseconds of this replica's own monotonic clock.

The host carries the actions out in order, by one rule: all that is to be persisted is on the disk before any
message is sent. It then says PersistenceCompleted, and only then does this replica count itself among those
that have the entries.
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
from cedarmill.cluster.raft.state import NOBODY, NodeState, PersistentState, Timing
from cedarmill.cluster.raft.transfer import LeadershipTransfer

_FROM_STRANGERS = (AppendEntries, InstallSnapshot, RequestVote)  # taken from outside the configuration


class RaftNode:
    """One replica."""

    def __init__(
        self, name: str, persistent: PersistentState, now: int, seed: int, timing: Timing | None = None
    ) -> None:
        """Start as a follower; `seed` and the name decide the random part of election timeouts."""
        self.name = name
        self.state = NodeState(name, persistent, now, seed, timing or Timing())
        self._membership = MembershipChanges(self.state)
        self._reads = ReadIndex(self.state)
        self._transfer = LeadershipTransfer(self.state)
        self._replicator = Replicator(self.state, self._membership, self._reads, self._transfer)
        self._receiver = EntriesReceiver(self.state)
        self._snapshots = SnapshotReceiver(self.state)
        self._election = Election(self.state, self._replicator)

    # What the host may ask.

    @property
    def role(self) -> Role:
        """The present role; a leader may have lost its leadership without knowing it yet, see `leads`."""
        return self.state.role

    @property
    def term(self) -> int:
        """The newest term that this replica knows of."""
        return self.state.term

    @property
    def leader(self) -> str:
        """The leader of the present term; empty where it is not known."""
        return self.state.leader

    @property
    def needs_catch_up(self) -> bool:
        """Whether the disk may have lost what was acknowledged; ends once the log is complete again."""
        return self.state.needs_catch_up

    @property
    def deadline(self) -> int:
        """When TimeAdvanced has to come at the latest, in microseconds of the own clock."""
        return self.state.deadline

    @property
    def log(self) -> Log:
        """The log; only to be read."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """The last entry that is known to be committed; ApplyEntries has named all up to it."""
        return self.state.commit_index

    @property
    def config(self) -> Config:
        """The cluster configuration in effect."""
        return self.state.cluster.peers

    @property
    def config_index(self) -> int:
        """The index of the entry or the snapshot that holds the configuration."""
        return self.state.cluster.index

    @property
    def voters(self) -> list[str]:
        """The names of the replicas that vote."""
        return self.state.cluster.voters

    @property
    def progress(self) -> dict[str, FollowerProgress]:
        """As the leader: how far each of the others has got."""
        return self.state.leader_state.progress

    def leads(self, now: int) -> bool:
        """Whether this replica may act as the leader at this moment."""
        return self.state.leads(now)

    # Events.

    def step(self, now: int, event: Event) -> list[Action]:
        """Take an event; the actions that follow from it, to be carried out in their order."""
        state = self.state
        state.actions = []
        if state.role is Role.LEADER and state.lost_quorum_contact(now):
            state.become_follower(now, state.term, NOBODY)
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
                self._snapshots.on_persisted(event)
            case ChangeMembership():
                if self._accepts_proposals(now, event.token):
                    self._membership.propose(event)
            case TransferLeadership():
                self._transfer.start(now, event)
            case _:
                assert_never(event)

    def _on_message(self, now: int, source: str, message: Message) -> None:
        """Route a message; of a replica outside the configuration only those are taken that may teach it.

        Such a replica may not know yet that it was added or removed.
        """
        if self.config and source not in self.config and not isinstance(message, _FROM_STRANGERS):
            return
        match message:
            case AppendEntries():
                self._receiver.on_append_entries(now, source, message)
            case AppendEntriesReply():
                self._replicator.on_append_entries_reply(now, source, message)
            case RequestVote():
                self._election.on_request_vote(now, source, message)
            case RequestVoteReply():
                self._election.on_request_vote_reply(now, source, message)
            case InstallSnapshot():
                self._snapshots.on_install_snapshot(now, source, message)
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
        """Whether this replica leads and goes on leading; otherwise the proposal is rejected."""
        state = self.state
        if not state.leads(now):
            state.emit(RequestRejected(token, RejectionReason.NOT_LEADER, state.leader))
            return False
        target = state.leader_state.transfer_target
        if target is not None:
            state.emit(RequestRejected(token, RejectionReason.TRANSFERRING, target))
            return False
        return True

    def _on_confirm_leadership(self, now: int, event: ConfirmLeadership) -> None:
        registered = self._reads.register(now, event)
        if registered and len(self.voters) == 1:
            self._replicator.send_heartbeats(now)  # nobody else has to answer it
