"""Commands for observed targets: health of executors, nodes and units, and the halt of all grants."""

import msgspec

from cedarmill.cluster.state import ClusterState, Target, Unit, UnitReport, UnitReportFields
from cedarmill.cluster.state_machine.command import Command, Handlers
from cedarmill.cluster.state_machine.permit_states import target_key
from cedarmill.cluster.states import TargetHealth


class UpdateTargets(Command, tag="seen", frozen=True):
    """Update targets whose observed state differs from the agreed state."""

    targets: tuple[Target, ...]


class UpdateUnits(Command, tag="units", frozen=True):
    """Record a process supervisor's report on its units."""

    supervisor: str
    units: dict[str, UnitReportFields]


class HaltGrants(Command, tag="mass", frozen=True):
    """Halt all grants after an implausibly large simultaneous loss; an empty reason ends the halt."""

    reason: str


def update_targets(state: ClusterState, command: UpdateTargets) -> None:
    """Store observed targets; a target that was restarted or has returned begins its slow start."""
    for observed in command.targets:
        key = target_key(observed.kind, observed.name)
        previous = state.targets.get(key)
        state.targets[key] = msgspec.structs.replace(
            observed,
            health_since=_health_since(state, observed, previous),
            slow_start_started_at=_slow_start_started_at(state, observed, previous),
        )


def _health_since(state: ClusterState, observed: Target, previous: Target | None) -> int:
    if previous is None or previous.health != observed.health:
        return state.clock
    return previous.health_since


def _slow_start_started_at(state: ClusterState, observed: Target, previous: Target | None) -> int:
    if previous is None:
        return -1
    if observed.started_ms > previous.started_ms > 0:
        return state.clock  # restarted, by a release or otherwise
    has_returned = previous.health == TargetHealth.SILENT and observed.health == TargetHealth.HEALTHY
    return (
        state.clock if has_returned and previous.slow_start_started_at < 0 else previous.slow_start_started_at
    )


def update_units(state: ClusterState, command: UpdateUnits) -> None:
    """Store a supervisor's report on its units."""
    for name, fields in command.units.items():
        report = UnitReport(*fields)
        unit = state.units.setdefault(name, Unit(name, command.supervisor))
        unit.supervisor, unit.version, unit.state = command.supervisor, report.version, report.state
        unit.applied_epoch = report.applied_epoch
        if report.applied_epoch == unit.ordered_epoch:  # exits before the order do not count
            unit.unexpected_exits = report.unexpected_exits


def halt_grants(state: ClusterState, command: HaltGrants) -> None:
    """Begin or end the halt of all grants, and so of all releases."""
    if command.reason == state.halt_reason:
        return
    state.halt_reason = command.reason
    state.log_for_operators(f"nothing is granted: {command.reason}" if command.reason else "grants go on")


HANDLERS: Handlers = {UpdateTargets: update_targets, UpdateUnits: update_units, HaltGrants: halt_grants}
