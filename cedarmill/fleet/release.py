"""A release as a table-driven machine over what is agreed: groups, permits, readiness, bake, halt, way
back; no I/O.

It is moved on by `advance` whenever an entry has been applied, so it outlives whoever drives it and any
leader. A unit is changed under a permit for its node, asked for and given back like any other; the way back
is the same machine with the old version as its aim.
"""

from collections.abc import Iterator

from cedarmill.fleet import permits
from cedarmill.fleet.errors import RequestRejected
from cedarmill.fleet.state import (
    ClusterState,
    Release,
    ReleasePlan,
    Unit,
    UnitOrder,
    UnitReport,
    UnitStep,
)

# (state, event) -> state, of a release. `halt` and `back` are possible from each state that is not an end.
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
ENDS = ("done", "backed")
MANY_EXITS = 2  # ends that nobody asked for, of a unit that was just changed: one may be anybody's fault
LONGEST_BAKE = 4  # times the bake of the plan, while too few jobs have come to compare
PERMIT_WAIT = 3_600_000_000  # that a unit's request waits: a wave waits for room as long as it takes


class NoRelease(RequestRejected):
    """A plan or an act that cannot be, with the reason for the operator."""


def move(world: ClusterState, release: Release, event: str, why: str = "") -> bool:
    """Take a release to its next state; whether there is one."""
    state = STATES.get((release.state, event))
    if state is None:
        return False
    release.state, release.state_since = state, world.clock
    if why:
        release.reasons.append(f"{world.clock / 1e6:.1f} {event}: {why}")
    world.note(
        f"release {release.id} ({release.plan.version}): {event}, now {state}" + (f": {why}" if why else "")
    )
    world.orders_epoch = world.epoch
    return True


def _go(world: ClusterState, step: UnitStep, event: str) -> bool:
    state = STEPS.get((step.state, event))
    if state is None:
        return False
    step.state, step.state_since = state, world.clock
    return True


def plan(world: ClusterState, who: str, wanted: ReleasePlan) -> Release:
    """Enter a plan; raises NoRelease naming what is wrong with it."""
    names = [name for group in wanted.groups for name in group]
    for name in names:
        if name not in world.units:
            raise NoRelease(f"no steward runs a unit of the name {name}")
    if len(set(names)) < len(names) or not names or not all(wanted.groups):
        raise NoRelease("each unit stands in one group, and no group is empty")
    if wanted.max_concurrent < 1:
        raise NoRelease("width: at least one unit at once")
    for other in world.releases.values():
        busy = set(names) & {step.unit for step in other.steps}
        if other.state not in ENDS and busy:
            raise NoRelease(f"release {other.id} is not at its end and holds {', '.join(sorted(busy))}")
    steps = [UnitStep(name, world.units[name].ordered_version or world.units[name].version) for name in names]
    release = Release(world.new_id(), wanted, who, steps=steps, state_since=world.clock)
    world.releases[release.id] = release
    return release


def act(world: ClusterState, release: Release, event: str, who: str, why: str = "") -> str:
    """An operator's start, halt, resume or back; the new state. Raises NoRelease where it cannot be."""
    if event == "back":
        for other in world.releases.values():
            newer = other.id > release.id and {s.unit for s in other.steps} & {s.unit for s in release.steps}
            if newer and other.state != "backed":
                raise NoRelease(
                    f"release {other.id} came after it on the same units: take that one back first"
                )
    before = release.state
    if not move(world, release, event, f"by {who}" + (f", {why}" if why else "")):
        raise NoRelease(f"release {release.id} is {before}: {event} is not possible from there")
    release.paused_until = 0
    if event == "resume":
        for step in release.steps:
            if not _holds(world, step):  # one that failed after it had been ready has given its permit back
                _go(world, step, "again")
            elif _go(world, step, "retry"):
                _want(world, release, step)
    advance(world)
    return release.state


def advance(world: ClusterState) -> None:
    """Move each release on as far as it goes by what is known."""
    for release in world.releases.values():
        _see(world, release)
        if release.state == "running":
            _forward(world, release)
        elif release.state == "backing":
            _backward(world, release)
        elif release.state in ("halted", "back-halted"):
            _withdraw(world, release)
    permits.grant_all(world)
    for release in world.releases.values():
        _take_grants(world, release)


# What is seen of units.


def _see(world: ClusterState, release: Release) -> None:
    """What the stewards told of the units that are being changed or have been."""
    for step in release.steps:
        unit = world.units.get(step.unit)
        if unit is None or unit.applied_epoch != unit.ordered_epoch or step.state in ("old", "restored"):
            _see_late(world, release, step)
            continue
        if unit.unexpected_exits >= MANY_EXITS and _go(world, step, "exits"):
            _failed(world, release, step, f"{step.unit} ended {unit.unexpected_exits} times by itself")
        elif (
            unit.state == "ready"
            and unit.version == unit.ordered_version
            and unit.unexpected_exits < MANY_EXITS
        ):
            if _go(world, step, "ready"):
                _give_back(world, step)
        else:
            _see_late(world, release, step)


def _see_late(world: ClusterState, release: Release, step: UnitStep) -> None:
    late = (
        step.state in ("changing", "back-changing")
        and world.clock - step.state_since >= release.plan.ready_timeout_us
    )
    if late and _go(world, step, "late"):
        _failed(
            world, release, step, f"{step.unit} was not ready after {release.plan.ready_timeout_us / 1e6:g} s"
        )


def _failed(world: ClusterState, release: Release, step: UnitStep, why: str) -> None:
    move(world, release, "failed", why)


def _give_back(world: ClusterState, step: UnitStep) -> None:
    permit = world.permits.get(step.permit_id)
    if permit is not None:
        permits.give_back(world, permit)
    step.permit_id = 0


# The way there.


def _forward(world: ClusterState, release: Release) -> None:
    if release.group >= len(release.plan.groups):
        move(world, release, "complete")
        return
    if world.clock < release.paused_until:
        return
    steps = [release.step(name) for name in release.plan.groups[release.group]]
    if all(step.state == "new" for step in steps):
        _bake(world, release)
        return
    release.bake_started_at = 0
    _ask_more(world, release, steps, "old", "ask")


def _bake(world: ClusterState, release: Release) -> None:
    if not release.bake_started_at:
        release.bake_started_at = world.clock
    age = world.clock - release.bake_started_at
    enough = release.compared_requests >= release.plan.min_sample
    if age >= release.plan.bake_us * (1 if enough else LONGEST_BAKE):
        if not enough:
            world.note(f"release {release.id}: too few jobs to compare, it goes on by readiness alone")
        release.group += 1
        release.bake_started_at, release.paused_until = 0, world.clock + release.plan.pause_us
        world.note(f"release {release.id}: group {release.group} of {len(release.plan.groups)} is through")
        _forward(world, release)


def _ask_more(world: ClusterState, release: Release, steps: list[UnitStep], state: str, event: str) -> None:
    """Ask leave for as many units as may be on their way at once."""
    busy = sum(step.state not in ("old", "new", "restored", state) for step in steps)
    for step in steps:
        if (
            step.state == state
            and busy < release.plan.max_concurrent
            and world.clock >= step.state_since + _again(world, step)
        ):
            _go(world, step, event)
            busy += 1
            permit = permits.ask(world, "node", step.unit, f"release:{release.id}", release.plan.version, 0,
                                 PERMIT_WAIT)  # fmt: skip
            step.permit_id = permit.id


def _again(world: ClusterState, step: UnitStep) -> int:
    """How long after a refusal a unit asks once more."""
    permit = world.permits.get(step.permit_id)
    return 1_000_000 if permit is not None and permit.state == "refused" else 0


def _take_grants(world: ClusterState, release: Release) -> None:
    """What was granted is used: the unit's steward is told what to run."""
    for step in release.steps:
        permit = world.permits.get(step.permit_id)
        if permit is None or step.state not in ("asking", "back-asking"):
            continue
        if permit.state == "granted" and _go(world, step, "granted"):
            _want(world, release, step)
        elif permit.state in ("refused", "expired", "withdrawn"):
            _go(world, step, "turned-down")


def _want(world: ClusterState, release: Release, step: UnitStep) -> None:
    unit = world.units[step.unit]
    forward = step.state == "changing"
    unit.ordered_version = release.plan.version if forward else step.old_version
    unit.ordered_epoch, unit.ordered_at, unit.unexpected_exits = world.epoch, world.clock, 0
    release.started_units += forward
    world.orders_epoch = world.epoch


def _withdraw(world: ClusterState, release: Release) -> None:
    """Halted: what only waits for leave lets it be; what is on its way comes to its end."""
    for step in release.steps:
        permit = world.permits.get(step.permit_id)
        waits = step.state in ("asking", "back-asking") and permit is not None
        if waits and permits.move(world, permit, "withdraw"):
            _go(world, step, "turned-down")


# The way back.


def _holds(world: ClusterState, step: UnitStep) -> bool:
    permit = world.permits.get(step.permit_id)
    return permit is not None and permit.out


def _backward(world: ClusterState, release: Release) -> None:
    for step in release.steps:
        if step.state == "asking":
            permit = world.permits.get(step.permit_id)
            if permit is not None and not permits.move(world, permit, "withdraw"):
                permits.give_back(world, permit)
            _go(world, step, "back")
        elif _holds(world, step) and _go(world, step, "back"):
            _want(world, release, step)  # under the permit that it still holds
    for state in ("failed", "new"):
        _ask_more(world, release, release.steps, state, "ask-back")
    if all(step.state in ("old", "restored") for step in release.steps):
        move(world, release, "complete")


# What a steward is to run, and when something is due by itself.


def orders(world: ClusterState, steward: str) -> dict[str, UnitOrder]:
    """Of each unit of a steward that a release has ever changed: the version to run, and the epoch of that
    word.
    """
    return {
        u.name: UnitOrder(u.ordered_version, u.ordered_epoch)
        for u in world.units.values()
        if u.supervisor == steward and u.ordered_version
    }


def seen(world: ClusterState, steward: str, units: dict[str, UnitReport]) -> None:
    """A steward tells of its units: version, state, exits, and the epoch that it has acted on."""
    for name, (version, state, exits, acted) in units.items():
        unit = world.units.setdefault(name, Unit(name, steward))
        unit.supervisor = steward
        unit.version, unit.state, unit.applied_epoch = version, state, acted
        unit.unexpected_exits = exits if acted == unit.ordered_epoch else unit.unexpected_exits


def judged(world: ClusterState, release: Release, worse: str, jobs: int) -> None:
    """The comparison of the new version with the rest has been made, over so many jobs."""
    release.compared_requests = max(release.compared_requests, jobs)
    if worse and release.state == "running":
        move(world, release, "worse", worse)


def due(world: ClusterState) -> Iterator[int]:
    """Times at which a release goes on by itself."""
    for release in world.releases.values():
        if release.state == "running":
            if release.paused_until > world.clock:
                yield release.paused_until
            if release.bake_started_at:
                yield from (release.bake_started_at + release.plan.bake_us * n for n in (1, LONGEST_BAKE))
        if release.state in ("running", "backing"):
            for step in release.steps:
                if step.state in ("changing", "back-changing"):
                    yield step.state_since + release.plan.ready_timeout_us
                if step.state in ("old", "new") and _again(world, step):
                    yield step.state_since + _again(world, step)


def comparing(world: ClusterState) -> list[Release]:
    """Releases whose new units have something to be compared."""
    return [
        r for r in world.releases.values() if r.state == "running" and any(s.state == "new" for s in r.steps)
    ]
