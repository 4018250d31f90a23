"""Progress of releases: groups, permits, readiness, bake time, halts and rollbacks.

`advance` runs after each applied log entry, so a release continues across changes of the leader. A unit is
updated under a regular permit for its node. A rollback uses the same steps with the old version as target.
"""

from collections.abc import Iterator

from cedarmill.cluster.state import ClusterState, Release, UnitOrder, UnitOrderFields, UnitStep
from cedarmill.cluster.state_machine import permit_queue
from cedarmill.cluster.state_machine.permit_queue import PermitRequest
from cedarmill.cluster.state_machine.permit_states import apply_event as apply_permit_event
from cedarmill.cluster.state_machine.permit_states import return_to_service
from cedarmill.cluster.state_machine.release_states import apply_event, apply_step_event
from cedarmill.cluster.states import PermitState, ReleaseState, StepState

MAX_UNEXPECTED_EXITS = 2  # exits since the order at which a unit has failed; a single exit is tolerated
MAX_BAKE_FACTOR = 4  # limit of the bake time, as a multiple of the plan's, with too few requests to compare
RELEASE_PERMIT_WAIT_US = 3_600_000_000  # a release waits for room for as long as it takes
REFUSED_RETRY_DELAY_US = 1_000_000  # delay before a refused permit request is repeated


def advance(state: ClusterState) -> None:
    """Advance each release as far as the current state allows."""
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
        _apply_permit_decisions(state, release)


# Observation of units.


def _observe_units(state: ClusterState, release: Release) -> None:
    """Update steps by the supervisors' reports, and check the ready timeout of units being updated."""
    for step in release.steps:
        unit = state.units.get(step.unit)
        has_applied_order = unit is not None and unit.applied_epoch == unit.ordered_epoch
        if unit is None or not has_applied_order or step.state in (StepState.OLD, StepState.RESTORED):
            _check_ready_timeout(state, release, step)
        elif unit.unexpected_exits >= MAX_UNEXPECTED_EXITS and apply_step_event(state, step, "exits"):
            reason = f"{step.unit} ended {unit.unexpected_exits} times by itself"
            apply_event(state, release, "failed", reason)
        elif (
            unit.state == "ready"
            and unit.version == unit.ordered_version
            and unit.unexpected_exits < MAX_UNEXPECTED_EXITS
        ):
            if apply_step_event(state, step, "ready"):
                _return_permit(state, step)
        else:
            _check_ready_timeout(state, release, step)


def _check_ready_timeout(state: ClusterState, release: Release, step: UnitStep) -> None:
    timeout_us = release.plan.ready_timeout_us
    is_changing = step.state in (StepState.CHANGING, StepState.ROLLING_BACK)
    is_late = is_changing and state.clock - step.state_since >= timeout_us
    if is_late and apply_step_event(state, step, "late"):
        apply_event(state, release, "failed", f"{step.unit} was not ready after {timeout_us / 1e6:g} s")


def _return_permit(state: ClusterState, step: UnitStep) -> None:
    permit = state.permits.get(step.permit_id)
    if permit is not None:
        return_to_service(state, permit)
    step.permit_id = 0


# Rolling forward.


def _roll_forward(state: ClusterState, release: Release) -> None:
    if release.group >= len(release.plan.groups):
        apply_event(state, release, "complete")
        return
    if state.clock < release.paused_until:
        return
    group = release.plan.groups[release.group]
    steps_by_unit = {step.unit: step for step in release.steps}
    steps = [steps_by_unit[name] for name in group]
    if all(step.state == StepState.NEW for step in steps):
        _bake(state, release)
        return
    release.bake_started_at = 0
    _request_permits(state, release, steps, StepState.OLD, "ask")


def _bake(state: ClusterState, release: Release) -> None:
    """Wait for the bake time of a finished group, then continue with the next group."""
    if not release.bake_started_at:
        release.bake_started_at = state.clock
    plan = release.plan
    has_enough_requests = release.compared_requests >= plan.min_sample
    if state.clock - release.bake_started_at < plan.bake_us * (1 if has_enough_requests else MAX_BAKE_FACTOR):
        return
    if not has_enough_requests:
        state.log_for_operators(
            f"release {release.id}: too few jobs to compare, it goes on by readiness alone"
        )
    release.group += 1
    release.bake_started_at, release.paused_until = 0, state.clock + plan.pause_us
    state.log_for_operators(f"release {release.id}: group {release.group} of {len(plan.groups)} is through")
    _roll_forward(state, release)


def _request_permits(
    state: ClusterState, release: Release, steps: list[UnitStep], from_state: StepState, event: str
) -> None:
    """Request permits for units in `from_state`, up to the number that may be updated at once."""
    idle_states = (StepState.OLD, StepState.NEW, StepState.RESTORED, from_state)
    units_in_progress = sum(step.state not in idle_states for step in steps)
    for step in steps:
        is_due = state.clock >= step.state_since + _retry_delay_us(state, step)
        if step.state != from_state or units_in_progress >= release.plan.max_concurrent or not is_due:
            continue
        apply_step_event(state, step, event)
        units_in_progress += 1
        holder = f"release:{release.id}"
        request = PermitRequest("node", step.unit, holder, release.plan.version, 0, RELEASE_PERMIT_WAIT_US)
        step.permit_id = permit_queue.submit(state, request).id


def _retry_delay_us(state: ClusterState, step: UnitStep) -> int:
    """Return the delay before a unit repeats a permit request: 0 unless the last one was refused."""
    permit = state.permits.get(step.permit_id)
    return REFUSED_RETRY_DELAY_US if permit is not None and permit.state == PermitState.REFUSED else 0


def _apply_permit_decisions(state: ClusterState, release: Release) -> None:
    """Order units whose permits are granted, and reset units whose requests have ended without a grant."""
    for step in release.steps:
        permit = state.permits.get(step.permit_id)
        if permit is None or step.state not in (StepState.REQUESTING, StepState.ROLL_BACK_REQUESTING):
            continue
        if permit.state == PermitState.GRANTED and apply_step_event(state, step, "granted"):
            order_unit(state, release, step)
        elif permit.state in (PermitState.REFUSED, PermitState.EXPIRED, PermitState.WITHDRAWN):
            apply_step_event(state, step, "turned-down")


def order_unit(state: ClusterState, release: Release, step: UnitStep) -> None:
    """Order the unit's supervisor to run the version that the step leads to."""
    unit = state.units[step.unit]
    is_forward = step.state == StepState.CHANGING
    unit.ordered_version = release.plan.version if is_forward else step.old_version
    unit.ordered_epoch, unit.ordered_at, unit.unexpected_exits = state.epoch, state.clock, 0
    release.started_units += is_forward
    state.orders_epoch = state.epoch


def _withdraw_requests(state: ClusterState, release: Release) -> None:
    """Withdraw the waiting permit requests of a halted release; units already being updated continue."""
    for step in release.steps:
        permit = state.permits.get(step.permit_id)
        if step.state not in (StepState.REQUESTING, StepState.ROLL_BACK_REQUESTING) or permit is None:
            continue
        if apply_permit_event(state, permit, "withdraw"):
            apply_step_event(state, step, "turned-down")


# Rolling back.


def holds_permit(state: ClusterState, step: UnitStep) -> bool:
    """Return whether the unit is out of service under its step's permit."""
    permit = state.permits.get(step.permit_id)
    return permit is not None and permit.is_out_of_service


def _roll_back(state: ClusterState, release: Release) -> None:
    for step in release.steps:
        if step.state == StepState.REQUESTING:
            _cancel_request(state, step)
        elif holds_permit(state, step) and apply_step_event(state, step, "back"):
            order_unit(state, release, step)  # the unit still holds its permit
    for from_state in (StepState.FAILED, StepState.NEW):
        _request_permits(state, release, release.steps, from_state, "ask-back")
    if all(step.state in (StepState.OLD, StepState.RESTORED) for step in release.steps):
        apply_event(state, release, "complete")


def _cancel_request(state: ClusterState, step: UnitStep) -> None:
    permit = state.permits.get(step.permit_id)
    if permit is not None and not apply_permit_event(state, permit, "withdraw"):
        return_to_service(state, permit)
    apply_step_event(state, step, "back")


# Queries for supervisors, the version comparison and timers.


def orders_for_supervisor(state: ClusterState, supervisor: str) -> dict[str, UnitOrderFields]:
    """Return the orders for each of a supervisor's units that a release has ever updated."""
    return {
        unit.name: UnitOrder(unit.ordered_version, unit.ordered_epoch)
        for unit in state.units.values()
        if unit.supervisor == supervisor and unit.ordered_version
    }


def releases_to_compare(state: ClusterState) -> list[Release]:
    """Return the running releases with at least one unit on the new version."""
    running = [release for release in state.releases.values() if release.state == ReleaseState.RUNNING]
    return [release for release in running if any(step.state == StepState.NEW for step in release.steps)]


def due_times(state: ClusterState) -> Iterator[int]:
    """Yield the cluster times (us) at which a release may advance without a command."""
    for release in state.releases.values():
        if release.state == ReleaseState.RUNNING:
            if release.paused_until > state.clock:
                yield release.paused_until
            if release.bake_started_at:
                bake_us = release.plan.bake_us
                yield from (release.bake_started_at + bake_us * factor for factor in (1, MAX_BAKE_FACTOR))
        if release.state in (ReleaseState.RUNNING, ReleaseState.ROLLING_BACK):
            yield from _step_due_times(state, release)


def _step_due_times(state: ClusterState, release: Release) -> Iterator[int]:
    for step in release.steps:
        if step.state in (StepState.CHANGING, StepState.ROLLING_BACK):
            yield step.state_since + release.plan.ready_timeout_us
        delay_us = _retry_delay_us(state, step)
        if step.state in (StepState.OLD, StepState.NEW) and delay_us:
            yield step.state_since + delay_us
