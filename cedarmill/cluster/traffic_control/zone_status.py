"""Zones' statuses: by operators' permits, and by assessments once these have lasted.

A zone that comes and goes is taken to be well later each time.
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

DWELL_US = 10_000_000  # for which a zone has to be well before it is used again; doubled by each loss lately
MAX_DWELL_US = 160_000_000
LOSS_MEMORY_US = 600_000_000  # for which a loss counts as lately
KEPT_LOSSES = 8
LOST_AFTER_US = 700_000  # that a zone is assessed as lost before this is acted on
FAILING_AFTER_US = 2_000_000  # the same for a failing one
MASS_LOSS = 2  # zones lost at once that are not believed, if they are more than half of all

OPEN_SHARES = {  # on entering a status; the others leave it as it is
    ZoneStatus.OPEN: WHOLE,
    ZoneStatus.LOST: 0,
    ZoneStatus.FAILING: 0,
    ZoneStatus.OUT: 0,
}


def apply_event(state: "ClusterState", zone: ZoneState, event: ZoneEvent, reason: str = "") -> bool:
    """Take a zone to its next status; whether there is one."""
    status = TRANSITIONS.get((zone.status, event))
    if status is None:
        return False
    if event in (ZoneEvent.LOSE, ZoneEvent.FAIL):
        recent = [at for at in zone.losses if state.clock - at < LOSS_MEMORY_US]
        zone.losses = [*recent[1 - KEPT_LOSSES :], state.clock]
    zone.status, zone.status_since = status.value, state.clock
    zone.status_changes += 1
    zone.open_share = OPEN_SHARES.get(status, zone.open_share)
    if status in (ZoneStatus.LOST, ZoneStatus.FAILING):
        zone.well_since = -1
    target = state.targets.get(target_key("zone", zone.name))
    if target is not None:
        health = TargetHealth.SILENT if status == ZoneStatus.LOST else TargetHealth.WELL
        target.health_since = target.health_since if target.health == health else state.clock
        target.health = health
    state.note(f"zone {zone.name} is {status}" + (f": {reason}" if reason else ""))
    return True


def declare_lost(state: "ClusterState", zone: ZoneState, reason: str) -> bool:
    """By an operator's word; whether its status could change."""
    state.traffic.next_review_at = 0
    return apply_event(state, zone, ZoneEvent.LOSE, reason)


def dwell_us(state: "ClusterState", zone: ZoneState) -> int:
    """For how long it has to be well before it is used again: longer, the oftener it was lost lately."""
    recent = sum(state.clock - at < LOSS_MEMORY_US for at in zone.losses)
    return min(MAX_DWELL_US, DWELL_US << max(0, recent - 1))


def permit_of(state: "ClusterState", zone: ZoneState) -> "Permit | None":
    """The permit under which the zone is to be out."""
    for permit in state.permits.values():
        if permit.out and permit.kind == "zone" and permit.target == zone.name:
            return permit
    return None


def follow_permits(state: "ClusterState") -> None:
    """A zone leaves while an operator has a permit for it, and comes back when that is returned."""
    for zone in state.zones.values():
        permitted = permit_of(state, zone) is not None
        away = zone.status in (ZoneStatus.LEAVING, ZoneStatus.OUT)
        if permitted and not away:
            apply_event(state, zone, ZoneEvent.LEAVE, "by an operator's permit")
        elif not permitted and away:
            zone.halt_reason = ""
            apply_event(state, zone, ZoneEvent.STAY)


def follow_assessment(state: "ClusterState", assessment: ClusterAssessment) -> None:
    """Act on verdicts that have lasted, unless too many zones seem lost at once."""
    due = [zone for zone in state.zones.values() if not zone.pinned and _is_due(state, zone, assessment)]
    _note_distrust(state, _distrust_reason(state, due, assessment))
    if state.traffic.distrust_reason:
        return
    for zone in due:
        assessed = assessment.zones[zone.name]
        event = ZoneEvent.LOSE if assessed.verdict == Verdict.LOST else ZoneEvent.FAIL
        apply_event(state, zone, event, assessed.reason)
    for zone in state.zones.values():
        bad = zone.status in (ZoneStatus.LOST, ZoneStatus.FAILING)
        waiting = bad and not zone.pinned and zone.well_since >= 0
        if waiting and state.clock - zone.well_since >= dwell_us(state, zone):
            apply_event(state, zone, ZoneEvent.RECOVER)


def _is_due(state: "ClusterState", zone: ZoneState, assessment: ClusterAssessment) -> bool:
    """Whether its verdict is bad, has lasted, and changes its status."""
    verdict = assessment.zones[zone.name].verdict
    if verdict == Verdict.LOST:
        event, lasting = ZoneEvent.LOSE, LOST_AFTER_US
    elif verdict == Verdict.FAILING:
        event, lasting = ZoneEvent.FAIL, FAILING_AFTER_US
    else:
        return False
    if zone.bad_since < 0 or (zone.status, event) not in TRANSITIONS:
        return False
    return state.clock - zone.bad_since >= lasting


def _distrust_reason(state: "ClusterState", due: list[ZoneState], assessment: ClusterAssessment) -> str:
    """Why the verdicts that are due are not acted on; empty: they are."""
    newly_lost = [
        zone
        for zone in due
        if assessment.zones[zone.name].verdict == Verdict.LOST
        and (zone.status, ZoneEvent.LOSE) in TRANSITIONS
        and zone.status != ZoneStatus.LEAVING
    ]
    away = sum(zone.status in (ZoneStatus.LOST, ZoneStatus.OUT) for zone in state.zones.values())
    if len(newly_lost) >= MASS_LOSS and 2 * (len(newly_lost) + away) > len(state.zones):
        return f"{len(newly_lost)} of {len(state.zones)} zones seem lost at once"
    return ""


def _note_distrust(state: "ClusterState", reason: str) -> None:
    if reason == state.traffic.distrust_reason:
        return
    state.traffic.distrust_reason = reason
    state.note(f"traffic stays as it is: {reason}" if reason else "news of zones are believed again")
