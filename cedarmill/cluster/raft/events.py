"""The events that `RaftNode.step` takes: requests of the replica that hosts the log, and what has happened.

Each request has a `token` of the caller's choice that comes back in the action that answers it.
"""

import msgspec

from cedarmill.cluster.raft.messages import Message, Peer, Snapshot


class MessageReceived(msgspec.Struct, frozen=True):
    """A message has arrived from the replica `source`."""

    source: str
    message: Message


class TimeAdvanced(msgspec.Struct, frozen=True):
    """Time has passed; to be told at the node's `deadline` at the latest."""


class ProposeCommand(msgspec.Struct, frozen=True):
    """Append a command to the log; answered by ProposalAccepted or RequestRejected."""

    data: bytes
    token: int


class ChangeMembership(msgspec.Struct, frozen=True):
    """Add the replica `name`, which votes once it is up to date; with `peer` None: remove it.

    Answered by ProposalAccepted or RequestRejected.
    """

    name: str
    peer: Peer | None
    token: int


class ConfirmLeadership(msgspec.Struct, frozen=True):
    """Ask up to which index a read has to have applied the log to be linearizable (thesis, 6.4).

    Answered by LeadershipConfirmed or RequestRejected. Unless `immediate`, the answer waits for the next
    regular heartbeat, so that frequent requests do not cause more heartbeats.
    """

    token: int
    immediate: bool = True


class TransferLeadership(msgspec.Struct, frozen=True):
    """Let the voter `target` lead; an empty name: the one whose log is most up to date."""

    target: str = ""


class PersistenceCompleted(msgspec.Struct, frozen=True):
    """All entries up to `index` that PersistEntries named are on the disk."""

    index: int


class SnapshotPersisted(msgspec.Struct, frozen=True):
    """The host has written this snapshot: the log up to its index may be dropped."""

    snapshot: Snapshot


Event = (
    MessageReceived
    | TimeAdvanced
    | ProposeCommand
    | ChangeMembership
    | ConfirmLeadership
    | TransferLeadership
    | PersistenceCompleted
    | SnapshotPersisted
)
