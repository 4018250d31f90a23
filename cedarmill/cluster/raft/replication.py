"""Replication of the log: heartbeats, entries and the commit index (thesis, 3.5, 3.6 and 6.2)."""

from cedarmill.cluster.raft.actions import RaiseAlarm
from cedarmill.cluster.raft.events import PersistenceCompleted
from cedarmill.cluster.raft.membership import MembershipChanges
from cedarmill.cluster.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshotReply,
)
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.reads import ReadIndex
from cedarmill.cluster.raft.roles import Role
from cedarmill.cluster.raft.snapshots import SnapshotSender
from cedarmill.cluster.raft.state import NOBODY, NodeState
from cedarmill.cluster.raft.transfer import LeadershipTransfer

MAX_BATCH_ENTRIES = 64  # in one AppendEntries
MAX_BATCH_BYTES = 64 * 1024  # of data in one AppendEntries with more than one entry
SILENT_HEARTBEATS = 4  # without an answer, after which entries in flight are taken for lost


class Replicator:
    """The leader's side: sends the log to the followers, and commits what a majority has on its disks."""

    def __init__(
        self, state: NodeState, membership: MembershipChanges, reads: ReadIndex, transfer: LeadershipTransfer
    ) -> None:
        self._state = state
        self._membership = membership
        self._reads = reads
        self._transfer = transfer
        self._snapshots = SnapshotSender(state)

    # Sending.

    def send_heartbeats(self, now: int) -> None:
        """Send a heartbeat to all, with what each lacks; a leader that a majority ignores steps down."""
        state, leader_state = self._state, self._state.leader_state
        state.deadline = now + state.timing.heartbeat_interval
        leader_state.heartbeat_round += 1
        leader_state.heartbeats_sent_at[leader_state.heartbeat_round] = now
        self._confirm_heartbeats(now)
        if state.role is not Role.LEADER:
            return
        self._transfer.check_deadline(now)
        last_index = state.log.last_index
        for name in state.cluster.others:
            progress = leader_state.progress.setdefault(name, FollowerProgress(last_index + 1, now))
            progress.chunk_in_flight = False  # a chunk without an answer is sent again
            if progress.is_stalled(now, SILENT_HEARTBEATS * state.timing.heartbeat_interval):
                progress.restart(last_index)
            self._replicate_to(name, progress, heartbeat=True)

    def _replicate_to(self, name: str, progress: FollowerProgress, heartbeat: bool = False) -> None:
        """Send a follower what it lacks, as far as may be in flight; a `heartbeat` is sent even without."""
        state = self._state
        if progress.next_index < state.log.first_index:
            self._snapshots.send_chunk(name, progress)
            return
        sent = False
        while progress.next_index <= state.log.last_index and progress.can_send:
            entries = state.log.batch_from(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
            self._send_entries(name, progress.next_index - 1, entries)
            progress.in_flight += 1
            sent = True
            if progress.probing:
                break  # `next_index` stays until the probe is answered
            progress.next_index = entries[-1].index + 1
        if heartbeat and not sent:
            self._send_entries(name, min(progress.next_index - 1, state.log.last_index), ())

    def _send_entries(self, name: str, previous_index: int, entries: tuple[Entry, ...]) -> None:
        state = self._state
        message = AppendEntries(
            term=state.term,
            previous_log_index=previous_index,
            previous_log_term=state.log.term(previous_index),
            entries=entries,
            leader_commit=state.commit_index,
            heartbeat_round=state.leader_state.heartbeat_round,
        )
        state.send(name, message)

    def _replicate_to_all(self) -> None:
        progress_of = self._state.leader_state.progress
        for name in self._state.cluster.others:
            if name in progress_of:
                self._replicate_to(name, progress_of[name])

    # Answers of followers, and of the own disk.

    def on_append_entries_reply(self, now: int, source: str, reply: AppendEntriesReply) -> None:
        """A follower's log matches, or does not."""
        progress = self._progress_of_answer(now, source, reply)
        if progress is None:
            return
        if reply.success:
            progress.record_match(reply.match_index)
            self.advance_commit_index(now)
            self._membership.promote_if_caught_up(source)
            self._transfer.on_match(source, progress)
        else:
            if reply.match_index < progress.match_index:
                self._report_lost_entries(source, progress, reply.match_index)
            progress.record_mismatch(reply.match_index)
        if self._state.role is Role.LEADER:
            self._replicate_to(source, progress)

    def on_install_snapshot_reply(self, now: int, source: str, reply: InstallSnapshotReply) -> None:
        """A follower has taken a chunk of the snapshot."""
        progress = self._progress_of_answer(now, source, reply)
        if progress is not None:
            self._snapshots.on_reply(progress, reply)
            self._replicate_to(source, progress)

    def on_persistence_completed(self, now: int, event: PersistenceCompleted) -> None:
        """This replica counts itself among those that have the entries from now on (thesis, 10.2.1)."""
        state = self._state
        state.persisted_index = min(event.index, state.log.last_index)
        if state.role is Role.LEADER:
            self.advance_commit_index(now)
        if state.role is Role.LEADER:
            self._replicate_to_all()

    def _progress_of_answer(
        self, now: int, source: str, reply: AppendEntriesReply | InstallSnapshotReply
    ) -> FollowerProgress | None:
        """Record a follower's answer; None where this replica does not lead, or not any longer."""
        state = self._state
        if reply.term > state.term:
            state.become_follower(now, reply.term, NOBODY)
        progress = state.leader_state.progress.get(source)
        if state.role is not Role.LEADER or reply.term < state.term or progress is None:
            return None
        progress.last_contact = now
        if reply.heartbeat_round > progress.heartbeat_round:
            progress.heartbeat_round = reply.heartbeat_round
            self._confirm_heartbeats(now)
        return progress if self._state.role is Role.LEADER else None

    def _report_lost_entries(self, name: str, progress: FollowerProgress, index: int) -> None:
        """A follower lacks what it had acknowledged: its disk is an old copy, or has lost synced data."""
        text = (
            f"keeper {name} had entries up to {progress.match_index} and now up to {index}: "
            "an old or faulty disk"
        )
        self._state.emit(RaiseAlarm(text))

    def _confirm_heartbeats(self, now: int) -> None:
        """Find the newest heartbeat that a majority has answered, and answer the reads that wait for it.

        A leader whose heartbeats no majority answers within an election timeout steps down (6.2).
        """
        state, leader_state = self._state, self._state.leader_state
        if not state.cluster.voters:
            return
        confirmed = state.cluster.reached_by_majority(
            leader_state.heartbeat_round, leader_state.heartbeat_round_of
        )
        sent_at = leader_state.heartbeats_sent_at
        if confirmed in sent_at:
            leader_state.quorum_confirmed_at = max(leader_state.quorum_confirmed_at, sent_at[confirmed])
        for heartbeat_round in [number for number in sent_at if number <= confirmed]:
            del sent_at[heartbeat_round]
        if state.lost_quorum_contact(now):
            state.become_follower(now, state.term, NOBODY)
            return
        self._reads.answer_confirmed()

    # Commitment.

    def advance_commit_index(self, now: int) -> None:
        """Commit what a majority has on its disks, if it is of this term (3.6.2)."""
        state = self._state
        if not state.cluster.voters:
            return
        index = state.cluster.reached_by_majority(state.persisted_index, state.leader_state.match_index_of)
        if index > state.commit_index and state.log.term(index) == state.term:
            state.commit_up_to(index)
            self._reads.answer_confirmed()
            self._step_down_if_removed(now)

    def _step_down_if_removed(self, now: int) -> None:
        """A leader that is no voter of the committed configuration tells the others, and goes (4.2.2)."""
        state = self._state
        if state.commit_index >= state.cluster.index and not state.cluster.is_voter:
            self._replicate_to_all()
            state.become_follower(now, state.term, NOBODY)


class EntriesReceiver:
    """The follower's side: brings the own log in line with the leader's."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def on_append_entries(self, now: int, source: str, message: AppendEntries) -> None:
        """Take the entries where they fit on the own log; answer how far the logs match."""
        state = self._state
        if message.term < state.term:
            self._reply(source, message, False, state.log.last_index)
            return
        state.accept_leader(now, source, message.term)
        previous_index, entries = message.previous_log_index, message.entries
        snapshot_index = state.log.snapshot.index
        if previous_index < snapshot_index:  # what the snapshot covers is committed, and so matches
            entries = tuple(entry for entry in entries if entry.index > snapshot_index)
            previous_index = min(snapshot_index, previous_index + len(message.entries))
        elif state.log.term(previous_index) != message.previous_log_term:
            match_index = self._last_possible_match(previous_index, message.previous_log_term)
            self._reply(source, message, False, match_index)
            return
        self._store_new(entries)
        last_index = entries[-1].index if entries else previous_index
        if message.leader_commit > state.commit_index:
            state.commit_up_to(min(message.leader_commit, last_index))
        if state.needs_catch_up and last_index >= message.leader_commit:
            state.needs_catch_up = False  # it has again all that is committed
        self._reply(source, message, True, last_index)

    def _store_new(self, entries: tuple[Entry, ...]) -> None:
        """Store the entries from the first one on that the log lacks, or has of another term."""
        for position, entry in enumerate(entries):
            if self._state.log.term(entry.index) != entry.term:
                self._state.store_entries(entries[position:])
                return

    def _last_possible_match(self, previous_index: int, previous_term: int) -> int:
        """The last index up to which the logs may match; passes over whole terms at once (thesis, 3.5)."""
        log = self._state.log
        index = min(previous_index - 1, log.last_index)
        while index > log.snapshot.index and log.term(index) > previous_term:
            index -= 1
        return index

    def _reply(self, target: str, message: AppendEntries, success: bool, match_index: int) -> None:
        reply = AppendEntriesReply(self._state.term, success, match_index, message.heartbeat_round)
        self._state.send(target, reply)
