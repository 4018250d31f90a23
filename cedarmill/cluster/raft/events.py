"""The events that `RaftNode.step` handles: requests, messages, timeouts and completed disk writes.

The caller chooses the `token` of a request; the action that answers the request carries the same token.
"""

import msgspec

from cedarmill.cluster.raft.messages import Message, Peer, Snapshot


class MessageReceived(msgspec.Struct, frozen=True):
    """A message arrived from the replica `source`."""

    source: str
    message: Message


class TimeAdvanced(msgspec.Struct, frozen=True):
    """Time has passed. The host sends this event no later than the `deadline` of the node."""


class ProposeCommand(msgspec.Struct, frozen=True):
    """Request to append a command to the log; answered by ProposalAccepted or RequestRejected."""

    data: bytes
    token: int


class ChangeMembership(msgspec.Struct, frozen=True):
    """Request to add the replica `name`, or to remove it if `peer` is None.

    An added non-voter is promoted to voter once its log has caught up. Answered by ProposalAccepted or
    RequestRejected.
    """

    name: str
    peer: Peer | None
    token: int


class ConfirmLeadership(msgspec.Struct, frozen=True):
    """Request the index up to which a linearizable read must have applied the log (thesis, 6.4).

    Answered by LeadershipConfirmed or RequestRejected. If `immediate` is false, the request waits for the
    next regular heartbeat, so that frequent requests cause no extra heartbeats.
    """

    token: int
    immediate: bool = True


class TransferLeadership(msgspec.Struct, frozen=True):
    """Request to transfer the leadership to the voter `target`, or to the most up-to-date voter if empty."""

    target: str = ""


class PersistenceCompleted(msgspec.Struct, frozen=True):
    """The host has durably written the entries of PersistEntries up to `index`."""

    index: int


class SnapshotPersisted(msgspec.Struct, frozen=True):
    """The host has durably written a snapshot, so the entries it covers can be dropped."""

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
