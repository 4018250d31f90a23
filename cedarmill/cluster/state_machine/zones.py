"""Operators' requests for zones: layout, evacuation and return, and the freeze of the traffic plan."""

from collections.abc import Callable

from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine import permit_queue
from cedarmill.cluster.state_machine.command import (
    DEFAULT_PERMIT_WAIT_US,
    Handlers,
    OperatorRequest,
    accepted,
)
from cedarmill.cluster.state_machine.permit_queue import PermitRequest
from cedarmill.cluster.state_machine.permit_states import apply_event, open_permit, return_to_service
from cedarmill.cluster.states import PermitState
from cedarmill.cluster.traffic_control import intake, ramps, zone_status
from cedarmill.cluster.traffic_control.errors import InvalidLayoutError
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.state import ZoneState


class SetZones(OperatorRequest, tag="zones", rename={"zone_layout": "zoning"}, frozen=True):
    """Replace the layout of zones and regions."""

    zone_layout: ZoneLayout


class ControlZone(OperatorRequest, tag="zone", frozen=True):
    """Control one zone (`leave`, `stay`, `pin`, `unpin`, `lost`) or the whole plan (`freeze`, `thaw`)."""

    action: str
    zone: str = ""
    evacuation_us: int = 0
    reason: str = ""
    wait_us: int = DEFAULT_PERMIT_WAIT_US


def set_zones(state: ClusterState, request: SetZones) -> RequestOutcome:
    """Replace the zone layout; raise RequestRejected with the reason if it is invalid."""
    try:
        intake.set_layout(state, request.zone_layout)
    except InvalidLayoutError as error:
        raise RequestRejected(str(error)) from None
    zones, regions = request.zone_layout.zones, request.zone_layout.regions
    state.log_for_operators(f"zones set by {request.requester}: {len(zones)} in {len(regions)} regions")
    return accepted(state, f"{len(zones)} zones are planned")


def control_zone(state: ClusterState, request: ControlZone) -> RequestOutcome:
    """Apply an operator's action to a zone or the plan; raise RequestRejected if it is not possible now."""
    if request.action in ("freeze", "thaw"):
        return _freeze_or_thaw(state, request)
    zone = state.zones.get(request.zone)
    if zone is None:
        raise RequestRejected(f"no zone {request.zone!r}: one of {', '.join(state.zones) or 'none'}")
    handler = ACTIONS.get(request.action)
    if handler is None:
        raise RequestRejected(f"no act {request.action!r}: leave, stay, pin, unpin, lost, freeze or thaw")
    return handler(state, zone, request)


def _freeze_or_thaw(state: ClusterState, request: ControlZone) -> RequestOutcome:
    is_frozen = request.action == "freeze"
    author = f"{request.requester}: {request.reason or 'no reason given'}"
    state.traffic.frozen_by = author if is_frozen else ""
    state.traffic.next_review_at = 0
    state.log_for_operators(f"the plan of traffic is {'frozen by ' + author if is_frozen else 'thawed'}")
    return accepted(state, "nothing moves by itself" if is_frozen else "traffic moves again")


def _drain_zone(state: ClusterState, zone: ZoneState, request: ControlZone) -> RequestOutcome:
    """Request a permit to drain a zone in steps; raise RequestRejected if the others lack capacity."""
    if state.traffic.frozen_by:
        raise RequestRejected(f"the plan is frozen by {state.traffic.frozen_by}: thaw it first")
    missing = ramps.slots_missing_without(state, zone.name)
    if missing > 0:
        raise RequestRejected(f"the others would not bear it: {missing / 1000:g} slots are missing")
    zone.evacuation_us = request.evacuation_us
    permit_request = PermitRequest("zone", zone.name, request.requester, request.reason, 0, request.wait_us)
    permit = permit_queue.submit(state, permit_request)
    state.traffic.next_review_at = 0
    return RequestOutcome(
        state.clock, permit.state != PermitState.REFUSED, "; ".join(permit.notes), [permit.id]
    )


def _cancel_zone_drain(state: ClusterState, zone: ZoneState, request: ControlZone) -> RequestOutcome:
    return cancel_evacuation(state, zone.name, f"{request.requester}: {request.reason}")


def cancel_evacuation(state: ClusterState, name: str, reason: str) -> RequestOutcome:
    """Return a zone's permit or withdraw its request; raise RequestRejected if there is neither."""
    permit = open_permit(state, "zone", name)
    if permit is None:
        raise RequestRejected(f"zone {name} is not out by a permit, and waits for none")
    if permit.state == PermitState.WAITING:
        apply_event(state, permit, "withdraw")
    else:
        return_to_service(state, permit, reason)
    state.traffic.next_review_at = 0
    return accepted(state, f"permit {permit.id} is {permit.state}", [permit.id])


def _set_pinned(state: ClusterState, zone: ZoneState, request: ControlZone) -> RequestOutcome:
    """Pin a zone to its current status, or unpin it."""
    zone.pinned = request.action == "pin"
    state.traffic.next_review_at = 0
    state.log_for_operators(
        f"{request.requester} says {request.action} of zone {zone.name}: {request.reason}"
    )
    return accepted(state, f"{zone.name} stays {zone.status}" if zone.pinned else "it moves again")


def _declare_lost(state: ClusterState, zone: ZoneState, request: ControlZone) -> RequestOutcome:
    if not request.reason.strip():
        raise RequestRejected("a word takes a reason")
    has_changed = zone_status.declare_lost(state, zone, f"{request.requester}: {request.reason}")
    return RequestOutcome(state.clock, has_changed, f"zone {zone.name} is {zone.status}")


ACTIONS: dict[str, Callable[[ClusterState, ZoneState, ControlZone], RequestOutcome]] = {
    "leave": _drain_zone,
    "stay": _cancel_zone_drain,
    "pin": _set_pinned,
    "unpin": _set_pinned,
    "lost": _declare_lost,
}
HANDLERS: Handlers = {SetZones: set_zones, ControlZone: control_zone}
