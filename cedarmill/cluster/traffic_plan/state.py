"""The replicated state of the traffic plan: each zone's part in it, and the plan that holds.

Times are microseconds of the cluster's clock, shares and weights are thousandths. The keys that the structs
are stored under are given by `rename`: they are older than the names of the fields.
"""

from enum import StrEnum

import msgspec

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE

WeightRow = dict[str, int]  # thousandths of a zone's requests, by the zone that receives them
WeightTable = dict[str, dict[str, WeightRow]]  # by the zone that sends, then by scope


class ZoneStatus(StrEnum):
    """A zone's part in the plan."""

    OPEN = "open"
    FAILING = "ill"  # used as a last resort
    LOST = "lost"
    RETURNING = "returning"  # opened in steps
    LEAVING = "leaving"  # drained in steps
    OUT = "out"


class ZoneEvent(StrEnum):
    """What changes a zone's status."""

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
        "distrusted_level": "doubt",
        "distrusted_at": "doubted",
        "evacuation_us": "over",
        "halt_reason": "halted",
        "status_changes": "changes",
    },
):
    """A zone's part in the plan."""

    name: str
    status: str = ZoneStatus.OPEN.value
    open_share: int = WHOLE  # of its capacity that the plan may use
    status_since: int = 0
    trust: int = WHOLE  # share of the slots that it claims which are taken to be there
    trust_changed_at: int = 0
    distrusted_level: int = 0  # the trust at which requests were late last; 0: not lately
    distrusted_at: int = 0
    losses: list[int] = msgspec.field(default_factory=list)  # when it was lost or failing, lately
    bad_since: int = -1  # assessed as lost or failing since then; -1: it is not
    well_since: int = -1
    pinned: bool = False  # an operator keeps it as it is
    evacuation_us: int = 0  # that an evacuation takes
    halt_reason: str = ""  # why an evacuation does not proceed
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
        "demand_heard_at": "heard",
        "frozen_by": "frozen",
        "distrust_reason": "doubted",
        "next_review_at": "next",
    },
):
    """The plan that holds."""

    epoch: int = 0
    moved_at: int = 0  # when the weights were moved last
    weights: WeightTable = msgspec.field(default_factory=dict)
    target_weights: WeightTable = msgspec.field(default_factory=dict)  # to which they move, in bounded steps
    fallback_weights: dict[str, WeightTable] = msgspec.field(default_factory=dict)  # rows by the zone lost
    fallback_assessed_at: int = -1  # when the assessment came that the fallback weights rest on
    missing_slots: int = 0  # wanted, with no room anywhere that the requests may go
    target_changes: int = 0
    assessment: ClusterAssessment | None = None  # the plan's; keeps what was known of zones not seen now
    latest_assessment: ClusterAssessment | None = None  # the newest, as it came
    assessed_at: int = 0
    demand_heard_at: dict[str, int] = msgspec.field(default_factory=dict)  # by the observers' zone
    frozen_by: str = ""  # who and why; nothing changes by itself then
    distrust_reason: str = ""  # why the assessment is not acted on
    next_review_at: int = 0  # at the latest
