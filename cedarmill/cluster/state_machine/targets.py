"""Targets as members observe them: health of executors, nodes and units, and the halt of all grants."""

import msgspec

from cedarmill.cluster.state import ClusterState, Target, Unit, UnitReport, UnitReportFields
from cedarmill.cluster.state_machine.command import Command, Handlers
from cedarmill.cluster.state_machine.permit_states import target_key
from cedarmill.cluster.states import TargetHealth


class UpdateTargets(Command, tag="seen", frozen=True):
    """Targets whose observed state differs from the agreed one."""

    targets: tuple[Target, ...]


class UpdateUnits(Command, tag="units", frozen=True):
    """A process supervisor reports its units."""

    supervisor: str
    units: dict[str, UnitReportFields]


class HaltGrants(Command, tag="mass", frozen=True):
    """Too much has gone at once to be believed: nothing is granted. An empty reason ends the halt."""

    reason: str


def update_targets(state: ClusterState, command: UpdateTargets) -> None:
    """Take over what is observed; a target that was restarted, or returns, begins its slow start."""
    for observed in command.targets:
        key = target_key(observed.kind, observed.name)
        known = state.targets.get(key)
        state.targets[key] = msgspec.structs.replace(
            observed,
            health_since=_health_since(state, observed, known),
            slow_start_from=_slow_start_from(state, observed, known),
        )


def _health_since(state: ClusterState, observed: Target, known: Target | None) -> int:
    if known is None or known.health != observed.health:
        return state.clock
    return known.health_since


def _slow_start_from(state: ClusterState, observed: Target, known: Target | None) -> int:
    if known is None:
        return -1
    if observed.started_ms > known.started_ms > 0:
        return state.clock  # it was restarted, whoever did it
    returned = known.health == TargetHealth.SILENT and observed.health == TargetHealth.WELL
    return state.clock if returned and known.slow_start_from < 0 else known.slow_start_from


def update_units(state: ClusterState, command: UpdateUnits) -> None:
    """Take over a supervisor's report."""
    for name, fields in command.units.items():
        report = UnitReport(*fields)
        unit = state.units.setdefault(name, Unit(name, command.supervisor))
        unit.supervisor, unit.version, unit.state = command.supervisor, report.version, report.state
        unit.applied_epoch = report.applied_epoch
        if report.applied_epoch == unit.ordered_epoch:  # exits of before the order count no more
            unit.unexpected_exits = report.unexpected_exits


def halt_grants(state: ClusterState, command: HaltGrants) -> None:
    """Begin or end a halt of all grants and releases."""
    if command.reason == state.halt_reason:
        return
    state.halt_reason = command.reason
    state.note(f"nothing is granted: {command.reason}" if command.reason else "grants go on")


HANDLERS: Handlers = {UpdateTargets: update_targets, UpdateUnits: update_units, HaltGrants: halt_grants}
