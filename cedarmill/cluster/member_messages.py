"""Messages between members and replicas: heartbeats, orders, and probes of one member by another.

Tags and keys are those with which the protocol began: `rename` maps each field to its key. All times and
ages are microseconds.
"""

import msgspec

from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.observations.digest import ObservationDigest
from cedarmill.cluster.release_state import UnitOrderFields, UnitReportFields
from cedarmill.cluster.traffic_plan.state import WeightRow


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
    units: dict[str, UnitReportFields] = {}
    ended_members: list[str] = []  # keys of members that a process supervisor has seen end
    request_counts: tuple[int, int, int, int] = (0, 0, 0, 0)  # all, failed, late, rejected since its start
    probe_results: dict[str, bool] = {}  # whether members that it was asked to probe answered
    digest: ObservationDigest | None = None  # what a node observes of zones, now and then
    leader_timestamp: int = -1  # the newest of that term; with its age it tells the leader how old at most
    timestamp_age_us: int = 0  # this heartbeat is, whatever the clocks show
    budget_demand: dict[str, int] = {}  # thousandths a second, by budget

    @property
    def member_key(self) -> str:
        """The key of the member in the state."""
        return f"{self.kind}:{self.name}:{self.incarnation}"


class RouteWeights(msgspec.Struct, array_like=True, frozen=True):
    """Where nodes of one zone send requests, by how far these may go (bound); weights are thousandths."""

    epoch: int
    zone: str
    reachable_zones: dict[str, list[str]]  # by bound, the zones in which a request may run
    weights: dict[str, WeightRow]  # by bound
    fallback_weights: dict[str, dict[str, WeightRow]] = {}  # by zone that is not reached: the weights instead
    closed_zones: dict[str, int] = {}  # that get nothing, whatever is lost: epochs of their permits


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
    units: dict[str, UnitOrderFields] = {}  # what a process supervisor is to run
    routes: RouteWeights | None = None  # of a node, where zones are planned
    admission_cut: SheddingThreshold = SheddingThreshold()  # of a node: requests that it rejects at once
    scoped_cuts: dict[str, SheddingThreshold] = {}  # by bound, where that is stricter
    budget_leases: dict[str, tuple[int, int]] = {}  # by budget: lease and floor, thousandths a second
    membership_epoch: int = 0  # of a node that gossips: asks who is there if this is new


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
