"""Statements of operators that the state machine accepts as facts because no process can verify them."""

from collections.abc import Callable

from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine import drains
from cedarmill.cluster.state_machine.command import Handlers, OperatorRequest, accepted
from cedarmill.cluster.state_machine.permit_states import return_to_service
from cedarmill.cluster.state_machine.sessions import end_member
from cedarmill.cluster.states import MemberState, PermitState, TargetHealth


class OperatorStatement(OperatorRequest, tag="word", frozen=True):
    """A fact about a target (`drained`, `found`, `forget`), a member (`ended`) or the halt (`go-on`)."""

    statement: str
    name: str
    reason: str


def apply_statement(state: ClusterState, request: OperatorStatement) -> RequestOutcome:
    """Apply a statement; raise RequestRejected if it lacks a reason or contradicts the state."""
    if not request.reason.strip():
        raise RequestRejected("a word takes a reason")
    handler = STATEMENTS.get(request.statement)
    if handler is None:
        raise RequestRejected(f"no word {request.statement!r}: one of {', '.join(STATEMENTS)}")
    outcome = handler(state, request)
    about = request.name or "the fleet"
    state.log_for_operators(f"{request.requester} says {request.statement} of {about}: {request.reason}")
    return outcome


def _mark_drained(state: ClusterState, request: OperatorStatement) -> RequestOutcome:
    """Mark a target as drained despite outstanding confirmations."""
    permit = next(
        (p for p in state.permits.values() if p.is_out_of_service and p.target == request.name), None
    )
    if permit is None:
        raise RequestRejected(f"{request.name} is not out by a permit")
    missing = ", ".join(permit.undrained_members) or "anybody missing"
    permit.notes.append(f"{request.requester} says drained, without {missing}: {request.reason}")
    permit.undrained_members = []
    drains.check_drained(state, permit)
    return accepted(state, f"{request.name} counts as drained", [permit.id])


def _mark_ended(state: ClusterState, request: OperatorStatement) -> RequestOutcome:
    """Mark all incarnations with a name, or the one with a key, as ended."""
    keys = [
        key
        for key, member in state.members.items()
        if request.name in (key, member.name) and member.state != MemberState.ENDED
    ]
    live = [key for key in keys if state.members[key].state == MemberState.LIVE]
    if live:
        raise RequestRejected(f"{live[0]} renews its session: it has not ended")
    if not keys:
        raise RequestRejected(f"no member {request.name}")
    for key in keys:
        end_member(state, key, f"{request.requester}: {request.reason}")
    return accepted(state, f"{len(keys)} lives count as ended")


def _mark_found(state: ClusterState, request: OperatorStatement) -> RequestOutcome:
    """Return the target of a lost permit to service."""
    permit = next(
        (p for p in state.permits.values() if p.state == PermitState.LOST and p.target == request.name), None
    )
    if permit is None:
        raise RequestRejected(f"no lost permit for {request.name}")
    return_to_service(state, permit, f"{request.requester} says it is back: {request.reason}")
    return accepted(state, f"permit {permit.id} is returned", [permit.id])


def _forget_target(state: ClusterState, request: OperatorStatement) -> RequestOutcome:
    """Remove a target that is permanently gone."""
    keys = [
        key
        for key, target in state.targets.items()
        if target.name == request.name and target.health != TargetHealth.HEALTHY
    ]
    if not keys:
        raise RequestRejected(f"{request.name} is unknown, or well")
    for key in keys:
        del state.targets[key]
    return accepted(state, f"{request.name} is forgotten")


def _resume_grants(state: ClusterState, request: OperatorStatement) -> RequestOutcome:
    """End the halt of all grants."""
    if not state.halt_reason:
        raise RequestRejected("nothing was halted")
    state.halt_reason = ""
    return accepted(state, "grants go on")


STATEMENTS: dict[str, Callable[[ClusterState, OperatorStatement], RequestOutcome]] = {
    "drained": _mark_drained,
    "ended": _mark_ended,
    "found": _mark_found,
    "forget": _forget_target,
    "go-on": _resume_grants,
}
HANDLERS: Handlers = {OperatorStatement: apply_statement}
