"""What comes into the traffic plan: an operator's layout of zones, and assessments."""

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

RECOVERED_SHARE = FAILING_SHARE // 3  # thousandths of failures below which a failing zone counts as well


def set_layout(state: "ClusterState", layout: ZoneLayout) -> None:
    """Replace the layout; zones that stay keep their status. Raises InvalidLayoutError."""
    _check(layout)
    names = layout.zones
    state.zoning = layout
    state.zones = {name: state.zones.get(name) or ZoneState(name, status_since=state.clock) for name in names}
    for known in [target.name for target in state.targets.values() if target.kind == "zone"]:
        if known not in names:
            del state.targets[target_key("zone", known)]
    for name in names:
        target = Target("zone", name, name, group=layout.region(name))
        state.targets.setdefault(target_key("zone", name), target)
    traffic = state.traffic
    traffic.weights, traffic.target_weights, traffic.next_review_at = {}, {}, 0
    state.membership_epoch = state.epoch  # nodes that are there are to learn of each other, where they gossip


def _check(layout: ZoneLayout) -> None:
    names = layout.zones
    if len(set(names)) < len(names):
        raise InvalidLayoutError("a zone lies in two regions")
    for link in layout.costs:
        if not set(link.split(">")) <= set(names):
            raise InvalidLayoutError(f"cost {link}: no such zones")
    if not 0 < layout.max_load <= WHOLE:
        raise InvalidLayoutError("safe: between 0 and 100%")


def record_assessment(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Take over an assessment; a zone that is not seen now keeps what was known of it, for a time."""
    traffic = state.traffic
    traffic.latest_assessment = assessment
    known = traffic.assessment.zones if traffic.assessment is not None else {}
    zones: dict[str, ZoneAssessment] = {}
    for name in state.zoning.zones:
        assessed = assessment.zones.get(name, ZoneAssessment(Verdict.UNKNOWN))
        blind = name in assessment.blind_zones
        if not blind and assessed.demand:
            traffic.demand_heard_at[name] = state.clock
        zones[name] = _completed(state, name, assessed, known.get(name), blind)
    traffic.assessment = ClusterAssessment(
        zones, assessment.links, assessment.blind_zones, assessment.failing_groups
    )
    traffic.assessed_at, traffic.next_review_at = state.clock, 0
    for name, zone in state.zones.items():
        _note_verdict(state, zone, zones[name])


def _completed(
    state: "ClusterState", name: str, assessed: ZoneAssessment, known: ZoneAssessment | None, blind: bool
) -> ZoneAssessment:
    """What is unknown counts as it was: slots as estimated last, demand as long as it may still be there."""
    if known is None:
        return assessed
    if not assessed.slots:
        assessed = msgspec.structs.replace(assessed, slots=known.slots)
    if not blind or state.clock - state.traffic.demand_heard_at.get(name, 0) > DEMAND_LIFETIME_US:
        return assessed
    scopes = sorted(known.demand.keys() | assessed.demand.keys())
    demand = {scope: max(assessed.demand.get(scope, 0), known.demand.get(scope, 0)) for scope in scopes}
    by_weight = assessed.demand_by_weight or known.demand_by_weight
    return msgspec.structs.replace(assessed, demand=demand, demand_by_weight=by_weight)


def _note_verdict(state: "ClusterState", zone: ZoneState, assessed: ZoneAssessment) -> None:
    """Since when it is seen to be bad or well; an unknown verdict changes neither."""
    if assessed.verdict == Verdict.UNKNOWN:
        return
    bad = assessed.verdict in (Verdict.LOST, Verdict.FAILING)
    well = assessed.verdict == Verdict.WELL and assessed.failed < RECOVERED_SHARE
    zone.bad_since = _since(state, zone.bad_since) if bad else -1
    zone.well_since = _since(state, zone.well_since) if well else -1


def _since(state: "ClusterState", known: int) -> int:
    return known if known >= 0 else state.clock
