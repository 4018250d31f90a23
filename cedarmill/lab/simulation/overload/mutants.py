"""Mutants of admission, budgets and shared reports, each with the incident that detects it."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.gate import AdmissionGate
from cedarmill.cluster.admission_level.state import AdmissionLevel, SheddingThreshold
from cedarmill.cluster.budget_lease import QUOTA_PREFIX, BudgetLeases
from cedarmill.cluster.gossip_plan import ReportBoard
from cedarmill.lab.cluster.mutants import Patch
from cedarmill.lab.simulation.hunting import Detection, Trial, hunt_mutant
from cedarmill.lab.simulation.overload.results import violations
from cedarmill.lab.simulation.overload.simulation import play


class Mutant(NamedTuple):
    """The patches of a mutant and the incident that detects it."""

    patches: Callable[[], list[Patch]]
    incident: str


def shed_highest_weight_first() -> list[Patch]:
    """Return patches that shed the highest priority weight first."""
    original = controller.threshold_for

    def threshold_for(demand: Mapping[int, int], shed_slots: int) -> SheddingThreshold:
        mirrored = original({-weight: slots for weight, slots in demand.items()}, shed_slots)
        if mirrored == SheddingThreshold():
            return mirrored
        return SheddingThreshold(-mirrored.weight, mirrored.share)

    def rejects(
        self: AdmissionGate, now: int, lease_holds: bool, weight: int, sample: float, scope: str = "any"
    ) -> bool:
        threshold = self.threshold
        share = 1.0 if weight > threshold.weight else threshold.share / 1000
        return threshold.weight >= 0 and weight >= threshold.weight and sample < share

    return [(controller, "threshold_for", threshold_for), (AdmissionGate, "rejects", rejects)]


def never_release_shedding() -> list[Patch]:
    """Return patches that never lower the shed load."""
    return [(controller, "MAX_RELEASE_RATE", 0)]


def ignore_quotas() -> list[Patch]:
    """Return patches that treat every request as within its tenant's quota."""
    original = BudgetLeases.spend

    def spend(self: BudgetLeases, now: int, lease_holds: bool, name: str, reserve: int = 0) -> bool:
        return name.startswith(QUOTA_PREFIX) or original(self, now, lease_holds, name, reserve)

    return [(BudgetLeases, "spend", spend)]


def ignore_probe_budget() -> list[Patch]:
    """Return patches that lift the probe budget and disable the sharing of reports."""
    original = BudgetLeases.spend

    def spend(self: BudgetLeases, now: int, lease_holds: bool, name: str, reserve: int = 0) -> bool:
        return name == "probes" or original(self, now, lease_holds, name, reserve)

    return [(BudgetLeases, "spend", spend), (ReportBoard, "may_share", lambda self, report: False)]


def enforce_threshold_intermittently() -> list[Patch]:
    """Return patches that enforce the threshold for a tenth of each second only."""
    original = AdmissionGate.rejects

    def rejects(self: AdmissionGate, now: int, lease_holds: bool, *arguments: Any) -> bool:
        return now % 1_000_000 < 100_000 and original(self, now, lease_holds, *arguments)

    return [(AdmissionGate, "rejects", rejects)]


def shed_by_demand_alone() -> list[Patch]:
    """Return patches that shed by demand alone, from half of the slots."""

    def adjust_fill(level: AdmissionLevel, idle: bool) -> None:
        level.active, level.fill_share = True, 500

    return [(controller, "_adjust_fill_share", adjust_fill)]


MUTANTS = {
    "most-worth-first-refused": Mutant(shed_highest_weight_first, "month-end"),
    "cut-is-never-lifted": Mutant(never_release_shedding, "burst"),
    "quota-is-not-asked": Mutant(ignore_quotas, "flood"),
    "probes-without-budget": Mutant(ignore_probe_budget, "calm"),
    "cut-lapses-with-the-beat": Mutant(enforce_threshold_intermittently, "outlives"),
    "most-worth-first-in-two-epochs": Mutant(shed_highest_weight_first, "two-epochs"),
    "every-lateness-is-a-storm": Mutant(shed_by_demand_alone, "calm"),
}


def _violations(trial: Trial) -> list[str]:
    return violations(play("fleet", trial.incident, trial.seed), trial.incident)


def hunt(name: str, seeds: Sequence[int]) -> Detection:
    """Run the mutant's incident with each seed until an invariant is violated."""
    mutant = MUTANTS[name]
    trials = [Trial(mutant.incident, seed) for seed in seeds]
    return hunt_mutant(name, mutant.patches(), trials, _violations)
