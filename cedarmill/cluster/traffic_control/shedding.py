"""Load shedding by assessment: updates of the cluster's admission level and of those of single scopes."""

from typing import TYPE_CHECKING

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.state import UNKNOWN, LoadReport
from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.traffic_plan import planner

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState


def update_admission(state: "ClusterState") -> None:
    """Advance the admission levels by one step, if the layout enables load shedding.

    Besides the cluster's level there is one for each zone and scope whose requests alone find no room.
    """
    assessment = state.traffic.assessment
    if not state.zone_layout.sheds_load or assessment is None:
        return
    available = planner.available_slots(state.zone_layout, state.zones, assessment)
    slots = sum(available.planned.values()) + sum(available.last_resort.values())
    if not slots:
        return  # no slots have been reported yet
    report = _load_report(list(assessment.zones.values()), slots)
    controller.advance(state, assessment.demand_by_weight(), report, state.traffic.assessed_at)
    _update_scoped_admission(state, assessment, slots)


def _load_report(zones: list[ZoneAssessment], slots: int) -> LoadReport:
    occupied = sum(zone.slots_occupied for zone in zones)
    allotted = sum(zone.slots_allotted for zone in zones)
    queueing_without_allotment = UNKNOWN if occupied else 0
    return LoadReport(
        slots=slots,
        late=_demand_weighted_mean(zones, [zone.late for zone in zones]),
        slots_in_use=occupied,
        slots_served=sum(zone.slots_served for zone in zones),
        queueing=occupied * WHOLE // allotted if allotted else queueing_without_allotment,
        rejected_locally=_demand_weighted_mean(zones, [zone.rejected_locally for zone in zones]),
    )


def _demand_weighted_mean(zones: list[ZoneAssessment], shares: list[int]) -> int:
    """Return the mean of the zones' shares (thousandths), weighted by the zones' demand."""
    demanded = [sum(zone.demand.values()) for zone in zones]
    weighted = sum(share * slots for share, slots in zip(shares, demanded, strict=True))
    return weighted // max(1, sum(demanded))


def _update_scoped_admission(state: "ClusterState", assessment: ClusterAssessment, slots: int) -> None:
    demanded = sum(sum(zone.demand.values()) for zone in assessment.zones.values())
    unserved: dict[tuple[str, str], int] = {}
    if demanded <= slots:
        plan = planner.make_plan(state.zone_layout, state.zones, assessment)
        unserved = plan.allocation.unserved
    for key in sorted({f"{zone}/{scope}" for zone, scope in unserved} | state.scoped_admission.keys()):
        zone, _, scope = key.partition("/")
        assessed = assessment.zones.get(zone)
        if assessed is not None:
            demand = assessed.demand_by_weight.get(scope, {})
            served = sum(demand.values()) - unserved.get((zone, scope), 0)
            controller.advance_scope(state, key, demand, max(0, served), assessed.late)
