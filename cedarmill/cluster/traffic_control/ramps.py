"""Zones that are opened or emptied in steps; an evacuation is halted where the others could not take it."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.traffic_control import zone_status
from cedarmill.cluster.traffic_plan import planner
from cedarmill.cluster.traffic_plan.state import ZoneEvent, ZoneState, ZoneStatus

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

RETURN_RATE = 100  # thousandths of a zone's capacity that come back in a second


def advance_ramps(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Open and empty zones as far as they should be by now."""
    for zone in state.zones.values():
        if zone.pinned:
            continue
        if zone.status == ZoneStatus.RETURNING:
            opened = RETURN_RATE * (state.clock - zone.status_since) // 1_000_000
            zone.open_share = max(zone.open_share, min(WHOLE, opened))
            if zone.open_share >= WHOLE:
                zone_status.apply_event(state, zone, ZoneEvent.FULLY_OPENED)
        elif zone.status == ZoneStatus.LEAVING:
            _continue_evacuation(state, zone, assessment)


def slots_missing_without(state: "ClusterState", name: str) -> int:
    """Slots (thousandths) that would be missing if this zone were emptied, but for its own that must stay."""
    assessment = state.traffic.assessment
    if assessment is None:
        return 0
    return _missing(state, assessment, name, 0) - _missing(state, assessment, name)


def _continue_evacuation(state: "ClusterState", zone: ZoneState, assessment: ClusterAssessment) -> None:
    """One step of an evacuation, if the other zones can take it; else it is halted, and says so."""
    if zone_status.permit_of(state, zone) is None:
        return
    spent = state.clock - zone.status_since
    wanted = 0 if spent >= zone.evacuation_us else WHOLE - WHOLE * spent // zone.evacuation_us
    if wanted >= zone.open_share:
        return
    before, zone.open_share = zone.open_share, wanted
    missing = _missing(state, assessment, zone.name) - _missing(state, assessment, zone.name, WHOLE)
    reason = f"{missing / WHOLE:g} slots would be missing" if missing > 0 else ""
    if reason:
        zone.open_share = before
    if bool(reason) != bool(zone.halt_reason):
        verb = f"is halted: {reason}" if reason else "goes on"
        state.note(f"the evacuation of zone {zone.name} {verb}")
    zone.halt_reason = reason
    if zone.open_share == 0:
        zone_status.apply_event(state, zone, ZoneEvent.EMPTIED)


def _missing(
    state: "ClusterState", assessment: ClusterAssessment, name: str, open_share: int | None = None
) -> int:
    """Slots that find no room, but for those that may not leave this zone: no other could take these.

    `open_share`: as if the zone were open so far.
    """
    zones = state.zones
    if open_share is not None:
        zones = {**zones, name: msgspec.structs.replace(zones[name], open_share=open_share)}
    plan = planner.make_plan(state.zoning, zones, assessment)
    return plan.missing_slots - plan.allocation.unserved.get((name, "zone"), 0)
