"""The states of a release and of each unit within it: whatever changes one stands in these tables."""

from cedarmill.cluster.state import ClusterState, Release, UnitStep
from cedarmill.cluster.states import ReleaseState, StepState

# (state, event) -> state, of a release
STATES: dict[tuple[str, str], ReleaseState] = {
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

# (state, event) -> state, of a unit within it
STEPS: dict[tuple[str, str], StepState] = {
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
    (
        StepState.ROLL_BACK_REQUESTING,
        "turned-down",
    ): StepState.FAILED,  # seen as new again at once, if it serves
    (StepState.ROLLING_BACK, "ready"): StepState.RESTORED,
    (StepState.ROLLING_BACK, "late"): StepState.STUCK,
    (StepState.ROLLING_BACK, "exits"): StepState.STUCK,
    (StepState.STUCK, "ready"): StepState.RESTORED,
    (StepState.STUCK, "retry"): StepState.ROLLING_BACK,
}


def move(state: ClusterState, release: Release, event: str, reason: str = "") -> bool:
    """Take a release to its next state; whether there is one."""
    new_state = STATES.get((release.state, event))
    if new_state is None:
        return False
    release.state, release.state_since = new_state, state.clock
    if reason:
        release.reasons.append(f"{state.clock / 1e6:.1f} {event}: {reason}")
    suffix = f": {reason}" if reason else ""
    state.note(f"release {release.id} ({release.plan.version}): {event}, now {new_state}{suffix}")
    state.orders_epoch = state.epoch
    return True


def move_step(state: ClusterState, step: UnitStep, event: str) -> bool:
    """Take a unit's step to its next state; whether there is one."""
    new_state = STEPS.get((step.state, event))
    if new_state is None:
        return False
    step.state, step.state_since = new_state, state.clock
    return True
