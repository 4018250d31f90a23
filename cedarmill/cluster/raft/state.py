"""The state of one replica of the log, and the steps that change it (Raft, figure 2).

The modules that decide (election, replication, snapshots, membership, reads, transfer) share one `NodeState`.
Times are microseconds of this replica's own monotonic clock; clocks of two replicas are never compared.
"""

import random
from dataclasses import dataclass, field

from cedarmill.cluster.raft.actions import (
    Action,
    ApplyEntries,
    PersistEntries,
    PersistTermAndVote,
    RejectionReason,
    RequestRejected,
    RoleChanged,
    SendMessage,
)
from cedarmill.cluster.raft.configuration import ClusterConfiguration
from cedarmill.cluster.raft.log import Log
from cedarmill.cluster.raft.messages import Entry, EntryKind, Message, Snapshot
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.roles import Role, check_transition

NOBODY = ""  # in place of a replica's name: no vote given, no leader known


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the protocol, in microseconds.

    A follower waits for a leader between one and two times `election_timeout`.
    """

    heartbeat_interval: int = 100_000
    election_timeout: int = 600_000


@dataclass(slots=True)
class PersistentState:
    """What a replica starts from: what it had on its disk (thesis, 3.8).

    With `needs_catch_up` the disk may have lost votes or entries that the replica had acknowledged: it takes
    no part in elections until it has again all that is committed.
    """

    term: int
    vote: str
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()
    needs_catch_up: bool = False


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a majority has answered a heartbeat that left after it came."""

    token: int
    heartbeat_round: int


@dataclass(slots=True)
class LeaderState:
    """What only a leader needs; all but `heartbeat_round` begins anew with each term that it leads."""

    quorum_confirmed_at: int  # when the newest heartbeat that a majority has answered was sent
    heartbeat_round: int = 0  # the number of the newest heartbeat
    heartbeats_sent_at: dict[int, int] = field(default_factory=dict)  # by round, until a majority answers
    progress: dict[str, FollowerProgress] = field(default_factory=dict)
    pending_reads: list[PendingRead] = field(default_factory=list)
    transfer_target: str | None = None  # to whom leadership is being transferred
    transfer_deadline: int = 0

    def reset(self) -> None:
        """Forget followers, reads and a transfer."""
        self.heartbeats_sent_at.clear()
        self.progress = {}
        self.pending_reads = []
        self.transfer_target = None

    def match_index_of(self, name: str) -> int:
        """Up to which index a follower's log is known to match."""
        return self.progress[name].match_index if name in self.progress else 0

    def heartbeat_round_of(self, name: str) -> int:
        """The newest heartbeat that a follower has answered."""
        return self.progress[name].heartbeat_round if name in self.progress else 0


class NodeState:
    """All that a replica knows, and the actions of the present step."""

    def __init__(self, name: str, persistent: PersistentState, now: int, seed: int, timing: Timing) -> None:
        self.name = name
        self.timing = timing
        self.term = persistent.term
        self.vote = persistent.vote
        self.needs_catch_up = persistent.needs_catch_up
        self.log = Log(persistent.snapshot, persistent.entries)
        self.cluster = ClusterConfiguration(name, self.log)
        self.commit_index = persistent.snapshot.index
        self.persisted_index = self.log.last_index  # up to which the log is on the disk
        self.role = Role.FOLLOWER
        self.leader = NOBODY
        self.leader_state = LeaderState(quorum_confirmed_at=now)
        self.last_leader_contact = now - 2 * timing.election_timeout
        self.deadline = 0  # when the host has to say that time has advanced
        self.actions: list[Action] = []
        self._random = random.Random(f"{seed}/{name}")
        self.restart_election_timer(now)

    def emit(self, action: Action) -> None:
        """Add an action for the host."""
        self.actions.append(action)

    def send(self, target: str, message: Message) -> None:
        """Send a message to a replica."""
        self.emit(SendMessage(target, message))

    # Time.

    def restart_election_timer(self, now: int) -> None:
        """Wait for a leader, for a random time so that few replicas stand at once (thesis, 3.4)."""
        self.deadline = (
            now + self.timing.election_timeout + self._random.randrange(self.timing.election_timeout)
        )

    def lost_quorum_contact(self, now: int) -> bool:
        """Whether a leader has been out of touch for so long that another may have been elected (6.2)."""
        elapsed = now - self.leader_state.quorum_confirmed_at
        return elapsed > self.timing.election_timeout and len(self.cluster.voters) > 1

    def leads(self, now: int) -> bool:
        """Whether this replica may act as the leader at this moment."""
        return self.role is Role.LEADER and not self.lost_quorum_contact(now)

    # Term, vote and role.

    def set_term_and_vote(self, term: int, vote: str) -> None:
        """Change them, and have them persisted."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.emit(PersistTermAndVote(term, vote))

    def change_role(self, role: Role) -> None:
        """Take a role; raises InvalidTransition."""
        check_transition(self.role, role)
        self.role = role

    def become_follower(self, now: int, term: int, leader: str) -> None:
        """Follow a leader, or NOBODY, in a term that is at least the present one."""
        before = self.role, self.leader, self.term
        led = self.role is Role.LEADER
        self.change_role(Role.FOLLOWER)
        self.leader = leader
        if term > self.term:
            self.set_term_and_vote(term, NOBODY)
        if led:
            self._stop_leading(now)
        if (self.role, self.leader, self.term) != before:
            self.emit(RoleChanged(False, leader, self.term))

    def _stop_leading(self, now: int) -> None:
        for read in self.leader_state.pending_reads:
            self.emit(RequestRejected(read.token, RejectionReason.LEADERSHIP_LOST))
        self.leader_state.reset()
        self.restart_election_timer(now)

    def accept_leader(self, now: int, leader: str, term: int) -> None:
        """A leader of this term or a newer one has spoken."""
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != leader:
            self.become_follower(now, term, leader)
        self.last_leader_contact = now
        self.restart_election_timer(now)

    # The log.

    def append_entry(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of this term, as its leader; its index."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.log.replace_from((entry,))
        self.emit(PersistEntries((entry,)))
        if kind is EntryKind.CONFIG:
            self.cluster.reload(self.log)
        return entry.index

    def store_entries(self, entries: tuple[Entry, ...]) -> None:
        """Put a leader's entries in place of what the log holds from the first one's index on."""
        self.log.replace_from(entries)
        self.persisted_index = min(self.persisted_index, entries[0].index - 1)
        self.emit(PersistEntries(entries))
        self.cluster.reload(self.log)

    def commit_up_to(self, index: int) -> None:
        """The entries up to `index` are committed, as far as this log has them."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        entries = self.log.entries_after(self.commit_index, index)
        self.commit_index = index
        self.emit(ApplyEntries(entries))

    @property
    def committed_in_term(self) -> bool:
        """Whether an entry of the present term is committed, so that a leader knows all that is (3.6.2)."""
        return self.log.term(self.commit_index) == self.term
