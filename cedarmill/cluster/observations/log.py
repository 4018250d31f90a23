"""The observation log: one node's counts of attempts and demand over the last seconds, kept by the second."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.observations.digest import (
    WHOLE,
    LocationObservation,
    ObservationDigest,
    limit_locations,
)

BUCKET_US = 1_000_000
BUCKETS = 3  # that count: the newest and those before it
MAX_WEIGHTS = 16  # pairs of scope and priority weight in a digest

DemandKey = tuple[str, int]  # scope and priority weight (thousandths)


class LocationEstimate(NamedTuple):
    """What a node estimates of one zone's executors, or one group's; slots in thousandths."""

    executors: int
    slots: int
    slots_in_use: int


@dataclass(slots=True)
class AttemptCounts:
    """Attempts that ended, and what became of them."""

    attempts: int = 0
    failed: int = 0
    late: int = 0
    unreached: int = 0


@dataclass(slots=True)
class Bucket:
    """The counts of one second; slot times are microseconds of one slot."""

    attempts: dict[str, AttemptCounts] = field(default_factory=dict)  # by location
    demand: dict[DemandKey, int] = field(default_factory=dict)  # slot time
    served: int = 0  # slot time of requests that were served
    allotted: int = 0  # the same, had each taken all the time that it may
    admitted: int = 0  # requests that the admission level did not reject
    rejected_locally: int = 0  # of the admitted


class ObservationLog:
    """Counts of the last seconds; the oldest second falls out whole. Times: us."""

    def __init__(self, now: int) -> None:
        self.began = now
        self.sequence = 0  # of the last digest
        self._second = now // BUCKET_US
        self._buckets = [Bucket() for _ in range(BUCKETS)]  # the newest first
        self._newest_attempt: dict[str, int] = {}  # by location
        self.unreached_streaks: dict[str, int] = {}  # attempts in a row without a connection, by zone

    def record_attempt(
        self, now: int, locations: tuple[str, ...], failed: bool, late: bool, unreached: bool
    ) -> None:
        """An attempt has ended at an executor of these locations: its zone first, then its group."""
        bucket = self._bucket(now)
        for location in locations:
            counts = bucket.attempts.setdefault(location, AttemptCounts())
            counts.attempts += 1
            counts.failed += failed
            counts.late += late
            counts.unreached += unreached
            self._newest_attempt[location] = now
        zone = locations[0]
        self.unreached_streaks[zone] = self.unreached_streaks.get(zone, 0) + 1 if unreached else 0

    def record_demand(self, now: int, scope: str, slot_time: int, weight: int = 0) -> None:
        """A request has come that wants this slot time (us); `weight`: its priority weight (thousandths)."""
        demand = self._bucket(now).demand
        demand[scope, weight] = demand.get((scope, weight), 0) + slot_time

    def record_admitted(self, now: int) -> None:
        """A request has come that the admission level does not reject."""
        self._bucket(now).admitted += 1

    def record_local_rejection(self, now: int) -> None:
        """An admitted request was rejected by this node's own estimates."""
        self._bucket(now).rejected_locally += 1

    def record_served(self, now: int, slot_time: int, allotted: int = 0) -> None:
        """A request of this slot time (us) was served; `allotted`: with all the time that it may take."""
        bucket = self._bucket(now)
        bucket.served += slot_time
        bucket.allotted += allotted

    def observations(
        self, now: int, estimates: Mapping[str, LocationEstimate]
    ) -> dict[str, LocationObservation]:
        """By location: the estimates given, and the counts of the last seconds."""
        self._bucket(now)
        return {
            location: self._observation(now, location, estimate) for location, estimate in estimates.items()
        }

    def demand(self, now: int) -> dict[str, int]:
        """Slots wanted (thousandths), by scope."""
        total: dict[str, int] = {}
        for (scope, _), slots in self._demand(now).items():
            total[scope] = total.get(scope, 0) + slots
        return total

    def demand_by_weight(self, now: int) -> dict[str, dict[int, int]]:
        """Slots wanted (thousandths), by scope and priority weight; of the MAX_WEIGHTS largest only."""
        demand = self._demand(now)
        largest = sorted(demand, key=lambda key: (-demand[key], key))[:MAX_WEIGHTS]
        found: dict[str, dict[int, int]] = {}
        for scope, weight in sorted(largest):
            found.setdefault(scope, {})[weight] = demand[scope, weight]
        return found

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
        """The next digest, bounded."""
        self.sequence += 1
        demand_by_weight = self.demand_by_weight(now)
        span = self._span(now)
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
            slots_served=sum(bucket.served for bucket in self._buckets) * WHOLE // span,
            slots_allotted=sum(bucket.allotted for bucket in self._buckets) * WHOLE // span,
            admitted=sum(bucket.admitted for bucket in self._buckets),
            rejected_locally=sum(bucket.rejected_locally for bucket in self._buckets),
        )

    def _bucket(self, now: int) -> Bucket:
        """The newest bucket, after those too old have been dropped."""
        second = now // BUCKET_US
        passed = min(BUCKETS, max(0, second - self._second))
        if passed:
            self._buckets = [*(Bucket() for _ in range(passed)), *self._buckets][:BUCKETS]
            self._second = second
        return self._buckets[0]

    def _observation(self, now: int, location: str, estimate: LocationEstimate) -> LocationObservation:
        counts = [bucket.attempts[location] for bucket in self._buckets if location in bucket.attempts]
        return LocationObservation(
            *estimate,
            attempts=sum(one.attempts for one in counts),
            failed=sum(one.failed for one in counts),
            late=sum(one.late for one in counts),
            unreached=sum(one.unreached for one in counts),
            age_us=now - self._newest_attempt.get(location, self.began),
        )

    def _span(self, now: int) -> int:
        """The time that the buckets cover (us)."""
        return max(BUCKET_US, min(now - self.began, (BUCKETS - 1) * BUCKET_US + now % BUCKET_US))

    def _demand(self, now: int) -> dict[DemandKey, int]:
        """Slots wanted (thousandths), by scope and priority weight."""
        self._bucket(now)
        span = self._span(now)
        keys = sorted({key for bucket in self._buckets for key in bucket.demand})
        return {
            key: sum(bucket.demand.get(key, 0) for bucket in self._buckets) * WHOLE // span for key in keys
        }
