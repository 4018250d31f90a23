"""Planted bugs in evidence, plan and following, each with the incidents in which it shows.

They are here so that the laws of `regions.py` and the small cases are known to bite.
"""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cedarmill.cluster.observations import assessment, verdicts
from cedarmill.cluster.observations.digest import WHOLE, share_of
from cedarmill.cluster.observations.verdicts import GroupFindings, Verdict, ZoneVerdict
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.cluster.traffic_control import ramps, rollout, trust, zone_status
from cedarmill.cluster.traffic_plan import planner
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.planner import Room
from cedarmill.cluster.traffic_plan.weights import normalized
from cedarmill.lab.cluster.mutants import Patch, applied_patches
from cedarmill.lab.simulation.zones import simulation as regions
from cedarmill.lab.simulation.zones.simulation import breaches


class Bug(NamedTuple):
    """What stands instead, and the incidents that are played till a law sees it."""

    patches: Callable[[], list[Patch]]
    incidents: tuple[str, ...]


def loud_observers_outvote() -> list[Patch]:
    """All tries of a zone's observers in one sum: who sends most decides."""

    def combine(observations):
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
    """A zone of which nobody tells counts as lost."""
    plain = verdicts.verdict_on

    def verdict_on(zone, findings):
        found = plain(zone, findings)
        return ZoneVerdict(Verdict.LOST, "silent") if found.verdict == Verdict.UNKNOWN else found

    return [(verdicts, "verdict_on", verdict_on)]


def late_news_are_new() -> list[Patch]:
    """How old a digest is says nothing."""
    return [
        (assessment, "DIGEST_LIFETIME_US", 90_000_000),
        (regions, "DIGEST_LIFETIME_US", 90_000_000),
    ]


def masses_are_believed() -> list[Patch]:
    """However many zones seem lost at once, they are."""
    return [(zone_status, "MASS_LOSS", 99)]


def room_not_kept() -> list[Patch]:
    """A receiver is sent whatever there is, as if it had three times its slots."""
    plain = planner.available_room

    def available_room(layout, zones, found, without=""):
        room = plain(layout, zones, found, without)
        return Room({name: 3 * slots for name, slots in room.planned.items()}, room.last_resort)

    return [(planner, "available_room", available_room)]


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

    def fallbacks(state, plan, found):
        return {
            name: planner.make_plan(state.zoning, state.zones, found, name).weights
            for name in state.zoning.zones
        }

    return [(rollout, "_fallbacks", fallbacks)]


def older_plans_followed() -> list[Patch]:
    """A node follows what came last, whatever its epoch."""

    def accept_plan(self, plan):
        self.plan = plan or self.plan
        return plan is not None

    return [(PlanFollower, "accept_plan", accept_plan)]


def shut_zones_in_need() -> list[Patch]:
    """A zone that operators have emptied is used when others are not reached."""
    plain = PlanFollower.row_without

    def row_without(self, scope, left_out):
        found = plain(self, scope, set(left_out) - self.plan.closed_zones.keys())
        names = [*self.plan.closed_zones] if scope == "any" else []
        return normalized(found | dict.fromkeys(names, WHOLE // 2)) if names else found

    return [(PlanFollower, "row_without", row_without)]


def slots_believed_as_claimed() -> list[Patch]:
    """Late jobs say nothing of slots that are claimed."""
    return [(trust, "adjust_trust", lambda state, found: None)]


MUTANTS = {
    "loud-observers-outvote": Bug(loud_observers_outvote, ("loud",)),
    "silence-is-loss": Bug(silence_is_loss, ("blind", "late-10")),
    "late-news-are-new": Bug(late_news_are_new, ("late-30",)),
    "masses-are-believed": Bug(masses_are_believed, ("lying",)),
    "room-not-kept": Bug(room_not_kept, ("doubles", "zone-dies")),
    "residency-forgotten": Bug(residency_forgotten, ("zone-dies",)),
    "no-dwell": Bug(no_dwell, ("flaps",)),
    "back-at-once": Bug(back_at_once, ("returns",)),
    "moves-at-once": Bug(moves_at_once, ("doubles", "gray")),
    "standing-plans-need-all": Bug(standing_plans_need_all, ("keepers-gone-full",)),
    "older-plans-followed": Bug(older_plans_followed, ("returns", "flaps")),
    "shut-zones-in-need": Bug(shut_zones_in_need, ("zone-dies-drained",)),
    "slots-believed-as-claimed": Bug(slots_believed_as_claimed, ("lies",)),
}


class Found(NamedTuple):
    """By which law a bug was seen first, in which incident, with which seed, after how long (s); seed -1:
    never.
    """

    bug: str
    law: str
    incident: str
    seed: int
    seconds: float


def hunt(name: str, seeds: Sequence[int]) -> Found:
    """Play the bug's incidents till a law sees it."""
    bug, began = MUTANTS[name], time.monotonic()
    with applied_patches(bug.patches()):
        for seed in seeds:
            for incident in bug.incidents:
                if found := breaches(regions.run(incident, seed, "agreed"), incident):
                    return Found(name, found[0], incident, seed, round(time.monotonic() - began, 2))
    return Found(name, "", "", -1, round(time.monotonic() - began, 2))
