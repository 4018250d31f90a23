"""Releases of new versions: plans, operators' control, and the comparison of versions."""

from cedarmill.fleet import release
from cedarmill.fleet.errors import RequestRejected
from cedarmill.fleet.state import ClusterState, ReleasePlan, RequestOutcome
from cedarmill.fleet.state_machine.command import Command, Handlers, OperatorRequest, accepted


class RecordComparison(Command, tag="judged", frozen=True):
    """The new version of a release was compared with the rest over `requests` on the smaller side.

    `worse` says in what the new version is worse; empty: in nothing.
    """

    release_id: int
    worse: str
    requests: int = 0


class PlanRelease(OperatorRequest, tag="plan", frozen=True):
    """Enter the plan of a release; it starts by `ControlRelease`."""

    plan: ReleasePlan


class ControlRelease(OperatorRequest, tag="act", frozen=True):
    """`start`, `halt`, `resume` or `back` (roll back)."""

    release_id: int
    action: str
    reason: str = ""


def record_comparison(state: ClusterState, command: RecordComparison) -> None:
    """Halt a release whose new version is worse; a release that is unknown is passed over."""
    if (found := state.releases.get(command.release_id)) is not None:
        release.judged(state, found, command.worse, command.requests)


def plan_release(state: ClusterState, request: PlanRelease) -> RequestOutcome:
    """Enter the plan; raises RequestRejected naming what is wrong with it."""
    planned = release.plan(state, request.requester, request.plan)
    return accepted(state, f"release {planned.id} is planned", [planned.id])


def control_release(state: ClusterState, request: ControlRelease) -> RequestOutcome:
    """Carry out an operator's action; raises RequestRejected where it is not possible now."""
    found = state.releases.get(request.release_id)
    if found is None:
        raise RequestRejected(f"no release {request.release_id}")
    new_state = release.act(state, found, request.action, request.requester, request.reason)
    return accepted(state, f"release {found.id} is {new_state}", [found.id])


HANDLERS: Handlers = {
    RecordComparison: record_comparison,
    PlanRelease: plan_release,
    ControlRelease: control_release,
}
