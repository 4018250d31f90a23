"""Commands for releases of new versions: plans, operators' actions, and results of version comparisons."""

from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.state import ClusterState, Release, ReleasePlan, RequestOutcome, UnitStep
from cedarmill.cluster.state_machine import rollout
from cedarmill.cluster.state_machine.command import Command, Handlers, OperatorRequest, accepted
from cedarmill.cluster.state_machine.release_states import END_STATES, apply_event, apply_step_event
from cedarmill.cluster.states import ReleaseState


class RecordComparison(Command, tag="judged", frozen=True):
    """Record the comparison of a release's new version with the other units.

    `worse` describes in what respect the new version is worse, and is empty if it is not. `requests` is the
    number of requests on the side with fewer of them.
    """

    release_id: int
    worse: str
    requests: int = 0


class PlanRelease(OperatorRequest, tag="plan", frozen=True):
    """Add a planned release, which `ControlRelease` starts."""

    plan: ReleasePlan


class ControlRelease(OperatorRequest, tag="act", frozen=True):
    """Control a release; `action` is `start`, `halt`, `resume` or `back` (roll back)."""

    release_id: int
    action: str
    reason: str = ""


def record_comparison(state: ClusterState, command: RecordComparison) -> None:
    """Halt a running release whose new version is worse; ignore unknown releases."""
    release = state.releases.get(command.release_id)
    if release is None:
        return
    release.compared_requests = max(release.compared_requests, command.requests)
    if command.worse and release.state == ReleaseState.RUNNING:
        apply_event(state, release, "worse", command.worse)


def plan_release(state: ClusterState, request: PlanRelease) -> RequestOutcome:
    """Add a planned release; raise RequestRejected with the reason if the plan is invalid."""
    plan = request.plan
    names = [name for group in plan.groups for name in group]
    _check_plan(state, plan, names)
    steps = [UnitStep(name, _current_version(state, name)) for name in names]
    release = Release(state.allocate_id(), plan, request.requester, steps=steps, state_since=state.clock)
    state.releases[release.id] = release
    return accepted(state, f"release {release.id} is planned", [release.id])


def _current_version(state: ClusterState, unit_name: str) -> str:
    unit = state.units[unit_name]
    return unit.ordered_version or unit.version


def _check_plan(state: ClusterState, plan: ReleasePlan, names: list[str]) -> None:
    for name in names:
        if name not in state.units:
            raise RequestRejected(f"no steward runs a unit of the name {name}")
    if len(set(names)) < len(names) or not names or not all(plan.groups):
        raise RequestRejected("each unit stands in one group, and no group is empty")
    if plan.max_concurrent < 1:
        raise RequestRejected("width: at least one unit at once")
    for other in state.releases.values():
        shared_units = set(names) & {step.unit for step in other.steps}
        if other.state not in END_STATES and shared_units:
            shared_names = ", ".join(sorted(shared_units))
            raise RequestRejected(f"release {other.id} is not at its end and holds {shared_names}")


def control_release(state: ClusterState, request: ControlRelease) -> RequestOutcome:
    """Apply an operator's action to a release; raise RequestRejected if the action is not possible now."""
    release = state.releases.get(request.release_id)
    if release is None:
        raise RequestRejected(f"no release {request.release_id}")
    if request.action == "back":
        _check_no_newer_release(state, release)
    previous_state = release.state
    reason = f"by {request.requester}" + (f", {request.reason}" if request.reason else "")
    if not apply_event(state, release, request.action, reason):
        raise RequestRejected(
            f"release {release.id} is {previous_state}: {request.action} is not possible from there"
        )
    release.paused_until = 0
    if request.action == "resume":
        _retry_failed(state, release)
    rollout.advance(state)
    return accepted(state, f"release {release.id} is {release.state}", [release.id])


def _check_no_newer_release(state: ClusterState, release: Release) -> None:
    """Raise RequestRejected if a newer release of the same units has not been rolled back."""
    units = {step.unit for step in release.steps}
    for other in state.releases.values():
        common_units = units & {step.unit for step in other.steps}
        if other.id > release.id and common_units and other.state != ReleaseState.ROLLED_BACK:
            raise RequestRejected(
                f"release {other.id} came after it on the same units: take that one back first"
            )


def _retry_failed(state: ClusterState, release: Release) -> None:
    """Retry failed units; a unit that has already returned its permit starts over with a new request."""
    for step in release.steps:
        if not rollout.holds_permit(state, step):
            apply_step_event(state, step, "again")
        elif apply_step_event(state, step, "retry"):
            rollout.order_unit(state, release, step)


HANDLERS: Handlers = {
    RecordComparison: record_comparison,
    PlanRelease: plan_release,
    ControlRelease: control_release,
}
