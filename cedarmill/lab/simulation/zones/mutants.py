"""Mutants of evidence, plan and following, each with the incidents in which it shows.

They are here so that the invariants of zones and the small cases are known to bite.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations import assessment, verdicts
from cedarmill.cluster.observations.assessment import ClusterAssessment
from cedarmill.cluster.observations.digest import WHOLE, LocationObservation, share_of
from cedarmill.cluster.observations.verdicts import GroupFindings, Verdict, ZoneVerdict
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.cluster.state import ClusterState
from cedarmill.cluster.traffic_control import ramps, rollout, trust, zone_status
from cedarmill.cluster.traffic_plan import planner
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.planner import AvailableSlots
from cedarmill.cluster.traffic_plan.state import WeightRow, WeightTable, ZoneState
from cedarmill.cluster.traffic_plan.weights import normalized
from cedarmill.lab.cluster.mutants import Patch
from cedarmill.lab.simulation.hunting import Detection, Trial, hunt_mutant
from cedarmill.lab.simulation.zones import leader
from cedarmill.lab.simulation.zones.incidents import INCIDENTS
from cedarmill.lab.simulation.zones.results import violations
from cedarmill.lab.simulation.zones.simulation import play


class Mutant(NamedTuple):
    """What stands instead, and the incidents that are played till an invariant sees it."""

    patches: Callable[[], list[Patch]]
    incidents: tuple[str, ...]


def loud_observers_outvote() -> list[Patch]:
    """All tries of a zone's observers in one sum: who sends most decides."""

    def combine(observations: Sequence[LocationObservation]) -> GroupFindings | None:
        attempts = sum(one.attempts for one in observations)
        unreached = sum(one.unreached for one in observations)
        if not attempts:
            return None
        failed, late = sum(one.failed for one in observations), sum(one.late for one in observations)
        arrived = attempts - unreached
        return GroupFindings(
            share_of(failed, arrived), share_of(late, arrived), share_of(unreached, attempts), attempts
        )

    return [(verdicts, "combine_observations", combine)]


def silence_is_loss() -> list[Patch]:
    """A zone of which nobody reports counts as lost."""
    plain = verdicts.verdict_on

    def verdict_on(zone: str, findings: dict[str, GroupFindings]) -> ZoneVerdict:
        found = plain(zone, findings)
        return ZoneVerdict(Verdict.LOST, "silent") if found.verdict == Verdict.UNKNOWN else found

    return [(verdicts, "verdict_on", verdict_on)]


def late_news_are_new() -> list[Patch]:
    """How old a digest is says nothing."""
    return [
        (assessment, "DIGEST_LIFETIME_US", 90_000_000),
        (leader, "DIGEST_LIFETIME_US", 90_000_000),
    ]


def masses_are_believed() -> list[Patch]:
    """However many zones seem lost at once, they are."""
    return [(zone_status, "MASS_LOSS_MIN_ZONES", 99)]


def room_not_kept() -> list[Patch]:
    """A receiver is sent whatever there is, as if it had three times its slots."""
    plain = planner.available_slots

    def available_slots(
        layout: ZoneLayout, zones: Mapping[str, ZoneState], assessed: ClusterAssessment, lost_zone: str = ""
    ) -> AvailableSlots:
        room = plain(layout, zones, assessed, lost_zone)
        return AvailableSlots({name: 3 * slots for name, slots in room.planned.items()}, room.last_resort)

    return [(planner, "available_slots", available_slots)]


def residency_forgotten() -> list[Patch]:
    """What may not leave its region goes wherever there is room."""
    return [(ZoneLayout, "reachable_zones", lambda self, zone, scope: self.zones)]


def no_dwell() -> list[Patch]:
    """A zone is believed again as soon as it is seen to be well."""
    return [(zone_status, "dwell_us", lambda state, zone: 0)]


def back_at_once() -> list[Patch]:
    """A zone that comes back gets all of its traffic in one step, cold as it is."""
    return [(ramps, "RETURN_RATE", 100_000), (rollout, "MOVE_RATE", 100_000)]


def moves_at_once() -> list[Patch]:
    """Shares jump to their aim."""
    return [(rollout, "MOVE_RATE", 100_000)]


def standing_plans_need_all() -> list[Patch]:
    """The plan for a loss is made as if all zones followed it, not only those that notice."""

    def fallbacks(
        state: ClusterState, plan: planner.TrafficPlan, assessed: ClusterAssessment
    ) -> dict[str, WeightTable]:
        return {
            name: planner.make_plan(state.zone_layout, state.zones, assessed, name).weights
            for name in state.zone_layout.zones
        }

    return [(rollout, "_fallback_tables", fallbacks)]


def older_plans_followed() -> list[Patch]:
    """A node follows what came last, whatever its epoch."""

    def accept_plan(self: PlanFollower, plan: RouteWeights | None) -> bool:
        self.plan = plan or self.plan
        return plan is not None

    return [(PlanFollower, "accept_plan", accept_plan)]


def shut_zones_in_need() -> list[Patch]:
    """A zone that operators have emptied is used when others are not reached."""
    plain = PlanFollower.row_without

    def row_without(self: PlanFollower, scope: str, excluded: Iterable[str]) -> WeightRow:
        assert self.plan is not None
        found = plain(self, scope, set(excluded) - self.plan.closed_zones.keys())
        names = [*self.plan.closed_zones] if scope == "any" else []
        return normalized(found | dict.fromkeys(names, WHOLE // 2)) if names else found

    return [(PlanFollower, "row_without", row_without)]


def slots_believed_as_claimed() -> list[Patch]:
    """Late jobs say nothing of slots that are claimed."""
    return [(trust, "adjust_trust", lambda state, assessed: None)]


MUTANTS = {
    "loud-observers-outvote": Mutant(loud_observers_outvote, ("loud",)),
    "silence-is-loss": Mutant(silence_is_loss, ("blind", "late-10")),
    "late-news-are-new": Mutant(late_news_are_new, ("late-30",)),
    "masses-are-believed": Mutant(masses_are_believed, ("lying",)),
    "room-not-kept": Mutant(room_not_kept, ("doubles", "zone-dies")),
    "residency-forgotten": Mutant(residency_forgotten, ("zone-dies",)),
    "no-dwell": Mutant(no_dwell, ("flaps",)),
    "back-at-once": Mutant(back_at_once, ("returns",)),
    "moves-at-once": Mutant(moves_at_once, ("doubles", "gray")),
    "standing-plans-need-all": Mutant(standing_plans_need_all, ("keepers-gone-full",)),
    "older-plans-followed": Mutant(older_plans_followed, ("returns", "flaps")),
    "shut-zones-in-need": Mutant(shut_zones_in_need, ("zone-dies-drained",)),
    "slots-believed-as-claimed": Mutant(slots_believed_as_claimed, ("lies",)),
}


def _violations(trial: Trial) -> list[str]:
    return violations(play(trial.incident, trial.seed, "agreed"), INCIDENTS[trial.incident])


def hunt(name: str, seeds: Sequence[int]) -> Detection:
    """Play the mutant's incidents till an invariant sees it."""
    mutant = MUTANTS[name]
    trials = [Trial(incident, seed) for seed in seeds for incident in mutant.incidents]
    return hunt_mutant(name, mutant.patches(), trials, _violations)
