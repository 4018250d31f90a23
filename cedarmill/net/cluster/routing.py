"""Applies the cluster's traffic plan and admission level on a node, and reports observations of the zones.

The plan is translated into the balancer's inputs: traffic shares of the zones, the zones where a request may
run, and the executors of closed zones, which the balancer treats as draining.
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
from cedarmill.decisions.interface import REJECTIONS, Outcome
from cedarmill.log import log_event
from cedarmill.net.cluster.location_estimates import LocationEstimates
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import ClusterOptions

# The plan is combined with this node's own observations at this interval.
APPLY_INTERVAL_US = 250_000
DIGEST_INTERVAL_US = 1_000_000
# The mean run time of a class is a moving average over this number of requests.
MAX_RUN_TIME_SAMPLES = 50
UNREACHED_OUTCOMES = frozenset((Outcome.CONNECT_FAILED,))
FAILED_OUTCOMES = frozenset((Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.DROPPED))
IGNORED_OUTCOMES = frozenset(
    (Outcome.MOOT, Outcome.CANCELLED, Outcome.RECALLED, Outcome.UNUSABLE, *REJECTIONS)
)


class ClusterRouting:
    """Routes the requests of a node whose zone is configured, according to the cluster's orders.

    `lease_holds` returns whether the lease holds at a time. `spend` spends one unit of a budget, and returns
    False if none is left.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        name: str,
        zone: str,
        discovery: DiscoveryClient,
        options: ClusterOptions,
        lease_holds: Callable[[int], bool],
        spend: Callable[[int, str], bool],
    ) -> None:
        self.driver, self.zone, self.discovery, self.spend = driver, zone, discovery, spend
        self.dispatch = discovery.dispatch
        settings = self.dispatch.balancer.settings
        self.follower = PlanFollower()
        self.observations = ObservationLog(driver.now())
        self.decision = RoutingDecision()
        self._random = Random(name)
        self.next_digest_at = driver.now()
        self.estimates = LocationEstimates(discovery)
        scopes_by_subject = options.stays
        self.class_scopes = [scopes_by_subject.get(f"class:{spec.name}", "any") for spec in settings.classes]
        # Names of the budgets that hold the quotas of the tenants.
        self.quota_names = [f"{QUOTA_PREFIX}{tenant.name}" for tenant in settings.tenants]
        self.tenant_scopes = [
            scopes_by_subject.get(f"tenant:{tenant.name}", "any") for tenant in settings.tenants
        ]
        self.zones_by_scope = {scope: self._zones_in_scope(scope, None) for scope in SCOPES}
        self.gate = AdmissionGate()
        self.pending_rejections = 0  # requests rejected by the gate, with no final answer yet
        # Run times (us) by class, without waiting: with the waiting time, demand would grow with the queue.
        self.mean_run_times_us = [times.mean_us for times in self.dispatch.balancer.state.learned.class_times]
        self.run_time_samples = [0] * len(self.mean_run_times_us)  # by class
        self.lease_holds = lease_holds
        driver.timers.add(driver.now() + APPLY_INTERVAL_US, self._on_timer)

    def _zones_in_scope(self, scope: str, plan: RouteWeights | None) -> tuple[int, ...]:
        """Return the zones where a request of this scope may run; empty if all are allowed.

        Before the first plan, a request with a restricted scope stays in the node's own zone.
        """
        if scope == "any":
            return ()
        names = plan.reachable_zones.get(scope, [self.zone]) if plan is not None else [self.zone]
        numbers = self.discovery.reader.zones
        return tuple(sorted(numbers[name] for name in names if name in numbers))

    def constrain_request(self, arrival: api.RequestArrived) -> None:
        """Set the zones where a request may run, and shed it if the admission level requires that.

        The stricter scope of its class and its tenant applies.
        """
        scope = self.class_scopes[arrival.job_class]
        if arrival.tenant < len(self.tenant_scopes):
            scope = min(scope, self.tenant_scopes[arrival.tenant], key=SCOPES.index)
        now = self.driver.now()
        weight = int(self.dispatch.balancer.settings.classes[arrival.job_class].worth * 1000)
        if arrival.tenant < len(self.quota_names) and not self.spend(now, self.quota_names[arrival.tenant]):
            weight = weight * OVER_QUOTA_SHARE // WHOLE  # over its tenant's quota
        run_time_us = self.mean_run_times_us[arrival.job_class]
        self.observations.record_demand(now, scope, int(arrival.slots * run_time_us), weight)
        arrival.allowed_zones = self.zones_by_scope[scope]
        if self.gate.rejects(now, self.lease_holds(now), weight, self._random.random(), scope):
            arrival.retry_after_factor = self._random.uniform(*RETRY_AFTER_FACTORS)
            self.pending_rejections += 1
        else:
            self.observations.record_admitted(now)

    def on_rejected(self) -> None:
        """Record a rejected request as a local rejection, unless the admission gate rejected it.

        Rejections by the gate are accounted for when the request arrives.
        """
        if self.pending_rejections:
            self.pending_rejections -= 1
        else:
            self.observations.record_local_rejection(self.driver.now())

    def set_admission(self, threshold: SheddingThreshold, scoped: dict[str, SheddingThreshold]) -> None:
        """Set the priority weight below which requests are shed, in general and by scope."""
        if (self.gate.threshold, self.gate.scoped_thresholds) != (threshold, scoped):
            by_scope = ", ".join(
                f"{scope} {limit.weight / 1000:g}" for scope, limit in sorted(scoped.items())
            )
            log_event(
                "admission-level-followed",
                rejected_share=f"{threshold.share / 10:g}%",
                priority_weight=f"{threshold.weight / 1000:g}" if threshold.weight >= 0 else "nothing",
                scoped=by_scope or "nothing",
            )
        self.gate.set_thresholds(threshold, scoped)

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Record the outcome of an attempt as an observation of the executor's zone and kind."""
        entry = self.discovery.entries.get(attempt.executor)
        if entry is None or attempt.outcome in IGNORED_OUTCOMES:
            return
        zone = self.estimates.zone_names.get(entry.zone, "")
        kind = self.estimates.kind_names.get(entry.kind, "")
        locations = (zone, f"{zone}/{kind}") if kind else (zone,)
        spec = attempt.request.spec
        late = attempt.outcome == Outcome.OK and now > attempt.request.objective_due
        self.observations.record_attempt(
            now, locations, attempt.outcome in FAILED_OUTCOMES, late, attempt.outcome in UNREACHED_OUTCOMES
        )
        if attempt.outcome == Outcome.OK:
            self._update_run_time(now, attempt)
            claim = attempt.request.claim
            slot_time = int(claim.slots * self.mean_run_times_us[claim.job_class])
            self.observations.record_served(now, slot_time, int(claim.slots * spec.aim_us))
        if (
            self.follower.plan is not None
            and self.observations.unreached_streaks.get(zone, 0) == UNREACHED_STREAK
            and zone not in self.decision.unreachable_zones
        ):
            self.apply_plan()  # without waiting for the timer

    def _update_run_time(self, now: int, attempt: Attempt) -> None:
        """Update the mean run time of a class from an attempt whose executor had a free slot at its end.

        Until the first such attempt, the shortest run time of any attempt is used.
        """
        index = attempt.request.claim.job_class
        executor, run_time_us = self.dispatch.balancer.executors.get(attempt.executor), now - attempt.sent_at
        if (
            executor is not None
            and executor.last_response_at
            and executor.capacity - executor.held_slots >= 1.0
        ):
            self.run_time_samples[index] = min(self.run_time_samples[index] + 1, MAX_RUN_TIME_SAMPLES)
            difference = run_time_us - self.mean_run_times_us[index]
            self.mean_run_times_us[index] += difference / self.run_time_samples[index]
        elif not self.run_time_samples[index]:
            self.mean_run_times_us[index] = min(self.mean_run_times_us[index], run_time_us)

    # Reports.

    def digest(self, was_suspended: bool) -> ObservationDigest | None:
        """Return the digest of this node's observations if one is due, else None."""
        now = self.driver.now()
        if now < self.next_digest_at or not self.zone:
            return None
        self.next_digest_at = now + DIGEST_INTERVAL_US
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
            was_suspended,
            int(1000 * slots_in_flight),
        )

    # The plan.

    def set_plan(self, plan: RouteWeights | None) -> None:
        """Replace the plan, unless this one is older, and apply it."""
        if not self.follower.accept_plan(plan):
            return
        for scope in SCOPES:
            self.zones_by_scope[scope] = self._zones_in_scope(scope, plan)
        self.apply_plan()

    def _on_timer(self, now: int) -> None:
        self.driver.timers.add(now + APPLY_INTERVAL_US, self._on_timer)
        if self.follower.plan is not None:
            self.apply_plan()

    def apply_plan(self) -> None:
        """Decide the routing by the plan and this node's observations, and pass changes to the balancer."""
        now = self.driver.now()
        locations = self.estimates.estimate(now)
        empty = set(self.discovery.reader.zones) - locations.keys()
        observed = self.observations.observations(now, locations)
        streaks = self.observations.unreached_streaks
        previous, self.decision = self.decision, self.follower.decide(now, observed, empty, streaks)
        for zone in self.decision.unreachable_zones:  # restart the count for the next trial
            streaks.pop(zone, None)
        if self.decision.closed_zones or previous.closed_zones:
            self._hide_executors(self.decision.closed_zones)
        if self.decision.weights != previous.weights:
            self._set_zone_shares(now)
        if _logged_fields(self.decision) != _logged_fields(previous):
            self._log_decision()

    def _set_zone_shares(self, now: int) -> None:
        numbers = self.discovery.reader.zones
        shares = {
            self.zones_by_scope[scope]: {
                numbers[zone]: share / 1000 for zone, share in self.decision.weights[scope].items()
            }
            for scope in reversed(SCOPES)
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

    def _hide_executors(self, zones: tuple[str, ...]) -> None:
        """Exclude all executors of these zones from selection."""
        names = self.discovery.reader.names_by_number
        hidden = {
            names[number]
            for number, entry in self.discovery.entries.items()
            if self.estimates.zone_names.get(entry.zone) in zones
        }
        if hidden != self.discovery.hidden_executors:
            self.discovery.set_hidden_executors(hidden)

    def drained_zones(self, busy: set[int]) -> dict[str, int]:
        """Return the permit epochs of closed zones without requests of this node in flight, by zone."""
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


def _logged_fields(decision: RoutingDecision) -> tuple[object, ...]:
    """Return the fields of a decision whose changes are logged."""
    return decision.epoch, decision.closed_zones, decision.unreachable_zones
