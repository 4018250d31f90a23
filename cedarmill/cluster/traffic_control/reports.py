"""Views of the traffic plan for nodes (route weights) and for operators (reports and forecasts)."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.traffic_control import zone_status
from cedarmill.cluster.traffic_control.errors import NoAssessmentError, UnknownZoneError
from cedarmill.cluster.traffic_plan import planner
from cedarmill.cluster.traffic_plan.state import WeightTable, ZoneState, ZoneStatus
from cedarmill.cluster.traffic_plan.weights import expected_load

if TYPE_CHECKING:
    from cedarmill.cluster.messages import RouteWeights
    from cedarmill.cluster.state import ClusterState


class ZoneForecast(
    msgspec.Struct,
    rename={"current_load": "now", "forecast_load": "then", "forecast_room": "room"},
    frozen=True,
):
    """A zone's load before and after a loss, and its room after the loss, in thousandths of slots."""

    current_load: int
    forecast_load: int
    forecast_room: int


class LossForecast(
    msgspec.Struct,
    rename={"zone": "lose", "missing_slots": "missing", "missing_slots_now": "missing_now"},
    frozen=True,
):
    """Forecast for the loss of `zone` (of no zone if empty), in thousandths of slots."""

    zone: str
    missing_slots: int
    missing_slots_now: int
    zones: dict[str, ZoneForecast]


class ZoneReport(
    msgspec.Struct,
    rename={
        "status": "state",
        "open_share": "open",
        "halt_reason": "halted",
        "weights": "shares",
        "reason": "why",
    },
    frozen=True,
):
    """One zone's row in the operators' report; slots and shares are thousandths."""

    zone: str
    region: str
    status: str
    open_share: int
    pinned: bool
    halt_reason: str
    trust: int
    slots: int
    room: int
    load: int
    demand: dict[str, int]
    failed: int
    late: int
    verdict: str
    reason: str
    weights: dict[str, dict[str, int]]
    dwell_s: float
    since_s: float


class TrafficReport(
    msgspec.Struct,
    rename={
        "missing_slots": "missing",
        "frozen_by": "frozen",
        "distrust_reason": "doubted",
        "unobserved_zones": "blind",
        "failing_groups": "groups",
        "target_changes": "changes",
    },
    frozen=True,
):
    """The operators' report on the traffic plan."""

    zones: list[ZoneReport]
    missing_slots: int
    frozen_by: str
    distrust_reason: str
    links: dict[str, str]
    unobserved_zones: list[str]
    failing_groups: list[str]
    epoch: int
    target_changes: int


def route_weights(state: "ClusterState", zone: str) -> "RouteWeights | None":
    """Return the route weights for the nodes of a zone, or None if the zone is not in the layout."""
    from cedarmill.cluster.messages import RouteWeights  # avoids an import cycle through `traffic_plan/`

    traffic, layout = state.traffic, state.zone_layout
    if zone not in state.zones:
        return None
    reachable = {scope: layout.reachable_zones(zone, scope) for scope in SCOPES}
    closed_zones = {}
    for candidate in state.zones.values():
        permit = zone_status.evacuation_permit(state, candidate)
        if candidate.status == ZoneStatus.OUT and permit is not None:
            closed_zones[candidate.name] = permit.epoch
    fallbacks = {lost: table[zone] for lost, table in traffic.fallback_weights.items() if zone in table}
    weights = traffic.weights.get(zone) or {scope: {zone: WHOLE} for scope in SCOPES}
    return RouteWeights(traffic.epoch, zone, reachable, weights, fallbacks, closed_zones)


def forecast_loss(state: "ClusterState", zone: str) -> LossForecast:
    """Return loads and missing slots as planned now and as planned without `zone`.

    Raises NoAssessmentError before the first assessment, and UnknownZoneError if `zone` is neither empty nor
    in the layout.
    """
    assessment = state.traffic.assessment
    if assessment is None:
        raise NoAssessmentError("nothing is known of zones yet")
    if zone and zone not in state.zones:
        raise UnknownZoneError(f"no zone {zone!r}")
    current = planner.make_plan(state.zone_layout, state.zones, assessment)
    forecast = planner.make_plan(state.zone_layout, state.zones, assessment, zone)
    zones = {
        name: ZoneForecast(current.load.get(name, 0), forecast.load.get(name, 0), forecast.room[name])
        for name in state.zone_layout.zones
    }
    return LossForecast(zone, forecast.missing_slots, current.missing_slots, zones)


def traffic_report(state: "ClusterState") -> TrafficReport:
    """Return the operators' report on the plan; it lists no zones before the first assessment."""
    traffic, assessment = state.traffic, state.traffic.assessment
    if assessment is None:
        return TrafficReport([], 0, traffic.frozen_by, "", {}, [], [], 0, 0)
    available = planner.available_slots(state.zone_layout, state.zones, assessment)
    load = expected_load(traffic.weights, planner.demand_by_source(assessment))
    zones = [
        _zone_report(
            state,
            zone,
            assessment,
            available.planned[name] or available.last_resort[name],
            load.get(name, 0),
            traffic.weights,
        )
        for name, zone in state.zones.items()
    ]
    return TrafficReport(
        zones,
        traffic.missing_slots,
        traffic.frozen_by,
        traffic.distrust_reason,
        assessment.links,
        assessment.unobserved_zones,
        assessment.failing_groups,
        traffic.epoch,
        traffic.target_changes,
    )


def _zone_report(
    state: "ClusterState",
    zone: ZoneState,
    assessment: ClusterAssessment,
    room: int,
    load: int,
    weights: WeightTable,
) -> ZoneReport:
    assessed = assessment.zones[zone.name]
    return ZoneReport(
        zone=zone.name,
        region=state.zone_layout.region(zone.name),
        status=zone.status,
        open_share=zone.open_share,
        pinned=zone.pinned,
        halt_reason=zone.halt_reason,
        trust=zone.trust,
        slots=assessed.slots,
        room=room,
        load=load,
        demand=assessed.demand,
        failed=assessed.failed,
        late=assessed.late,
        verdict=assessed.verdict,
        reason=assessed.reason,
        weights=weights.get(zone.name, {}),
        dwell_s=zone_status.dwell_us(state, zone) / 1e6,
        since_s=round((state.clock - zone.status_since) / 1e6, 1),
    )
