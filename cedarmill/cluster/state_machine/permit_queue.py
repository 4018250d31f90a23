"""The queue of permit requests: the order of grants, refusals and expiry of waiting requests.

Decisions are made only while an entry of the replicated log is applied. All replicas therefore decide in the
same order, and a deposed leader cannot grant a permit.
"""

from dataclasses import dataclass

from cedarmill.cluster.state import ClusterState, Limit, Permit
from cedarmill.cluster.state_machine import drains, limits
from cedarmill.cluster.state_machine.limits import FLAP_WINDOW_US, Answer
from cedarmill.cluster.state_machine.permit_states import OPEN_STATES, apply_event, target_key
from cedarmill.cluster.states import PermitState

MAX_ENDED_PERMITS = 500  # oldest ended permits in excess of this number are removed
# Interval at which targets in slow start are counted again while a request waits.
SLOW_START_CHECK_INTERVAL_US = 500_000


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request to take one target out of service. Higher priorities are granted first."""

    kind: str
    target: str
    holder: str
    reason: str
    priority: int
    wait_us: int


def submit(state: ClusterState, request: PermitRequest) -> Permit:
    """Add a request to the queue; refuse a request that can never be granted or duplicates a waiting one."""
    duplicate = _find_waiting(state, request.kind, request.target)
    permit = Permit(
        state.allocate_id(),
        request.kind,
        request.target,
        request.holder,
        request.reason,
        request.priority,
        requested_at=state.clock,
        waits_until=state.clock + request.wait_us,
    )
    state.permits[permit.id] = permit
    verdict = limits.evaluate(state, request.kind, request.target)
    if verdict.answer == Answer.NEVER or duplicate is not None:
        duplicate_text = (
            f"{request.target} waits already, by permit {duplicate.id}" if duplicate is not None else ""
        )
        permit.notes = list(verdict.reasons) or [duplicate_text]
        apply_event(state, permit, "refuse")
    return permit


def _find_waiting(state: ClusterState, kind: str, target: str) -> Permit | None:
    for permit in _waiting_permits(state):
        if (permit.kind, permit.target) == (kind, target):
            return permit
    return None


def _waiting_permits(state: ClusterState) -> list[Permit]:
    waiting = PermitState.WAITING
    return [permit for permit in state.permits.values() if permit.state == waiting]


def grant_order(state: ClusterState) -> list[Permit]:
    """Return the waiting permits in the order in which they are considered.

    The order is by priority, then by the fewest permits that the holder has out, so that a holder with many
    requests does not starve the others, then by age.
    """
    out_counts: dict[str, int] = {}
    for permit in state.permits.values():
        if permit.is_out_of_service:
            out_counts[permit.holder] = out_counts.get(permit.holder, 0) + 1
    return sorted(
        _waiting_permits(state),
        key=lambda permit: (-permit.priority, out_counts.get(permit.holder, 0), permit.id),
    )


def grant_waiting(state: ClusterState) -> list[Permit]:
    """Grant permits one at a time until none can be granted, and return the granted ones.

    Each grant is counted before the next decision. A permit that must wait blocks later permits in the limit
    scopes that it waits for, so that later permits cannot starve it.
    """
    granted: list[Permit] = []
    while (permit := _next_to_grant(state)) is not None:
        apply_event(state, permit, "grant")
        permit.notes = []
        permit.undrained_members = drains.members_to_drain(state, permit)
        drains.check_drained(state, permit)
        granted.append(permit)
    return granted


def _next_to_grant(state: ClusterState) -> Permit | None:
    blocked_scopes: set[tuple[Limit, str]] = set()
    out = limits.out_shares(state)
    for permit in grant_order(state):
        verdict = limits.evaluate(state, permit.kind, permit.target, out)
        if verdict.answer == Answer.NOW and not _is_blocked(state, permit, blocked_scopes):
            return permit
        if verdict.answer == Answer.NEVER:
            permit.notes = list(verdict.reasons)
            apply_event(state, permit, "refuse")
            continue
        permit.notes = list(verdict.reasons) or ["an earlier one waits for the same room"]
        blocked_scopes |= verdict.full_scopes
    return None


def _is_blocked(state: ClusterState, permit: Permit, blocked_scopes: set[tuple[Limit, str]]) -> bool:
    """Return whether an earlier permit waits for capacity in a limit scope of this permit's target."""
    target = state.targets[target_key(permit.kind, permit.target)]
    return any(limits.scope_of(limit, target) == scope for limit, scope in blocked_scopes)


def expire_waiting(state: ClusterState) -> None:
    """Expire requests whose waiting time is over, and remove the oldest ended permits."""
    for permit in _waiting_permits(state):
        if state.clock >= permit.waits_until:
            permit.notes = [*permit.notes, "waited as long as was asked"]
            apply_event(state, permit, "expire")
    ended_ids = [permit.id for permit in state.permits.values() if permit.state not in OPEN_STATES]
    for permit_id in ended_ids[:-MAX_ENDED_PERMITS]:
        del state.permits[permit_id]


def next_due(state: ClusterState) -> int | None:
    """Return the next cluster time (us) at which a waiting request may change state; None if none waits."""
    times = [permit.waits_until for permit in _waiting_permits(state)]
    if not times:
        return None
    slow_start_ends = [
        target.slow_start_started_at + state.slow_start_us
        for target in state.targets.values()
        if target.slow_start_started_at >= 0
    ]
    pending_end = [end for end in slow_start_ends if end > state.clock][:1]
    # The missing share shrinks throughout the slow start, so a request may be granted before its end.
    times += [min(end, state.clock + SLOW_START_CHECK_INTERVAL_US) for end in pending_end]
    expiries = [at for member in state.members.values() for at in member.lease_expiries]
    times += [at + FLAP_WINDOW_US for at in expiries if at + FLAP_WINDOW_US > state.clock]
    return min(times)
