"""A node's lanes to the zones: what it tells of them, and how the fleet's plan of traffic reaches the module.

The plan becomes what the module takes: shares of zones, the zones in which a request may run, and executors
of a zone that is shut, which drain to the module.
"""

from collections.abc import Callable
from random import Random

from cedarmill.cluster.admission_level.gate import OVER_QUOTA_SHARE, RETRY_AFTER_FACTORS, AdmissionGate
from cedarmill.cluster.budget_lease import QUOTA_PREFIX
from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.digest import SCOPES, WHOLE, ObservationDigest
from cedarmill.cluster.observations.log import LocationEstimate, ObservationLog
from cedarmill.cluster.plan_follower import UNREACHED_STREAK, PlanFollower, RoutingDecision
from cedarmill.core.requests import Attempt
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import ClusterOptions

LOOK_US = 250_000  # between two looks at what the plan and this node's own sight come to
DIGEST_US = 1_000_000  # between two digests
QUIET = 50  # jobs over which a class's running time is the mean
LOST = frozenset((Outcome.CONNECT_FAILED,))  # never arrived
FAILED = frozenset((Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.DROPPED))
NO_SIGN = frozenset((Outcome.MOOT, Outcome.CANCELLED, Outcome.UNUSABLE, Outcome.FULL))


class ClusterRouting:
    """One node's; made where its fleet plans zones."""

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
        self.sights = ObservationLog(driver.now())
        self.use = RoutingDecision()
        self.dice = Random(name)
        self.digest_at = driver.now()
        self.zone_names: dict[int, str] = {}
        self.kind_names: dict[int, str] = {}
        self._learn_names()
        stays = options.stays
        self.class_bounds = [stays.get(f"class:{spec.name}", "any") for spec in settings.classes]
        # Budgets, where one is set.
        self.quotas = [f"{QUOTA_PREFIX}{tenant.name}" for tenant in settings.tenants]
        self.tenant_bounds = [stays.get(f"tenant:{tenant.name}", "any") for tenant in settings.tenants]
        self.homes = {bound: self._homes(bound, None) for bound in SCOPES}
        self.gate = AdmissionGate()
        self.cut = 0  # reqs that a cut refuses, and whose answer has not been told yet
        # us that a job of a class runs where it does not wait: else demand would grow with the queue
        self.runs = [times.mean_us for times in self.dispatch.balancer.state.learned.class_times]
        self.quiet = [0] * len(self.runs)  # jobs that said so
        self.holds = holds
        driver.timers.add(driver.now() + LOOK_US, self._again)

    def _homes(self, bound: str, way: RouteWeights | None) -> tuple[int, ...]:
        """Zones in which such a req may run; before a plan has come, one that may not go far stays here."""
        if bound == "any":
            return ()
        names = way.reachable_zones.get(bound, [self.zone]) if way is not None else [self.zone]
        numbers = self.discovery.reader.zones
        return tuple(sorted(numbers[name] for name in names if name in numbers))

    def _learn_names(self) -> None:
        """Discovery may list zones and kinds that the settings do not name."""
        reader = self.discovery.reader
        self.zone_names = {number: name for name, number in reader.zones.items()}
        self.kind_names = {number: name for name, number in reader.kinds.items()}

    def place_request(self, job: api.RequestArrived) -> None:
        """Set where a request may run, by its class or tenant, the stricter, and whether it is cut."""
        bound = self.class_bounds[job.job_class]
        if job.tenant < len(self.tenant_bounds):
            bound = min(bound, self.tenant_bounds[job.tenant], key=SCOPES.index)
        brain, now = self.dispatch.balancer, self.driver.now()
        rank = int(brain.settings.classes[job.job_class].worth * 1000)
        if job.tenant < len(self.quotas) and not self.spend(now, self.quotas[job.tenant]):
            rank = rank * OVER_QUOTA_SHARE // WHOLE  # beyond its tenant's quota over the fleet
        self.sights.record_demand(now, bound, int(job.slots * self.runs[job.job_class]), rank)
        job.homes = self.homes[bound]
        if self.gate.rejects(now, self.holds(now), rank, self.dice.random(), bound):
            job.cut = self.dice.uniform(*RETRY_AFTER_FACTORS)
            self.cut += 1
        else:
            self.sights.record_admitted(now)

    def refused(self) -> None:
        """A request was refused: by a cut, which was counted as it came, or by this node's own sight."""
        if self.cut:
            self.cut -= 1
        else:
            self.sights.record_local_rejection(self.driver.now())

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """An attempt has its outcome: what it says of the executor's zone."""
        entry = self.discovery.entries.get(attempt.executor)
        if entry is None or attempt.outcome in NO_SIGN:
            return
        zone = self.zone_names.get(entry.zone, "")
        kind = self.kind_names.get(entry.kind, "")
        places = (zone, f"{zone}/{kind}") if kind else (zone,)
        spec = attempt.request.spec
        late = attempt.outcome == Outcome.OK and now > attempt.request.objective_due
        self.sights.record_attempt(now, places, attempt.outcome in FAILED, late, attempt.outcome in LOST)
        if attempt.outcome == Outcome.OK:
            self._ran(now, attempt)
            claim = attempt.request.claim
            slot_time = int(claim.slots * self.runs[claim.job_class])
            self.sights.record_served(now, slot_time, int(claim.slots * spec.aim_us))
        way = self.follower.plan
        if (
            way is not None
            and self.sights.unreached_streaks.get(zone, 0) == UNREACHED_STREAK
            and zone not in self.use.unreachable_zones
        ):
            self.look()  # at once, not at the next look

    def _ran(self, now: int, attempt) -> None:
        """How long it ran, where its executor had a slot free as it ended; till one had, the shortest."""
        index = attempt.request.claim.job_class
        worker, ran = self.dispatch.balancer.executors.get(attempt.executor), now - attempt.sent_at
        if worker is not None and worker.heard_at and worker.capacity - worker.held_slots >= 1.0:
            self.quiet[index] = min(self.quiet[index] + 1, QUIET)
            self.runs[index] += (ran - self.runs[index]) / self.quiet[index]
        elif not self.quiet[index]:
            self.runs[index] = min(self.runs[index], ran)

    # What is told.

    def places(self) -> dict[str, LocationEstimate]:
        """Beliefs of each zone and group: executors that may be sent to, their slots, and those in use."""
        brain, now = self.dispatch.balancer, self.driver.now()
        self._learn_names()
        kinds = self.kind_names
        sums: dict[str, list[int]] = {}
        heard = [worker.slots for worker in brain.executors.values() if worker.listed and worker.heard_at]
        usual = sum(heard) / len(heard) if heard else 1.0  # of executors that have told nothing yet
        for number, entry in self.discovery.entries.items():
            name = self.discovery.reader.names[number]
            if entry.state != api.ExecutorState.READY or name in self.discovery.excluded:
                continue
            worker = brain.executors.get(number)
            if worker is None or not worker.heard_at:
                slots = usual
            else:
                slots = max(worker.slots, brain.state.learned.slots_by_kind.get(entry.kind, 1.0))
            free = (
                max(0.0, worker.capacity - worker.held_slots)
                if worker is not None and worker.heard_at
                else slots
            )
            cold = self._cold(entry, now)
            zone = self.zone_names.get(entry.zone, "")
            for place in (zone, f"{zone}/{kinds[entry.kind]}") if entry.kind in kinds else (zone,):
                one = sums.setdefault(place, [0, 0, 0])
                one[0] += 1
                one[1] += int(1000 * slots * cold)
                one[2] += int(1000 * max(0.0, slots - free))
        return {place: LocationEstimate(*one) for place, one in sums.items()}

    def _cold(self, entry: api.EndpointEntry, now: int) -> float:
        settings = self.dispatch.balancer.settings
        age = now - entry.started_at
        if not entry.started_at or age >= settings.cold_us:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * age / settings.cold_us

    def digest(self, doubts: bool) -> ObservationDigest | None:
        """Once in a while; None in between."""
        now = self.driver.now()
        if now < self.digest_at or not self.zone:
            return None
        self.digest_at = now + DIGEST_US
        seen = self.sights.observations(now, self.places())
        brain = self.dispatch.balancer
        out = int(1000 * sum(a.request.slots for w in brain.executors.values() for a in w.attempts.values()))
        return self.sights.make_digest(
            now, self.zone, seen, self.use.epoch, self.use.unreachable_zones, doubts, out
        )

    # What is followed.

    def follow(self, way: RouteWeights | None) -> None:
        """A plan has come."""
        if not self.follower.accept_plan(way):
            return
        for bound in SCOPES:
            self.homes[bound] = self._homes(bound, way)
        self.look()

    def _again(self, now: int) -> None:
        self.driver.timers.add(now + LOOK_US, self._again)
        if self.follower.plan is not None:
            self.look()

    def look(self) -> None:
        """By the plan and by what this node sees: tell the module what has changed."""
        now = self.driver.now()
        places = self.places()
        empty = set(self.discovery.reader.zones) - places.keys()
        seen = self.sights.observations(now, places)
        before, self.use = self.use, self.follower.decide(now, seen, empty, self.sights.unreached_streaks)
        for zone in self.use.unreachable_zones:  # counted anew once it is tried again
            self.sights.unreached_streaks.pop(zone, None)
        use, numbers = self.use, self.discovery.reader.zones
        if use.closed_zones != before.closed_zones or use.closed_zones:
            self._shut(use.closed_zones)
        if use.weights != before.weights:
            rows = {
                self.homes[bound]: {numbers[z]: part / 1000 for z, part in use.weights[bound].items()}
                for bound in reversed(SCOPES)
            }
            self.dispatch.set_zone_shares(now, rows)
        if (
            use.unreachable_zones != before.unreachable_zones
            or use.closed_zones != before.closed_zones
            or use.epoch != before.epoch
        ):
            shares = ", ".join(f"{zone} {part / 10:g}%" for zone, part in sorted(use.weights["any"].items()))
            log_event(
                "traffic-plan-followed",
                epoch=use.epoch,
                shares=shares or "nothing",
                unreachable_zones=", ".join(use.unreachable_zones) or "nothing",
            )

    def _shut(self, zones: tuple[str, ...]) -> None:
        """Executors of these zones get nothing, whatever the plan and this node's sight come to."""
        names = self.discovery.reader.names
        hidden = {
            names[n]
            for n, entry in self.discovery.entries.items()
            if self.zone_names.get(entry.zone) in zones
        }
        if hidden != self.discovery.hidden:
            self.discovery.hide(hidden)

    def done(self, busy: set[int]) -> dict[str, int]:
        """Zones that are shut and have nothing of ours, and the epochs of their permits."""
        if self.follower.plan is None:
            return {}
        held = {self.zone_names.get(e.zone, "") for n, e in self.discovery.entries.items() if n in busy}
        return {
            zone: epoch
            for zone, epoch in self.follower.plan.closed_zones.items()
            if zone in self.use.closed_zones and zone not in held
        }
