"""Inputs of the traffic plan: the operator's zone layout and the cluster's assessments."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.cluster.observations.assessment import DEMAND_LIFETIME_US, ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.observations.verdicts import FAILING_SHARE, Verdict
from cedarmill.cluster.state import Target
from cedarmill.cluster.state_machine.permit_states import target_key
from cedarmill.cluster.traffic_control.errors import InvalidLayoutError
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.state import ZoneState

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

# Thousandths of failed attempts; a zone with fewer counts as well. The gap to FAILING_SHARE avoids flapping.
MAX_RECOVERED_FAILURE_SHARE = FAILING_SHARE // 3


def set_layout(state: "ClusterState", layout: ZoneLayout) -> None:
    """Replace the zone layout and reset the weights; zones in both layouts keep their status.

    Raises InvalidLayoutError if the layout is inconsistent.
    """
    _validate_layout(layout)
    names = layout.zones
    state.zone_layout = layout
    state.zones = {name: state.zones.get(name) or ZoneState(name, status_since=state.clock) for name in names}
    for existing in [target.name for target in state.targets.values() if target.kind == "zone"]:
        if existing not in names:
            del state.targets[target_key("zone", existing)]
    for name in names:
        target = Target("zone", name, name, group=layout.region(name))
        state.targets.setdefault(target_key("zone", name), target)
    traffic = state.traffic
    traffic.weights, traffic.target_weights, traffic.next_review_at = {}, {}, 0
    state.membership_epoch = state.epoch  # makes nodes fetch the member list, which gossip uses


def _validate_layout(layout: ZoneLayout) -> None:
    names = layout.zones
    if len(set(names)) < len(names):
        raise InvalidLayoutError("a zone is listed more than once")
    for link in layout.costs:
        if not set(link.split(">")) <= set(names):
            raise InvalidLayoutError(f"cost {link} names a zone that is not in the layout")
    if not 0 < layout.max_load <= WHOLE:
        raise InvalidLayoutError("safe must be above 0% and at most 100%")


def record_assessment(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Store an assessment and update the verdict times of each zone.

    Unknown values of a zone are filled in from the previous assessment; demand expires after a while.
    """
    traffic = state.traffic
    traffic.latest_assessment = assessment
    previous = traffic.assessment.zones if traffic.assessment is not None else {}
    zones: dict[str, ZoneAssessment] = {}
    for name in state.zone_layout.zones:
        assessed = assessment.zones.get(name, ZoneAssessment(Verdict.UNKNOWN))
        is_blind = name in assessment.unobserved_zones
        if not is_blind and assessed.demand:
            traffic.demand_observed_at[name] = state.clock
        zones[name] = _fill_in_unknowns(state, name, assessed, previous.get(name), is_blind)
    traffic.assessment = ClusterAssessment(
        zones, assessment.links, assessment.unobserved_zones, assessment.failing_groups
    )
    traffic.assessed_at, traffic.next_review_at = state.clock, 0
    for name, zone in state.zones.items():
        _track_verdict(state, zone, zones[name])


def _fill_in_unknowns(
    state: "ClusterState",
    name: str,
    assessed: ZoneAssessment,
    previous: ZoneAssessment | None,
    is_blind: bool,
) -> ZoneAssessment:
    """Return the assessment with missing slots, and demand of blind zones, taken from the previous one.

    The previous demand is used only within DEMAND_LIFETIME_US of its last observation.
    """
    if previous is None:
        return assessed
    if not assessed.slots:
        assessed = msgspec.structs.replace(assessed, slots=previous.slots)
    if not is_blind or state.clock - state.traffic.demand_observed_at.get(name, 0) > DEMAND_LIFETIME_US:
        return assessed
    scopes = sorted(previous.demand.keys() | assessed.demand.keys())
    demand = {scope: max(assessed.demand.get(scope, 0), previous.demand.get(scope, 0)) for scope in scopes}
    by_weight = assessed.demand_by_weight or previous.demand_by_weight
    return msgspec.structs.replace(assessed, demand=demand, demand_by_weight=by_weight)


def _track_verdict(state: "ClusterState", zone: ZoneState, assessed: ZoneAssessment) -> None:
    """Record since when the zone's verdict is bad or well; an unknown verdict changes neither time."""
    if assessed.verdict == Verdict.UNKNOWN:
        return
    is_bad = assessed.verdict in (Verdict.LOST, Verdict.FAILING)
    is_well = assessed.verdict == Verdict.HEALTHY and assessed.failed < MAX_RECOVERED_FAILURE_SHARE
    zone.bad_since = _start_of_period(state, zone.bad_since) if is_bad else -1
    zone.well_since = _start_of_period(state, zone.well_since) if is_well else -1


def _start_of_period(state: "ClusterState", start: int) -> int:
    return start if start >= 0 else state.clock
