"""Log compaction, and snapshot transfer to followers that need compacted entries (thesis, 5.1)."""

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

CHUNK_BYTES = 32 * 1024  # bytes of snapshot data in one message


class SnapshotSender:
    """Sends the leader's snapshot one chunk at a time; a heartbeat sends an unanswered chunk again."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def send_chunk(self, name: str, progress: FollowerProgress) -> None:
        """Send the next chunk unless one is in flight."""
        if progress.is_chunk_in_flight:
            return
        state, snapshot = self._state, self._state.log.snapshot
        if progress.snapshot_offset >= max(1, len(snapshot.data)):
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        data = snapshot.data[offset : offset + CHUNK_BYTES]
        progress.is_chunk_in_flight = True
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
        """Continue at the offset in the reply, or restart if the reply refers to another snapshot."""
        progress.is_chunk_in_flight = False
        is_current = reply.last_included_index == self._state.log.snapshot.index
        progress.snapshot_offset = reply.next_offset if is_current else 0


@dataclass(slots=True)
class _IncomingSnapshot:
    """A partially received snapshot."""

    leader: str
    term: int
    last_included_index: int
    data: bytearray = field(default_factory=bytearray)

    def matches(self, leader: str, message: InstallSnapshot) -> bool:
        return (self.leader, self.term, self.last_included_index) == (
            leader,
            message.term,
            message.last_included_index,
        )


class SnapshotReceiver:
    """Installs snapshots from the leader, and compacts the log with snapshots made by the host."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._incoming: _IncomingSnapshot | None = None

    def on_persisted(self, event: SnapshotPersisted) -> None:
        """Drop the entries covered by a snapshot that the host has persisted."""
        snapshot, log = event.snapshot, self._state.log
        if log.snapshot.index < snapshot.index <= self._state.commit_index:
            log.compact(snapshot)

    def on_install_snapshot(self, now: int, source: str, message: InstallSnapshot) -> None:
        """Append a chunk to the incoming snapshot, and install the snapshot after the last chunk."""
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
        """Return the received data of the message's snapshot; a new snapshot replaces an incomplete one."""
        incoming = self._incoming
        if incoming is None or not incoming.matches(source, message):
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
