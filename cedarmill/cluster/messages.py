"""All messages between members, operators and replicas; the frames of `net/framing.py` carry them.

Tags and keys are those with which the protocol began: `rename` maps each field to its key. All times and
ages are microseconds.
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

# Requests of operators.


class SubmitRequest(msgspec.Struct, tag="do", frozen=True):
    """An operator's request that changes the state."""

    request: AnyRequest


class PermitSummary(NamedTuple):
    """A permit that a request has made, as it stands."""

    id: int
    target: str
    state: str
    notes: list[str]
    epoch: int = 0
    drained_at: int = 0


class SubmitReply(msgspec.Struct, tag="did", frozen=True, rename={"release_id": "release"}):
    """The outcome of a request, with the permits or the release that it made."""

    ok: bool
    text: str
    permits: list[Any] = []  # PermitSummary, which comes as a list
    release_id: int = 0

    def summaries(self) -> list[PermitSummary]:
        """The permits that the request has made."""
        return [PermitSummary(*permit) for permit in self.permits]


class ReadRequest(msgspec.Struct, tag="look", frozen=True, rename={"view": "what"}):
    """Asks for a view of the state by its name; see `views.VIEWS`."""

    view: str
    kind: str = ""
    names: list[str] = []


class ReadReply(msgspec.Struct, tag="shown", frozen=True, rename={"body": "text"}):
    """The view, as JSON (a backup: as MessagePack)."""

    body: bytes


class ChangeReplicas(msgspec.Struct, tag="keepers", frozen=True, rename={"action": "act"}):
    """Change the replicas by one (`add`, `remove`), or transfer the leadership (`lead`)."""

    action: str
    name: str = ""
    address: str = ""
    disk: str = ""


class Unavailable(msgspec.Struct, tag="not-here", frozen=True):
    """This replica cannot answer; another one may, asked with the same idempotency key."""

    reason: str
    leader: str = ""


# Gossip between nodes.


class GossipSubscription(msgspec.Struct, tag="use", frozen=True):
    """A node names the executors that it uses: what the other hears of these is to be sent to it."""

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
    """What a node heard from executors itself, never what it was told.

    `timestamp` is by its clock; `echoed_timestamp` is the newest that came from the other side, and
    `echo_age_us` how long ago: they bound the age of what is read, whatever the connection does.
    """

    reports: list[tuple[str, int, tuple[float, ...]]]  # executor, age (us), load report
    timestamp: int
    echoed_timestamp: int = -1
    echo_age_us: int = 0


ClientRequest = Heartbeat | SubmitRequest | ReadRequest | ChangeReplicas | Probe
ClientReply = HeartbeatReply | SubmitReply | ReadReply | Unavailable | ProbeReply
GossipMessage = GossipSubscription | GossipUpdate


# Between replicas.


class ForwardRequest(msgspec.Struct, tag="relay", frozen=True, rename={"request": "ask"}):
    """A replica forwards to the leader what it was asked."""

    id: int
    request: ClientRequest


class ForwardReply(msgspec.Struct, tag="relayed", frozen=True, rename={"reply": "answer"}):
    """The leader's reply to a forwarded request."""

    id: int
    reply: ClientReply


ReplicaMessage = Message | ForwardRequest | ForwardReply


# The beginning of a connection.

REPLICA_ROLE = "keeper"  # the role of a replica in a Hello
MEMBER_ROLE = "client"  # that of a member or an operator


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The first frame of a connection: who connects, as what, to which cluster."""

    cluster: str
    name: str
    role: str  # REPLICA_ROLE or MEMBER_ROLE
    disk: str = ""  # of a replica: the disk that has made its promises,
    boot: int = 0  # and how often it has started on it


class ConnectionRejected(msgspec.Struct, tag="refused", frozen=True):
    """The connection is not accepted."""

    reason: str
