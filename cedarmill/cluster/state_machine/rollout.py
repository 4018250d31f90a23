"""How releases proceed by what is agreed: groups, permits, readiness, bake, halt, and the way back.

`advance` moves each release on whenever an entry has been applied, so it outlives any leader. A unit is
changed under a permit for its node, asked for and returned like any other. The way back is the same machine
with the old version as its aim.
"""

from collections.abc import Iterator

from cedarmill.cluster.state import ClusterState, Release, UnitOrder, UnitOrderFields, UnitStep
from cedarmill.cluster.state_machine import permit_queue
from cedarmill.cluster.state_machine.permit_queue import PermitRequest
from cedarmill.cluster.state_machine.permit_states import give_back
from cedarmill.cluster.state_machine.permit_states import move as move_permit
from cedarmill.cluster.state_machine.release_states import move, move_step
from cedarmill.cluster.states import PermitState, ReleaseState, StepState

MAX_EXITS = 2  # unexpected ends of a unit that was just changed, at which it has failed: one may be chance
MAX_BAKE_FACTOR = 4  # times the bake of the plan, while too few requests have come to compare
PERMIT_WAIT_US = 3_600_000_000  # that a unit's request waits: a release waits for room as long as it takes
REFUSED_AGAIN_US = 1_000_000  # after which a unit whose request was refused asks again


def advance(state: ClusterState) -> None:
    """Move each release on as far as it goes by what is known."""
    for release in state.releases.values():
        _observe_units(state, release)
        if release.state == ReleaseState.RUNNING:
            _roll_forward(state, release)
        elif release.state == ReleaseState.ROLLING_BACK:
            _roll_back(state, release)
        elif release.state in (ReleaseState.HALTED, ReleaseState.ROLL_BACK_HALTED):
            _withdraw_requests(state, release)
    permit_queue.grant_waiting(state)
    for release in state.releases.values():
        _use_grants(state, release)


# What is reported of units.


def _observe_units(state: ClusterState, release: Release) -> None:
    """What the supervisors report of the units that are being changed or have been."""
    for step in release.steps:
        unit = state.units.get(step.unit)
        acted = unit is not None and unit.applied_epoch == unit.ordered_epoch
        if unit is None or not acted or step.state in (StepState.OLD, StepState.RESTORED):
            _check_late(state, release, step)
        elif unit.unexpected_exits >= MAX_EXITS and move_step(state, step, "exits"):
            reason = f"{step.unit} ended {unit.unexpected_exits} times by itself"
            move(state, release, "failed", reason)
        elif (
            unit.state == "ready"
            and unit.version == unit.ordered_version
            and unit.unexpected_exits < MAX_EXITS
        ):
            if move_step(state, step, "ready"):
                _return_permit(state, step)
        else:
            _check_late(state, release, step)


def _check_late(state: ClusterState, release: Release, step: UnitStep) -> None:
    timeout_us = release.plan.ready_timeout_us
    changing = step.state in (StepState.CHANGING, StepState.ROLLING_BACK)
    late = changing and state.clock - step.state_since >= timeout_us
    if late and move_step(state, step, "late"):
        move(state, release, "failed", f"{step.unit} was not ready after {timeout_us / 1e6:g} s")


def _return_permit(state: ClusterState, step: UnitStep) -> None:
    permit = state.permits.get(step.permit_id)
    if permit is not None:
        give_back(state, permit)
    step.permit_id = 0


# The way forward.


def _roll_forward(state: ClusterState, release: Release) -> None:
    if release.group >= len(release.plan.groups):
        move(state, release, "complete")
        return
    if state.clock < release.paused_until:
        return
    group = release.plan.groups[release.group]
    by_unit = {step.unit: step for step in release.steps}
    steps = [by_unit[name] for name in group]
    if all(step.state == StepState.NEW for step in steps):
        _bake(state, release)
        return
    release.bake_started_at = 0
    _request_permits(state, release, steps, StepState.OLD, "ask")


def _bake(state: ClusterState, release: Release) -> None:
    """Watch a finished group, and go on to the next one when its time is over."""
    if not release.bake_started_at:
        release.bake_started_at = state.clock
    plan = release.plan
    enough = release.compared_requests >= plan.min_sample
    if state.clock - release.bake_started_at < plan.bake_us * (1 if enough else MAX_BAKE_FACTOR):
        return
    if not enough:
        state.note(f"release {release.id}: too few jobs to compare, it goes on by readiness alone")
    release.group += 1
    release.bake_started_at, release.paused_until = 0, state.clock + plan.pause_us
    state.note(f"release {release.id}: group {release.group} of {len(plan.groups)} is through")
    _roll_forward(state, release)


def _request_permits(
    state: ClusterState, release: Release, steps: list[UnitStep], from_state: StepState, event: str
) -> None:
    """Ask for permits for as many units as may be on their way at once."""
    idle = (StepState.OLD, StepState.NEW, StepState.RESTORED, from_state)
    on_their_way = sum(step.state not in idle for step in steps)
    for step in steps:
        due = state.clock >= step.state_since + _retry_delay_us(state, step)
        if step.state != from_state or on_their_way >= release.plan.max_concurrent or not due:
            continue
        move_step(state, step, event)
        on_their_way += 1
        holder = f"release:{release.id}"
        request = PermitRequest("node", step.unit, holder, release.plan.version, 0, PERMIT_WAIT_US)
        step.permit_id = permit_queue.enter(state, request).id


def _retry_delay_us(state: ClusterState, step: UnitStep) -> int:
    """How long after a refusal a unit asks again."""
    permit = state.permits.get(step.permit_id)
    return REFUSED_AGAIN_US if permit is not None and permit.state == PermitState.REFUSED else 0


def _use_grants(state: ClusterState, release: Release) -> None:
    """What was granted is used: the unit's supervisor is ordered what to run."""
    for step in release.steps:
        permit = state.permits.get(step.permit_id)
        if permit is None or step.state not in (StepState.REQUESTING, StepState.ROLL_BACK_REQUESTING):
            continue
        if permit.state == PermitState.GRANTED and move_step(state, step, "granted"):
            order_unit(state, release, step)
        elif permit.state in (PermitState.REFUSED, PermitState.EXPIRED, PermitState.WITHDRAWN):
            move_step(state, step, "turned-down")


def order_unit(state: ClusterState, release: Release, step: UnitStep) -> None:
    """Order a unit's supervisor to run what the step is on its way to."""
    unit = state.units[step.unit]
    forward = step.state == StepState.CHANGING
    unit.ordered_version = release.plan.version if forward else step.old_version
    unit.ordered_epoch, unit.ordered_at, unit.unexpected_exits = state.epoch, state.clock, 0
    release.started_units += forward
    state.orders_epoch = state.epoch


def _withdraw_requests(state: ClusterState, release: Release) -> None:
    """Halted: what only waits for a permit stops waiting; what is on its way comes to its end."""
    for step in release.steps:
        permit = state.permits.get(step.permit_id)
        if step.state not in (StepState.REQUESTING, StepState.ROLL_BACK_REQUESTING) or permit is None:
            continue
        if move_permit(state, permit, "withdraw"):
            move_step(state, step, "turned-down")


# The way back.


def holds_permit(state: ClusterState, step: UnitStep) -> bool:
    """Whether the unit is out by its step's permit."""
    permit = state.permits.get(step.permit_id)
    return permit is not None and permit.out


def _roll_back(state: ClusterState, release: Release) -> None:
    for step in release.steps:
        if step.state == StepState.REQUESTING:
            _cancel_request(state, step)
        elif holds_permit(state, step) and move_step(state, step, "back"):
            order_unit(state, release, step)  # under the permit that it still holds
    for from_state in (StepState.FAILED, StepState.NEW):
        _request_permits(state, release, release.steps, from_state, "ask-back")
    if all(step.state in (StepState.OLD, StepState.RESTORED) for step in release.steps):
        move(state, release, "complete")


def _cancel_request(state: ClusterState, step: UnitStep) -> None:
    permit = state.permits.get(step.permit_id)
    if permit is not None and not move_permit(state, permit, "withdraw"):
        give_back(state, permit)
    move_step(state, step, "back")


# What supervisors are ordered, what is compared, and when something is due.


def orders_for_supervisor(state: ClusterState, supervisor: str) -> dict[str, UnitOrderFields]:
    """Orders for each of its units that a release has ever changed."""
    return {
        unit.name: UnitOrder(unit.ordered_version, unit.ordered_epoch)
        for unit in state.units.values()
        if unit.supervisor == supervisor and unit.ordered_version
    }


def to_compare(state: ClusterState) -> list[Release]:
    """Running releases with units of the new version."""
    running = [release for release in state.releases.values() if release.state == ReleaseState.RUNNING]
    return [release for release in running if any(step.state == StepState.NEW for step in release.steps)]


def due_times(state: ClusterState) -> Iterator[int]:
    """Times (us of the cluster) at which a release goes on by itself."""
    for release in state.releases.values():
        if release.state == ReleaseState.RUNNING:
            if release.paused_until > state.clock:
                yield release.paused_until
            if release.bake_started_at:
                bake_us = release.plan.bake_us
                yield from (release.bake_started_at + bake_us * factor for factor in (1, MAX_BAKE_FACTOR))
        if release.state in (ReleaseState.RUNNING, ReleaseState.ROLLING_BACK):
            yield from _due_steps(state, release)


def _due_steps(state: ClusterState, release: Release) -> Iterator[int]:
    for step in release.steps:
        if step.state in (StepState.CHANGING, StepState.ROLLING_BACK):
            yield step.state_since + release.plan.ready_timeout_us
        delay_us = _retry_delay_us(state, step)
        if step.state in (StepState.OLD, StepState.NEW) and delay_us:
            yield step.state_since + delay_us
