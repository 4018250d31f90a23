"""Who is granted a permit, in which order, and for how long a request waits.

Every decision is made while an entry of the replicated log is applied, so two requests at two replicas are
decided in one order, and a leader that is none any longer grants nothing.
"""

from dataclasses import dataclass

from cedarmill.cluster.state import ClusterState, Limit, Permit
from cedarmill.cluster.state_machine import drains, limits
from cedarmill.cluster.state_machine.limits import FLAP_WINDOW_US, Answer
from cedarmill.cluster.state_machine.permit_states import OPEN_STATES, move, target_key
from cedarmill.cluster.states import PermitState

ENDED_KEPT = 500  # permits that have ended and are still listed
WARM_UP_CHECK_US = 500_000  # between two looks at targets in slow start while a request waits


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for one target to be out. Higher priorities are served first."""

    kind: str
    target: str
    holder: str
    reason: str
    priority: int
    wait_us: int


def enter(state: ClusterState, request: PermitRequest) -> Permit:
    """Enter a request; it is decided with all that wait, or refused where it never can be granted."""
    same = _waiting_for(state, request.kind, request.target)
    permit = Permit(
        state.new_id(),
        request.kind,
        request.target,
        request.holder,
        request.reason,
        request.priority,
        requested_at=state.clock,
        waits_until=state.clock + request.wait_us,
    )
    state.permits[permit.id] = permit
    verdict = limits.decide(state, request.kind, request.target)
    if verdict.word == Answer.NEVER or same is not None:
        waits = f"{request.target} waits already, by permit {same.id}" if same is not None else ""
        permit.notes = list(verdict.reasons) or [waits]
        move(state, permit, "refuse")
    return permit


def _waiting_for(state: ClusterState, kind: str, target: str) -> Permit | None:
    for permit in _waiting(state):
        if (permit.kind, permit.target) == (kind, target):
            return permit
    return None


def _waiting(state: ClusterState) -> list[Permit]:
    waiting = PermitState.WAITING
    return [permit for permit in state.permits.values() if permit.state == waiting]


def in_order(state: ClusterState) -> list[Permit]:
    """Waiting permits in the order in which they are looked at.

    Higher priority first; then who holds least now, so that one who asks for much does not starve the
    others; then who asked first.
    """
    held: dict[str, int] = {}
    for permit in state.permits.values():
        if permit.out:
            held[permit.holder] = held.get(permit.holder, 0) + 1
    return sorted(
        _waiting(state), key=lambda permit: (-permit.priority, held.get(permit.holder, 0), permit.id)
    )


def grant_waiting(state: ClusterState) -> list[Permit]:
    """Grant what may be granted now, one at a time, each counted before the next is looked at.

    One that finds no room keeps later ones out of the scopes that it waits for: it is not overtaken for ever.
    """
    granted: list[Permit] = []
    while (permit := _next_to_grant(state)) is not None:
        move(state, permit, "grant")
        permit.notes = []
        permit.undrained_members = drains.members_to_drain(state, permit)
        drains.check_drained(state, permit)
        granted.append(permit)
    return granted


def _next_to_grant(state: ClusterState) -> Permit | None:
    blocked: set[tuple[Limit, str]] = set()
    out = limits.out_shares(state)
    for permit in in_order(state):
        verdict = limits.decide(state, permit.kind, permit.target, out)
        if verdict.word == Answer.NOW and not _is_blocked(state, permit, blocked):
            return permit
        if verdict.word == Answer.NEVER:
            permit.notes = list(verdict.reasons)
            move(state, permit, "refuse")
            continue
        permit.notes = list(verdict.reasons) or ["an earlier one waits for the same room"]
        blocked |= verdict.full
    return None


def _is_blocked(state: ClusterState, permit: Permit, blocked: set[tuple[Limit, str]]) -> bool:
    """Whether an earlier request waits for room in a scope of this one."""
    target = state.targets[target_key(permit.kind, permit.target)]
    return any(limits.scope_of(limit, target) == scope for limit, scope in blocked)


def expire_waiting(state: ClusterState) -> None:
    """End what has waited long enough, and forget the oldest permits that have ended."""
    for permit in _waiting(state):
        if state.clock >= permit.waits_until:
            permit.notes = [*permit.notes, "waited as long as was asked"]
            move(state, permit, "expire")
    ended = [permit.id for permit in state.permits.values() if permit.state not in OPEN_STATES]
    for permit_id in ended[:-ENDED_KEPT]:
        del state.permits[permit_id]


def next_due(state: ClusterState) -> int | None:
    """When something changes by itself (us of the cluster): a wait ends, or what is out becomes less."""
    times = [permit.waits_until for permit in _waiting(state)]
    if not times:
        return None
    warm_ups = [
        target.slow_start_from + state.slow_start_us
        for target in state.targets.values()
        if target.slow_start_from >= 0
    ]
    pending = [end for end in warm_ups if end > state.clock][:1]
    times += [min(end, state.clock + WARM_UP_CHECK_US) for end in pending]  # it warms up all the while
    expiries = [at for member in state.members.values() for at in member.lease_expiries]
    times += [at + FLAP_WINDOW_US for at in expiries if at + FLAP_WINDOW_US > state.clock]
    return min(times)
