"""Trust in the slots that zones report: late requests despite free room show that slots are missing."""

from typing import TYPE_CHECKING

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.observations.verdicts import LATE_SHARE, Verdict
from cedarmill.cluster.traffic_control.zone_status import RECENT_LOSS_WINDOW_US
from cedarmill.cluster.traffic_plan import planner
from cedarmill.cluster.traffic_plan.state import ZoneState, ZoneStatus
from cedarmill.cluster.traffic_plan.weights import expected_load

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

TRUST_CHANGE_INTERVAL_US = 2_000_000
MAX_LATE_SHARE_TO_RAISE = LATE_SHARE // 3  # thousandths of requests
FIRST_REDUCTION_FACTOR = 700  # thousandths
REPEATED_REDUCTION_FACTOR = 900  # thousandths; applies near the trust at which the last reduction was made
MIN_TRUST = 250  # thousandths
TRUST_INCREMENT = 50  # thousandths
TRUST_MARGIN = 100  # thousandths; distance that trust keeps below the value of the last reduction
MAX_LOAD_WITHIN_ROOM = 1100  # thousandths of the room; above 1000 because reported demand is noisy


def adjust_trust(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Lower or raise the trust of each open zone by one step if its change interval has passed."""
    room = planner.available_slots(state.zone_layout, state.zones, assessment).planned
    load = expected_load(state.traffic.weights, planner.demand_by_source(assessment))
    for name, zone in state.zones.items():
        assessed = assessment.zones[name]
        is_due = state.clock - zone.trust_changed_at >= TRUST_CHANGE_INTERVAL_US
        if not is_due or zone.status != ZoneStatus.OPEN or assessed.verdict == Verdict.UNKNOWN:
            continue
        if assessed.late >= LATE_SHARE and load.get(name, 0) * WHOLE <= room[name] * MAX_LOAD_WITHIN_ROOM:
            _lower_trust(state, zone)
        elif assessed.late < MAX_LATE_SHARE_TO_RAISE and zone.trust < WHOLE:
            _raise_trust(state, zone)


def _lower_trust(state: "ClusterState", zone: ZoneState) -> None:
    is_near = abs(zone.trust - zone.trust_before_reduction) <= TRUST_MARGIN
    reduced = zone.trust * (REPEATED_REDUCTION_FACTOR if is_near else FIRST_REDUCTION_FACTOR) // WHOLE
    zone.trust_before_reduction, zone.trust_reduced_at = zone.trust, state.clock
    zone.trust, zone.trust_changed_at = max(MIN_TRUST, reduced), state.clock


def _raise_trust(state: "ClusterState", zone: ZoneState) -> None:
    if state.clock - zone.trust_reduced_at >= RECENT_LOSS_WINDOW_US:
        zone.trust_before_reduction = 0
    ceiling = (
        max(zone.trust, zone.trust_before_reduction - TRUST_MARGIN) if zone.trust_before_reduction else WHOLE
    )
    zone.trust, zone.trust_changed_at = min(ceiling, zone.trust + TRUST_INCREMENT), state.clock
