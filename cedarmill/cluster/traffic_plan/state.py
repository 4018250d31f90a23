"""Replicated state of the traffic plan: the state of each zone, and the plan in force.

Times are microseconds of the cluster's clock; shares and weights are thousandths. `rename` maps the fields
to the keys of the stored format.
"""

from enum import StrEnum

import msgspec

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE

WeightRow = dict[str, int]  # thousandths of the requests, by target zone
WeightTable = dict[str, dict[str, WeightRow]]  # by source zone, then by scope


class ZoneStatus(StrEnum):
    """How the plan uses a zone."""

    OPEN = "open"
    FAILING = "ill"  # used only as a last resort
    LOST = "lost"
    RETURNING = "returning"  # its open share rises in steps
    LEAVING = "leaving"  # its open share falls in steps
    OUT = "out"


class ZoneEvent(StrEnum):
    """An event that may change a zone's status."""

    LOSE = "lose"
    FAIL = "sicken"
    RECOVER = "well"
    FULLY_OPENED = "full"
    LEAVE = "leave"
    EMPTIED = "empty"
    STAY = "stay"


TRANSITIONS: dict[tuple[str, str], ZoneStatus] = {
    (ZoneStatus.OPEN, ZoneEvent.LOSE): ZoneStatus.LOST,
    (ZoneStatus.OPEN, ZoneEvent.FAIL): ZoneStatus.FAILING,
    (ZoneStatus.OPEN, ZoneEvent.LEAVE): ZoneStatus.LEAVING,
    (ZoneStatus.FAILING, ZoneEvent.LOSE): ZoneStatus.LOST,
    (ZoneStatus.FAILING, ZoneEvent.RECOVER): ZoneStatus.RETURNING,
    (ZoneStatus.FAILING, ZoneEvent.LEAVE): ZoneStatus.LEAVING,
    (ZoneStatus.LOST, ZoneEvent.RECOVER): ZoneStatus.RETURNING,
    (ZoneStatus.LOST, ZoneEvent.LEAVE): ZoneStatus.OUT,
    (ZoneStatus.RETURNING, ZoneEvent.FULLY_OPENED): ZoneStatus.OPEN,
    (ZoneStatus.RETURNING, ZoneEvent.LOSE): ZoneStatus.LOST,
    (ZoneStatus.RETURNING, ZoneEvent.FAIL): ZoneStatus.FAILING,
    (ZoneStatus.RETURNING, ZoneEvent.LEAVE): ZoneStatus.LEAVING,
    (ZoneStatus.LEAVING, ZoneEvent.EMPTIED): ZoneStatus.OUT,
    (ZoneStatus.LEAVING, ZoneEvent.LOSE): ZoneStatus.OUT,
    (ZoneStatus.LEAVING, ZoneEvent.STAY): ZoneStatus.RETURNING,
    (ZoneStatus.OUT, ZoneEvent.STAY): ZoneStatus.RETURNING,
}


class ZoneState(
    msgspec.Struct,
    rename={
        "status": "state",
        "open_share": "open",
        "status_since": "since",
        "trust_changed_at": "trusted",
        "trust_before_reduction": "doubt",
        "trust_reduced_at": "doubted",
        "evacuation_us": "over",
        "halt_reason": "halted",
        "status_changes": "changes",
    },
):
    """The state of one zone in the traffic plan."""

    name: str
    status: str = ZoneStatus.OPEN.value
    open_share: int = WHOLE  # share of the capacity that the plan may use
    status_since: int = 0
    trust: int = WHOLE  # share of the reported slots that are assumed to exist
    trust_changed_at: int = 0
    trust_before_reduction: int = 0  # trust in force at the last reduction; 0 if there is no recent one
    trust_reduced_at: int = 0
    losses: list[int] = msgspec.field(default_factory=list)  # times of recent losses and failures
    bad_since: int = -1  # start of the current lost or failing verdict; -1 if there is none
    well_since: int = -1  # start of the current well verdict; -1 if there is none
    pinned: bool = False  # whether an operator prevents status changes
    evacuation_us: int = 0  # duration of an evacuation
    halt_reason: str = ""  # why the evacuation is halted; empty if it proceeds
    status_changes: int = 0


class TrafficState(
    msgspec.Struct,
    rename={
        "moved_at": "at",
        "weights": "shares",
        "target_weights": "aim",
        "fallback_weights": "standing",
        "fallback_assessed_at": "stood",
        "missing_slots": "missing",
        "target_changes": "changes",
        "assessment": "news",
        "latest_assessment": "told",
        "assessed_at": "news_at",
        "demand_observed_at": "heard",
        "frozen_by": "frozen",
        "distrust_reason": "doubted",
        "next_review_at": "next",
    },
):
    """The traffic plan in force and the assessments that it is computed from."""

    epoch: int = 0
    moved_at: int = 0  # time of the last change of the weights
    weights: WeightTable = msgspec.field(default_factory=dict)
    target_weights: WeightTable = msgspec.field(default_factory=dict)  # the weights move towards these
    fallback_weights: dict[str, WeightTable] = msgspec.field(default_factory=dict)  # by lost zone
    fallback_assessed_at: int = -1  # time of the assessment behind the fallback weights
    missing_slots: int = 0  # thousandths; demand that finds no room in any reachable zone
    target_changes: int = 0
    assessment: ClusterAssessment | None = None  # the latest one, with unknown values filled in
    latest_assessment: ClusterAssessment | None = None  # the latest one, as received
    assessed_at: int = 0
    demand_observed_at: dict[str, int] = msgspec.field(default_factory=dict)  # by source zone
    frozen_by: str = ""  # operator and reason; empty if the plan is not frozen
    distrust_reason: str = ""  # why the verdicts are not applied; empty if they are
    next_review_at: int = 0
