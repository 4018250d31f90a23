"""Periodic review of the traffic plan: the steps of a review, and the time of the next one."""

from typing import TYPE_CHECKING

from cedarmill.cluster.admission_level.state import LATE_SHARE as ADMISSION_LATE_SHARE
from cedarmill.cluster.admission_level.state import STEP_US as ADMISSION_STEP_US
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.traffic_control import ramps, rollout, trust, zone_status
from cedarmill.cluster.traffic_plan.state import ZoneState, ZoneStatus

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

FROZEN_REVIEW_INTERVAL_US = 60_000_000
IDLE_REVIEW_INTERVAL_US = 30_000_000


def review(state: "ClusterState") -> None:
    """Update zone statuses, ramps, trust and weights if a review is due, and schedule the next review."""
    traffic = state.traffic
    assessment = traffic.assessment
    if not state.zone_layout.regions or assessment is None or state.clock < traffic.next_review_at:
        return
    previous_statuses = _zone_statuses(state)
    if not traffic.frozen_by:
        zone_status.follow_permits(state)
        zone_status.follow_assessment(state, assessment)
        ramps.advance_ramps(state, assessment)
        trust.adjust_trust(state, assessment)
    changed = previous_statuses != _zone_statuses(state)
    if not traffic.frozen_by or not traffic.weights:
        rollout.retarget(state, assessment, changed)
        rollout.move_weights(state, assessment)
    if changed:
        state.orders_epoch = state.epoch
    traffic.next_review_at = _next_review(state)


def due_times(state: "ClusterState") -> list[int]:
    """Return the times of the next review and admission step (us of the cluster's clock)."""
    if not state.zone_layout.regions or state.traffic.assessment is None:
        return []
    levels = [state.admission, *state.scoped_admission.values()]
    is_shedding = state.zone_layout.sheds_load and any(
        level.shed_slots or level.late >= ADMISSION_LATE_SHARE or level.override_until > state.clock
        for level in levels
    )
    times = [state.traffic.next_review_at]
    if is_shedding:
        times.append(min(level.stepped_at for level in levels) + ADMISSION_STEP_US)
    return times


def _zone_statuses(state: "ClusterState") -> dict[str, str]:
    return {name: zone.status for name, zone in state.zones.items()}


def _next_review(state: "ClusterState") -> int:
    now, traffic = state.clock, state.traffic
    if traffic.frozen_by:
        return now + FROZEN_REVIEW_INTERVAL_US
    times = [now + IDLE_REVIEW_INTERVAL_US]
    if traffic.weights != traffic.target_weights:
        earliest = now + rollout.MOVE_INTERVAL_US // 5
        times.append(max(earliest, traffic.moved_at + rollout.MOVE_INTERVAL_US))
    for zone in state.zones.values():
        times += _zone_due_times(state, zone)
    return min(times)


def _zone_due_times(state: "ClusterState", zone: ZoneState) -> list[int]:
    """Return the times (us) at which the zone's status, open share or trust may next change."""
    now = state.clock
    earliest = now + rollout.MOVE_INTERVAL_US
    times = []
    if zone.status in (ZoneStatus.RETURNING, ZoneStatus.LEAVING):
        times.append(earliest)
    degradable_statuses = (ZoneStatus.OPEN, ZoneStatus.FAILING, ZoneStatus.RETURNING)
    if zone.bad_since >= 0 and zone.status in degradable_statuses:
        confirmation_times = (zone_status.LOST_CONFIRMATION_US, zone_status.FAILING_CONFIRMATION_US)
        times += [zone.bad_since + delay for delay in confirmation_times if zone.bad_since + delay > now]
    if zone.status in (ZoneStatus.LOST, ZoneStatus.FAILING) and zone.well_since >= 0:
        times.append(max(earliest, zone.well_since + zone_status.dwell_us(state, zone)))
    if zone.trust < WHOLE:
        times.append(max(earliest, zone.trust_changed_at + trust.TRUST_CHANGE_INTERVAL_US))
    return times
