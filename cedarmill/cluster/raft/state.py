"""The Raft state of one replica and the operations that change it (Raft, figure 2).

Election, replication, snapshots, membership, reads and leadership transfer share one `NodeState`. Times are
microseconds of the replica's own monotonic clock; clocks of different replicas are never compared.
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

NO_REPLICA = ""  # replica name that means "no vote granted" or "leader unknown"


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the protocol, in microseconds.

    A follower starts an election after a random time between one and two times `election_timeout`.
    """

    heartbeat_interval: int = 100_000
    election_timeout: int = 600_000


@dataclass(slots=True)
class PersistentState:
    """State that a replica restores from its disk at startup (thesis, 3.8).

    `needs_catch_up` means that the disk may have lost acknowledged votes or entries. Such a replica neither
    votes nor stands for election until it holds all committed entries again.
    """

    term: int
    voted_for: str
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()
    needs_catch_up: bool = False


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a majority to answer a heartbeat sent after the read arrived."""

    token: int
    heartbeat_round: int


@dataclass(slots=True)
class LeaderState:
    """State of a leader; everything except `heartbeat_round` is reset when a term of leadership starts."""

    quorum_confirmed_at: int  # send time of the newest heartbeat that a majority has answered
    heartbeat_round: int = 0  # number of the newest heartbeat
    heartbeats_sent_at: dict[int, int] = field(default_factory=dict)  # send times by round, until confirmed
    progress: dict[str, FollowerProgress] = field(default_factory=dict)
    pending_reads: list[PendingRead] = field(default_factory=list)
    transfer_target: str | None = None  # receiver of an ongoing leadership transfer
    transfer_deadline: int = 0

    def reset(self) -> None:
        """Clear the followers, the pending reads and the leadership transfer."""
        self.heartbeats_sent_at.clear()
        self.progress = {}
        self.pending_reads = []
        self.transfer_target = None

    def match_index_of(self, name: str) -> int:
        """Return the index up to which a follower's log is known to match, or 0."""
        return self.progress[name].match_index if name in self.progress else 0

    def heartbeat_round_of(self, name: str) -> int:
        """Return the newest heartbeat round that a follower has answered, or 0."""
        return self.progress[name].heartbeat_round if name in self.progress else 0


class NodeState:
    """Raft state of a replica, and the actions collected during the current step."""

    def __init__(self, name: str, persistent: PersistentState, now: int, seed: int, timing: Timing) -> None:
        self.name = name
        self.timing = timing
        self.term = persistent.term
        self.voted_for = persistent.voted_for
        self.needs_catch_up = persistent.needs_catch_up
        self.log = Log(persistent.snapshot, persistent.entries)
        self.cluster = ClusterConfiguration(name, self.log)
        self.commit_index = persistent.snapshot.index
        self.persisted_index = self.log.last_index  # last index known to be on the disk
        self.role = Role.FOLLOWER
        self.leader = NO_REPLICA
        self.leader_state = LeaderState(quorum_confirmed_at=now)
        self.last_leader_contact = now - 2 * timing.election_timeout
        self.deadline = 0  # time when the host has to send TimeAdvanced
        self.actions: list[Action] = []
        self._random = random.Random(f"{seed}/{name}")
        self.restart_election_timer(now)

    def emit(self, action: Action) -> None:
        """Add an action to the result of the current step."""
        self.actions.append(action)

    def send(self, target: str, message: Message) -> None:
        """Emit a SendMessage action."""
        self.emit(SendMessage(target, message))

    # Time.

    def restart_election_timer(self, now: int) -> None:
        """Restart the election timer with a random timeout, to make split votes unlikely (thesis, 3.4)."""
        self.deadline = (
            now + self.timing.election_timeout + self._random.randrange(self.timing.election_timeout)
        )

    def has_lost_quorum_contact(self, now: int) -> bool:
        """Return whether a majority has been silent so long that another leader may be elected (6.2)."""
        elapsed = now - self.leader_state.quorum_confirmed_at
        return elapsed > self.timing.election_timeout and len(self.cluster.voters) > 1

    def is_leading(self, now: int) -> bool:
        """Return whether this replica is the leader and has not lost contact with a majority."""
        return self.role is Role.LEADER and not self.has_lost_quorum_contact(now)

    # Term, vote and role.

    def set_term_and_vote(self, term: int, voted_for: str) -> None:
        """Set the term and the vote, and persist them if they change."""
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self.emit(PersistTermAndVote(term, voted_for))

    def change_role(self, role: Role) -> None:
        """Change the role; raise InvalidTransition if the change is not allowed."""
        check_transition(self.role, role)
        self.role = role

    def become_follower(self, now: int, term: int, leader: str) -> None:
        """Become a follower of `leader`, or of NO_REPLICA if unknown, in the current or a newer term."""
        previous_state = self.role, self.leader, self.term
        was_leader = self.role is Role.LEADER
        self.change_role(Role.FOLLOWER)
        self.leader = leader
        if term > self.term:
            self.set_term_and_vote(term, NO_REPLICA)
        if was_leader:
            self._stop_leading(now)
        if (self.role, self.leader, self.term) != previous_state:
            self.emit(RoleChanged(False, leader, self.term))

    def _stop_leading(self, now: int) -> None:
        for read in self.leader_state.pending_reads:
            self.emit(RequestRejected(read.token, RejectionReason.LEADERSHIP_LOST))
        self.leader_state.reset()
        self.restart_election_timer(now)

    def accept_leader(self, now: int, leader: str, term: int) -> None:
        """Record contact from a leader of the current or a newer term, and follow that leader."""
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != leader:
            self.become_follower(now, term, leader)
        self.last_leader_contact = now
        self.restart_election_timer(now)

    # The log.

    def append_entry(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of the current term as the leader, and return its index."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.log.replace_from((entry,))
        self.emit(PersistEntries((entry,)))
        if kind is EntryKind.CONFIG:
            self.cluster.reload(self.log)
        return entry.index

    def store_entries(self, entries: tuple[Entry, ...]) -> None:
        """Replace the log from the index of the first entry onwards with entries from the leader."""
        self.log.replace_from(entries)
        self.persisted_index = min(self.persisted_index, entries[0].index - 1)
        self.emit(PersistEntries(entries))
        self.cluster.reload(self.log)

    def commit_up_to(self, index: int) -> None:
        """Commit the entries up to `index`, as far as they are in the log."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        entries = self.log.entries_after(self.commit_index, index)
        self.commit_index = index
        self.emit(ApplyEntries(entries))

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of the current term is committed.

        From then on, the commit index of a leader includes all committed entries (3.6.2).
        """
        return self.log.term(self.commit_index) == self.term
