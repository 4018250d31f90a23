"""Permits to take targets out of service: requests, returns, confirmations of drains, and limits."""

from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.state import ClusterState, Limit, Permit, RequestOutcome
from cedarmill.cluster.state_machine import drains, permit_queue, zones
from cedarmill.cluster.state_machine.command import (
    DEFAULT_WAIT_US,
    Command,
    Handlers,
    OperatorRequest,
    accepted,
)
from cedarmill.cluster.state_machine.permit_queue import PermitRequest
from cedarmill.cluster.state_machine.permit_states import give_back, move, open_permit
from cedarmill.cluster.states import PermitState


class ConfirmDrained(Command, tag="cleared", frozen=True):
    """A member has nothing left at these targets and sends them nothing, by the epochs of their grants."""

    member_key: str
    drained: dict[str, int]


class AdoptUnknownGrants(Command, tag="held", frozen=True):
    """A member follows grants that the state does not know: the replicas were restored from an older one."""

    member_key: str
    grants: dict[str, int]  # epoch of the grant by `kind:name`


class SetLimits(OperatorRequest, tag="limits", frozen=True):
    """Replace the limits of what may be out at once."""

    limits: tuple[Limit, ...]


class RequestPermits(OperatorRequest, tag="ask", frozen=True):
    """Ask that targets may be out; each is decided by itself. `wait_us` bounds the wait for a grant."""

    kind: str
    names: tuple[str, ...]
    reason: str = ""
    priority: int = 0
    wait_us: int = DEFAULT_WAIT_US


class ReturnPermit(OperatorRequest, tag="give", frozen=True):
    """Put a target back into service, or withdraw the request for it."""

    kind: str
    name: str


def confirm_drained(state: ClusterState, command: ConfirmDrained) -> None:
    """Note each target that the member is done with."""
    for target, epoch in command.drained.items():
        drains.confirm(state, command.member_key, target, epoch)


def adopt_unknown_grants(state: ClusterState, command: AdoptUnknownGrants) -> None:
    """Enter a lost permit for each target that is out by a grant which nobody here knows."""
    for key, epoch in command.grants.items():
        kind, _, name = key.partition(":")
        if _is_out(state, kind, name):
            continue
        permit = Permit(
            state.new_id(),
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
        state.note(f"{kind} {name} is out by a grant that was lost with the keepers' state")


def _is_out(state: ClusterState, kind: str, name: str) -> bool:
    return any(
        permit.out and (permit.kind, permit.target) == (kind, name) for permit in state.permits.values()
    )


def set_limits(state: ClusterState, request: SetLimits) -> RequestOutcome:
    """Replace all limits."""
    state.limits = list(request.limits)
    state.note(f"limits set by {request.requester}: {len(request.limits)}")
    return accepted(state, f"{len(request.limits)} limits hold")


def request_permits(state: ClusterState, request: RequestPermits) -> RequestOutcome:
    """Enter a permit for each target, once where it is named twice."""
    made = [
        permit_queue.enter(
            state,
            PermitRequest(
                request.kind, name, request.requester, request.reason, request.priority, request.wait_us
            ),
        )
        for name in dict.fromkeys(request.names)
    ]
    any_open = not all(permit.state == PermitState.REFUSED for permit in made)
    return RequestOutcome(state.clock, any_open, "", [permit.id for permit in made])


def return_permit(state: ClusterState, request: ReturnPermit) -> RequestOutcome:
    """Return the permit of a target; raises RequestRejected where there is none to return."""
    permit = open_permit(state, request.kind, request.name)
    if permit is None:
        raise RequestRejected(f"{request.name} is not out by a permit, and waits for none")
    if permit.holder.startswith("release:"):
        raise RequestRejected(f"{request.name} is out by {permit.holder}: halt it, or take it back")
    reason = f"put back by {request.requester}"
    if permit.kind == "zone" and permit.out:
        return zones.cancel_evacuation(state, request.name, reason)
    if permit.state == PermitState.WAITING:
        move(state, permit, "withdraw")
        return accepted(state, f"permit {permit.id} is withdrawn", [permit.id])
    give_back(state, permit, reason)
    return accepted(state, f"permit {permit.id} is returned", [permit.id])


HANDLERS: Handlers = {
    ConfirmDrained: confirm_drained,
    AdoptUnknownGrants: adopt_unknown_grants,
    SetLimits: set_limits,
    RequestPermits: request_permits,
    ReturnPermit: return_permit,
}
