"""Messages between members and replicas: heartbeats, orders, and probes of one member by another.

Tags and keys on the wire are stable; `rename` maps each field to its key. All times and ages are
microseconds.
"""

import msgspec

from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.observations.digest import ObservationDigest
from cedarmill.cluster.release_state import UnitOrderFields, UnitReportFields
from cedarmill.cluster.traffic_plan.state import WeightRow


class ExecutorObservation(msgspec.Struct, array_like=True, frozen=True):
    """One node's observation of an executor."""

    listing: str  # state listed by discovery: ready, draining or gone
    failing: bool = False  # whether the node's own attempts fail
    recently_tried: bool = True  # if false, `failing` is not known
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
    """Renews a member's session, and reports all changes since the last answered heartbeat."""

    kind: str
    name: str
    incarnation: str  # differs at each start of the process
    sequence: int
    orders_epoch: int  # epoch of the orders that the member follows
    term: int = 0  # term of the leader that answered last; a new leader needs a full report
    zone: str = ""
    address: str = ""
    version: str = ""
    unit_type: str = ""
    stops_at_lease_expiry: bool = False
    was_suspended: bool = False  # a recent suspension makes the member's observations unreliable
    leaving: bool = False  # the process ends and has no requests in flight
    drained: dict[str, int] = {}  # grant epochs of the targets that the member has drained
    held_grants: dict[str, int] = {}  # epochs of the grants that the member follows, by `kind:name`
    executors: dict[str, ExecutorObservation] = {}
    units: dict[str, UnitReportFields] = {}
    ended_members: list[str] = []  # keys of members whose end a process supervisor observed
    request_counts: tuple[int, int, int, int] = (0, 0, 0, 0)  # all, failed, late, rejected since start
    probe_results: dict[str, bool] = {}  # whether each probed member answered
    digest: ObservationDigest | None = None  # a node's observations of zones, sent periodically
    # The newest timestamp from the leader of `term`. With its age, it bounds the age of this heartbeat
    # at the leader, independently of clock differences.
    leader_timestamp: int = -1
    timestamp_age_us: int = 0
    budget_demand: dict[str, int] = {}  # thousandths per second, by budget

    @property
    def member_key(self) -> str:
        """The key of the member in the replicated state."""
        return f"{self.kind}:{self.name}:{self.incarnation}"


class RouteWeights(msgspec.Struct, array_like=True, frozen=True):
    """Traffic weights for the nodes of one zone, by the bound on request locality; in thousandths."""

    epoch: int
    zone: str
    reachable_zones: dict[str, list[str]]  # zones in which a request may run, by bound
    weights: dict[str, WeightRow]  # by bound
    fallback_weights: dict[str, dict[str, WeightRow]] = {}  # by unreachable zone, then bound
    closed_zones: dict[str, int] = {}  # permit epochs of zones that receive no traffic in any case


class Orders(
    msgspec.Struct,
    frozen=True,
    rename={
        "excluded_executors": "out",
        "drain_clients_epoch": "away",
        "routes": "way",
        "admission_threshold": "cut",
        "scoped_thresholds": "tight",
        "budget_leases": "purse",
        "membership_epoch": "peers",
    },
):
    """The complete set of orders for one member, under one epoch."""

    epoch: int
    excluded_executors: dict[str, int] = {}  # grant epochs of executors that get no new requests
    drain_clients_epoch: int = 0  # epoch of the grant to drain this node's clients; 0: no drain
    units: dict[str, UnitOrderFields] = {}  # units that a process supervisor has to run
    routes: RouteWeights | None = None  # for a node, if a traffic plan is in use
    admission_threshold: SheddingThreshold = SheddingThreshold()  # below it, a node rejects requests
    scoped_thresholds: dict[str, SheddingThreshold] = {}  # stricter thresholds, by bound
    budget_leases: dict[str, tuple[int, int]] = {}  # lease and floor in thousandths per second, by budget
    membership_epoch: int = 0  # a change makes a gossiping node request the list of members


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
    """Grants a lease of `lease_us` from the sending of the heartbeat; 0 means that no session exists."""

    sequence: int
    lease_us: int
    term: int
    orders: Orders | None = None
    members_to_probe: dict[str, str] = {}  # addresses of suspected members, by member key
    leader_timestamp: int = -1  # by the leader's clock


class Probe(msgspec.Struct, tag="ping", frozen=True):
    """Asks a member for its name and incarnation; sent by other members."""

    name: str


class ProbeReply(msgspec.Struct, tag="pong", frozen=True, rename={"incarnation": "life"}):
    """Answers a probe with the name and incarnation of the receiving process."""

    name: str
    incarnation: str
