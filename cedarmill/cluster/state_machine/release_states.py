"""State machines of a release and of a step, all in `RELEASE_TRANSITIONS` and `STEP_TRANSITIONS`."""

from cedarmill.cluster.state import ClusterState, Release, UnitStep
from cedarmill.cluster.states import ReleaseState, StepState

# Transitions of a release: (state, event) -> state.
RELEASE_TRANSITIONS: dict[tuple[str, str], ReleaseState] = {
    (ReleaseState.PLANNED, "start"): ReleaseState.RUNNING,
    (ReleaseState.PLANNED, "halt"): ReleaseState.HALTED,
    (ReleaseState.PLANNED, "back"): ReleaseState.ROLLED_BACK,
    (ReleaseState.RUNNING, "halt"): ReleaseState.HALTED,
    (ReleaseState.RUNNING, "failed"): ReleaseState.HALTED,
    (ReleaseState.RUNNING, "worse"): ReleaseState.HALTED,
    (ReleaseState.RUNNING, "complete"): ReleaseState.DONE,
    (ReleaseState.RUNNING, "back"): ReleaseState.ROLLING_BACK,
    (ReleaseState.HALTED, "resume"): ReleaseState.RUNNING,
    (ReleaseState.HALTED, "back"): ReleaseState.ROLLING_BACK,
    (ReleaseState.DONE, "back"): ReleaseState.ROLLING_BACK,
    (ReleaseState.ROLLING_BACK, "halt"): ReleaseState.ROLL_BACK_HALTED,
    (ReleaseState.ROLLING_BACK, "failed"): ReleaseState.ROLL_BACK_HALTED,
    (ReleaseState.ROLLING_BACK, "complete"): ReleaseState.ROLLED_BACK,
    (ReleaseState.ROLL_BACK_HALTED, "resume"): ReleaseState.ROLLING_BACK,
    (ReleaseState.ROLL_BACK_HALTED, "back"): ReleaseState.ROLLING_BACK,
}
END_STATES = (ReleaseState.DONE, ReleaseState.ROLLED_BACK)

# Transitions of a unit's step within a release: (state, event) -> state.
STEP_TRANSITIONS: dict[tuple[str, str], StepState] = {
    (StepState.OLD, "ask"): StepState.REQUESTING,
    (StepState.REQUESTING, "granted"): StepState.CHANGING,
    (StepState.REQUESTING, "turned-down"): StepState.OLD,
    (StepState.CHANGING, "ready"): StepState.NEW,
    (StepState.CHANGING, "late"): StepState.FAILED,
    (StepState.CHANGING, "exits"): StepState.FAILED,
    (StepState.NEW, "exits"): StepState.FAILED,
    (StepState.FAILED, "ready"): StepState.NEW,
    (StepState.FAILED, "retry"): StepState.CHANGING,
    (StepState.FAILED, "again"): StepState.OLD,
    (StepState.FAILED, "ask-back"): StepState.ROLL_BACK_REQUESTING,
    (StepState.REQUESTING, "back"): StepState.OLD,
    (StepState.CHANGING, "back"): StepState.ROLLING_BACK,
    (StepState.FAILED, "back"): StepState.ROLLING_BACK,
    (StepState.NEW, "ask-back"): StepState.ROLL_BACK_REQUESTING,
    (StepState.ROLL_BACK_REQUESTING, "granted"): StepState.ROLLING_BACK,
    # A unit that runs the new version becomes NEW again with its next "ready" event.
    (StepState.ROLL_BACK_REQUESTING, "turned-down"): StepState.FAILED,
    (StepState.ROLLING_BACK, "ready"): StepState.RESTORED,
    (StepState.ROLLING_BACK, "late"): StepState.STUCK,
    (StepState.ROLLING_BACK, "exits"): StepState.STUCK,
    (StepState.STUCK, "ready"): StepState.RESTORED,
    (StepState.STUCK, "retry"): StepState.ROLLING_BACK,
}


def apply_event(state: ClusterState, release: Release, event: str, reason: str = "") -> bool:
    """Apply an event to a release; return whether the release's state allows the event."""
    new_state = RELEASE_TRANSITIONS.get((release.state, event))
    if new_state is None:
        return False
    release.state, release.state_since = new_state, state.clock
    if reason:
        release.reasons.append(f"{state.clock / 1e6:.1f} {event}: {reason}")
    suffix = f": {reason}" if reason else ""
    state.log_for_operators(
        f"release {release.id} ({release.plan.version}): {event}, now {new_state}{suffix}"
    )
    state.orders_epoch = state.epoch
    return True


def apply_step_event(state: ClusterState, step: UnitStep, event: str) -> bool:
    """Apply an event to a unit's step; return whether the step's state allows the event."""
    new_state = STEP_TRANSITIONS.get((step.state, event))
    if new_state is None:
        return False
    step.state, step.state_since = new_state, state.clock
    return True
