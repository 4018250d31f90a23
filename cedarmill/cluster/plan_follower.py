"""A node's use of the traffic plan: the weights for its requests, adjusted by its own observations.

The node follows the plan with the newest epoch. A zone of the plan that the node cannot reach is reported and
excluded on this node only: the fallback weights for the loss of that zone apply, and any weight that they put
on excluded zones goes to the node's own zone. The node sends nothing to zones that no agreed row contains, so
nodes that all lose one zone do not overload another. Times are microseconds; no I/O.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.digest import SCOPES, WHOLE, LocationObservation, share_of
from cedarmill.cluster.observations.verdicts import MIN_ATTEMPTS, UNREACHED_SHARE
from cedarmill.cluster.traffic_plan.planner import PROBE_WEIGHT
from cedarmill.cluster.traffic_plan.state import WeightRow
from cedarmill.cluster.traffic_plan.weights import normalized

EXCLUSION_US = 5_000_000  # duration of a first exclusion; doubles with each consecutive one
MAX_EXCLUSION_US = 80_000_000
UNREACHED_STREAK = 6  # attempts in a row without a connection; detects a loss sooner than the unreached share
EXCLUSION_RESET_US = 30_000_000  # time without an exclusion after which the duration starts over
RETURN_RAMP_US = 10_000_000  # time until a returning zone has its full weight; its executors may be cold


@dataclass(slots=True)
class ZoneExclusion:
    """The exclusion of a zone: its end (us), and the number of consecutive exclusions."""

    ends_at: int
    times: int = 1


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """The weights by which a node sends requests, and the zones that it avoids."""

    epoch: int = 0  # of the plan
    weights: dict[str, WeightRow] = field(default_factory=dict)  # by scope
    unreachable_zones: tuple[str, ...] = ()  # zones of the plan that the node excludes
    closed_zones: tuple[str, ...] = ()  # zones that the plan closes


class PlanFollower:
    """Applies the traffic plan on one node and excludes zones that the node cannot reach."""

    def __init__(self) -> None:
        self.plan: RouteWeights | None = None
        self.exclusions: dict[str, ZoneExclusion] = {}
        self.empty_zones: frozenset[str] = frozenset()  # zones without a listed executor

    def accept_plan(self, plan: RouteWeights | None) -> bool:
        """Switch to a plan unless it is missing or older than the current one; return whether it is used."""
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
        """Return the routing decision for the plan and the node's observations; empty without a plan."""
        if self.plan is None:
            return RoutingDecision()
        self._exclude_unreached(now, observations, unreached_streaks or {})
        self.empty_zones = frozenset(empty_zones)
        named = {zone for row in self.plan.weights.values() for zone in row}
        excluded = self._excluded(now) | self.empty_zones
        return RoutingDecision(
            self.plan.epoch,
            self.weights(now),
            tuple(sorted(named & excluded)),
            tuple(sorted(self.plan.closed_zones)),
        )

    def weights(self, now: int) -> dict[str, WeightRow]:
        """Return the current rows by scope; zones return gradually after an exclusion."""
        if self.plan is None:
            return {}
        excluded = self._excluded(now) | self.plan.closed_zones.keys() | self.empty_zones
        returning = {
            zone: now - exclusion.ends_at
            for zone, exclusion in self.exclusions.items()
            if zone not in excluded and now - exclusion.ends_at < RETURN_RAMP_US
        }
        return {scope: self._ramped_row(scope, excluded, returning) for scope in SCOPES}

    def row_without(self, scope: str, excluded: Iterable[str]) -> WeightRow:
        """Return the row of a scope without the excluded zones.

        Their weight goes to the node's own zone, which serves or rejects the requests: the other zones of the
        row would get more than the plan gives them.
        """
        if self.plan is None:
            return {}
        excluded = set(excluded)
        row, own_zone = self.plan.weights.get(scope, {}), self.plan.zone
        named_excluded = sorted(excluded & row.keys(), key=lambda zone: (zone != own_zone, zone))
        if named_excluded:
            row = self.plan.fallback_weights.get(named_excluded[0], {}).get(scope, row)
        remaining = {
            zone: weight for zone, weight in row.items() if zone not in excluded and zone != own_zone
        }
        local_weight = WHOLE - sum(remaining.values())
        return remaining | {own_zone: local_weight} if local_weight else remaining

    def _excluded(self, now: int) -> set[str]:
        return {zone for zone, exclusion in self.exclusions.items() if now < exclusion.ends_at}

    def _exclude_unreached(
        self, now: int, observations: Mapping[str, LocationObservation], streaks: Mapping[str, int]
    ) -> None:
        for zone, observation in observations.items():
            is_mostly_unreached = (
                observation.attempts >= MIN_ATTEMPTS
                and share_of(observation.unreached, observation.attempts) >= UNREACHED_SHARE
            )
            if "/" in zone or not (is_mostly_unreached or streaks.get(zone, 0) >= UNREACHED_STREAK):
                continue
            exclusion = self.exclusions.get(zone)
            if exclusion is None or now - exclusion.ends_at > EXCLUSION_RESET_US:
                self.exclusions[zone] = ZoneExclusion(now + EXCLUSION_US)
            elif now >= exclusion.ends_at:
                exclusion.times += 1
                exclusion.ends_at = now + min(MAX_EXCLUSION_US, EXCLUSION_US << (exclusion.times - 1))

    def _ramped_row(self, scope: str, excluded: set[str], returning: Mapping[str, int]) -> WeightRow:
        """Return the row interpolated between those without and with the returning zones.

        `returning` holds the time (us) since the end of each zone's exclusion.
        """
        row = self.row_without(scope, excluded)
        ramping = {zone: elapsed for zone, elapsed in returning.items() if row.get(zone, 0) > PROBE_WEIGHT}
        if not ramping:
            return row
        elapsed_us = min(ramping.values())
        without = self.row_without(scope, excluded | ramping.keys())
        zones = row.keys() | without.keys()
        return normalized(
            {
                zone: row.get(zone, 0) * elapsed_us + without.get(zone, 0) * (RETURN_RAMP_US - elapsed_us)
                for zone in zones
            }
        )
