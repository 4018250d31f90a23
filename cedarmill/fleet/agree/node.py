"""A keeper's part in the agreed log: elections, replication, snapshots, changes of the cluster; no I/O.

After Raft (Ongaro, `Consensus: Bridging Theory and Practice`, 2014), with pre-vote (9.6), check-quorum
(6.2), read index (6.4), hand-over (3.10), members changed one at a time (4.1, with the amendment that a
leader first commits an entry of its own term). Times are microseconds of this keeper's own clock, which
only moves forward; no two keepers' clocks are compared.

The adapter carries actions out in order, with one rule: what is to be kept is on the disk before anything is
sent. It then says PersistenceCompleted, and only then does this keeper count itself among those that have
the entries.
"""

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cedarmill.fleet.agree.actions import (
    Action,
    ApplyEntries,
    LeadershipConfirmed,
    PersistEntries,
    PersistTermAndVote,
    ProposalAccepted,
    RaiseAlarm,
    RejectionReason,
    RequestRejected,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
)
from cedarmill.fleet.agree.events import (
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
from cedarmill.fleet.agree.log import Log
from cedarmill.fleet.agree.messages import (
    AppendEntries,
    AppendEntriesReply,
    Config,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    Message,
    Peer,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
)

IN_FLIGHT = 8  # appends to one follower that are not answered yet
BATCH = 64  # entries in one append
BATCH_BYTES = 64 * 1024
PART_BYTES = 32 * 1024  # of a snapshot in one message
CATCH_UP = 16  # entries that one to be made a voter may lack
NOBODY = ""
_CONFIG = msgspec.msgpack.Decoder(Config)


@dataclass(frozen=True, slots=True)
class Timing:
    """In microseconds. An election time-out is drawn between one and two times `election`."""

    heartbeat: int = 100_000
    election: int = 600_000


class Part(enum.Enum):
    """What a keeper is."""

    FOLLOWER = "follower"
    ASKING = "asking"  # whether it would be elected, before it raises its term
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Saved:
    """What a keeper starts from. `doubtful`: its disk may have lost what it had promised."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()
    doubtful: bool = False


class Follower:
    """What a leader knows of another keeper."""

    __slots__ = ("next", "match", "out", "probing", "heard", "round", "offset", "sent_part")

    def __init__(self, next_index: int, now: int) -> None:
        self.next, self.match = next_index, 0
        self.out = 0  # appends with entries on their way
        self.probing = True  # one at a time till one has matched
        self.heard = now  # when it last answered
        self.round = 0  # the last heartbeat that it answered
        self.offset = 0  # of the snapshot that it is being sent
        self.sent_part = False  # whether a part is on its way


class Agree:
    """One keeper."""

    def __init__(self, name: str, saved: Saved, now: int, seed: int, timing: Timing | None = None) -> None:
        self.name, self.timing = name, timing or Timing()
        self.term, self.vote = saved.term, saved.vote
        self.log = Log(saved.snapshot, saved.entries)
        self.doubtful = saved.doubtful
        self.commit = saved.snapshot.index
        self.applied = saved.snapshot.index
        self.synced = self.log.last
        self.part = Part.FOLLOWER
        self.leader = NOBODY
        self.config: Config = {}
        self.config_index = 0
        self._dice = random.Random(f"{seed}/{name}")
        self._read_config()
        self.votes: dict[str, bool] = {}
        self.followers: dict[str, Follower] = {}
        self.round = 0
        self.round_at: dict[int, int] = {}  # when each heartbeat left that is not confirmed yet
        self.confirmed_at = now  # when the newest heartbeat left that a majority has answered
        self.reads: list[tuple[int, int]] = []  # token, and the heartbeat to be answered
        self.handing: str | None = None  # to whom, while it lasts
        self.handing_till = 0
        self.parts: tuple[tuple, bytearray] | None = None  # a snapshot that is coming
        self.heard_leader = now - 2 * self.timing.election  # when a leader last spoke
        self.due = 0
        self._actions: list[Action] = []
        self._wait_for_leader(now)
        self._events = {
            MessageReceived: lambda now, e: self._heard(now, e.source, e.message),
            TimeAdvanced: lambda now, e: self._passed(now),
            ProposeCommand: self._propose,
            ChangeMembership: self._change,
            ConfirmLeadership: self._read,
            TransferLeadership: self._hand_over,
            PersistenceCompleted: self._on_synced,
            SnapshotPersisted: self._kept,
        }
        self._messages = {
            RequestVote: self._on_vote,
            RequestVoteReply: self._on_voted,
            AppendEntries: self._on_append,
            AppendEntriesReply: self._on_appended,
            InstallSnapshot: self._on_part,
            InstallSnapshotReply: self._on_took,
            TimeoutNow: self._on_lead,
        }

    def step(self, now: int, event: Event) -> list[Action]:
        """Take an event; what follows of it."""
        self._actions = []
        if self.part is Part.LEADER and self._stood_still(now):
            self._become_follower(now, self.term, NOBODY)
        self._events[type(event)](now, event)
        return self._actions

    # Who is there.

    @property
    def voters(self) -> list[str]:
        return [name for name, peer in self.config.items() if peer.voter]

    @property
    def others(self) -> list[str]:
        return [name for name in self.config if name != self.name]

    @property
    def votes_here(self) -> bool:
        return self.name in self.config and self.config[self.name].voter

    def _majority(self, names: list[str] | set[str]) -> bool:
        voters = self.voters
        return 2 * len([name for name in voters if name in names]) > len(voters)

    def _most_have(self, own: int, of: Callable[[str], int]) -> int:
        """The highest number that a majority of the voters has reached; there must be voters."""
        reached = sorted((own if name == self.name else of(name) for name in self.voters), reverse=True)
        return reached[len(reached) // 2]

    def _read_config(self) -> None:
        """The newest change holds from the moment it stands in the log."""
        self.config_index, text = self.log.config()
        self.config = dict(self.log.snapshot.config) if text is None else _CONFIG.decode(text)

    def _stood_still(self, now: int) -> bool:
        """Whether a leader was away for so long that another may have been elected meanwhile."""
        return now - self.confirmed_at > self.timing.election and len(self.voters) > 1

    def leads(self, now: int) -> bool:
        """Whether it may act as the leader at this moment."""
        return self.part is Part.LEADER and not self._stood_still(now)

    # Time.

    def _wait_for_leader(self, now: int) -> None:
        self.due = now + self.timing.election + self._dice.randrange(self.timing.election)

    def _passed(self, now: int) -> None:
        if now < self.due:
            return
        if self.part is Part.LEADER:
            self._beat(now)
        elif self.votes_here and not self.doubtful:
            self._ask(now)
        else:
            self._wait_for_leader(now)

    # Elections.

    def _ask(self, now: int, forced: bool = False) -> None:
        """Ask for votes: first whether there would be any, then, with the term raised, for themselves."""
        self.leader = NOBODY
        if forced:
            self._stand(now, True)
            return
        self.part, self.votes = Part.ASKING, {self.name: True}
        self._wait_for_leader(now)
        self._ask_all(self.term + 1, True, False)
        self._count(now)

    def _stand(self, now: int, forced: bool = False) -> None:
        self.part, self.votes = Part.CANDIDATE, {self.name: True}
        self._set_term(self.term + 1, self.name)
        self._wait_for_leader(now)
        self._ask_all(self.term, False, forced)
        self._count(now)

    def _ask_all(self, term: int, pre: bool, forced: bool) -> None:
        for name in self.voters:
            if name != self.name:
                self._send(name, RequestVote(term, self.log.last, self.log.last_term, pre, forced))

    def _count(self, now: int) -> None:
        if not self._majority({name for name, granted in self.votes.items() if granted}):
            return
        if self.part is Part.ASKING:
            self._stand(now)
        elif self.part is Part.CANDIDATE:
            self._become_leader(now)

    def _on_vote(self, now: int, source: str, message: RequestVote) -> None:
        """Vote for who knows at least as much, unless a leader is alive."""
        stable = now - self.heard_leader < self.timing.election or self.leads(now)
        if stable and not message.leadership_transfer:
            self._send(source, RequestVoteReply(self.term, False, message.pre_vote))
            return
        knows = (message.last_log_term, message.last_log_index) >= (self.log.last_term, self.log.last)
        if message.pre_vote:
            granted = knows and message.term > self.term and not self.doubtful
            self._send(source, RequestVoteReply(message.term if granted else self.term, granted, True))
            return
        if message.term > self.term:
            self._become_follower(now, message.term, NOBODY)
        granted = message.term == self.term and knows and self.vote in (NOBODY, source) and not self.doubtful
        if granted:
            self._set_term(self.term, source)
            self._wait_for_leader(now)
        self._send(source, RequestVoteReply(self.term, granted, False))

    def _on_voted(self, now: int, source: str, message: RequestVoteReply) -> None:
        if not message.vote_granted and message.term > self.term:
            self._become_follower(now, message.term, NOBODY)
            return
        wanted = {Part.ASKING: (True, self.term + 1), Part.CANDIDATE: (False, self.term)}.get(self.part)
        if wanted == (message.pre_vote, message.term):
            self.votes[source] = message.vote_granted
            self._count(now)

    def _set_term(self, term: int, vote: str) -> None:
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self._actions.append(PersistTermAndVote(term, vote))

    def _become_follower(self, now: int, term: int, leader: str) -> None:
        was = self.part, self.leader, self.term
        self.part, self.leader = Part.FOLLOWER, leader
        if term > self.term:
            self._set_term(term, NOBODY)
        if was[0] is Part.LEADER:
            self._give_up_leading(now)
        if (self.part, self.leader, self.term) != was:
            self._actions.append(RoleChanged(False, leader, self.term))

    def _give_up_leading(self, now: int) -> None:
        for token, _ in self.reads:
            self._actions.append(RequestRejected(token, RejectionReason.LEADERSHIP_LOST))
        self.reads, self.followers, self.handing = [], {}, None
        self.round_at.clear()
        self._wait_for_leader(now)

    def _become_leader(self, now: int) -> None:
        self.part, self.leader, self.handing = Part.LEADER, self.name, None
        self.followers = {name: Follower(self.log.last + 1, now) for name in self.others}
        self.reads, self.confirmed_at = [], now
        self.round_at.clear()
        self._actions.append(RoleChanged(True, self.name, self.term))
        self._put(EntryKind.NOOP, b"")  # what came before is agreed when this is
        self._beat(now)

    # Replication.

    def _put(self, kind: int, data: bytes) -> int:
        entry = Entry(self.log.last + 1, self.term, kind, data)
        self.log.put((entry,))
        self._actions.append(PersistEntries((entry,)))
        if kind == EntryKind.CONFIG:
            self._read_config()
        return entry.index

    def _beat(self, now: int) -> None:
        """A heartbeat to all, with what each lacks; a leader that too few answer gives up."""
        self.due = now + self.timing.heartbeat
        self.round += 1
        self.round_at[self.round] = now
        self._confirm(now)
        if self.part is not Part.LEADER:
            return
        self._check_hand_over(now)
        for name in self.others:
            follower = self.followers.setdefault(name, Follower(self.log.last + 1, now))
            follower.sent_part = False  # what was lost is sent again
            if follower.out >= IN_FLIGHT or now - follower.heard > 4 * self.timing.heartbeat:
                follower.out, follower.probing = 0, True
                follower.next = max(follower.match + 1, min(follower.next, self.log.last + 1))
            self._feed(name, follower, True)

    def _feed(self, name: str, follower: Follower, beat: bool = False) -> None:
        """Send a follower what it lacks, as far as may be on its way at once; at least a heartbeat."""
        if follower.next < self.log.first:
            self._feed_snapshot(name, follower)
            return
        sent = False
        while follower.next <= self.log.last and follower.out < (1 if follower.probing else IN_FLIGHT):
            entries = self.log.slice(follower.next, BATCH, BATCH_BYTES)
            self._send_append(name, follower.next - 1, entries)
            follower.out += 1
            sent = True
            if follower.probing:
                break
            follower.next = entries[-1].index + 1
        if beat and not sent:
            self._send_append(name, min(follower.next - 1, self.log.last), ())

    def _send_append(self, name: str, prev: int, entries: tuple[Entry, ...]) -> None:
        message = AppendEntries(self.term, prev, self.log.term(prev), entries, self.commit, self.round)
        self._send(name, message)

    def _feed_all(self) -> None:
        for name in self.others:
            if name in self.followers:
                self._feed(name, self.followers[name])

    def _on_append(self, now: int, source: str, message: AppendEntries) -> None:
        if message.term < self.term:
            self._send(source, AppendEntriesReply(self.term, False, self.log.last, message.heartbeat_round))
            return
        self._follow(now, source, message.term)
        prev, entries = message.previous_log_index, message.entries
        if prev < self.log.snapshot.index:  # what the snapshot holds is agreed
            entries = tuple(entry for entry in entries if entry.index > self.log.snapshot.index)
            prev = min(self.log.snapshot.index, prev + len(message.entries))
        elif self.log.term(prev) != message.previous_log_term:
            self._send(
                source,
                AppendEntriesReply(
                    self.term,
                    False,
                    self._may_match(prev, message.previous_log_term),
                    message.heartbeat_round,
                ),
            )
            return
        for place, entry in enumerate(entries):
            if self.log.term(entry.index) != entry.term:
                self._take(entries[place:])
                break
        last = entries[-1].index if entries else prev
        if message.leader_commit > self.commit:
            self._commit_to(min(message.leader_commit, last))
        if self.doubtful and last >= message.leader_commit:
            self.doubtful = False  # it has again all that was agreed
        self._send(source, AppendEntriesReply(self.term, True, last, message.heartbeat_round))

    def _take(self, entries: tuple[Entry, ...]) -> None:
        self.log.put(entries)
        self.synced = min(self.synced, entries[0].index - 1)
        self._actions.append(PersistEntries(entries))
        self._read_config()

    def _may_match(self, prev: int, term: int) -> int:
        """The last index up to which this log may be the leader's: whole terms are passed over at once."""
        index = min(prev - 1, self.log.last)
        while index > self.log.snapshot.index and self.log.term(index) > term:
            index -= 1
        return index

    def _follow(self, now: int, leader: str, term: int) -> None:
        if term > self.term or self.part is not Part.FOLLOWER or self.leader != leader:
            self._become_follower(now, term, leader)
        self.heard_leader = now
        self._wait_for_leader(now)

    def _on_appended(self, now: int, source: str, message: AppendEntriesReply) -> None:
        follower = self._answered(now, source, message)
        if follower is None:
            return
        if message.success:
            follower.out = max(0, follower.out - 1)
            follower.probing, follower.offset = False, 0
            follower.match = max(follower.match, message.match_index)
            follower.next = max(follower.next, message.match_index + 1)
            self._agree(now)
            self._promote(now, source)
            if self.handing == source and follower.match == self.log.last:
                self._send(source, TimeoutNow(self.term))
        else:
            follower.out, follower.probing = 0, True
            if message.match_index < follower.match:
                self._regressed(source, follower, message.match_index)
            follower.next = max(1, message.match_index + 1)
        if self.part is Part.LEADER:
            self._feed(source, follower)

    def _regressed(self, name: str, follower: Follower, index: int) -> None:
        """It lacks what it had said to have: its disk is an old one, or has lost what was synced."""
        text = (
            f"keeper {name} had entries up to {follower.match} and now up to {index}: an old or faulty disk"
        )
        self._actions.append(RaiseAlarm(text))
        follower.match = 0

    def _answered(
        self, now: int, source: str, message: AppendEntriesReply | InstallSnapshotReply
    ) -> Follower | None:
        """A follower has answered: its heartbeat counts; None where it is not this leader's any longer."""
        if message.term > self.term:
            self._become_follower(now, message.term, NOBODY)
        follower = self.followers.get(source)
        if self.part is not Part.LEADER or message.term < self.term or follower is None:
            return None
        follower.heard = now
        if message.heartbeat_round > follower.round:
            follower.round = message.heartbeat_round
            self._confirm(now)
        return follower if self.part is Part.LEADER else None

    def _confirm(self, now: int) -> None:
        """Which heartbeat a majority has answered, and what waits for that."""
        if not self.voters:
            return
        agreed = self._most_have(self.round, self._round_of)
        if agreed in self.round_at:
            self.confirmed_at = max(self.confirmed_at, self.round_at[agreed])
        for old in [number for number in self.round_at if number <= agreed]:
            del self.round_at[old]
        if self._stood_still(now):  # check-quorum: too few hear this leader
            self._become_follower(now, self.term, NOBODY)
            return
        self._answer_reads()

    def _round_of(self, name: str) -> int:
        return self.followers[name].round if name in self.followers else 0

    def _agree(self, now: int) -> None:
        """What a majority has on its disk is agreed, if it is of this term."""
        if not self.voters:
            return
        index = self._most_have(self.synced, self._match_of)
        if index > self.commit and self.log.term(index) == self.term:
            self._commit_to(index)
            self._answer_reads()
            self._after_commit(now)

    def _match_of(self, name: str) -> int:
        return self.followers[name].match if name in self.followers else 0

    def _commit_to(self, index: int) -> None:
        index = min(index, self.log.last)
        if index <= self.commit:
            return
        entries = self.log.between(self.commit, index)
        self.commit = self.applied = index
        self._actions.append(ApplyEntries(entries))

    def _after_commit(self, now: int) -> None:
        """A leader that the agreed cluster does not hold any longer goes."""
        if self.commit >= self.config_index and not self.votes_here:
            self._feed_all()
            self._become_follower(now, self.term, NOBODY)

    def _on_synced(self, now: int, event: PersistenceCompleted) -> None:
        self.synced = min(event.index, self.log.last)
        if self.part is Part.LEADER:
            self._agree(now)
            if self.part is Part.LEADER:
                self._feed_all()

    # Proposals, reads, hand-over.

    def _may_propose(self, now: int, token: int) -> bool:
        if not self.leads(now):
            self._actions.append(RequestRejected(token, RejectionReason.NOT_LEADER, self.leader))
            return False
        if self.handing is not None:
            self._actions.append(RequestRejected(token, RejectionReason.TRANSFERRING, self.handing))
            return False
        return True

    def _propose(self, now: int, event: ProposeCommand) -> None:
        if self._may_propose(now, event.token):
            index = self._put(EntryKind.COMMAND, event.data)
            self._actions.append(ProposalAccepted(event.token, index, self.term))

    def _change(self, now: int, event: ChangeMembership) -> None:
        if not self._may_propose(now, event.token):
            return
        if self.config_index > self.commit:
            self._actions.append(RequestRejected(event.token, RejectionReason.CHANGE_PENDING))
            return
        if self.log.term(self.commit) != self.term:
            self._actions.append(RequestRejected(event.token, RejectionReason.TERM_NOT_COMMITTED))
            return
        config = dict(self.config)
        if event.peer is None:
            config.pop(event.name, None)
        else:
            config[event.name] = event.peer
        if not any(peer.voter for peer in config.values()):
            self._actions.append(RequestRejected(event.token, RejectionReason.NO_VOTER_LEFT))
            return
        index = self._put(EntryKind.CONFIG, msgspec.msgpack.encode(config))
        self._actions.append(ProposalAccepted(event.token, index, self.term))

    def _promote(self, now: int, name: str) -> None:
        """One that was added votes once it is nearly up to date."""
        peer = self.config.get(name)
        if peer is None or peer.voter or self.config_index > self.commit:
            return
        if self.followers[name].match + CATCH_UP < self.log.last or self.log.term(self.commit) != self.term:
            return
        config = {**self.config, name: Peer(peer.address, True, peer.disk)}
        self._put(EntryKind.CONFIG, msgspec.msgpack.encode(config))

    def _read(self, now: int, event: ConfirmLeadership) -> None:
        if not self.leads(now):
            self._actions.append(RequestRejected(event.token, RejectionReason.NOT_LEADER, self.leader))
            return
        self.reads.append((event.token, self.round + 1))
        if len(self.voters) == 1:
            self._beat(now)
        elif event.immediate:
            self.due = now

    def _answer_reads(self) -> None:
        """Those whose heartbeat a majority has answered, once something of this term is agreed."""
        if self.log.term(self.commit) != self.term:
            return
        agreed = self._most_have(self.round, self._round_of)
        ready = [read for read in self.reads if read[1] <= agreed]
        self.reads = [read for read in self.reads if read[1] > agreed]
        for token, _ in ready:
            self._actions.append(LeadershipConfirmed(token, self.commit))

    def _hand_over(self, now: int, event: TransferLeadership) -> None:
        if not self.leads(now):
            return
        names = [name for name in self.voters if name != self.name and name in self.followers]
        target = event.target or max(names, key=self._match_of, default="")
        if target not in names:
            return
        self.handing, self.handing_till = target, now + 2 * self.timing.election
        if self._match_of(target) == self.log.last:
            self._send(target, TimeoutNow(self.term))

    def _check_hand_over(self, now: int) -> None:
        if self.handing is not None and now > self.handing_till:
            self.handing = None  # it did not come to lead: go on

    def _on_lead(self, now: int, source: str, message: TimeoutNow) -> None:
        if message.term == self.term and self.leader == source and self.votes_here and not self.doubtful:
            self._ask(now, forced=True)

    # Snapshots.

    def _kept(self, now: int, event: SnapshotPersisted) -> None:
        if self.log.snapshot.index < event.snapshot.index <= self.commit:
            self.log.compact(event.snapshot)

    def _feed_snapshot(self, name: str, follower: Follower) -> None:
        """The next part, one at a time; a heartbeat sends a lost one again."""
        if follower.sent_part:
            return
        snapshot = self.log.snapshot
        if follower.offset >= max(1, len(snapshot.data)):
            follower.offset = 0
        data = snapshot.data[follower.offset : follower.offset + PART_BYTES]
        done = follower.offset + len(data) >= len(snapshot.data)
        follower.sent_part = True
        self._send(
            name,
            InstallSnapshot(
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.config,
                follower.offset,
                data,
                done,
                self.round,
            ),
        )

    def _on_part(self, now: int, source: str, message: InstallSnapshot) -> None:
        if message.term < self.term:
            self._send(
                source,
                InstallSnapshotReply(self.term, message.last_included_index, 0, message.heartbeat_round),
            )
            return
        self._follow(now, source, message.term)
        if message.last_included_index <= self.commit:
            self._send(source, AppendEntriesReply(self.term, True, self.commit, message.heartbeat_round))
            return
        key = (source, message.term, message.last_included_index)
        if self.parts is None or self.parts[0] != key:
            self.parts = key, bytearray()
        held = self.parts[1]
        if message.offset == len(held):
            held += message.data
            if message.done:
                self._install(message, bytes(held))
                self._send(
                    source,
                    AppendEntriesReply(self.term, True, message.last_included_index, message.heartbeat_round),
                )
                return
        self._send(
            source,
            InstallSnapshotReply(self.term, message.last_included_index, len(held), message.heartbeat_round),
        )

    def _install(self, message: InstallSnapshot, data: bytes) -> None:
        snapshot = Snapshot(message.last_included_index, message.last_included_term, message.config, data)
        self.parts = None
        if self.log.term(message.last_included_index) == message.last_included_term:
            self.log.compact(snapshot)
        else:
            self.log = Log(snapshot)
        self.commit = self.applied = message.last_included_index
        self.synced = self.log.last
        self.doubtful = False
        self._read_config()
        self._actions.append(RestoreSnapshot(snapshot))

    def _on_took(self, now: int, source: str, message: InstallSnapshotReply) -> None:
        follower = self._answered(now, source, message)
        if follower is None:
            return
        follower.sent_part = False
        if message.last_included_index == self.log.snapshot.index:
            follower.offset = message.next_offset
        else:
            follower.offset = 0
        self._feed(source, follower)

    # Messages.

    def _heard(self, now: int, source: str, message: Message) -> None:
        """A stranger may only be one that does not know yet that it was taken in, or taken out."""
        if (
            source not in self.config
            and self.config
            and not isinstance(message, AppendEntries | InstallSnapshot | RequestVote)
        ):
            return
        self._messages[type(message)](now, source, message)

    def _send(self, target: str, message: Message) -> None:
        self._actions.append(SendMessage(target, message))
