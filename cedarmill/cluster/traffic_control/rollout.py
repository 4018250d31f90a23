"""Rollout of a new plan: the weights move to the target at a bounded rate, but off lost zones at once."""

from typing import TYPE_CHECKING

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.traffic_plan import planner, weights
from cedarmill.cluster.traffic_plan.planner import PROBE_WEIGHT, TrafficPlan
from cedarmill.cluster.traffic_plan.state import WeightTable, ZoneStatus

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

MOVE_RATE = 200  # thousandths of a row per second
MOVE_INTERVAL_US = 500_000
MIN_TARGET_DIFFERENCE = 50  # thousandths of a row; a smaller difference does not replace the target


def retarget(state: "ClusterState", assessment: ClusterAssessment, statuses_changed: bool) -> None:
    """Make a new plan the target if it differs by enough or a zone's status has changed."""
    traffic = state.traffic
    plan = planner.make_plan(state.zone_layout, state.zones, assessment)
    traffic.missing_slots = plan.missing_slots
    is_different = weights.max_difference(plan.weights, traffic.target_weights) >= MIN_TARGET_DIFFERENCE
    changed = statuses_changed or not traffic.target_weights or is_different
    if changed:
        traffic.target_weights = plan.weights
        traffic.target_changes += 1
    if not traffic.weights:
        traffic.weights = plan.weights
    if changed or traffic.fallback_assessed_at != traffic.assessed_at:
        changed |= _replan_fallbacks(state, plan, assessment)
    if changed:
        traffic.epoch = state.orders_epoch = state.epoch


def _replan_fallbacks(state: "ClusterState", plan: TrafficPlan, assessment: ClusterAssessment) -> bool:
    """Recompute the fallback weights; return whether they differ by enough to be sent to nodes."""
    traffic = state.traffic
    fallbacks = _fallback_tables(state, plan, assessment)
    traffic.fallback_assessed_at = traffic.assessed_at
    current = traffic.fallback_weights
    names = current.keys() | fallbacks.keys()
    if all(
        weights.max_difference(current.get(name, {}), fallbacks.get(name, {})) < MIN_TARGET_DIFFERENCE
        for name in names
    ):
        return False
    traffic.fallback_weights = fallbacks
    return True


def _fallback_tables(
    state: "ClusterState", plan: TrafficPlan, assessment: ClusterAssessment
) -> dict[str, WeightTable]:
    return planner.fallback_plans(state.zone_layout, plan, assessment.links)


def move_weights(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Move the weights one step towards the target; traffic of lost and closed zones moves at once."""
    traffic = state.traffic
    if traffic.weights == traffic.target_weights:
        return
    unavailable_statuses = (ZoneStatus.LOST, ZoneStatus.OUT)
    unavailable = [zone.name for zone in state.zones.values() if zone.status in unavailable_statuses]
    elapsed_us = min(state.clock - traffic.moved_at, MOVE_INTERVAL_US)  # limits the first step after a pause
    if elapsed_us < MOVE_INTERVAL_US and not _receives_traffic(traffic.weights, unavailable):
        return
    max_step = MOVE_RATE * elapsed_us // 1_000_000
    stepped = weights.step_towards(traffic.weights, traffic.target_weights, max_step, unavailable)
    available = planner.available_slots(state.zone_layout, state.zones, assessment)
    room = {name: slots + available.last_resort[name] for name, slots in available.planned.items()}
    demand = planner.demand_by_source(assessment)
    traffic.weights = weights.hold_overloading_rows(traffic.weights, stepped, demand, room, unavailable)
    traffic.moved_at = state.clock
    traffic.epoch = state.orders_epoch = state.epoch


def _receives_traffic(table: WeightTable, zones: list[str]) -> bool:
    """Return whether one of the zones gets more than probe traffic."""
    rows = [row for rows in table.values() for row in rows.values()]
    return any(row.get(zone, 0) > PROBE_WEIGHT for row in rows for zone in zones)
