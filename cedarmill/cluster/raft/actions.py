"""The actions that `RaftNode.step` returns, for the host to carry out in order.

The host must finish every PersistTermAndVote, PersistEntries and RestoreSnapshot durably before it carries
out any SendMessage.
"""

import enum

import msgspec

from cedarmill.cluster.raft.messages import Entry, Message, Snapshot


class RejectionReason(enum.StrEnum):
    """Reason for a rejected request; the value is the text shown to the caller."""

    NOT_LEADER = "not the leader"
    LEADERSHIP_LOST = "no longer the leader"
    TRANSFERRING = "handing over"
    CHANGE_PENDING = "another change of the keepers is not agreed yet"
    TERM_NOT_COMMITTED = "nothing of this term is agreed yet"
    NO_VOTER_LEFT = "no voter would be left"


class PersistTermAndVote(msgspec.Struct, frozen=True):
    """Write the current term and the candidate that this replica voted for in that term."""

    term: int
    voted_for: str


class PersistEntries(msgspec.Struct, frozen=True):
    """Write entries, which replace the log from the index of the first entry onwards."""

    entries: tuple[Entry, ...]


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Write a snapshot, drop the entries it covers, and replace the state of the state machine with it."""

    snapshot: Snapshot


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to the replica `target`, without a guarantee of delivery."""

    target: str
    message: Message


class ApplyEntries(msgspec.Struct, frozen=True):
    """Apply committed entries to the state machine."""

    entries: tuple[Entry, ...]


class ProposalAccepted(msgspec.Struct, frozen=True):
    """Report that a proposal was appended at `index`.

    The proposal is committed when the entry applied at `index` has the term `term`.
    """

    token: int
    index: int
    term: int


class RequestRejected(msgspec.Struct, frozen=True):
    """Report that a request was rejected; `leader` is the replica to retry at, or empty if unknown."""

    token: int
    reason: RejectionReason
    leader: str = ""


class LeadershipConfirmed(msgspec.Struct, frozen=True):
    """Report that this replica was the leader when the request arrived.

    `index` is at least the commit index of that moment, so a read that has applied the log up to `index` is
    linearizable.
    """

    token: int
    index: int


class RoleChanged(msgspec.Struct, frozen=True):
    """Report a change of the role, the leader or the term; `is_leader` tells whether this replica leads."""

    is_leader: bool
    leader: str
    term: int


class RaiseAlarm(msgspec.Struct, frozen=True):
    """Alert an operator."""

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
