"""Log replication: heartbeats, entries and the commit index (thesis, 3.5, 3.6 and 6.2)."""

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
from cedarmill.cluster.raft.state import NO_REPLICA, NodeState
from cedarmill.cluster.raft.transfer import LeadershipTransfer

MAX_BATCH_ENTRIES = 64  # entries in one AppendEntries
MAX_BATCH_BYTES = 64 * 1024  # bytes of data in one AppendEntries with more than one entry
MAX_SILENT_HEARTBEATS = 4  # heartbeat intervals without a reply before entries in flight count as lost


class Replicator:
    """Leader side of replication: sends the log to followers and commits entries persisted by a majority."""

    def __init__(
        self,
        state: NodeState,
        membership: MembershipChanges,
        read_index: ReadIndex,
        transfer: LeadershipTransfer,
    ) -> None:
        self._state = state
        self._membership = membership
        self._read_index = read_index
        self._transfer = transfer
        self._snapshot_sender = SnapshotSender(state)

    # Sending.

    def send_heartbeats(self, now: int) -> None:
        """Start a heartbeat round and send each follower a heartbeat or its missing entries.

        The leader steps down instead if it has lost contact with a majority.
        """
        state, leader_state = self._state, self._state.leader_state
        state.deadline = now + state.timing.heartbeat_interval
        leader_state.heartbeat_round += 1
        leader_state.heartbeats_sent_at[leader_state.heartbeat_round] = now
        self._update_confirmed_heartbeats(now)
        if state.role is not Role.LEADER:
            return
        self._transfer.check_deadline(now)
        last_index = state.log.last_index
        for name in state.cluster.other_replicas:
            progress = leader_state.progress.setdefault(name, FollowerProgress(last_index + 1, now))
            progress.is_chunk_in_flight = False  # An unanswered chunk is sent again.
            if progress.is_stalled(now, MAX_SILENT_HEARTBEATS * state.timing.heartbeat_interval):
                progress.start_probing(last_index)
            self._replicate_to(name, progress, is_heartbeat=True)

    def _replicate_to(self, name: str, progress: FollowerProgress, is_heartbeat: bool = False) -> None:
        """Send missing entries or a snapshot chunk to a follower, within the limits on messages in flight.

        With `is_heartbeat`, an empty AppendEntries is sent if there are no entries to send.
        """
        state = self._state
        if progress.next_index < state.log.first_index:
            self._snapshot_sender.send_chunk(name, progress)
            return
        has_sent_entries = False
        while progress.next_index <= state.log.last_index and progress.can_send:
            entries = state.log.batch_from(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
            self._send_entries(name, progress.next_index - 1, entries)
            progress.in_flight_batches += 1
            has_sent_entries = True
            if progress.is_probing:
                break  # `next_index` does not advance until the follower replies.
            progress.next_index = entries[-1].index + 1
        if is_heartbeat and not has_sent_entries:
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
        progress_by_name = self._state.leader_state.progress
        for name in self._state.cluster.other_replicas:
            if name in progress_by_name:
                self._replicate_to(name, progress_by_name[name])

    # Replies of followers and completed disk writes.

    def on_append_entries_reply(self, now: int, source: str, reply: AppendEntriesReply) -> None:
        """Update the follower's progress from its reply, advance the commit index and send more entries."""
        progress = self._record_reply(now, source, reply)
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
        """Send the next snapshot chunk after a follower has acknowledged one."""
        progress = self._record_reply(now, source, reply)
        if progress is not None:
            self._snapshot_sender.on_reply(progress, reply)
            self._replicate_to(source, progress)

    def on_persistence_completed(self, now: int, event: PersistenceCompleted) -> None:
        """Count this replica's own copy of the written entries towards a majority (thesis, 10.2.1)."""
        state = self._state
        state.persisted_index = min(event.index, state.log.last_index)
        if state.role is Role.LEADER:
            self.advance_commit_index(now)
        if state.role is Role.LEADER:
            self._replicate_to_all()

    def _record_reply(
        self, now: int, source: str, reply: AppendEntriesReply | InstallSnapshotReply
    ) -> FollowerProgress | None:
        """Record a reply and return the follower's progress, or None if this replica is not the leader."""
        state = self._state
        if reply.term > state.term:
            state.become_follower(now, reply.term, NO_REPLICA)
        progress = state.leader_state.progress.get(source)
        if state.role is not Role.LEADER or reply.term < state.term or progress is None:
            return None
        progress.last_contact = now
        if reply.heartbeat_round > progress.heartbeat_round:
            progress.heartbeat_round = reply.heartbeat_round
            self._update_confirmed_heartbeats(now)
        return progress if self._state.role is Role.LEADER else None

    def _report_lost_entries(self, name: str, progress: FollowerProgress, index: int) -> None:
        """Raise an alarm because a follower has lost entries that it had acknowledged."""
        text = (
            f"replica {name} acknowledged entries up to {progress.match_index} but now ends at {index}: "
            "the disk is faulty or was restored from an old copy"
        )
        self._state.emit(RaiseAlarm(text))

    def _update_confirmed_heartbeats(self, now: int) -> None:
        """Update the newest heartbeat round answered by a majority, and confirm the reads waiting for it.

        The leader steps down if no majority answers its heartbeats within an election timeout (6.2).
        """
        state, leader_state = self._state, self._state.leader_state
        if not state.cluster.voters:
            return
        confirmed_round = state.cluster.majority_value(
            leader_state.heartbeat_round, leader_state.heartbeat_round_of
        )
        sent_at = leader_state.heartbeats_sent_at
        if confirmed_round in sent_at:
            leader_state.quorum_confirmed_at = max(leader_state.quorum_confirmed_at, sent_at[confirmed_round])
        for heartbeat_round in [sent_round for sent_round in sent_at if sent_round <= confirmed_round]:
            del sent_at[heartbeat_round]
        if state.has_lost_quorum_contact(now):
            state.become_follower(now, state.term, NO_REPLICA)
            return
        self._read_index.confirm_reads()

    # Commit.

    def advance_commit_index(self, now: int) -> None:
        """Commit the entries persisted by a majority, if the last one is of the current term (3.6.2)."""
        state = self._state
        if not state.cluster.voters:
            return
        index = state.cluster.majority_value(state.persisted_index, state.leader_state.match_index_of)
        if index > state.commit_index and state.log.term(index) == state.term:
            state.commit_up_to(index)
            self._read_index.confirm_reads()
            self._step_down_if_removed(now)

    def _step_down_if_removed(self, now: int) -> None:
        """Replicate the commit and step down once a configuration without this voter is committed (4.2.2)."""
        state = self._state
        if state.commit_index >= state.cluster.index and not state.cluster.is_voter:
            self._replicate_to_all()
            state.become_follower(now, state.term, NO_REPLICA)


class EntriesReceiver:
    """Follower side of replication: makes the log of this replica match the leader's log."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def on_append_entries(self, now: int, source: str, message: AppendEntries) -> None:
        """Store entries that extend a matching log, and reply with the index up to which the logs match."""
        state = self._state
        if message.term < state.term:
            self._reply(source, message, False, state.log.last_index)
            return
        state.accept_leader(now, source, message.term)
        previous_index, entries = message.previous_log_index, message.entries
        snapshot_index = state.log.snapshot.index
        if previous_index < snapshot_index:  # Entries in the snapshot are committed, so they match.
            entries = tuple(entry for entry in entries if entry.index > snapshot_index)
            previous_index = min(snapshot_index, previous_index + len(message.entries))
        elif state.log.term(previous_index) != message.previous_log_term:
            match_index = self._last_possible_match(previous_index, message.previous_log_term)
            self._reply(source, message, False, match_index)
            return
        self._store_new_entries(entries)
        last_index = entries[-1].index if entries else previous_index
        if message.leader_commit > state.commit_index:
            state.commit_up_to(min(message.leader_commit, last_index))
        if state.needs_catch_up and last_index >= message.leader_commit:
            state.needs_catch_up = False  # The log holds all committed entries again.
        self._reply(source, message, True, last_index)

    def _store_new_entries(self, entries: tuple[Entry, ...]) -> None:
        """Store the entries from the first one that is missing from the log or has another term there."""
        for position, entry in enumerate(entries):
            if self._state.log.term(entry.index) != entry.term:
                self._state.store_entries(entries[position:])
                return

    def _last_possible_match(self, previous_index: int, previous_term: int) -> int:
        """Return the last index at which the logs may match, skipping whole newer terms (thesis, 3.5)."""
        log = self._state.log
        index = min(previous_index - 1, log.last_index)
        while index > log.snapshot.index and log.term(index) > previous_term:
            index -= 1
        return index

    def _reply(self, target: str, message: AppendEntries, success: bool, match_index: int) -> None:
        reply = AppendEntriesReply(self._state.term, success, match_index, message.heartbeat_round)
        self._state.send(target, reply)
