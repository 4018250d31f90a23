"""The actions that `RaftNode.step` returns, for its host to carry out in order.

All PersistTermAndVote, PersistEntries and RestoreSnapshot have to be on the disk before any SendMessage
leaves.
"""

import enum

import msgspec

from cedarmill.cluster.raft.messages import Entry, Message, Snapshot


class RejectionReason(enum.StrEnum):
    """Why a request was rejected, in the words that its caller is shown."""

    NOT_LEADER = "not the leader"
    LEADERSHIP_LOST = "no longer the leader"
    TRANSFERRING = "handing over"
    CHANGE_PENDING = "another change of the keepers is not agreed yet"
    TERM_NOT_COMMITTED = "nothing of this term is agreed yet"
    NO_VOTER_LEFT = "no voter would be left"


class PersistTermAndVote(msgspec.Struct, frozen=True):
    """Write the current term, and who got this replica's vote in it."""

    term: int
    vote: str


class PersistEntries(msgspec.Struct, frozen=True):
    """Write these entries; they replace all of the log from the first one's index on."""

    entries: tuple[Entry, ...]


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Write this snapshot, drop the log that it covers, and replace the state machine's state by it."""

    snapshot: Snapshot


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to the replica `target`; it may get lost."""

    target: str
    message: Message


class ApplyEntries(msgspec.Struct, frozen=True):
    """These entries are committed: apply them to the state machine."""

    entries: tuple[Entry, ...]


class ProposalAccepted(msgspec.Struct, frozen=True):
    """The proposal is in the log at `index`; it is committed once an entry of this term is applied there."""

    token: int
    index: int
    term: int


class RequestRejected(msgspec.Struct, frozen=True):
    """The request was not taken; `leader` is the replica to ask instead, empty if not known."""

    token: int
    reason: RejectionReason
    leader: str = ""


class LeadershipConfirmed(msgspec.Struct, frozen=True):
    """This replica led when the request came, and all entries committed by then are up to `index`."""

    token: int
    index: int


class RoleChanged(msgspec.Struct, frozen=True):
    """The replica's role, its leader or its term has changed; `leads`: this replica is the leader."""

    leads: bool
    leader: str
    term: int


class RaiseAlarm(msgspec.Struct, frozen=True):
    """Tell an operator."""

    text: str


Action = (
    PersistTermAndVote
    | PersistEntries
    | RestoreSnapshot
    | SendMessage
    | ApplyEntries
    | ProposalAccepted
    | RequestRejected
    | LeadershipConfirmed
    | RoleChanged
    | RaiseAlarm
)
