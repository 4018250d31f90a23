"""One replica of the cluster state, without I/O: the replicated log, the state machine, and open requests.

Each event (`on_message`, `on_request`, `on_time`, `on_synced`, `on_snapshot_stored`, `transfer_leadership`)
returns actions for the adapter to carry out in order: the actions of `raft/actions.py`, Reply and
StoreSnapshot. Between replicas, SendMessage also carries forwarded requests. All times are microseconds of
the replica's monotonic clock, except where the cluster time is named.
"""

from collections.abc import Callable
from typing import Any, ClassVar

import msgspec

from cedarmill.cluster.leader_duties import NEW_LEADER_HALT, LeaderDuties
from cedarmill.cluster.leadership import Leadership
from cedarmill.cluster.messages import (
    ChangeReplicas,
    ClientRequest,
    ForwardReply,
    ForwardRequest,
    ReplicaMessage,
    SubmitRequest,
    Unavailable,
)
from cedarmill.cluster.pending_requests import ForwardOrigin, LoggedRequest, PendingRequests, WaitingRequest
from cedarmill.cluster.raft.actions import (
    ApplyEntries,
    LeadershipConfirmed,
    ProposalAccepted,
    RequestRejected,
    RestoreSnapshot,
    RoleChanged,
)
from cedarmill.cluster.raft.events import (
    Event,
    MessageReceived,
    PersistenceCompleted,
    ProposeCommand,
    SnapshotPersisted,
    TimeAdvanced,
    TransferLeadership,
)
from cedarmill.cluster.raft.messages import Entry, EntryKind, Snapshot
from cedarmill.cluster.raft.node import RaftNode
from cedarmill.cluster.raft.state import PersistentState, Timing
from cedarmill.cluster.request_router import Reply, RequestRouter
from cedarmill.cluster.state import ClusterState, RequestOutcome, decode_snapshot, encode_snapshot
from cedarmill.cluster.state_machine import dispatch
from cedarmill.cluster.state_machine.command import Command
from cedarmill.cluster.state_machine.commands import HaltGrants

MAX_UNCOMPACTED_ENTRIES = 2_000  # A longer log is compacted into a snapshot.
FORWARD_TIMEOUT_US = 3_000_000  # Forwarded requests without a reply then fail.

LEADER_CHANGED_REASON = "the leader changed: ask again with the same id"

Actions = list[Any]


class StoreSnapshot(msgspec.Struct, frozen=True):
    """An action: store the snapshot, drop the log entries that it covers, and call `on_snapshot_stored`."""

    snapshot: Snapshot


class Replica:
    """Combines a Raft node, the state that results from the log entries, and the open requests."""

    def __init__(
        self,
        name: str,
        saved: PersistentState,
        now: int,
        seed: int,
        timing: Timing | None = None,
        state: ClusterState | None = None,
    ) -> None:
        """Restore from `saved`; `state` is the initial state if the saved snapshot is empty."""
        self.name = name
        self.raft = RaftNode(name, saved, now, seed, timing)
        data = saved.snapshot.data
        self.state: ClusterState = decode_snapshot(data) if data else state or ClusterState()
        self.leadership = Leadership(now)
        # Tokens differ between starts, since replies to requests of an earlier start may still arrive.
        self.pending = PendingRequests(last_token=(seed & 0xFFFFFFFF) << 24)
        self.duties = LeaderDuties(self, now)
        self.on_applied: Callable[[Entry], None] | None = None  # called before each entry is applied
        self.router = RequestRouter(self)
        self._actions: Actions = []
        self._proposed_keys: set[str] = set()  # keys proposed since the last leader duties
        self._is_newly_elected = False

    # Events.

    def on_message(self, now: int, source: str, message: ReplicaMessage) -> Actions:
        """Process a message from another replica."""
        if isinstance(message, ForwardRequest):
            token = self.pending.new_token()
            self.pending.origins[token] = ForwardOrigin(source, message.id)
            self.router.route(now, token, message.request)
        elif isinstance(message, ForwardReply):
            if (forwarded := self.pending.forwarded.pop(message.id, None)) is not None:
                self.emit(Reply(forwarded.token, message.reply))
        else:
            self.run_raft(now, MessageReceived(source, message))
        return self.pop_actions(now)

    def on_request(self, now: int, token: int, request: ClientRequest) -> Actions:
        """Process a member's or an operator's request; a partitioned replica may never reply."""
        self.router.route(now, token, request)
        return self.pop_actions(now)

    def on_time(self, now: int) -> Actions:
        """Run due timers, and fail expired forwarded requests; has to be called at `due` at the latest."""
        self.run_raft(now, TimeAdvanced())
        for token in self.pending.expire_forwarded(now - FORWARD_TIMEOUT_US):
            self.router.reply(token, Unavailable("the leader did not answer"))
        return self.pop_actions(now)

    def transfer_leadership(self, now: int) -> Actions:
        """Transfer the leadership to another replica before this replica ends."""
        self.run_raft(now, TransferLeadership())
        return self.pop_actions(now)

    def on_synced(self, now: int, index: int) -> Actions:
        """Process the completed write of all log entries up to the index."""
        self.run_raft(now, PersistenceCompleted(index))
        return self.pop_actions(now)

    def on_snapshot_stored(self, now: int, snapshot: Snapshot) -> Actions:
        """Process the completed write of the snapshot."""
        self.run_raft(now, SnapshotPersisted(snapshot))
        return self.pop_actions(now)

    @property
    def due(self) -> int:
        """The latest time at which `on_time` has to be called."""
        return min(self.raft.deadline, self.duties.due) if self.is_leader else self.raft.deadline

    @property
    def is_leader(self) -> bool:
        """Whether the replica has the leader role; `raft.is_leading(now)` excludes an outdated leader."""
        return self.raft.role.value == "leader"

    def cluster_time(self, now: int) -> int:
        """Return the cluster time; valid at the leader only."""
        return self.leadership.cluster_time(now)

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the state after the last applied log entry."""
        index = self.raft.commit_index
        return Snapshot(index, self.raft.log.term(index), self.raft.config, encode_snapshot(self.state))

    def store_snapshot(self) -> None:
        """Request the storing of a snapshot, unless a change of the replicas is not committed yet."""
        if self.raft.config_index <= self.raft.commit_index:
            self.emit(StoreSnapshot(self.snapshot()))

    def emit(self, action: object) -> None:
        """Queue an action for the adapter."""
        self._actions.append(action)

    def pop_actions(self, now: int) -> Actions:
        """Run the due leader duties, and return all queued actions; called at the end of each event."""
        if self.is_leader and self.duties.is_due(now) and self.raft.is_leading(now):
            self._proposed_keys.clear()
            self.duties.run_round(now)
        log = self.raft.log
        if len(log.entries) > MAX_UNCOMPACTED_ENTRIES and self.raft.commit_index > log.snapshot.index:
            self.store_snapshot()
        actions, self._actions = self._actions, []
        return actions

    # The replicated log.

    def run_raft(self, now: int, event: Event) -> None:
        """Pass an event to the Raft node, handle its actions on the state, and emit all other actions."""
        for action in self.raft.step(now, event):
            handler = self._RAFT_ACTION_HANDLERS.get(type(action))
            if handler is None:
                self.emit(action)
            else:
                handler(self, now, action)
        if self._is_newly_elected:  # The halt has to precede all other proposals of the term.
            self._is_newly_elected = False
            self.propose(now, HaltGrants(self.cluster_time(now), NEW_LEADER_HALT))

    def propose(self, now: int, command: Command, waiting: WaitingRequest | None = None) -> None:
        """Propose a command, and reply to the waiting request, if any, with the command's outcome."""
        own_token = self.pending.new_token()
        if waiting is not None:
            self.pending.proposed[own_token] = waiting
        self.run_raft(now, ProposeCommand(dispatch.encode(command), own_token))

    def propose_once(self, now: int, key: str, command: Command) -> None:
        """Propose a command unless a command with the key was proposed since the last leader duties."""
        if key not in self._proposed_keys:
            self._proposed_keys.add(key)
            self.propose(now, command)

    def _apply_entries(self, now: int, action: ApplyEntries) -> None:
        for entry in action.entries:
            if self.on_applied is not None:
                self.on_applied(entry)
            outcome = None
            if entry.kind == EntryKind.COMMAND:
                outcome = dispatch.apply(self.state, entry.index, entry.data)
            logged = self.pending.logged.pop(entry.index, None)
            if logged is not None:
                self._reply_to_logged(entry, logged, outcome)

    def _reply_to_logged(self, entry: Entry, logged: LoggedRequest, outcome: RequestOutcome | None) -> None:
        token, request = logged.waiting
        if logged.term != entry.term:
            self.router.reply(token, Unavailable(LEADER_CHANGED_REASON))
        elif isinstance(request, SubmitRequest | ChangeReplicas):
            self.router.reply(token, self.router.operator_requests.build_reply(request, outcome))

    def _restore_snapshot(self, now: int, action: RestoreSnapshot) -> None:
        data = action.snapshot.data
        self.state = decode_snapshot(data) if data else ClusterState()
        self.pending.logged.clear()
        self.emit(action)

    def _on_proposal_accepted(self, now: int, action: ProposalAccepted) -> None:
        self.pending.record_log_index(action.token, action.index, action.term)

    def _on_request_rejected(self, now: int, action: RequestRejected) -> None:
        if (waiting := self.pending.pop_rejected(action.token)) is not None:
            self.router.reply(waiting.token, Unavailable(action.reason, action.leader))

    def _on_leadership_confirmed(self, now: int, action: LeadershipConfirmed) -> None:
        if (waiting := self.pending.reads.pop(action.token, None)) is not None:
            self.router.reply_to_read(now, waiting)

    def _on_role_changed(self, now: int, action: RoleChanged) -> None:
        self.emit(action)
        if action.is_leader:
            self.leadership = Leadership(now, elected_at=now, time_at_election=self.state.clock)
            self.duties.on_elected(now)
            self._is_newly_elected = True
        else:
            self._reject_pending(action.leader)
        self._proposed_keys.clear()

    def _reject_pending(self, leader: str) -> None:
        """Reject all waiting requests after a loss of leadership; their outcome is unknown."""
        for waiting in self.pending.proposed.values():
            self.router.reply(waiting.token, Unavailable("no longer the leader", leader))
        for logged in self.pending.logged.values():
            self.router.reply(logged.waiting.token, Unavailable(LEADER_CHANGED_REASON, leader))
        self.pending.proposed.clear()
        self.pending.logged.clear()

    _RAFT_ACTION_HANDLERS: ClassVar[dict[type, Callable[["Replica", int, Any], None]]] = {
        ApplyEntries: _apply_entries,
        RestoreSnapshot: _restore_snapshot,
        ProposalAccepted: _on_proposal_accepted,
        RequestRejected: _on_request_rejected,
        LeadershipConfirmed: _on_leadership_confirmed,
        RoleChanged: _on_role_changed,
    }
