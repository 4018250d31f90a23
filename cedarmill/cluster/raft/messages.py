"""The log's entries and snapshots, and the messages that replicas send each other (Raft, figures 2 and 13).

All of it is encoded as MessagePack between processes and on disk. A renamed message keeps its old tag, and a
renamed field its old key (`rename`), so that replicas of different versions understand each other and old
logs can be read.
"""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """What an entry of the log is for."""

    NOOP = 0  # the first entry of a leader's term, which commits those of earlier terms
    COMMAND = 1  # a command of the state machine
    CONFIG = 2  # a new cluster configuration, in effect from the moment it is in the log


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log.

    `kind` is an `EntryKind`, decoded as a plain integer so that kinds of later versions can be read.
    """

    index: int
    term: int
    kind: int
    data: bytes = b""


class Peer(msgspec.Struct, array_like=True, frozen=True):
    """A replica of the cluster; one that is not a voter yet is still being brought up to date.

    `address` is HOST:PORT. `disk` identifies the disk that holds the votes and entries that this replica has
    acknowledged; a replica of the same name on another disk is a stranger.
    """

    address: str
    voter: bool = True
    disk: str = ""


Config = dict[str, Peer]  # the cluster configuration: the replicas by name


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine after the entry at `index`, with that entry's term and the configuration at it."""

    index: int
    term: int
    config: Config
    data: bytes


# Every message carries its sender's term. `heartbeat_round` counts the heartbeats that a leader has sent; a
# follower returns the number that it received.


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
    """A candidate asks for a vote (thesis, 3.4).

    With `pre_vote` it asks whether the vote would be granted, without having raised its term (9.6). With
    `leadership_transfer` the leader itself has asked for the election, so that a live leader is no reason to
    refuse (4.2.3).
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteReply(
    msgspec.Struct, tag="voted", rename={"vote_granted": "granted", "pre_vote": "pre"}, frozen=True
):
    """The answer to RequestVote."""

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
    """The entries that follow `previous_log_index`, none for a heartbeat (thesis, 3.5)."""

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
    """The answer to AppendEntries, and to the last chunk of InstallSnapshot.

    `match_index` is the last index at which the logs match, or without `success` the last at which they may.
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
    """A chunk of a snapshot, `offset` bytes from its beginning; `done` with the last one (thesis, 5.1)."""

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
    """The answer to a chunk that was not the last one: the offset (bytes) of the chunk to send next."""

    term: int
    last_included_index: int
    next_offset: int
    heartbeat_round: int


class TimeoutNow(msgspec.Struct, tag="lead", frozen=True):
    """The leader transfers its leadership: start an election at once (thesis, 3.10)."""

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
