"""Snapshots: compaction of the log, and transfer to followers that lack compacted entries (thesis, 5.1)."""

from dataclasses import dataclass, field

from cedarmill.cluster.raft.actions import RestoreSnapshot
from cedarmill.cluster.raft.events import SnapshotPersisted
from cedarmill.cluster.raft.log import Log
from cedarmill.cluster.raft.messages import (
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    Snapshot,
)
from cedarmill.cluster.raft.progress import FollowerProgress
from cedarmill.cluster.raft.state import NodeState

CHUNK_BYTES = 32 * 1024  # of a snapshot's data in one message


class SnapshotSender:
    """Sends the leader's snapshot, one chunk at a time; the next heartbeat repeats a lost one."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def send_chunk(self, name: str, progress: FollowerProgress) -> None:
        """Send the next chunk, unless one is in flight."""
        if progress.chunk_in_flight:
            return
        state, snapshot = self._state, self._state.log.snapshot
        if progress.snapshot_offset >= max(1, len(snapshot.data)):
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        data = snapshot.data[offset : offset + CHUNK_BYTES]
        progress.chunk_in_flight = True
        message = InstallSnapshot(
            term=state.term,
            last_included_index=snapshot.index,
            last_included_term=snapshot.term,
            config=snapshot.config,
            offset=offset,
            data=data,
            done=offset + len(data) >= len(snapshot.data),
            heartbeat_round=state.leader_state.heartbeat_round,
        )
        state.send(name, message)

    def on_reply(self, progress: FollowerProgress, reply: InstallSnapshotReply) -> None:
        """Go on where the follower says; from the beginning where it speaks of an older snapshot."""
        progress.chunk_in_flight = False
        is_current = reply.last_included_index == self._state.log.snapshot.index
        progress.snapshot_offset = reply.next_offset if is_current else 0


@dataclass(slots=True)
class _IncomingSnapshot:
    """A snapshot of which some chunks have arrived."""

    leader: str
    term: int
    last_included_index: int
    data: bytearray = field(default_factory=bytearray)

    def belongs_to(self, leader: str, message: InstallSnapshot) -> bool:
        return (self.leader, self.term, self.last_included_index) == (
            leader,
            message.term,
            message.last_included_index,
        )


class SnapshotReceiver:
    """Puts a leader's chunks together and replaces the log; compacts the log by the own snapshots."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._incoming: _IncomingSnapshot | None = None

    def on_persisted(self, event: SnapshotPersisted) -> None:
        """The host has made a snapshot: drop the entries that it covers."""
        snapshot, log = event.snapshot, self._state.log
        if log.snapshot.index < snapshot.index <= self._state.commit_index:
            log.compact(snapshot)

    def on_install_snapshot(self, now: int, source: str, message: InstallSnapshot) -> None:
        """Take a chunk, and the whole snapshot with the last one."""
        state = self._state
        if message.term < state.term:
            self._reply_next_offset(source, message, 0)
            return
        state.accept_leader(now, source, message.term)
        if message.last_included_index <= state.commit_index:
            self._reply_match(source, message, state.commit_index)
            return
        data = self._incoming_data(source, message)
        if message.offset == len(data):
            data += message.data
            if message.done:
                self._install(message, bytes(data))
                self._reply_match(source, message, message.last_included_index)
                return
        self._reply_next_offset(source, message, len(data))

    def _incoming_data(self, source: str, message: InstallSnapshot) -> bytearray:
        """What has arrived of this message's snapshot; only one is taken at a time."""
        incoming = self._incoming
        if incoming is None or not incoming.belongs_to(source, message):
            incoming = _IncomingSnapshot(source, message.term, message.last_included_index)
            self._incoming = incoming
        return incoming.data

    def _install(self, message: InstallSnapshot, data: bytes) -> None:
        state = self._state
        snapshot = Snapshot(message.last_included_index, message.last_included_term, message.config, data)
        self._incoming = None
        if state.log.term(snapshot.index) == snapshot.term:
            state.log.compact(snapshot)
        else:
            state.log = Log(snapshot)
        state.commit_index = snapshot.index
        state.persisted_index = state.log.last_index
        state.needs_catch_up = False
        state.cluster.reload(state.log)
        state.emit(RestoreSnapshot(snapshot))

    def _reply_match(self, target: str, message: InstallSnapshot, match_index: int) -> None:
        reply = AppendEntriesReply(self._state.term, True, match_index, message.heartbeat_round)
        self._state.send(target, reply)

    def _reply_next_offset(self, target: str, message: InstallSnapshot, next_offset: int) -> None:
        reply = InstallSnapshotReply(
            self._state.term, message.last_included_index, next_offset, message.heartbeat_round
        )
        self._state.send(target, reply)
