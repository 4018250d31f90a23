"""Messages between members, operators and replicas; the frames of `net/peers.py` carry them.

Tags and keys are those with which the protocol began: `rename` maps each field to its key. All times and
ages are microseconds.
"""

from typing import NamedTuple

import msgspec

from cedarmill.fleet.agree.words import Message
from cedarmill.fleet.evidence import Digest
from cedarmill.fleet.former_names import former_field
from cedarmill.fleet.overload import Cut
from cedarmill.fleet.state import UnitOrder, UnitReport
from cedarmill.fleet.state_machine.commands import AnyRequest
from cedarmill.fleet.zones import Row

# Sessions of members.


class ExecutorObservation(msgspec.Struct, array_like=True, frozen=True):
    """An executor as one node observes it."""

    listing: str  # by discovery: ready, draining, gone
    failing: bool = False  # by the node's own attempts
    recently_tried: bool = True  # otherwise the node says nothing of whether it is failing
    zone: str = ""
    type: str = ""
    group: str = ""
    slots: int = 1
    started_ms: int = 0


class Heartbeat(
    msgspec.Struct,
    tag="beat",
    frozen=True,
    rename={
        "incarnation": "life",
        "sequence": "seq",
        "orders_epoch": "epoch",
        "stops_at_lease_expiry": "stops",
        "was_suspended": "doubts",
        "drained": "done",
        "held_grants": "held",
        "executors": "seen",
        "ended_members": "ended",
        "request_counts": "counts",
        "probe_results": "reached",
        "leader_timestamp": "stamp",
        "timestamp_age_us": "since",
        "budget_demand": "wants",
    },
):
    """A member renews its session, and reports what has changed since the last answered heartbeat."""

    kind: str
    name: str
    incarnation: str  # each start of the process is another one
    sequence: int
    orders_epoch: int  # of the orders that it follows
    term: int = 0  # of the leader that answered last: a new one is told everything
    zone: str = ""
    address: str = ""
    version: str = ""
    unit_type: str = ""
    stops_at_lease_expiry: bool = False
    was_suspended: bool = False  # it stood still itself, so what it observed then proves nothing
    leaving: bool = False  # it ends, and has nothing in flight
    drained: dict[str, int] = {}  # targets with which it is done: epochs of their grants
    held_grants: dict[str, int] = {}  # `kind:name` of targets that it holds to be out: epochs of the grants
    executors: dict[str, ExecutorObservation] = {}
    units: dict[str, UnitReport] = {}
    ended_members: list[str] = []  # keys of members that a process supervisor has seen end
    request_counts: tuple[int, int, int, int] = (0, 0, 0, 0)  # all, failed, late, rejected since its start
    probe_results: dict[str, bool] = {}  # whether members that it was asked to probe answered
    digest: Digest | None = None  # what a node observes of zones, now and then
    leader_timestamp: int = -1  # the newest of that term; with its age it tells the leader how old at most
    timestamp_age_us: int = 0  # this heartbeat is, whatever the clocks show
    budget_demand: dict[str, int] = {}  # thousandths a second, by budget

    epoch = former_field("orders_epoch")

    @property
    def member_key(self) -> str:
        """The key of the member in the state."""
        return f"{self.kind}:{self.name}:{self.incarnation}"


class RouteWeights(msgspec.Struct, array_like=True, frozen=True):
    """Where nodes of one zone send requests, by how far these may go (bound); weights are thousandths."""

    epoch: int
    zone: str
    reachable_zones: dict[str, list[str]]  # by bound, the zones in which a request may run
    weights: dict[str, Row]  # by bound
    fallback_weights: dict[str, dict[str, Row]] = {}  # by zone that is not reached: the weights instead
    closed_zones: dict[str, int] = {}  # that get nothing, whatever is lost: epochs of their permits

    reach = former_field("reachable_zones")
    shut = former_field("closed_zones")


class Orders(
    msgspec.Struct,
    frozen=True,
    rename={
        "excluded_executors": "out",
        "drain_clients_epoch": "away",
        "routes": "way",
        "admission_cut": "cut",
        "scoped_cuts": "tight",
        "budget_leases": "purse",
        "membership_epoch": "peers",
    },
):
    """All that a member is to follow, under one epoch."""

    epoch: int
    excluded_executors: dict[str, int] = {}  # that get no new requests: epochs of their grants
    drain_clients_epoch: int = 0  # of the grant by which this node is to drain its clients; 0: it serves
    units: dict[str, UnitOrder] = {}  # what a process supervisor is to run
    routes: RouteWeights | None = None  # of a node, where zones are planned
    admission_cut: Cut = Cut()  # of a node: requests that it rejects at once
    scoped_cuts: dict[str, Cut] = {}  # by bound, where that is stricter
    budget_leases: dict[str, tuple[int, int]] = {}  # by budget: lease and floor, thousandths a second
    membership_epoch: int = 0  # of a node that gossips: asks who is there if this is new

    out = former_field("excluded_executors")
    away = former_field("drain_clients_epoch")
    way = former_field("routes")
    cut = former_field("admission_cut")
    tight = former_field("scoped_cuts")
    purse = former_field("budget_leases")
    peers = former_field("membership_epoch")


class HeartbeatReply(
    msgspec.Struct,
    tag="beaten",
    frozen=True,
    rename={
        "sequence": "seq",
        "lease_us": "lease",
        "members_to_probe": "look",
        "leader_timestamp": "stamp",
    },
):
    """The session holds for `lease_us` from when the heartbeat was sent; 0: there is no session yet."""

    sequence: int
    lease_us: int
    term: int
    orders: Orders | None = None
    members_to_probe: dict[str, str] = {}  # addresses of members of which nothing is heard
    leader_timestamp: int = -1  # by the leader's clock


class Probe(msgspec.Struct, tag="ping", frozen=True):
    """Asks which incarnation answers here; members probe each other."""

    name: str


class ProbeReply(msgspec.Struct, tag="pong", frozen=True, rename={"incarnation": "life"}):
    """This one does."""

    name: str
    incarnation: str

    life = former_field("incarnation")


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
    permits: list[PermitSummary] = []
    release_id: int = 0


class ReadRequest(msgspec.Struct, tag="look", frozen=True, rename={"view": "what"}):
    """Asks for a view of the state by its name; see `views.VIEWS`."""

    view: str
    kind: str = ""
    names: list[str] = []


class ReadReply(msgspec.Struct, tag="shown", frozen=True, rename={"body": "text"}):
    """The view, as JSON (a backup: as MessagePack)."""

    body: bytes

    text = former_field("body")


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

    facts = former_field("reports")
    stamp = former_field("timestamp")
    echo = former_field("echoed_timestamp")
    since = former_field("echo_age_us")


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


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """The first frame of a connection: who connects, as what, to which cluster."""

    cluster: str
    name: str
    role: str  # keeper (a replica), or client (a member or an operator)
    disk: str = ""  # of a replica: the disk that has made its promises,
    boot: int = 0  # and how often it has started on it


class ConnectionRejected(msgspec.Struct, tag="refused", frozen=True):
    """The connection is not accepted."""

    reason: str
