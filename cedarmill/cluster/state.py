"""The agreed state of the cluster as plain values: one tree, which a snapshot holds whole.

Times are microseconds of the cluster's clock, which is part of the state: each command carries the leader's
time, and the clock never goes back. Shares are whole thousandths, so that all replicas compute alike.

Snapshots and the command line's JSON keep the field names with which they began: `rename` maps each field
to its stored key.
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

PER_MILLE = 1000  # the whole, in thousandths
EPOCH_INDEX_BITS = 40  # low bits of an epoch: the index of its entry; above them the cluster's generation
OUT_STATES = frozenset({PermitState.GRANTED, PermitState.LOST})  # of permits whose targets are out
OPERATOR_LOG_LINES = 200  # newest lines for operators that are kept


class Limit(msgspec.Struct, array_like=True, frozen=True):
    """What may be out at once of a kind of target, by each scope of `per`; -1: not limited."""

    kind: str
    per: str = "fleet"  # fleet, zone, type or group
    most: int = -1  # targets
    share: int = -1  # thousandths of the targets
    capacity_left: int = -1  # thousandths of the slots that have to stay

    def text(self) -> str:
        """As operators read it."""
        parts = [f"at most {self.most}"] if self.most >= 0 else []
        parts += [f"at most {self.share / 10:g}%"] if self.share >= 0 else []
        parts += [f"{self.capacity_left / 10:g}% of the slots left"] if self.capacity_left >= 0 else []
        return f"{self.kind} per {self.per}: {' and '.join(parts)}"


class Target(msgspec.Struct, rename={"health_since": "since", "slow_start_from": "cold_from"}):
    """What a permit may be for: an executor, a node, a replica or a zone."""

    kind: str
    name: str
    zone: str = ""
    type: str = ""
    group: str = ""
    slots: int = 1
    health: str = TargetHealth.WELL
    health_since: int = 0
    slow_start_from: int = -1  # when it returned to service; -1: long ago
    started_ms: int = 0  # Unix time, as discovery lists it


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
    """One incarnation of a process that has a session."""

    kind: str
    name: str
    incarnation: str
    zone: str = ""
    address: str = ""
    version: str = ""
    stops_at_lease_expiry: bool = False  # it stops sending by itself when its lease has expired
    state: str = MemberState.LIVE
    state_since: int = 0
    joined_at: int = 0
    lease_expiries: list[int] = msgspec.field(default_factory=list)  # the latest

    @property
    def key(self) -> str:
        """Its name in the state: kind, name and incarnation."""
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
    """Leave for one target to be out of service."""

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
    epoch: int = 0  # of the grant; whatever acts on the grant names it
    undrained_members: list[str] = msgspec.field(default_factory=list)  # that have not confirmed the drain
    drained_at: int = 0  # when all had confirmed, or an operator stated it; 0: not yet
    notes: list[str] = msgspec.field(default_factory=list)  # why it waits, and what operators stated

    @property
    def out(self) -> bool:
        """Whether its target counts as out of service."""
        return self.state in OUT_STATES


class RequestOutcome(msgspec.Struct, array_like=True):
    """What came of a request that changes something: the same again for the same idempotency key."""

    time_us: int
    ok: bool
    text: str
    created_ids: list[int] = msgspec.field(default_factory=list)  # of permits, or of a release


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
        "budgets_dealt_from": "deal_from",
    },
):
    """The whole of it."""

    cluster: str = ""
    generation: int = 1  # grows with each restore from a backup
    index: int = 0  # of the entry applied last
    clock: int = 0
    slow_start_us: int = 8_900_000  # for which a returned executor counts in part
    slow_start_share: int = 300  # thousandths of its slots at first
    limits: list[Limit] = msgspec.field(default_factory=list)
    targets: dict[str, Target] = msgspec.field(default_factory=dict)  # by `kind:name`
    members: dict[str, Member] = msgspec.field(default_factory=dict)  # by key
    permits: dict[int, Permit] = msgspec.field(default_factory=dict)
    units: dict[str, Unit] = msgspec.field(default_factory=dict)
    releases: dict[int, Release] = msgspec.field(default_factory=dict)
    outcomes: dict[str, RequestOutcome] = msgspec.field(default_factory=dict)  # by idempotency key
    halt_reason: str = ""  # why nothing is granted and no release proceeds, if so
    last_id: int = 0  # of permits and releases
    orders_epoch: int = 0  # of the newest change of what members are ordered
    log: list[str] = msgspec.field(default_factory=list)  # the newest lines for operators
    zoning: ZoneLayout = msgspec.field(default_factory=ZoneLayout)
    zones: dict[str, ZoneState] = msgspec.field(default_factory=dict)
    traffic: TrafficState = msgspec.field(default_factory=TrafficState)
    budgets: dict[str, Budget] = msgspec.field(default_factory=dict)
    # By budget, then member.
    budget_grants: dict[str, dict[str, BudgetGrant]] = msgspec.field(default_factory=dict)
    admission: AdmissionLevel = msgspec.field(default_factory=AdmissionLevel)
    scoped_admission: dict[str, AdmissionLevel] = msgspec.field(default_factory=dict)  # by `zone/bound`
    membership_epoch: int = 0  # when a node came or went last, where nodes gossip
    budgets_dealt_from: int = 0  # before that nothing is leased: leases of before a restore may still hold

    @property
    def epoch(self) -> int:
        """Of the entry that is being applied."""
        return self.generation << EPOCH_INDEX_BITS | self.index

    def new_id(self) -> int:
        """A number for a permit or a release."""
        self.last_id += 1
        return self.last_id

    def note(self, text: str) -> None:
        """Add a line for operators."""
        self.log.append(f"{self.clock / 1e6:.1f} {text}")
        del self.log[:-OPERATOR_LOG_LINES]

    def members_of(self, kind: str) -> list[Member]:
        """Members of a kind that may still act: all but those that have ended."""
        ended = MemberState.ENDED
        return [member for member in self.members.values() if member.kind == kind and member.state != ended]


_DECODER = msgspec.msgpack.Decoder(ClusterState)


def generation_of(epoch: int) -> int:
    """The cluster's generation in which an epoch was given."""
    return epoch >> EPOCH_INDEX_BITS


def encode_snapshot(state: ClusterState) -> bytes:
    """All of the state, as MessagePack."""
    return msgspec.msgpack.encode(state)


def decode_snapshot(data: bytes) -> ClusterState:
    """The state again; raises msgspec.MsgspecError for what is none."""
    return _DECODER.decode(data)
