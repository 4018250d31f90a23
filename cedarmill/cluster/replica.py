"""One replica of the cluster's state, without I/O: the replicated log, the state, and the requests for them.

Each event (`on_message`, `on_request`, `on_time`, `on_synced`, `on_snapshot_stored`, `transfer_leadership`)
returns actions for the adapter, to be carried out in order: those of `raft/actions.py`,
Reply and StoreSnapshot. Between replicas, SendMessage also carries forwarded requests.
All times are microseconds of the replica's monotonic clock, unless they are said to be the cluster's.
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
from cedarmill.cluster.pending_requests import Origin, PendingRequests, Placed, Waiting
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

SNAPSHOT_ENTRIES = 2_000  # entries that the log may hold before a snapshot is made
FORWARD_TIMEOUT_US = 3_000_000  # for the leader's reply to a forwarded request

LEADER_CHANGED = "the leader changed: ask again with the same id"

Actions = list[Any]


class StoreSnapshot(msgspec.Struct, frozen=True):
    """Store this snapshot and drop the entries that it covers, then call `on_snapshot_stored`."""

    snapshot: Snapshot


class Replica:
    """One replica: a node of the replicated log, the state that its entries make, and open requests."""

    def __init__(
        self,
        name: str,
        saved: PersistentState,
        now: int,
        seed: int,
        timing: Timing | None = None,
        state: ClusterState | None = None,
    ) -> None:
        """`state` is what to begin with where the saved snapshot is empty."""
        self.name = name
        self.raft = RaftNode(name, saved, now, seed, timing)
        data = saved.snapshot.data
        self.state: ClusterState = decode_snapshot(data) if data else state or ClusterState()
        self.leadership = Leadership(now)
        # replies to what an earlier start forwarded may still come: tokens begin elsewhere at each start
        self.pending = PendingRequests(last_token=(seed & 0xFFFFFFFF) << 24)
        self.duties = LeaderDuties(self, now)
        self.on_applied: Callable[[Entry], None] | None = None  # called for each entry before it is applied
        self.router = RequestRouter(self)
        self._actions: Actions = []
        self._open_proposals: set[str] = set()  # what waits to be agreed, so that it is proposed once
        self._newly_elected = False

    # Events.

    def on_message(self, now: int, source: str, message: ReplicaMessage) -> Actions:
        """A message of another replica."""
        if isinstance(message, ForwardRequest):
            token = self.pending.new_token()
            self.pending.origins[token] = Origin(source, message.id)
            self.router.route(now, token, message.request)
        elif isinstance(message, ForwardReply):
            if (forwarded := self.pending.forwarded.pop(message.id, None)) is not None:
                self.emit(Reply(forwarded.token, message.reply))
        else:
            self.run_raft(now, MessageReceived(source, message))
        return self.take_actions(now)

    def on_request(self, now: int, token: int, request: ClientRequest) -> Actions:
        """A member or an operator asks; a Reply follows, or none while this replica is partitioned."""
        self.router.route(now, token, request)
        return self.take_actions(now)

    def on_time(self, now: int) -> Actions:
        """Time has passed; to be called at `due` at the latest."""
        self.run_raft(now, TimeAdvanced())
        for token in self.pending.expire_forwarded(now - FORWARD_TIMEOUT_US):
            self.router.reply(token, Unavailable("the leader did not answer"))
        return self.take_actions(now)

    def transfer_leadership(self, now: int) -> Actions:
        """This replica is about to end: let another one lead."""
        self.run_raft(now, TransferLeadership())
        return self.take_actions(now)

    def on_synced(self, now: int, index: int) -> Actions:
        """Everything to be saved up to that index is on the disk."""
        self.run_raft(now, PersistenceCompleted(index))
        return self.take_actions(now)

    def on_snapshot_stored(self, now: int, snapshot: Snapshot) -> Actions:
        """The snapshot is on the disk."""
        self.run_raft(now, SnapshotPersisted(snapshot))
        return self.take_actions(now)

    @property
    def due(self) -> int:
        """When to call `on_time` at the latest."""
        return min(self.raft.deadline, self.duties.due) if self.is_leader else self.raft.deadline

    @property
    def is_leader(self) -> bool:
        """Whether it holds itself for the leader; `raft.leads(now)` asks whether that is certain."""
        return self.raft.role.value == "leader"

    def cluster_time(self, now: int) -> int:
        """The cluster's time, at a leader."""
        return self.leadership.cluster_time(now)

    def snapshot(self) -> Snapshot:
        """The state with all that was applied, as a backup."""
        index = self.raft.commit_index
        return Snapshot(index, self.raft.log.term(index), self.raft.config, encode_snapshot(self.state))

    def store_snapshot(self) -> None:
        """Ask for a snapshot to be stored; not while a change of the replicas is not agreed yet."""
        if self.raft.config_index <= self.raft.commit_index:
            self.emit(StoreSnapshot(self.snapshot()))

    def emit(self, action: object) -> None:
        """Add an action for the adapter."""
        self._actions.append(action)

    def take_actions(self, now: int) -> Actions:
        """What is due after an event, and the actions since the last time; each event calls it."""
        if self.is_leader and self.duties.is_due(now) and self.raft.leads(now):
            self._open_proposals.clear()
            self.duties.carry_out(now)
        log = self.raft.log
        if len(log.entries) > SNAPSHOT_ENTRIES and self.raft.commit_index > log.snapshot.index:
            self.store_snapshot()
        actions, self._actions = self._actions, []
        return actions

    # The replicated log.

    def run_raft(self, now: int, event: Event) -> None:
        """Hand an event to the log and carry out what concerns the state; the rest is the adapter's."""
        for action in self.raft.step(now, event):
            handler = self._RAFT_ACTIONS.get(type(action))
            if handler is None:
                self.emit(action)
            else:
                handler(self, now, action)
        if self._newly_elected:  # before anything else is proposed
            self._newly_elected = False
            self.propose(now, HaltGrants(self.cluster_time(now), NEW_LEADER_HALT))

    def propose(self, now: int, command: Command, waiting: Waiting | None = None) -> None:
        """Propose a command; the request that waits for it, if any, gets its outcome."""
        own_token = self.pending.new_token()
        if waiting is not None:
            self.pending.proposed[own_token] = waiting
        self.run_raft(now, ProposeCommand(dispatch.encode(command), own_token))

    def propose_once(self, now: int, key: str, command: Command) -> None:
        """Propose a command, unless one of that key was proposed since the leader's last duties."""
        if key not in self._open_proposals:
            self._open_proposals.add(key)
            self.propose(now, command)

    def _commit(self, now: int, action: ApplyEntries) -> None:
        for entry in action.entries:
            if self.on_applied is not None:
                self.on_applied(entry)
            outcome = None
            if entry.kind == EntryKind.COMMAND:
                outcome = dispatch.apply(self.state, entry.index, entry.data)
            placed = self.pending.placed.pop(entry.index, None)
            if placed is not None:
                self._reply_placed(entry, placed, outcome)

    def _reply_placed(self, entry: Entry, placed: Placed, outcome: RequestOutcome | None) -> None:
        token, request = placed.waiting
        if placed.term != entry.term:
            self.router.reply(token, Unavailable(LEADER_CHANGED))
        elif isinstance(request, SubmitRequest | ChangeReplicas):
            self.router.reply(token, self.router.operator_requests.outcome(request, outcome))

    def _install(self, now: int, action: RestoreSnapshot) -> None:
        data = action.snapshot.data
        self.state = decode_snapshot(data) if data else ClusterState()
        self.pending.placed.clear()
        self.emit(action)

    def _accepted(self, now: int, action: ProposalAccepted) -> None:
        self.pending.place(action.token, action.index, action.term)

    def _rejected(self, now: int, action: RequestRejected) -> None:
        if (waiting := self.pending.reject(action.token)) is not None:
            self.router.reply(waiting.token, Unavailable(action.reason, action.leader))

    def _confirmed(self, now: int, action: LeadershipConfirmed) -> None:
        if (waiting := self.pending.reads.pop(action.token, None)) is not None:
            self.router.answer_read(now, waiting)

    def _role_changed(self, now: int, action: RoleChanged) -> None:
        self.emit(action)
        if action.leads:
            self.leadership = Leadership(now, elected_at=now, time_at_election=self.state.clock)
            self.duties.begin(now)
            self._newly_elected = True
        else:
            self._reject_all(action.leader)
        self._open_proposals.clear()

    def _reject_all(self, leader: str) -> None:
        """No longer the leader: what was proposed here may or may not be agreed."""
        for waiting in self.pending.proposed.values():
            self.router.reply(waiting.token, Unavailable("no longer the leader", leader))
        for placed in self.pending.placed.values():
            self.router.reply(placed.waiting.token, Unavailable(LEADER_CHANGED, leader))
        self.pending.proposed.clear()
        self.pending.placed.clear()

    _RAFT_ACTIONS: ClassVar[dict[type, Callable[["Replica", int, Any], None]]] = {
        ApplyEntries: _commit,
        RestoreSnapshot: _install,
        ProposalAccepted: _accepted,
        RequestRejected: _rejected,
        LeadershipConfirmed: _confirmed,
        RoleChanged: _role_changed,
    }
