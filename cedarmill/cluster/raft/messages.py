"""Log entries, snapshots and the messages between replicas (Raft, figures 2 and 13).

These types are encoded as MessagePack on the wire and on disk. Tags and `rename` keep the encoded names
stable, so that replicas of different versions stay compatible and old logs stay readable.
"""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """Purpose of a log entry."""

    NOOP = 0  # first entry of a leader's term; its commit also commits the entries of earlier terms
    COMMAND = 1  # a command for the state machine
    CONFIG = 2  # a new cluster configuration, in effect once it is appended to the log


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry.

    `kind` holds an `EntryKind` as a plain integer, so that entries of kinds added by later versions can be
    decoded.
    """

    index: int
    term: int
    kind: int
    data: bytes = b""


class Peer(msgspec.Struct, array_like=True, frozen=True):
    """A replica in the cluster configuration; a non-voter is still catching up with the log.

    `address` is HOST:PORT. `disk` identifies the disk that holds the votes and entries which the replica has
    acknowledged; a process with the same name and another disk is not the same replica.
    """

    address: str
    is_voter: bool = True
    disk: str = ""


Config = dict[str, Peer]  # the cluster configuration: replicas by name


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """State of the state machine after the entry at `index`, with the term and configuration there."""

    index: int
    term: int
    config: Config
    data: bytes


# Every message carries the sender's term. `heartbeat_round` counts the heartbeat rounds of a leader, and a
# follower returns the number from the message that it replies to.


class RequestVote(
    msgspec.Struct,
    tag="vote",
    rename={
        "last_log_index": "last_index",
        "last_log_term": "last_term",
        "pre_vote": "pre",
        "leadership_transfer": "forced",
    },
    frozen=True,
):
    """Request for a vote from a candidate (thesis, 3.4).

    With `pre_vote`, the sender asks whether the vote would be granted and has not raised its term (9.6). With
    `leadership_transfer`, the leader itself started the election, so voters grant the vote although there is
    a live leader (4.2.3).
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteReply(
    msgspec.Struct, tag="voted", rename={"vote_granted": "granted", "pre_vote": "pre"}, frozen=True
):
    """Reply to RequestVote."""

    term: int
    vote_granted: bool
    pre_vote: bool


class AppendEntries(
    msgspec.Struct,
    tag="append",
    rename={
        "previous_log_index": "prev_index",
        "previous_log_term": "prev_term",
        "leader_commit": "commit",
        "heartbeat_round": "round",
    },
    frozen=True,
):
    """Entries that follow `previous_log_index`; a heartbeat may have none (thesis, 3.5)."""

    term: int
    previous_log_index: int
    previous_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    heartbeat_round: int


class AppendEntriesReply(
    msgspec.Struct,
    tag="appended",
    rename={"success": "ok", "match_index": "index", "heartbeat_round": "round"},
    frozen=True,
):
    """Reply to AppendEntries and to the last chunk of InstallSnapshot.

    `match_index` is the last index at which the logs match. Without `success`, it is the last index at which
    the logs may match.
    """

    term: int
    success: bool
    match_index: int
    heartbeat_round: int


class InstallSnapshot(
    msgspec.Struct,
    tag="part",
    rename={
        "last_included_index": "index",
        "last_included_term": "last_term",
        "heartbeat_round": "round",
    },
    frozen=True,
):
    """Chunk of a snapshot at `offset` (bytes); `done` marks the last chunk (thesis, 5.1)."""

    term: int
    last_included_index: int
    last_included_term: int
    config: Config
    offset: int
    data: bytes
    done: bool
    heartbeat_round: int


class InstallSnapshotReply(
    msgspec.Struct,
    tag="took",
    rename={"last_included_index": "index", "next_offset": "offset", "heartbeat_round": "round"},
    frozen=True,
):
    """Reply to a chunk when the snapshot is not complete; `next_offset` (bytes) is the next chunk to send."""

    term: int
    last_included_index: int
    next_offset: int
    heartbeat_round: int


class TimeoutNow(msgspec.Struct, tag="lead", frozen=True):
    """Request from the leader to start an election at once, to transfer the leadership (thesis, 3.10)."""

    term: int


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
)
