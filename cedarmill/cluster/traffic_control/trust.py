"""How far the slots that zones claim are trusted: late requests where room was left show that some are not
there.
"""

from typing import TYPE_CHECKING

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.observations.verdicts import LATE_SHARE, Verdict
from cedarmill.cluster.traffic_control.zone_status import LOSS_MEMORY_US
from cedarmill.cluster.traffic_plan import planner
from cedarmill.cluster.traffic_plan.state import ZoneState, ZoneStatus
from cedarmill.cluster.traffic_plan.weights import expected_load

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

TRUST_INTERVAL_US = 2_000_000  # between two changes of a zone's trust
PROMPT_SHARE = LATE_SHARE // 3  # thousandths of late requests below which trust is raised
FIRST_CUT = 700  # thousandths of the trust that are left by a first cut
REPEATED_CUT = 900  # the same at about the level that was too much before
MIN_TRUST = 250  # thousandths
RAISE = 50  # thousandths
NEAR_LEVEL = 100  # thousandths that count as near, and by which trust stays under a level that was too much
FILLED_ROOM = 1100  # thousandths of its room up to which a zone was left room: reported demand is noisy


def adjust_trust(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Lower or raise the trust of each open zone by one step, where that is due."""
    room = planner.available_room(state.zoning, state.zones, assessment).planned
    load = expected_load(state.traffic.weights, planner.demand_by_source(assessment))
    for name, zone in state.zones.items():
        assessed = assessment.zones[name]
        due = state.clock - zone.trust_changed_at >= TRUST_INTERVAL_US
        if not due or zone.status != ZoneStatus.OPEN or assessed.verdict == Verdict.UNKNOWN:
            continue
        if assessed.late >= LATE_SHARE and load.get(name, 0) * WHOLE <= room[name] * FILLED_ROOM:
            _lower(state, zone)
        elif assessed.late < PROMPT_SHARE and zone.trust < WHOLE:
            _raise(state, zone)


def _lower(state: "ClusterState", zone: ZoneState) -> None:
    near = abs(zone.trust - zone.distrusted_level) <= NEAR_LEVEL
    left = zone.trust * (REPEATED_CUT if near else FIRST_CUT) // WHOLE
    zone.distrusted_level, zone.distrusted_at = zone.trust, state.clock
    zone.trust, zone.trust_changed_at = max(MIN_TRUST, left), state.clock


def _raise(state: "ClusterState", zone: ZoneState) -> None:
    if state.clock - zone.distrusted_at >= LOSS_MEMORY_US:
        zone.distrusted_level = 0
    most = max(zone.trust, zone.distrusted_level - NEAR_LEVEL) if zone.distrusted_level else WHOLE
    zone.trust, zone.trust_changed_at = min(most, zone.trust + RAISE), state.clock
