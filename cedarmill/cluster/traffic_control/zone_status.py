"""Status changes of zones, by operators' permits and by verdicts that have lasted long enough.

The time that a zone must be well before its return doubles with each recent loss, which damps flapping.
"""

from typing import TYPE_CHECKING

from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.observations.verdicts import Verdict
from cedarmill.cluster.state_machine.permit_states import target_key
from cedarmill.cluster.states import TargetHealth
from cedarmill.cluster.traffic_plan.state import TRANSITIONS, ZoneEvent, ZoneState, ZoneStatus

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState, Permit

MIN_DWELL_US = 10_000_000  # minimum time of being well before a return; doubles with each recent loss
MAX_DWELL_US = 160_000_000
RECENT_LOSS_WINDOW_US = 600_000_000
MAX_RECORDED_LOSSES = 8
LOST_CONFIRMATION_US = 700_000  # time that the verdict must last
FAILING_CONFIRMATION_US = 2_000_000  # time that the verdict must last
MASS_LOSS_MIN_ZONES = (
    2  # zones; that many lost at once are not acted on if they make up more than half of all zones
)

# The open share (thousandths) set on entering a status; other statuses keep the previous share.
OPEN_SHARE_ON_ENTRY = {
    ZoneStatus.OPEN: WHOLE,
    ZoneStatus.LOST: 0,
    ZoneStatus.FAILING: 0,
    ZoneStatus.OUT: 0,
}


def apply_event(state: "ClusterState", zone: ZoneState, event: ZoneEvent, reason: str = "") -> bool:
    """Change a zone's status by an event; return whether the event is valid in its current status."""
    status = TRANSITIONS.get((zone.status, event))
    if status is None:
        return False
    if event in (ZoneEvent.LOSE, ZoneEvent.FAIL):
        recent = [at for at in zone.losses if state.clock - at < RECENT_LOSS_WINDOW_US]
        zone.losses = [*recent[1 - MAX_RECORDED_LOSSES :], state.clock]
    zone.status, zone.status_since = status.value, state.clock
    zone.status_changes += 1
    zone.open_share = OPEN_SHARE_ON_ENTRY.get(status, zone.open_share)
    if status in (ZoneStatus.LOST, ZoneStatus.FAILING):
        zone.well_since = -1
    target = state.targets.get(target_key("zone", zone.name))
    if target is not None:
        health = TargetHealth.SILENT if status == ZoneStatus.LOST else TargetHealth.HEALTHY
        target.health_since = target.health_since if target.health == health else state.clock
        target.health = health
    state.log_for_operators(f"zone {zone.name} is {status}" + (f": {reason}" if reason else ""))
    return True


def declare_lost(state: "ClusterState", zone: ZoneState, reason: str) -> bool:
    """Mark a zone as lost by an operator's statement; return whether its status has changed."""
    state.traffic.next_review_at = 0
    return apply_event(state, zone, ZoneEvent.LOSE, reason)


def dwell_us(state: "ClusterState", zone: ZoneState) -> int:
    """Return how long (us) a zone must be well before it returns, which grows with its recent losses."""
    recent = sum(state.clock - at < RECENT_LOSS_WINDOW_US for at in zone.losses)
    return min(MAX_DWELL_US, MIN_DWELL_US << max(0, recent - 1))


def evacuation_permit(state: "ClusterState", zone: ZoneState) -> "Permit | None":
    """Return the permit under which the zone is taken out of service, or None."""
    for permit in state.permits.values():
        if permit.is_out_of_service and permit.kind == "zone" and permit.target == zone.name:
            return permit
    return None


def follow_permits(state: "ClusterState") -> None:
    """Start the evacuation of zones with a permit, and the return of zones whose permit was given back."""
    for zone in state.zones.values():
        has_permit = evacuation_permit(state, zone) is not None
        is_leaving = zone.status in (ZoneStatus.LEAVING, ZoneStatus.OUT)
        if has_permit and not is_leaving:
            apply_event(state, zone, ZoneEvent.LEAVE, "by an operator's permit")
        elif not has_permit and is_leaving:
            zone.halt_reason = ""
            apply_event(state, zone, ZoneEvent.STAY)


def follow_assessment(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Apply verdicts that have lasted long enough, unless too many zones appear lost at once."""
    confirmed = [
        zone
        for zone in state.zones.values()
        if not zone.pinned and _has_confirmed_verdict(state, zone, assessment)
    ]
    _set_distrust_reason(state, _distrust_reason(state, confirmed, assessment))
    if state.traffic.distrust_reason:
        return
    for zone in confirmed:
        assessed = assessment.zones[zone.name]
        event = ZoneEvent.LOSE if assessed.verdict == Verdict.LOST else ZoneEvent.FAIL
        apply_event(state, zone, event, assessed.reason)
    for zone in state.zones.values():
        is_bad = zone.status in (ZoneStatus.LOST, ZoneStatus.FAILING)
        is_recovering = is_bad and not zone.pinned and zone.well_since >= 0
        if is_recovering and state.clock - zone.well_since >= dwell_us(state, zone):
            apply_event(state, zone, ZoneEvent.RECOVER)


def _has_confirmed_verdict(state: "ClusterState", zone: ZoneState, assessment: ClusterAssessment) -> bool:
    """Return whether the zone's verdict is bad, has lasted long enough and changes the zone's status."""
    verdict = assessment.zones[zone.name].verdict
    if verdict == Verdict.LOST:
        event, confirmation_us = ZoneEvent.LOSE, LOST_CONFIRMATION_US
    elif verdict == Verdict.FAILING:
        event, confirmation_us = ZoneEvent.FAIL, FAILING_CONFIRMATION_US
    else:
        return False
    if zone.bad_since < 0 or (zone.status, event) not in TRANSITIONS:
        return False
    return state.clock - zone.bad_since >= confirmation_us


def _distrust_reason(state: "ClusterState", confirmed: list[ZoneState], assessment: ClusterAssessment) -> str:
    """Return why the confirmed verdicts are not applied, or an empty string if they are."""
    newly_lost = [
        zone
        for zone in confirmed
        if assessment.zones[zone.name].verdict == Verdict.LOST
        and (zone.status, ZoneEvent.LOSE) in TRANSITIONS
        and zone.status != ZoneStatus.LEAVING
    ]
    unavailable = sum(zone.status in (ZoneStatus.LOST, ZoneStatus.OUT) for zone in state.zones.values())
    if len(newly_lost) >= MASS_LOSS_MIN_ZONES and 2 * (len(newly_lost) + unavailable) > len(state.zones):
        return f"{len(newly_lost)} of {len(state.zones)} zones seem lost at once"
    return ""


def _set_distrust_reason(state: "ClusterState", reason: str) -> None:
    if reason == state.traffic.distrust_reason:
        return
    state.traffic.distrust_reason = reason
    state.log_for_operators(
        f"traffic stays as it is: {reason}" if reason else "news of zones are believed again"
    )
