"""What keepers say to each other, what they keep, and what the core asks of its adapter."""

import msgspec

NOOP, COMMAND, CONFIG = 0, 1, 2


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log; `kind` is NOOP, COMMAND or CONFIG."""

    index: int
    term: int
    kind: int
    data: bytes = b""


class Peer(msgspec.Struct, array_like=True, frozen=True):
    """A keeper of the cluster; one that does not vote yet is being brought up to date.

    `disk` names the disk that has made this keeper's promises: another one under its name is a stranger.
    """

    address: str
    voter: bool = True
    disk: str = ""


Config = dict[str, Peer]


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state up to an index, and the cluster as it was then."""

    index: int
    term: int
    config: Config
    data: bytes


# What keepers send each other. Every message names its term; `round` counts a leader's heartbeats.


class Vote(msgspec.Struct, tag="vote", frozen=True):
    """Asks for a vote; `pre`: would you, if I asked? `forced`: the leader itself hands over."""

    term: int
    last_index: int
    last_term: int
    pre: bool
    forced: bool = False


class Voted(msgspec.Struct, tag="voted", frozen=True):
    term: int
    granted: bool
    pre: bool


class Append(msgspec.Struct, tag="append", frozen=True):
    """Entries that follow `prev`, none for a heartbeat, and what is agreed so far."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(msgspec.Struct, tag="appended", frozen=True):
    """`index`: the last that matches the leader's log if `ok`, else the last that may."""

    term: int
    ok: bool
    index: int
    round: int


class Part(msgspec.Struct, tag="part", frozen=True):
    """A piece of a snapshot, from `offset` on."""

    term: int
    index: int
    last_term: int
    config: Config
    offset: int
    data: bytes
    done: bool
    round: int


class Took(msgspec.Struct, tag="took", frozen=True):
    """How much of the snapshot has come."""

    term: int
    index: int
    offset: int
    round: int


class Lead(msgspec.Struct, tag="lead", frozen=True):
    """The leader hands over: stand for election now."""

    term: int


Message = Vote | Voted | Append | Appended | Part | Took | Lead

# Events of the core.


class Heard(msgspec.Struct, frozen=True):
    """A message has come from a keeper."""

    source: str
    message: Message


class Passed(msgspec.Struct, frozen=True):
    """Time has passed: `due` is over."""


class Propose(msgspec.Struct, frozen=True):
    """Put a command into the log; `token` comes back in Accepted or Rejected."""

    data: bytes
    token: int


class Change(msgspec.Struct, frozen=True):
    """Change the cluster by one keeper: add it (it will vote once it is up to date), or `peer` None:
    remove.
    """

    name: str
    peer: Peer | None
    token: int


class Read(msgspec.Struct, frozen=True):
    """Ask whether this keeper still leads; `token` comes back in Confirmed, or in Rejected.

    Unless it is to `hurry`, it waits for the next heartbeat: what comes often must not make more of them.
    """

    token: int
    hurry: bool = True


class HandOver(msgspec.Struct, frozen=True):
    """Make that keeper the leader; an empty name: the one that is furthest."""

    name: str = ""


class Synced(msgspec.Struct, frozen=True):
    """All that was asked to be kept up to this index is on the disk."""

    index: int


class Kept(msgspec.Struct, frozen=True):
    """The state up to an index was put into a snapshot: the log before it may go."""

    snapshot: Snapshot


Event = Heard | Passed | Propose | Change | Read | HandOver | Synced | Kept

# Actions for the adapter, to be carried out in order; all Save, Put and Cut are on the disk before any Send.


class Save(msgspec.Struct, frozen=True):
    """Keep the term and the vote."""

    term: int
    vote: str


class Put(msgspec.Struct, frozen=True):
    """Keep these entries; what the log has from the first one's index on is replaced."""

    entries: tuple[Entry, ...]


class Install(msgspec.Struct, frozen=True):
    """Keep this snapshot, drop the log, and take the state out of it."""

    snapshot: Snapshot


class Send(msgspec.Struct, frozen=True):
    target: str
    message: Message


class Commit(msgspec.Struct, frozen=True):
    """These entries are agreed: apply them."""

    entries: tuple[Entry, ...]


class Accepted(msgspec.Struct, frozen=True):
    """The command stands in the log at that index and term; agreed it is when it is committed so."""

    token: int
    index: int
    term: int


class Rejected(msgspec.Struct, frozen=True):
    """Not here, not now: `leader` is who may know, if any."""

    token: int
    reason: str
    leader: str = ""


class Confirmed(msgspec.Struct, frozen=True):
    """This keeper led when Read came, and all agreed till then is up to `index`."""

    token: int
    index: int


class Role(msgspec.Struct, frozen=True):
    """This keeper's part has changed: `leads`, and who does."""

    leads: bool
    leader: str
    term: int


class Alarm(msgspec.Struct, frozen=True):
    """Something that an operator has to know."""

    text: str


Action = Save | Put | Install | Send | Commit | Accepted | Rejected | Confirmed | Role | Alarm
