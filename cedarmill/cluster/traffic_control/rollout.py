"""The weights that hold, moved to the plan's at a bounded rate; at once away from zones that are lost."""

from typing import TYPE_CHECKING

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.traffic_plan import planner, weights
from cedarmill.cluster.traffic_plan.planner import PROBE_WEIGHT, TrafficPlan
from cedarmill.cluster.traffic_plan.state import WeightTable, ZoneStatus

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

MOVE_RATE = 200  # thousandths of a row that move in a second, where nothing is lost
MOVE_INTERVAL_US = 500_000  # between two moves
MIN_DIFFERENCE = 50  # thousandths of a row below which another plan is not worth a change


def retarget(state: "ClusterState", assessment: ClusterAssessment, statuses_changed: bool) -> None:
    """Take over a new plan, where it differs by enough or a zone's status has changed."""
    traffic = state.traffic
    plan = planner.make_plan(state.zoning, state.zones, assessment)
    traffic.missing_slots = plan.missing_slots
    differs = weights.max_difference(plan.weights, traffic.target_weights) >= MIN_DIFFERENCE
    changed = statuses_changed or not traffic.target_weights or differs
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
    """Fallback weights by the newest assessment; whether they differ by enough to be sent to nodes."""
    traffic = state.traffic
    fallbacks = _fallbacks(state, plan, assessment)
    traffic.fallback_assessed_at = traffic.assessed_at
    known = traffic.fallback_weights
    names = known.keys() | fallbacks.keys()
    if all(
        weights.max_difference(known.get(name, {}), fallbacks.get(name, {})) < MIN_DIFFERENCE
        for name in names
    ):
        return False
    traffic.fallback_weights = fallbacks
    return True


def _fallbacks(
    state: "ClusterState", plan: TrafficPlan, assessment: ClusterAssessment
) -> dict[str, WeightTable]:
    return planner.fallback_plans(state.zoning, plan, assessment.links)


def move_weights(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """One move towards the target; at once away from what is lost."""
    traffic = state.traffic
    if traffic.weights == traffic.target_weights:
        return
    away = (ZoneStatus.LOST, ZoneStatus.OUT)
    gone = [zone.name for zone in state.zones.values() if zone.status in away]
    passed = min(state.clock - traffic.moved_at, MOVE_INTERVAL_US)  # after a calm no larger than others
    if passed < MOVE_INTERVAL_US and not _uses(traffic.weights, gone):
        return
    most = MOVE_RATE * passed // 1_000_000
    moved = weights.step(traffic.weights, traffic.target_weights, most, gone)
    available = planner.available_room(state.zoning, state.zones, assessment)
    room = {name: slots + available.last_resort[name] for name, slots in available.planned.items()}
    demand = planner.demand_by_source(assessment)
    traffic.weights = weights.held_back(traffic.weights, moved, demand, room, gone)
    traffic.moved_at = state.clock
    traffic.epoch = state.orders_epoch = state.epoch


def _uses(table: WeightTable, zones: list[str]) -> bool:
    """Whether more than probes goes to one of the zones."""
    rows = [row for rows in table.values() for row in rows.values()]
    return any(row.get(zone, 0) > PROBE_WEIGHT for row in rows for zone in zones)
