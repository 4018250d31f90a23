"""Commands for permits to take targets out of service: requests, returns, drain confirmations and limits."""

from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.state import ClusterState, Limit, Permit, RequestOutcome
from cedarmill.cluster.state_machine import drains, permit_queue, zones
from cedarmill.cluster.state_machine.command import (
    DEFAULT_PERMIT_WAIT_US,
    Command,
    Handlers,
    OperatorRequest,
    accepted,
)
from cedarmill.cluster.state_machine.permit_queue import PermitRequest
from cedarmill.cluster.state_machine.permit_states import apply_event, open_permit, return_to_service
from cedarmill.cluster.states import PermitState


class ConfirmDrained(Command, tag="cleared", frozen=True):
    """Record that a member has drained targets; `drained` maps each target to the epoch of its grant."""

    member_key: str
    drained: dict[str, int]


class AdoptUnknownGrants(Command, tag="held", frozen=True):
    """Report grants that a member follows and a state restored from an older backup does not contain."""

    member_key: str
    grants: dict[str, int]  # epoch of each grant, by target key (`kind:name`)


class SetLimits(OperatorRequest, tag="limits", frozen=True):
    """Replace the limits on targets that may be out of service at once."""

    limits: tuple[Limit, ...]


class RequestPermits(OperatorRequest, tag="ask", frozen=True):
    """Request to take targets out of service, each decided separately; `wait_us` limits the wait."""

    kind: str
    names: tuple[str, ...]
    reason: str = ""
    priority: int = 0
    wait_us: int = DEFAULT_PERMIT_WAIT_US


class ReturnPermit(OperatorRequest, tag="give", frozen=True):
    """Return a target to service, or withdraw the waiting request for the target."""

    kind: str
    name: str


def confirm_drained(state: ClusterState, command: ConfirmDrained) -> None:
    """Record the confirmation for each drained target."""
    for target, epoch in command.drained.items():
        drains.confirm_drain(state, command.member_key, target, epoch)


def adopt_unknown_grants(state: ClusterState, command: AdoptUnknownGrants) -> None:
    """Add a lost permit for each reported target that no known permit covers."""
    for key, epoch in command.grants.items():
        kind, _, name = key.partition(":")
        if _is_out(state, kind, name):
            continue
        permit = Permit(
            state.allocate_id(),
            kind,
            name,
            "before the restore",
            state=PermitState.LOST,
            requested_at=state.clock,
            granted_at=state.clock,
            epoch=state.epoch,
            notes=[f"told by {command.member_key}, granted at {epoch}"],
        )
        permit.undrained_members = drains.members_to_drain(state, permit)
        state.permits[permit.id] = permit
        state.orders_epoch = state.epoch
        state.log_for_operators(f"{kind} {name} is out by a grant that was lost with the keepers' state")


def _is_out(state: ClusterState, kind: str, name: str) -> bool:
    return any(
        permit.is_out_of_service and (permit.kind, permit.target) == (kind, name)
        for permit in state.permits.values()
    )


def set_limits(state: ClusterState, request: SetLimits) -> RequestOutcome:
    """Replace all limits on targets out of service."""
    state.limits = list(request.limits)
    state.log_for_operators(f"limits set by {request.requester}: {len(request.limits)}")
    return accepted(state, f"{len(request.limits)} limits hold")


def request_permits(state: ClusterState, request: RequestPermits) -> RequestOutcome:
    """Submit a permit request for each distinct target."""
    permits = [
        permit_queue.submit(
            state,
            PermitRequest(
                request.kind, name, request.requester, request.reason, request.priority, request.wait_us
            ),
        )
        for name in dict.fromkeys(request.names)
    ]
    is_any_accepted = not all(permit.state == PermitState.REFUSED for permit in permits)
    return RequestOutcome(state.clock, is_any_accepted, "", [permit.id for permit in permits])


def return_permit(state: ClusterState, request: ReturnPermit) -> RequestOutcome:
    """Return or withdraw the permit of a target; raise RequestRejected if that is not possible."""
    permit = open_permit(state, request.kind, request.name)
    if permit is None:
        raise RequestRejected(f"{request.name} is not out by a permit, and waits for none")
    if permit.holder.startswith("release:"):
        raise RequestRejected(f"{request.name} is out by {permit.holder}: halt it, or take it back")
    reason = f"put back by {request.requester}"
    if permit.kind == "zone" and permit.is_out_of_service:
        return zones.cancel_evacuation(state, request.name, reason)
    if permit.state == PermitState.WAITING:
        apply_event(state, permit, "withdraw")
        return accepted(state, f"permit {permit.id} is withdrawn", [permit.id])
    return_to_service(state, permit, reason)
    return accepted(state, f"permit {permit.id} is returned", [permit.id])


HANDLERS: Handlers = {
    ConfirmDrained: confirm_drained,
    AdoptUnknownGrants: adopt_unknown_grants,
    SetLimits: set_limits,
    RequestPermits: request_permits,
    ReturnPermit: return_permit,
}
