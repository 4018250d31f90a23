"""A node's side of the traffic plan: weights for its requests, and what it changes of them by its own
observations.

The plan is followed as it was told, under its epoch, until a newer one comes. A zone that it names and that
this node does not reach is reported, and left out here alone: the fallback weights for the loss of that zone
hold then, and what would still go to it stays in the node's own zone. Nothing goes to a zone that no agreed
row names, so that nodes that all lose sight of one zone do not all turn to another. Times: us; no I/O.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.digest import SCOPES, WHOLE, LocationObservation, share_of
from cedarmill.cluster.observations.verdicts import MIN_ATTEMPTS, UNREACHED_SHARE
from cedarmill.cluster.traffic_plan.planner import PROBE_WEIGHT
from cedarmill.cluster.traffic_plan.state import WeightRow
from cedarmill.cluster.traffic_plan.weights import normalized

EXCLUSION_US = 5_000_000  # for which a zone that was not reached is left out; doubled each time in a row
MAX_EXCLUSION_US = 80_000_000
UNREACHED_STREAK = (
    6  # attempts in a row without a connection: sooner than a share of the last seconds shows it
)
CALM_US = 30_000_000  # after an exclusion without another, the next one counts as the first again
RAMP_US = 10_000_000  # after an exclusion, until the zone has its whole weight: its executors may be cold


@dataclass(slots=True)
class ZoneExclusion:
    """A zone that is left out, until when, and how often in a row."""

    until: int
    times: int = 1


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """Where the node sends requests now."""

    epoch: int = 0  # of the plan
    weights: dict[str, WeightRow] = field(default_factory=dict)  # by scope
    unreachable_zones: tuple[str, ...] = ()  # that the plan names and that are left out here
    closed_zones: tuple[str, ...] = ()  # by the plan, whatever is lost


class PlanFollower:
    """One node's following of the plan."""

    def __init__(self) -> None:
        self.plan: RouteWeights | None = None
        self.exclusions: dict[str, ZoneExclusion] = {}
        self.empty_zones: frozenset[str] = frozenset()  # in which no executor is listed

    def accept_plan(self, plan: RouteWeights | None) -> bool:
        """Follow a plan that has come, unless it is older than the one followed."""
        if plan is None or (self.plan is not None and plan.epoch < self.plan.epoch):
            return False
        self.plan = plan
        return True

    def decide(
        self,
        now: int,
        observations: Mapping[str, LocationObservation],
        empty_zones: Iterable[str] = (),
        unreached_streaks: Mapping[str, int] | None = None,
    ) -> RoutingDecision:
        """Where to send, by the plan and by what this node observes; nothing before a plan has come."""
        if self.plan is None:
            return RoutingDecision()
        self._exclude_unreached(now, observations, unreached_streaks or {})
        self.empty_zones = frozenset(empty_zones)
        named = {zone for row in self.plan.weights.values() for zone in row}
        left_out = self._excluded(now) | self.empty_zones
        return RoutingDecision(
            self.plan.epoch,
            self.weights(now),
            tuple(sorted(named & left_out)),
            tuple(sorted(self.plan.closed_zones)),
        )

    def weights(self, now: int) -> dict[str, WeightRow]:
        """The rows that hold here now, by scope: zones that were left out come back in steps."""
        if self.plan is None:
            return {}
        left_out = self._excluded(now) | self.plan.closed_zones.keys() | self.empty_zones
        returning = {
            zone: now - exclusion.until
            for zone, exclusion in self.exclusions.items()
            if zone not in left_out and now - exclusion.until < RAMP_US
        }
        return {scope: self._ramped_row(scope, left_out, returning) for scope in SCOPES}

    def row_without(self, scope: str, left_out: Iterable[str]) -> WeightRow:
        """One row, without the zones that are left out here.

        What went to them stays in the own zone, where it finds room or is rejected: given to the others in
        the row it would bring them over what was planned for them.
        """
        if self.plan is None:
            return {}
        left_out = set(left_out)
        row, own = self.plan.weights.get(scope, {}), self.plan.zone
        missing = sorted(left_out & row.keys(), key=lambda zone: (zone != own, zone))
        if missing:
            row = self.plan.fallback_weights.get(missing[0], {}).get(scope, row)
        kept = {zone: weight for zone, weight in row.items() if zone not in left_out and zone != own}
        local = WHOLE - sum(kept.values())
        return kept | {own: local} if local else kept

    def _excluded(self, now: int) -> set[str]:
        return {zone for zone, exclusion in self.exclusions.items() if now < exclusion.until}

    def _exclude_unreached(
        self, now: int, observations: Mapping[str, LocationObservation], streaks: Mapping[str, int]
    ) -> None:
        for zone, one in observations.items():
            mostly = one.attempts >= MIN_ATTEMPTS and share_of(one.unreached, one.attempts) >= UNREACHED_SHARE
            if "/" in zone or not (mostly or streaks.get(zone, 0) >= UNREACHED_STREAK):
                continue
            exclusion = self.exclusions.get(zone)
            if exclusion is None or now - exclusion.until > CALM_US:
                self.exclusions[zone] = ZoneExclusion(now + EXCLUSION_US)
            elif now >= exclusion.until:
                exclusion.times += 1
                exclusion.until = now + min(MAX_EXCLUSION_US, EXCLUSION_US << (exclusion.times - 1))

    def _ramped_row(self, scope: str, left_out: set[str], returning: Mapping[str, int]) -> WeightRow:
        """The row between that without the zones that come back and that with them, by time since (us)."""
        row = self.row_without(scope, left_out)
        coming = {zone: since for zone, since in returning.items() if row.get(zone, 0) > PROBE_WEIGHT}
        if not coming:
            return row
        part = min(coming.values())
        without = self.row_without(scope, left_out | coming.keys())
        zones = row.keys() | without.keys()
        return normalized(
            {zone: row.get(zone, 0) * part + without.get(zone, 0) * (RAMP_US - part) for zone in zones}
        )
