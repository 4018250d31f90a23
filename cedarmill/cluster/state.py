"""The replicated state of the cluster: one tree of plain values, which a snapshot contains completely.

Times are microseconds of the cluster's clock, which is part of the state: each command carries the leader's
time, and the clock never goes back. Shares are integers in thousandths, so that all replicas compute the same
results.

The keys in snapshots and in the command line's JSON are fixed: `rename` maps each field to its stored key.
"""

import msgspec

from cedarmill.cluster.admission_level.state import AdmissionLevel
from cedarmill.cluster.budget_grants import Budget, BudgetGrant
from cedarmill.cluster.release_state import (
    Release,
    ReleasePlan,
    Unit,
    UnitOrder,
    UnitOrderFields,
    UnitReport,
    UnitReportFields,
    UnitStep,
)
from cedarmill.cluster.states import MemberState, PermitState, TargetHealth
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.state import TrafficState, ZoneState

__all__ = [
    "EPOCH_INDEX_BITS",
    "PER_MILLE",
    "ClusterState",
    "Limit",
    "Member",
    "Permit",
    "Release",
    "ReleasePlan",
    "RequestOutcome",
    "Target",
    "Unit",
    "UnitOrder",
    "UnitOrderFields",
    "UnitReport",
    "UnitReportFields",
    "UnitStep",
    "decode_snapshot",
    "encode_snapshot",
    "generation_of",
]

PER_MILLE = 1000
# The low bits of an epoch are the index of a log entry, the bits above are the cluster's generation.
EPOCH_INDEX_BITS = 40
OUT_OF_SERVICE_STATES = frozenset({PermitState.GRANTED, PermitState.LOST})
MAX_OPERATOR_LOG_LINES = 200


class Limit(msgspec.Struct, array_like=True, frozen=True):
    """Limits on how many targets of a kind may be out of service at once in each scope; -1 means no limit."""

    kind: str
    scope: str = "fleet"  # The scope: "fleet", "zone", "type" or "group".
    max_targets: int = -1
    share: int = -1  # thousandths of the targets
    capacity_left: int = -1  # thousandths of the slots that must stay in service

    def describe(self) -> str:
        """Return a description for operators."""
        parts = [f"at most {self.max_targets}"] if self.max_targets >= 0 else []
        parts += [f"at most {self.share / 10:g}%"] if self.share >= 0 else []
        parts += [f"{self.capacity_left / 10:g}% of the slots left"] if self.capacity_left >= 0 else []
        return f"{self.kind} per {self.scope}: {' and '.join(parts)}"


class Target(msgspec.Struct, rename={"health_since": "since", "slow_start_started_at": "cold_from"}):
    """Something that a permit may take out of service: an executor, a node, a replica or a zone."""

    kind: str
    name: str
    zone: str = ""
    type: str = ""
    group: str = ""
    slots: int = 1
    health: str = TargetHealth.HEALTHY
    health_since: int = 0
    slow_start_started_at: int = -1  # Time of the last return to service; -1 if long ago or never.
    started_ms: int = 0  # Unix time in milliseconds, from discovery.


class Member(
    msgspec.Struct,
    rename={
        "incarnation": "life",
        "stops_at_lease_expiry": "stops",
        "state_since": "since",
        "joined_at": "joined",
        "lease_expiries": "lapses",
    },
):
    """One incarnation of a process with a session."""

    kind: str
    name: str
    incarnation: str
    zone: str = ""
    address: str = ""
    version: str = ""
    stops_at_lease_expiry: bool = False  # Whether the process stops sending requests when its lease expires.
    state: str = MemberState.LIVE
    state_since: int = 0
    joined_at: int = 0
    lease_expiries: list[int] = msgspec.field(default_factory=list)  # Times of the latest expiries.

    @property
    def key(self) -> str:
        """Key of the member in the state: kind, name and incarnation."""
        return f"{self.kind}:{self.name}:{self.incarnation}"


class Permit(
    msgspec.Struct,
    rename={
        "requested_at": "asked",
        "waits_until": "until",
        "granted_at": "granted",
        "ended_at": "ended",
        "undrained_members": "need",
        "drained_at": "drained",
    },
):
    """A permit to take one target out of service."""

    id: int
    kind: str
    target: str
    holder: str
    reason: str = ""
    priority: int = 0
    state: str = PermitState.WAITING
    requested_at: int = 0
    waits_until: int = 0
    granted_at: int = 0
    ended_at: int = 0
    epoch: int = 0  # Epoch of the grant, sent with every action based on it.
    undrained_members: list[str] = msgspec.field(default_factory=list)  # Members yet to confirm the drain.
    drained_at: int = 0  # When all members had confirmed or an operator declared the drain; 0 if not drained.
    notes: list[str] = msgspec.field(default_factory=list)  # Reasons for waiting, and operators' statements.

    @property
    def is_out_of_service(self) -> bool:
        """Whether the permit's target counts as out of service."""
        return self.state in OUT_OF_SERVICE_STATES


class RequestOutcome(msgspec.Struct, array_like=True):
    """The result of a request that changes the state, repeated for requests with the same idempotency key."""

    time_us: int
    ok: bool
    text: str
    created_ids: list[int] = msgspec.field(default_factory=list)  # Ids of the created permits or release.


class ClusterState(
    msgspec.Struct,
    rename={
        "slow_start_us": "cold_us",
        "slow_start_share": "cold_share",
        "outcomes": "done",
        "halt_reason": "halted",
        "last_id": "numbers",
        "orders_epoch": "told",
        "budget_grants": "slices",
        "scoped_admission": "tight",
        "membership_epoch": "peopled",
        "zone_layout": "zoning",
        "budgets_leased_from": "deal_from",
    },
):
    """The complete replicated state of a cluster."""

    cluster: str = ""
    generation: int = 1  # Increases with each restore from a backup.
    index: int = 0  # Index of the last applied log entry.
    clock: int = 0
    slow_start_us: int = 8_900_000  # Time during which a returned executor counts as partly out of service.
    slow_start_share: int = 300  # Thousandths of an executor's slots that count at the start of slow start.
    limits: list[Limit] = msgspec.field(default_factory=list)
    targets: dict[str, Target] = msgspec.field(default_factory=dict)  # by `kind:name`
    members: dict[str, Member] = msgspec.field(default_factory=dict)  # by key
    permits: dict[int, Permit] = msgspec.field(default_factory=dict)
    units: dict[str, Unit] = msgspec.field(default_factory=dict)
    releases: dict[int, Release] = msgspec.field(default_factory=dict)
    outcomes: dict[str, RequestOutcome] = msgspec.field(default_factory=dict)  # by idempotency key
    halt_reason: str = ""  # Why grants and releases are halted; empty if they are not.
    last_id: int = 0  # The last id given to a permit or release.
    orders_epoch: int = 0  # Epoch of the newest change to the members' orders.
    log: list[str] = msgspec.field(default_factory=list)  # The newest log lines for operators.
    zone_layout: ZoneLayout = msgspec.field(default_factory=ZoneLayout)
    zones: dict[str, ZoneState] = msgspec.field(default_factory=dict)
    traffic: TrafficState = msgspec.field(default_factory=TrafficState)
    budgets: dict[str, Budget] = msgspec.field(default_factory=dict)
    # Budget grants by budget name, then by member key.
    budget_grants: dict[str, dict[str, BudgetGrant]] = msgspec.field(default_factory=dict)
    admission: AdmissionLevel = msgspec.field(default_factory=AdmissionLevel)
    scoped_admission: dict[str, AdmissionLevel] = msgspec.field(default_factory=dict)  # by `zone/bound`
    membership_epoch: int = 0  # Epoch of the last membership change, for nodes that gossip.
    budgets_leased_from: int = 0  # No budget is leased before this time, set after a restore.

    @property
    def epoch(self) -> int:
        """Epoch of the log entry that was applied last or is being applied."""
        return self.generation << EPOCH_INDEX_BITS | self.index

    def allocate_id(self) -> int:
        """Return a new id for a permit or a release."""
        self.last_id += 1
        return self.last_id

    def log_for_operators(self, text: str) -> None:
        """Add a line to the log for operators, and drop the oldest lines beyond the maximum."""
        self.log.append(f"{self.clock / 1e6:.1f} {text}")
        del self.log[:-MAX_OPERATOR_LOG_LINES]

    def members_of(self, kind: str) -> list[Member]:
        """Return the members of a kind that have not ended."""
        ended = MemberState.ENDED
        return [member for member in self.members.values() if member.kind == kind and member.state != ended]


_DECODER = msgspec.msgpack.Decoder(ClusterState)


def generation_of(epoch: int) -> int:
    """Return the cluster's generation that an epoch belongs to."""
    return epoch >> EPOCH_INDEX_BITS


def encode_snapshot(state: ClusterState) -> bytes:
    """Encode the complete state as MessagePack."""
    return msgspec.msgpack.encode(state)


def decode_snapshot(data: bytes) -> ClusterState:
    """Decode a state; raise msgspec.MsgspecError if the data is not a valid state."""
    return _DECODER.decode(data)
