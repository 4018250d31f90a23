"""The states of a release and of each unit within it: whatever changes one stands in these tables."""

from cedarmill.fleet.state import ClusterState, Release, UnitStep

# (state, event) -> state, of a release
STATES = {
    ("planned", "start"): "running",
    ("planned", "halt"): "halted",
    ("planned", "back"): "backed",
    ("running", "halt"): "halted",
    ("running", "failed"): "halted",
    ("running", "worse"): "halted",
    ("running", "complete"): "done",
    ("running", "back"): "backing",
    ("halted", "resume"): "running",
    ("halted", "back"): "backing",
    ("done", "back"): "backing",
    ("backing", "halt"): "back-halted",
    ("backing", "failed"): "back-halted",
    ("backing", "complete"): "backed",
    ("back-halted", "resume"): "backing",
    ("back-halted", "back"): "backing",
}
END_STATES = ("done", "backed")

# (state, event) -> state, of a unit within it
STEPS = {
    ("old", "ask"): "asking",
    ("asking", "granted"): "changing",
    ("asking", "turned-down"): "old",
    ("changing", "ready"): "new",
    ("changing", "late"): "failed",
    ("changing", "exits"): "failed",
    ("new", "exits"): "failed",
    ("failed", "ready"): "new",
    ("failed", "retry"): "changing",
    ("failed", "again"): "old",
    ("failed", "ask-back"): "back-asking",
    ("asking", "back"): "old",
    ("changing", "back"): "back-changing",
    ("failed", "back"): "back-changing",
    ("new", "ask-back"): "back-asking",
    ("back-asking", "granted"): "back-changing",
    ("back-asking", "turned-down"): "failed",  # seen as new again at once, if it serves
    ("back-changing", "ready"): "restored",
    ("back-changing", "late"): "stuck",
    ("back-changing", "exits"): "stuck",
    ("stuck", "ready"): "restored",
    ("stuck", "retry"): "back-changing",
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
