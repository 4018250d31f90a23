"""Units (processes that supervisors run) and releases of new versions, as the agreed state holds them.

Times are microseconds of the cluster's clock. `rename` maps each field to its stored key.
"""

from typing import NamedTuple

import msgspec

from cedarmill.cluster.states import ReleaseState, StepState

UnitReportFields = tuple[str, str, int, int]  # those of a UnitReport, which comes as a plain array
UnitOrderFields = tuple[str, int]  # those of a UnitOrder


class UnitReport(NamedTuple):
    """A unit as its process supervisor reports it."""

    version: str
    state: str
    unexpected_exits: int
    applied_epoch: int  # of the order acted on last


class UnitOrder(NamedTuple):
    """What a process supervisor is to run, and the epoch of that order."""

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
    """A process that a supervisor runs: as it was reported last, and what it is ordered to run."""

    name: str
    supervisor: str
    version: str = ""
    state: str = "stopped"  # stopped, starting, ready, failing
    unexpected_exits: int = 0  # since the last order
    applied_epoch: int = 0
    ordered_version: str = ""  # empty: whatever it runs
    ordered_epoch: int = 0
    ordered_at: int = 0


class UnitStep(msgspec.Struct, rename={"old_version": "old", "permit_id": "permit", "state_since": "since"}):
    """A unit's way through a release."""

    unit: str
    old_version: str
    state: str = StepState.OLD
    permit_id: int = 0
    state_since: int = 0


class ReleasePlan(msgspec.Struct, array_like=True, frozen=True):
    """How a release proceeds: groups one after the other, each at most `max_concurrent` units at once."""

    version: str
    groups: tuple[tuple[str, ...], ...]
    max_concurrent: int = 1
    pause_us: int = 0  # between two groups
    bake_us: int = 10_000_000  # for which a finished group is watched
    ready_timeout_us: int = 30_000_000  # for a unit to become ready
    min_sample: int = 50  # requests of the new version before it is compared
    max_chance: int = 1  # ten thousandths: below this chance that a difference is random, halt
    min_difference: int = 20  # thousandths that matter


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
    """A release on its way, or at its end."""

    id: int
    plan: ReleasePlan
    requester: str
    state: str = ReleaseState.PLANNED
    group: int = 0  # index of the group on its way
    steps: list[UnitStep] = msgspec.field(default_factory=list)
    state_since: int = 0
    bake_started_at: int = 0  # 0: the group is not complete yet
    paused_until: int = 0
    reasons: list[str] = msgspec.field(default_factory=list)
    compared_requests: int = 0  # on the smaller side, when they were enough to compare
    started_units: int = 0  # with the new version

    def step(self, unit: str) -> UnitStep | None:
        """The step of a unit; None where it is no part of the release."""
        return next((step for step in self.steps if step.unit == unit), None)
