"""A node's traffic to the zones: what it reports of them, and how the cluster's plan reaches the balancer.

The plan becomes what the balancer takes: shares of zones, the zones in which a request may run, and executors
of a closed zone, which drain as the balancer sees it.
"""

from collections.abc import Callable
from random import Random

from cedarmill.cluster.admission_level.gate import OVER_QUOTA_SHARE, RETRY_AFTER_FACTORS, AdmissionGate
from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.budget_lease import QUOTA_PREFIX
from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.digest import SCOPES, WHOLE, ObservationDigest
from cedarmill.cluster.observations.log import ObservationLog
from cedarmill.cluster.plan_follower import UNREACHED_STREAK, PlanFollower, RoutingDecision
from cedarmill.core.requests import Attempt
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.net.cluster.location_estimates import LocationEstimates
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import ClusterOptions

LOOK_US = 250_000  # between two looks at what the plan and this node's own observations come to
DIGEST_US = 1_000_000  # between two digests
MEAN_OVER = 50  # requests over which a class's running time is the mean
UNREACHED = frozenset((Outcome.CONNECT_FAILED,))  # never arrived
FAILED = frozenset((Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.DROPPED))
NO_EVIDENCE = frozenset((Outcome.MOOT, Outcome.CANCELLED, Outcome.UNUSABLE, Outcome.FULL))


class ClusterRouting:
    """One node's; made where its zone has a name.

    `holds` says whether the lease holds at a time, `spend` takes one of a budget, False where it is used up.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        name: str,
        zone: str,
        discovery: DiscoveryClient,
        options: ClusterOptions,
        holds: Callable[[int], bool],
        spend: Callable[[int, str], bool],
    ) -> None:
        self.driver, self.zone, self.discovery, self.spend = driver, zone, discovery, spend
        self.dispatch = discovery.dispatch
        settings = self.dispatch.balancer.settings
        self.follower = PlanFollower()
        self.observations = ObservationLog(driver.now())
        self.decision = RoutingDecision()
        self._random = Random(name)
        self.digest_at = driver.now()
        self.estimates = LocationEstimates(discovery)
        stays = options.stays
        self.class_bounds = [stays.get(f"class:{spec.name}", "any") for spec in settings.classes]
        # Budgets, where one is set.
        self.quotas = [f"{QUOTA_PREFIX}{tenant.name}" for tenant in settings.tenants]
        self.tenant_bounds = [stays.get(f"tenant:{tenant.name}", "any") for tenant in settings.tenants]
        self.zones_of_bound = {bound: self._zones_of_bound(bound, None) for bound in SCOPES}
        self.gate = AdmissionGate()
        self.shed = 0  # requests that the gate rejects, and whose answer has not been counted yet
        # us that a request of a class runs where it does not wait: else demand would grow with the queue
        self.run_times_us = [times.mean_us for times in self.dispatch.balancer.state.learned.class_times]
        self.counted_runs = [0] * len(self.run_times_us)  # requests in that mean
        self.holds = holds
        driver.timers.add(driver.now() + LOOK_US, self._on_time)

    def _zones_of_bound(self, bound: str, plan: RouteWeights | None) -> tuple[int, ...]:
        """Zones in which such a request may run; before a plan has come, a bound one stays here."""
        if bound == "any":
            return ()
        names = plan.reachable_zones.get(bound, [self.zone]) if plan is not None else [self.zone]
        numbers = self.discovery.reader.zones
        return tuple(sorted(numbers[name] for name in names if name in numbers))

    def constrain_request(self, arrival: api.RequestArrived) -> None:
        """Set where a request may run, by its class or tenant, the stricter, and whether it is shed."""
        bound = self.class_bounds[arrival.job_class]
        if arrival.tenant < len(self.tenant_bounds):
            bound = min(bound, self.tenant_bounds[arrival.tenant], key=SCOPES.index)
        now = self.driver.now()
        weight = int(self.dispatch.balancer.settings.classes[arrival.job_class].worth * 1000)
        if arrival.tenant < len(self.quotas) and not self.spend(now, self.quotas[arrival.tenant]):
            weight = weight * OVER_QUOTA_SHARE // WHOLE  # beyond its tenant's quota over the cluster
        run_time_us = self.run_times_us[arrival.job_class]
        self.observations.record_demand(now, bound, int(arrival.slots * run_time_us), weight)
        arrival.allowed_zones = self.zones_of_bound[bound]
        if self.gate.rejects(now, self.holds(now), weight, self._random.random(), bound):
            arrival.retry_after_factor = self._random.uniform(*RETRY_AFTER_FACTORS)
            self.shed += 1
        else:
            self.observations.record_admitted(now)

    def on_refused(self) -> None:
        """A request was refused: by the gate, which was counted as it came, or by this node itself."""
        if self.shed:
            self.shed -= 1
        else:
            self.observations.record_local_rejection(self.driver.now())

    def set_admission(self, threshold: SheddingThreshold, scoped: dict[str, SheddingThreshold]) -> None:
        """The cluster's admission level: the priority weight below which requests are shed, also by scope."""
        if (self.gate.threshold, self.gate.scoped_thresholds) != (threshold, scoped):
            by_scope = ", ".join(f"{bound} {cut.weight / 1000:g}" for bound, cut in sorted(scoped.items()))
            log_event(
                "admission-level-followed",
                rejected_share=f"{threshold.share / 10:g}%",
                priority_weight=f"{threshold.weight / 1000:g}" if threshold.weight >= 0 else "nothing",
                scoped=by_scope or "nothing",
            )
        self.gate.set_thresholds(threshold, scoped)

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """An attempt has its outcome: what it says of the executor's zone."""
        entry = self.discovery.entries.get(attempt.executor)
        if entry is None or attempt.outcome in NO_EVIDENCE:
            return
        zone = self.estimates.zone_names.get(entry.zone, "")
        kind = self.estimates.kind_names.get(entry.kind, "")
        places = (zone, f"{zone}/{kind}") if kind else (zone,)
        spec = attempt.request.spec
        late = attempt.outcome == Outcome.OK and now > attempt.request.objective_due
        self.observations.record_attempt(
            now, places, attempt.outcome in FAILED, late, attempt.outcome in UNREACHED
        )
        if attempt.outcome == Outcome.OK:
            self._learn_run_time(now, attempt)
            claim = attempt.request.claim
            slot_time = int(claim.slots * self.run_times_us[claim.job_class])
            self.observations.record_served(now, slot_time, int(claim.slots * spec.aim_us))
        if (
            self.follower.plan is not None
            and self.observations.unreached_streaks.get(zone, 0) == UNREACHED_STREAK
            and zone not in self.decision.unreachable_zones
        ):
            self.apply()  # at once, not at the next look

    def _learn_run_time(self, now: int, attempt: Attempt) -> None:
        """How long it ran, where its executor had a slot free as it ended; until one had, the shortest."""
        index = attempt.request.claim.job_class
        executor, run_time_us = self.dispatch.balancer.executors.get(attempt.executor), now - attempt.sent_at
        if (
            executor is not None
            and executor.last_response_at
            and executor.capacity - executor.held_slots >= 1.0
        ):
            self.counted_runs[index] = min(self.counted_runs[index] + 1, MEAN_OVER)
            difference = run_time_us - self.run_times_us[index]
            self.run_times_us[index] += difference / self.counted_runs[index]
        elif not self.counted_runs[index]:
            self.run_times_us[index] = min(self.run_times_us[index], run_time_us)

    # Reports.

    def digest(self, doubts: bool) -> ObservationDigest | None:
        """Once in a while; None in between."""
        now = self.driver.now()
        if now < self.digest_at or not self.zone:
            return None
        self.digest_at = now + DIGEST_US
        observed = self.observations.observations(now, self.estimates.estimate(now))
        slots_in_flight: float = sum(
            attempt.request.slots
            for executor in self.dispatch.balancer.executors.values()
            for attempt in executor.attempts.values()
        )
        return self.observations.make_digest(
            now,
            self.zone,
            observed,
            self.decision.epoch,
            self.decision.unreachable_zones,
            doubts,
            int(1000 * slots_in_flight),
        )

    # The plan.

    def follow(self, plan: RouteWeights | None) -> None:
        """A plan has come."""
        if not self.follower.accept_plan(plan):
            return
        for bound in SCOPES:
            self.zones_of_bound[bound] = self._zones_of_bound(bound, plan)
        self.apply()

    def _on_time(self, now: int) -> None:
        self.driver.timers.add(now + LOOK_US, self._on_time)
        if self.follower.plan is not None:
            self.apply()

    def apply(self) -> None:
        """By the plan and by what this node observes: tell the balancer what has changed."""
        now = self.driver.now()
        locations = self.estimates.estimate(now)
        empty = set(self.discovery.reader.zones) - locations.keys()
        observed = self.observations.observations(now, locations)
        streaks = self.observations.unreached_streaks
        before, self.decision = self.decision, self.follower.decide(now, observed, empty, streaks)
        for zone in self.decision.unreachable_zones:  # counted anew once it is tried again
            streaks.pop(zone, None)
        if self.decision.closed_zones or before.closed_zones:
            self._hide(self.decision.closed_zones)
        if self.decision.weights != before.weights:
            self._set_zone_shares(now)
        if _shown(self.decision) != _shown(before):
            self._log_decision()

    def _set_zone_shares(self, now: int) -> None:
        numbers = self.discovery.reader.zones
        shares = {
            self.zones_of_bound[bound]: {
                numbers[zone]: share / 1000 for zone, share in self.decision.weights[bound].items()
            }
            for bound in reversed(SCOPES)
        }
        self.dispatch.set_zone_shares(now, shares)

    def _log_decision(self) -> None:
        weights = sorted(self.decision.weights["any"].items())
        log_event(
            "traffic-plan-followed",
            epoch=self.decision.epoch,
            shares=", ".join(f"{zone} {share / 10:g}%" for zone, share in weights) or "nothing",
            unreachable_zones=", ".join(self.decision.unreachable_zones) or "nothing",
        )

    def _hide(self, zones: tuple[str, ...]) -> None:
        """Executors of these zones get nothing, whatever the plan and this node's observations come to."""
        names = self.discovery.reader.names_by_number
        hidden = {
            names[number]
            for number, entry in self.discovery.entries.items()
            if self.estimates.zone_names.get(entry.zone) in zones
        }
        if hidden != self.discovery.hidden_executors:
            self.discovery.set_hidden_executors(hidden)

    def drained_zones(self, busy: set[int]) -> dict[str, int]:
        """Zones that are closed and have nothing of ours, and the epochs of their permits."""
        if self.follower.plan is None:
            return {}
        entries = self.discovery.entries.items()
        in_use = {
            self.estimates.zone_names.get(entry.zone, "") for number, entry in entries if number in busy
        }
        return {
            zone: epoch
            for zone, epoch in self.follower.plan.closed_zones.items()
            if zone in self.decision.closed_zones and zone not in in_use
        }


def _shown(decision: RoutingDecision) -> tuple[object, ...]:
    """What the log says of a decision."""
    return decision.epoch, decision.closed_zones, decision.unreachable_zones
