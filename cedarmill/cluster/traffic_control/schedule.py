"""The reviews of the traffic plan: what is done at each, and when the next one is due."""

from typing import TYPE_CHECKING

from cedarmill.cluster.admission_level.state import LATE_SHARE as ADMISSION_LATE_SHARE
from cedarmill.cluster.admission_level.state import STEP_US as ADMISSION_STEP_US
from cedarmill.cluster.observations.digest import WHOLE
from cedarmill.cluster.traffic_control import ramps, rollout, trust, zone_status
from cedarmill.cluster.traffic_plan.state import ZoneState, ZoneStatus

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

FROZEN_REVIEW_US = 60_000_000  # between two reviews of a frozen plan
CALM_REVIEW_US = 30_000_000  # the same where nothing moves


def review(state: "ClusterState") -> None:
    """Carry out whatever is due by now."""
    traffic = state.traffic
    assessment = traffic.assessment
    if not state.zoning.regions or assessment is None or state.clock < traffic.next_review_at:
        return
    before = _statuses(state)
    if not traffic.frozen_by:
        zone_status.follow_permits(state)
        zone_status.follow_assessment(state, assessment)
        ramps.advance_ramps(state, assessment)
        trust.adjust_trust(state, assessment)
    changed = before != _statuses(state)
    if not traffic.frozen_by or not traffic.weights:
        rollout.retarget(state, assessment, changed)
        rollout.move_weights(state, assessment)
    if changed:
        state.orders_epoch = state.epoch
    traffic.next_review_at = _next_review(state)


def due_times(state: "ClusterState") -> list[int]:
    """When something changes by itself (us of the cluster's clock)."""
    if not state.zoning.regions or state.traffic.assessment is None:
        return []
    levels = [state.admission, *state.scoped_admission.values()]
    moving = state.zoning.sheds_load and any(
        level.shed_slots or level.late >= ADMISSION_LATE_SHARE or level.override_until > state.clock
        for level in levels
    )
    times = [state.traffic.next_review_at]
    if moving:
        times.append(min(level.stepped_at for level in levels) + ADMISSION_STEP_US)
    return times


def _statuses(state: "ClusterState") -> dict[str, str]:
    return {name: zone.status for name, zone in state.zones.items()}


def _next_review(state: "ClusterState") -> int:
    now, traffic = state.clock, state.traffic
    if traffic.frozen_by:
        return now + FROZEN_REVIEW_US
    times = [now + CALM_REVIEW_US]
    if traffic.weights != traffic.target_weights:
        soonest = now + rollout.MOVE_INTERVAL_US // 5
        times.append(max(soonest, traffic.moved_at + rollout.MOVE_INTERVAL_US))
    for zone in state.zones.values():
        times += _zone_times(state, zone)
    return min(times)


def _zone_times(state: "ClusterState", zone: ZoneState) -> list[int]:
    """When this zone may change by itself."""
    now = state.clock
    soonest = now + rollout.MOVE_INTERVAL_US
    times = []
    if zone.status in (ZoneStatus.RETURNING, ZoneStatus.LEAVING):
        times.append(soonest)
    watched = (ZoneStatus.OPEN, ZoneStatus.FAILING, ZoneStatus.RETURNING)
    if zone.bad_since >= 0 and zone.status in watched:
        lasting = (zone_status.LOST_AFTER_US, zone_status.FAILING_AFTER_US)
        times += [zone.bad_since + span for span in lasting if zone.bad_since + span > now]
    if zone.status in (ZoneStatus.LOST, ZoneStatus.FAILING) and zone.well_since >= 0:
        times.append(max(soonest, zone.well_since + zone_status.dwell_us(state, zone)))
    if zone.trust < WHOLE:
        times.append(max(soonest, zone.trust_changed_at + trust.TRUST_INTERVAL_US))
    return times
