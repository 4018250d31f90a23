"""Units (processes run by supervisors) and releases of new versions, as part of the replicated state.

Times are microseconds of the cluster's clock. `rename` maps each field to its stored key.
"""

from typing import NamedTuple

import msgspec

from cedarmill.cluster.states import ReleaseState, StepState

# A UnitReport and a UnitOrder as plain tuples, their form in messages.
UnitReportFields = tuple[str, str, int, int]
UnitOrderFields = tuple[str, int]


class UnitReport(NamedTuple):
    """The state of a unit as reported by its supervisor."""

    version: str
    state: str
    unexpected_exits: int
    applied_epoch: int  # Epoch of the order carried out last.


class UnitOrder(NamedTuple):
    """An order to a supervisor to run a version of a unit, with the epoch of the order."""

    version: str
    epoch: int


class Unit(
    msgspec.Struct,
    rename={
        "supervisor": "steward",
        "unexpected_exits": "exits",
        "applied_epoch": "acted",
        "ordered_version": "wanted",
        "ordered_epoch": "epoch",
        "ordered_at": "told",
    },
):
    """A process run by a supervisor, with its last reported state and the version it is ordered to run."""

    name: str
    supervisor: str
    version: str = ""
    state: str = "stopped"  # "stopped", "starting", "ready" or "failing".
    unexpected_exits: int = 0  # Exits since the last order.
    applied_epoch: int = 0
    ordered_version: str = ""  # Empty if no version has been ordered.
    ordered_epoch: int = 0
    ordered_at: int = 0


class UnitStep(msgspec.Struct, rename={"old_version": "old", "permit_id": "permit", "state_since": "since"}):
    """The progress of one unit through a release."""

    unit: str
    old_version: str
    state: str = StepState.OLD
    permit_id: int = 0
    state_since: int = 0


class ReleasePlan(msgspec.Struct, array_like=True, frozen=True):
    """The plan of a release: groups in order, with at most `max_concurrent` units changing at once."""

    version: str
    groups: tuple[tuple[str, ...], ...]
    max_concurrent: int = 1
    pause_us: int = 0  # Pause between two groups.
    bake_us: int = 10_000_000  # Time for which a finished group is observed.
    ready_timeout_us: int = 30_000_000  # Time limit for a unit to become ready.
    min_sample: int = 50  # Requests on each side of a comparison that are enough to rely on it.
    max_chance: int = 1  # Ten-thousandths: halt if the chance that a difference is random is lower.
    min_difference: int = 20  # Thousandths: smaller differences do not halt the release.


class Release(
    msgspec.Struct,
    rename={
        "requester": "who",
        "state_since": "since",
        "bake_started_at": "bake_from",
        "paused_until": "rest_till",
        "reasons": "why",
        "compared_requests": "compared",
        "started_units": "touched",
    },
):
    """A release that is planned, in progress or finished."""

    id: int
    plan: ReleasePlan
    requester: str
    state: str = ReleaseState.PLANNED
    group: int = 0  # Index of the current group.
    steps: list[UnitStep] = msgspec.field(default_factory=list)
    state_since: int = 0
    bake_started_at: int = 0  # 0 until the current group is complete.
    paused_until: int = 0
    reasons: list[str] = msgspec.field(default_factory=list)
    compared_requests: int = 0  # Largest recorded sample: requests on the smaller side of a comparison.
    started_units: int = 0  # Number of unit starts with the new version.

    def step(self, unit: str) -> UnitStep | None:
        """Return the step of a unit, or None if the unit is not part of the release."""
        return next((step for step in self.steps if step.unit == unit), None)
