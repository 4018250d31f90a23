"""State machine of a permit: all transitions are in `TRANSITIONS`."""

from cedarmill.cluster.state import ClusterState, Permit
from cedarmill.cluster.states import PermitState

# Transitions: (state, event) -> state.
TRANSITIONS: dict[tuple[str, str], PermitState] = {
    (PermitState.WAITING, "grant"): PermitState.GRANTED,
    (PermitState.WAITING, "expire"): PermitState.EXPIRED,
    (PermitState.WAITING, "refuse"): PermitState.REFUSED,
    (PermitState.WAITING, "withdraw"): PermitState.WITHDRAWN,
    (PermitState.GRANTED, "give"): PermitState.RETURNED,
    (PermitState.GRANTED, "lose"): PermitState.LOST,
    (PermitState.LOST, "find"): PermitState.GRANTED,
    (PermitState.LOST, "give"): PermitState.RETURNED,
}
OPEN_STATES = frozenset({PermitState.WAITING, PermitState.GRANTED, PermitState.LOST})


def target_key(kind: str, name: str) -> str:
    """Return the key of a target in `ClusterState.targets`."""
    return f"{kind}:{name}"


def apply_event(state: ClusterState, permit: Permit, event: str) -> bool:
    """Apply an event to a permit; return whether the permit's state allows the event."""
    new_state = TRANSITIONS.get((permit.state, event))
    if new_state is None:
        return False
    permit.state = new_state
    if event == "grant":
        permit.granted_at, permit.epoch = state.clock, state.epoch
    if new_state not in OPEN_STATES:
        permit.ended_at = state.clock
    state.orders_epoch = state.epoch
    return True


def open_permit(state: ClusterState, kind: str, name: str) -> Permit | None:
    """Return the permit by which a target is out of service, or else its waiting permit, if any."""
    matching_permits = [
        permit for permit in state.permits.values() if (permit.kind, permit.target) == (kind, name)
    ]
    granted = next((permit for permit in matching_permits if permit.is_out_of_service), None)
    return granted or next(
        (permit for permit in matching_permits if permit.state == PermitState.WAITING), None
    )


def return_to_service(state: ClusterState, permit: Permit, reason: str = "") -> bool:
    """Return a permit and start an executor's slow start; return whether the permit was out."""
    if not apply_event(state, permit, "give"):
        return False
    if reason:
        permit.notes.append(reason)
    target = state.targets.get(target_key(permit.kind, permit.target))
    if target is not None and target.kind == "executor":
        target.slow_start_started_at = state.clock
    return True
