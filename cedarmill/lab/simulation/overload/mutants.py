"""Mutants of admission, budgets and shared reports, each with the incident in which it shows."""

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
    """What stands instead, and the incident in which it shows."""

    patches: Callable[[], list[Patch]]
    incident: str


def most_worth_first_refused() -> list[Patch]:
    """The level begins at the wrong end: the highest priority weight is refused first."""
    plain = controller.threshold_for

    def threshold_for(demand: Mapping[int, int], shed_slots: int) -> SheddingThreshold:
        mirrored = plain({-weight: slots for weight, slots in demand.items()}, shed_slots)
        if mirrored == SheddingThreshold():
            return mirrored
        return SheddingThreshold(-mirrored.weight, mirrored.share)

    def rejects(
        self: AdmissionGate, now: int, lease_holds: bool, weight: int, sample: float, scope: str = "any"
    ) -> bool:
        one = self.threshold
        share = 1.0 if weight > one.weight else one.share / 1000
        return one.weight >= 0 and weight >= one.weight and sample < share

    return [(controller, "threshold_for", threshold_for), (AdmissionGate, "rejects", rejects)]


def cut_is_never_lifted() -> list[Patch]:
    """What is shed only grows."""
    return [(controller, "MAX_RELEASE_RATE", 0)]


def quota_is_not_asked() -> list[Patch]:
    """A tenant's requests all count as within its quota."""
    plain = BudgetLeases.spend

    def spend(self: BudgetLeases, now: int, lease_holds: bool, name: str, reserve: int = 0) -> bool:
        return name.startswith(QUOTA_PREFIX) or plain(self, now, lease_holds, name, reserve)

    return [(BudgetLeases, "spend", spend)]


def probes_without_budget() -> list[Patch]:
    """Each node probes as it likes, and reports are never shared."""
    plain = BudgetLeases.spend

    def spend(self: BudgetLeases, now: int, lease_holds: bool, name: str, reserve: int = 0) -> bool:
        return name == "probes" or plain(self, now, lease_holds, name, reserve)

    return [(BudgetLeases, "spend", spend), (ReportBoard, "may_share", lambda self, report: False)]


def cut_lapses_with_the_beat() -> list[Patch]:
    """A threshold is obeyed for a tenth of each second only, as if the lease were that short."""
    plain = AdmissionGate.rejects

    def rejects(self: AdmissionGate, now: int, lease_holds: bool, *more: Any) -> bool:
        return now % 1_000_000 < 100_000 and plain(self, now, lease_holds, *more)

    return [(AdmissionGate, "rejects", rejects)]


def every_lateness_is_a_storm() -> list[Patch]:
    """Shedding begins by what is wanted alone, at half of the slots."""

    def adjust_fill(level: AdmissionLevel, idle: bool) -> None:
        level.active, level.fill_share = True, 500

    return [(controller, "_adjust_fill_share", adjust_fill)]


MUTANTS = {
    "most-worth-first-refused": Mutant(most_worth_first_refused, "month-end"),
    "cut-is-never-lifted": Mutant(cut_is_never_lifted, "burst"),
    "quota-is-not-asked": Mutant(quota_is_not_asked, "flood"),
    "probes-without-budget": Mutant(probes_without_budget, "calm"),
    "cut-lapses-with-the-beat": Mutant(cut_lapses_with_the_beat, "outlives"),
    "most-worth-first-in-two-epochs": Mutant(most_worth_first_refused, "two-epochs"),
    "every-lateness-is-a-storm": Mutant(every_lateness_is_a_storm, "calm"),
}


def _violations(trial: Trial) -> list[str]:
    return violations(play("fleet", trial.incident, trial.seed), trial.incident)


def hunt(name: str, seeds: Sequence[int]) -> Detection:
    """Play the mutant's incident till an invariant sees it."""
    mutant = MUTANTS[name]
    trials = [Trial(mutant.incident, seed) for seed in seeds]
    return hunt_mutant(name, mutant.patches(), trials, _violations)
