"""Messages between members, operators and replicas, sent in the frames of `net/framing.py`.

Tags and keys on the wire are stable; `rename` maps each field to its key. All times and ages are
microseconds.
"""

from typing import Any, NamedTuple

import msgspec

from cedarmill.cluster.member_messages import (
    ExecutorObservation,
    Heartbeat,
    HeartbeatReply,
    Orders,
    Probe,
    ProbeReply,
    RouteWeights,
)
from cedarmill.cluster.raft.messages import Message
from cedarmill.cluster.state_machine.commands import AnyRequest

__all__ = [
    "MEMBER_ROLE",
    "REPLICA_ROLE",
    "ChangeReplicas",
    "ClientReply",
    "ClientRequest",
    "ConnectionRejected",
    "ExecutorObservation",
    "ForwardReply",
    "ForwardRequest",
    "GossipMessage",
    "GossipSubscription",
    "GossipUpdate",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "Orders",
    "PermitSummary",
    "Probe",
    "ProbeReply",
    "ReadReply",
    "ReadRequest",
    "ReplicaMessage",
    "RouteWeights",
    "SubmitReply",
    "SubmitRequest",
    "Unavailable",
]

# Operator requests.


class SubmitRequest(msgspec.Struct, tag="do", frozen=True):
    """An operator's request that changes the state."""

    request: AnyRequest


class PermitSummary(NamedTuple):
    """The current state of a permit that a request created."""

    id: int
    target: str
    state: str
    notes: list[str]
    epoch: int = 0
    drained_at: int = 0


class SubmitReply(msgspec.Struct, tag="did", frozen=True, rename={"release_id": "release"}):
    """The outcome of a request, with the permits or the release that the request created."""

    ok: bool
    text: str
    permits: list[Any] = []  # PermitSummary tuples, decoded as lists
    release_id: int = 0

    def summaries(self) -> list[PermitSummary]:
        """Return the permits that the request created."""
        return [PermitSummary(*permit) for permit in self.permits]


class ReadRequest(msgspec.Struct, tag="look", frozen=True, rename={"view": "what"}):
    """Asks for a named view of the state; `state_views` defines the views."""

    view: str
    kind: str = ""
    names: list[str] = []


class ReadReply(msgspec.Struct, tag="shown", frozen=True, rename={"body": "text"}):
    """Carries the view as JSON, or a backup as MessagePack."""

    body: bytes


class ChangeReplicas(msgspec.Struct, tag="keepers", frozen=True, rename={"action": "act"}):
    """Adds or removes one replica (`add`, `remove`), or transfers the leadership (`lead`)."""

    action: str
    name: str = ""
    address: str = ""
    disk: str = ""


class Unavailable(msgspec.Struct, tag="not-here", frozen=True):
    """This replica cannot answer; the client may retry elsewhere with the same idempotency key."""

    reason: str
    leader: str = ""


# Gossip between nodes.


class GossipSubscription(msgspec.Struct, tag="use", frozen=True):
    """A node subscribes to the load reports of the executors that it uses."""

    cluster: str
    name: str
    executors: list[str]


class GossipUpdate(
    msgspec.Struct,
    tag="heard",
    frozen=True,
    rename={
        "reports": "facts",
        "timestamp": "stamp",
        "echoed_timestamp": "echo",
        "echo_age_us": "since",
    },
):
    """Load reports that a node received directly from executors, never through gossip.

    `timestamp` is by the sender's clock. `echoed_timestamp` is the newest timestamp that the sender received
    from the other side, `echo_age_us` ago. Together they bound the age of an update despite network delays.
    """

    reports: list[tuple[str, int, tuple[float, ...]]]  # executor, age (us), load report values
    timestamp: int
    echoed_timestamp: int = -1
    echo_age_us: int = 0


ClientRequest = Heartbeat | SubmitRequest | ReadRequest | ChangeReplicas | Probe
ClientReply = HeartbeatReply | SubmitReply | ReadReply | Unavailable | ProbeReply
GossipMessage = GossipSubscription | GossipUpdate


# Messages between replicas.


class ForwardRequest(msgspec.Struct, tag="relay", frozen=True, rename={"request": "ask"}):
    """Carries a client's request from the receiving replica to the leader."""

    id: int
    request: ClientRequest


class ForwardReply(msgspec.Struct, tag="relayed", frozen=True, rename={"reply": "answer"}):
    """The leader's reply to a forwarded request."""

    id: int
    reply: ClientReply


ReplicaMessage = Message | ForwardRequest | ForwardReply


# Connection handshake.

REPLICA_ROLE = "keeper"  # of a replica, in a Hello
MEMBER_ROLE = "client"  # of a member or an operator, in a Hello


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The first frame of a connection: the cluster, and the name and role of the connecting process."""

    cluster: str
    name: str
    role: str  # REPLICA_ROLE or MEMBER_ROLE
    disk: str = ""  # identity of the disk that holds a replica's term, vote and log
    boot: int = 0  # number of starts of the replica on this disk


class ConnectionRejected(msgspec.Struct, tag="refused", frozen=True):
    """Rejects a connection, with the reason."""

    reason: str
