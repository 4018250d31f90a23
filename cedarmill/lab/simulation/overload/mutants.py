"""Laws of storms as predicates over their results, and planted bugs that each of them sees.

A law holds for all seeds of its incident with the fleet as one, by bounds well beyond what seeds differ by.
"""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.gate import AdmissionGate
from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.budget_lease import QUOTA_PREFIX, BudgetLeases
from cedarmill.cluster.gossip_plan import ReportBoard
from cedarmill.lab.cluster.mutants import Patch, applied_patches
from cedarmill.lab.simulation.overload import simulation as storms
from cedarmill.lab.simulation.overload.simulation import Result

# by incident: what has to hold of its result
LAWS: dict[str, dict[str, Callable[[Result], bool]]] = {
    "calm": {
        "nothing is cut in calm": lambda one: one.cut_calm == 0,
        "probes do not grow": lambda one: one.probes <= 1.5,
        "served in calm": lambda one: one.worth >= 0.95 and one.refused_calm <= 0.005,
    },
    "month-end": {
        "what is worth most is served": lambda one: one.worth >= 0.85,
        "attempts are few": lambda one: one.attempts <= 1.1,
    },
    "burst": {"back after a storm": lambda one: 0 <= one.back <= 6},
    "flood": {"each tenant has its part": lambda one: one.jain >= 0.94},
    "liar": {"one that lies cuts nobody for long": lambda one: one.worth >= 0.75},
    "two-epochs": {
        "what is worth most suffers little by two epochs": lambda one: one.top >= 0.75,
        "back after two epochs": lambda one: 0 <= one.back <= 6,
    },
    "outlives": {"a storm ends": lambda one: 0 <= one.back <= 25},
}


def breaches(one: Result, incident: str) -> list[str]:
    """The laws that a run of the fleet as one broke."""
    return [law for law, holds in LAWS.get(incident, {}).items() if not holds(one)]


class Bug(NamedTuple):
    """What stands instead, and the incident in which it shows."""

    patches: Callable[[], list[Patch]]
    incident: str


def most_worth_first_refused() -> list[Patch]:
    """The level begins at the wrong end: what is worth most is refused first."""
    plain = controller.threshold_for

    def threshold_for(demand, shed_slots):
        mirrored = plain({-weight: slots for weight, slots in demand.items()}, shed_slots)
        if mirrored == SheddingThreshold():
            return mirrored
        return SheddingThreshold(-mirrored.weight, mirrored.share)

    def rejects(self, now, lease_holds, weight, sample, scope="any"):
        one = self.threshold
        share = 1.0 if weight > one.weight else one.share / 1000
        return one.weight >= 0 and weight >= one.weight and sample < share

    return [(controller, "threshold_for", threshold_for), (AdmissionGate, "rejects", rejects)]


def cut_is_never_lifted() -> list[Patch]:
    """What is shed only grows."""
    return [(controller, "RELEASE_RATE", 0)]


def quota_is_not_asked() -> list[Patch]:
    """A tenant's reqs all count as within its quota."""
    plain = BudgetLeases.spend
    return [(BudgetLeases, "spend", lambda self, now, holds, name, keep=0:
             name.startswith(QUOTA_PREFIX) or plain(self, now, holds, name, keep))]  # fmt: skip


def probes_without_budget() -> list[Patch]:
    """Each node probes as it likes, and news are never shared."""
    plain = BudgetLeases.spend
    return [(BudgetLeases, "spend", lambda self, now, holds, name, keep=0:
             name == "probes" or plain(self, now, holds, name, keep)),
            (ReportBoard, "may_share", lambda self, report: False)]  # fmt: skip


def cut_lapses_with_the_beat() -> list[Patch]:
    """A cut is obeyed for a tenth of a second in each second only, as if the lease were that short."""
    plain = AdmissionGate.rejects
    return [(AdmissionGate, "rejects", lambda self, now, holds, *more:
             now % 1_000_000 < 100_000 and plain(self, now, holds, *more))]  # fmt: skip


def every_lateness_is_a_storm() -> list[Patch]:
    """A cut begins by what is wanted alone, at half of the slots."""

    def adjust_fill(level, idle):
        level.active, level.fill_share = True, 500

    return [(controller, "_adjust_fill", adjust_fill)]


MUTANTS = {
    "most-worth-first-refused": Bug(most_worth_first_refused, "month-end"),
    "cut-is-never-lifted": Bug(cut_is_never_lifted, "burst"),
    "quota-is-not-asked": Bug(quota_is_not_asked, "flood"),
    "probes-without-budget": Bug(probes_without_budget, "calm"),
    "cut-lapses-with-the-beat": Bug(cut_lapses_with_the_beat, "outlives"),
    "most-worth-first-in-two-epochs": Bug(most_worth_first_refused, "two-epochs"),
    "every-lateness-is-a-storm": Bug(every_lateness_is_a_storm, "calm"),
}


class Found(NamedTuple):
    """A bug, the first law that saw it, with which seed (-1: none), and how long that took (s)."""

    bug: str
    law: str
    seed: int
    seconds: float


def hunt(name: str, seeds: Sequence[int]) -> Found:
    """Play the bug's incident till a law sees it."""
    bug, began = MUTANTS[name], time.monotonic()
    with applied_patches(bug.patches()):
        for seed in seeds:
            if found := breaches(storms.play("fleet", bug.incident, seed), bug.incident):
                return Found(name, found[0], seed, round(time.monotonic() - began, 2))
    return Found(name, "", -1, round(time.monotonic() - began, 2))
