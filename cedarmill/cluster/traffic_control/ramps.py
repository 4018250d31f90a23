"""Stepwise return and evacuation of zones; an evacuation halts while other zones lack room for its load."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.traffic_control import zone_status
from cedarmill.cluster.traffic_plan import planner
from cedarmill.cluster.traffic_plan.state import ZoneEvent, ZoneState, ZoneStatus

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

RETURN_RATE = 100  # thousandths of a returning zone's capacity per second


def advance_ramps(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Advance the open share of each returning or leaving zone to its value for the current time."""
    for zone in state.zones.values():
        if zone.pinned:
            continue
        if zone.status == ZoneStatus.RETURNING:
            opened_share = RETURN_RATE * (state.clock - zone.status_since) // 1_000_000
            zone.open_share = max(zone.open_share, min(WHOLE, opened_share))
            if zone.open_share >= WHOLE:
                zone_status.apply_event(state, zone, ZoneEvent.FULLY_OPENED)
        elif zone.status == ZoneStatus.LEAVING:
            _continue_evacuation(state, zone, assessment)


def slots_missing_without(state: "ClusterState", name: str) -> int:
    """Return the extra slots (thousandths) that would be missing if this zone were emptied.

    Requests that must stay in the zone are not counted. Returns 0 before the first assessment.
    """
    assessment = state.traffic.assessment
    if assessment is None:
        return 0
    return _missing_slots(state, assessment, name, 0) - _missing_slots(state, assessment, name)


def _continue_evacuation(state: "ClusterState", zone: ZoneState, assessment: ClusterAssessment) -> None:
    """Advance an evacuation by one step, or halt it with a reason if other zones lack room."""
    if zone_status.evacuation_permit(state, zone) is None:
        return
    elapsed_us = state.clock - zone.status_since
    target_share = 0 if elapsed_us >= zone.evacuation_us else WHOLE - WHOLE * elapsed_us // zone.evacuation_us
    if target_share >= zone.open_share:
        return
    previous_share, zone.open_share = zone.open_share, target_share
    missing = _missing_slots(state, assessment, zone.name) - _missing_slots(
        state, assessment, zone.name, WHOLE
    )
    reason = f"{missing / WHOLE:g} slots would be missing" if missing > 0 else ""
    if reason:
        zone.open_share = previous_share
    if bool(reason) != bool(zone.halt_reason):
        verb = f"is halted: {reason}" if reason else "goes on"
        state.log_for_operators(f"the evacuation of zone {zone.name} {verb}")
    zone.halt_reason = reason
    if zone.open_share == 0:
        zone_status.apply_event(state, zone, ZoneEvent.EMPTIED)


def _missing_slots(
    state: "ClusterState", assessment: ClusterAssessment, name: str, open_share: int | None = None
) -> int:
    """Return the demand (thousandths of slots) that finds no room in the plan.

    Requests of the zone's own scope are not counted, since no other zone may serve them. `open_share`, if
    given, replaces the zone's current open share.
    """
    zones = state.zones
    if open_share is not None:
        zones = {**zones, name: msgspec.structs.replace(zones[name], open_share=open_share)}
    plan = planner.make_plan(state.zone_layout, zones, assessment)
    return plan.missing_slots - plan.allocation.unserved.get((name, "zone"), 0)
