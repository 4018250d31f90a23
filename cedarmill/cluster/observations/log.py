"""The observation log: a node's counts of attempts and demand over the last few seconds."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.observations.digest import (
    WHOLE,
    LocationObservation,
    ObservationDigest,
    limit_locations,
)

BUCKET_US = 1_000_000  # time covered by one bucket
BUCKET_COUNT = 3  # retained, including the current one
MAX_WEIGHTS = 16  # pairs of scope and priority weight in one digest

DemandKey = tuple[str, int]  # scope and priority weight (thousandths)


class LocationEstimate(NamedTuple):
    """A node's estimates for the executors of one zone or executor group; slots are in thousandths."""

    executors: int
    slots: int
    slots_in_use: int


@dataclass(slots=True)
class AttemptCounts:
    """Counts of ended attempts by outcome."""

    attempts: int = 0
    failed: int = 0
    late: int = 0
    unreached: int = 0


@dataclass(slots=True)
class Bucket:
    """Counts for one second; slot time is in microseconds of one slot."""

    attempts: dict[str, AttemptCounts] = field(default_factory=dict)  # by location
    demand: dict[DemandKey, int] = field(default_factory=dict)  # slot time
    served_slot_time: int = 0  # of requests that were served
    allotted_slot_time: int = 0  # of the same requests if each had run for all the time allotted to it
    admitted: int = 0  # requests not rejected by the admission level
    rejected_locally: int = 0  # admitted requests rejected by the node's own estimates


class ObservationLog:
    """Counts attempts and demand of the last few seconds in one-second buckets. Times are microseconds."""

    def __init__(self, now: int) -> None:
        self.started_at = now
        self.sequence = 0  # of the newest digest
        self._second = now // BUCKET_US
        self._buckets = [Bucket() for _ in range(BUCKET_COUNT)]  # newest first
        self._last_attempt_at: dict[str, int] = {}  # by location
        self.unreached_streaks: dict[str, int] = {}  # consecutive attempts without a connection, by zone

    def record_attempt(
        self, now: int, locations: tuple[str, ...], failed: bool, late: bool, unreached: bool
    ) -> None:
        """Record an ended attempt at an executor of these locations: the zone first, then the group."""
        bucket = self._current_bucket(now)
        for location in locations:
            counts = bucket.attempts.setdefault(location, AttemptCounts())
            counts.attempts += 1
            counts.failed += failed
            counts.late += late
            counts.unreached += unreached
            self._last_attempt_at[location] = now
        zone = locations[0]
        self.unreached_streaks[zone] = self.unreached_streaks.get(zone, 0) + 1 if unreached else 0

    def record_demand(self, now: int, scope: str, slot_time: int, weight: int = 0) -> None:
        """Record the slot time that an incoming request needs and its priority weight (thousandths)."""
        demand = self._current_bucket(now).demand
        demand[scope, weight] = demand.get((scope, weight), 0) + slot_time

    def record_admitted(self, now: int) -> None:
        """Record an incoming request that the admission level does not reject."""
        self._current_bucket(now).admitted += 1

    def record_local_rejection(self, now: int) -> None:
        """Record an admitted request that this node rejects by its own estimates."""
        self._current_bucket(now).rejected_locally += 1

    def record_served(self, now: int, slot_time: int, allotted_slot_time: int = 0) -> None:
        """Record a served request's slot time, and its slot time over all of its allotted time."""
        bucket = self._current_bucket(now)
        bucket.served_slot_time += slot_time
        bucket.allotted_slot_time += allotted_slot_time

    def observations(
        self, now: int, estimates: Mapping[str, LocationEstimate]
    ) -> dict[str, LocationObservation]:
        """Return the given estimates combined with the recent counts, by location."""
        self._current_bucket(now)
        return {
            location: self._observe_location(now, location, estimate)
            for location, estimate in estimates.items()
        }

    def demand(self, now: int) -> dict[str, int]:
        """Return the requested slots (thousandths) by scope."""
        by_scope: dict[str, int] = {}
        for (scope, _), slots in self._demand_by_key(now).items():
            by_scope[scope] = by_scope.get(scope, 0) + slots
        return by_scope

    def demand_by_weight(self, now: int) -> dict[str, dict[int, int]]:
        """Return the requested slots (thousandths) of the MAX_WEIGHTS largest scopes and priority weights."""
        demand = self._demand_by_key(now)
        largest = sorted(demand, key=lambda key: (-demand[key], key))[:MAX_WEIGHTS]
        by_scope: dict[str, dict[int, int]] = {}
        for scope, weight in sorted(largest):
            by_scope.setdefault(scope, {})[weight] = demand[scope, weight]
        return by_scope

    def make_digest(
        self,
        now: int,
        zone: str,
        observations: Mapping[str, LocationObservation],
        plan_epoch: int,
        unreachable_zones: tuple[str, ...],
        unreliable: bool,
        slots_occupied: int = 0,
    ) -> ObservationDigest:
        """Return the next digest, limited in size."""
        self.sequence += 1
        demand_by_weight = self.demand_by_weight(now)
        covered_us = self._covered_time(now)
        return ObservationDigest(
            self.sequence,
            zone,
            self.demand(now),
            limit_locations(observations),
            plan_epoch,
            list(unreachable_zones),
            unreliable,
            demand_by_weight,
            slots_occupied,
            slots_served=sum(bucket.served_slot_time for bucket in self._buckets) * WHOLE // covered_us,
            slots_allotted=sum(bucket.allotted_slot_time for bucket in self._buckets) * WHOLE // covered_us,
            admitted=sum(bucket.admitted for bucket in self._buckets),
            rejected_locally=sum(bucket.rejected_locally for bucket in self._buckets),
        )

    def _current_bucket(self, now: int) -> Bucket:
        """Return the bucket of the current second, after dropping expired buckets."""
        second = now // BUCKET_US
        elapsed_buckets = min(BUCKET_COUNT, max(0, second - self._second))
        if elapsed_buckets:
            self._buckets = [*(Bucket() for _ in range(elapsed_buckets)), *self._buckets][:BUCKET_COUNT]
            self._second = second
        return self._buckets[0]

    def _observe_location(self, now: int, location: str, estimate: LocationEstimate) -> LocationObservation:
        counts = [bucket.attempts[location] for bucket in self._buckets if location in bucket.attempts]
        return LocationObservation(
            *estimate,
            attempts=sum(bucket_counts.attempts for bucket_counts in counts),
            failed=sum(bucket_counts.failed for bucket_counts in counts),
            late=sum(bucket_counts.late for bucket_counts in counts),
            unreached=sum(bucket_counts.unreached for bucket_counts in counts),
            age_us=now - self._last_attempt_at.get(location, self.started_at),
        )

    def _covered_time(self, now: int) -> int:
        """Return the time covered by the buckets in microseconds."""
        return max(BUCKET_US, min(now - self.started_at, (BUCKET_COUNT - 1) * BUCKET_US + now % BUCKET_US))

    def _demand_by_key(self, now: int) -> dict[DemandKey, int]:
        """Return the requested slots (thousandths) by scope and priority weight."""
        self._current_bucket(now)
        covered_us = self._covered_time(now)
        keys = sorted({key for bucket in self._buckets for key in bucket.demand})
        return {
            key: sum(bucket.demand.get(key, 0) for bucket in self._buckets) * WHOLE // covered_us
            for key in keys
        }
