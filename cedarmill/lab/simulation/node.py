"""A simulated node: it sends work to executors, spends of budgets and follows plans."""

from cedarmill.cluster.budget_lease import BudgetLeases
from cedarmill.cluster.messages import ExecutorObservation, Orders
from cedarmill.cluster.observations.digest import ObservationDigest
from cedarmill.cluster.observations.log import LocationEstimate, ObservationLog
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.cluster.session import MemberIdentity, MemberReport
from cedarmill.lab.simulation.clock import MILLISECOND, SECOND
from cedarmill.lab.simulation.cluster_setup import PROBE_BUDGET, SLOTS_PER_EXECUTOR
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.executor import ExecutorPool
from cedarmill.lab.simulation.member import SimulatedMember
from cedarmill.lab.simulation.network import ANYONE

DIGEST_PERIOD = SECOND  # us
BUSY_TURN = 6 * SECOND  # us for which each node in turn wants nearly all of the budget
BUSY_WAITS, CALM_WAITS = (2, 8), (100, 400)  # ms between two wishes to spend
SEND_WAITS = (10, 60)  # ms between two requests
REGIONAL_SHARE = 0.3  # of requests that may not leave their region, where traffic is planned
SLOT_TIME = 200 * MILLISECOND  # us of a slot that a request wants
ERROR_SHARE, ERROR_SHARE_OF_FAILING = 0.01, 0.2
STOP_DELAY = 200 * MILLISECOND  # us between two looks whether a node that is to stop may end


class SimulatedNode(SimulatedMember):
    """A node: it sends work to executors that are not out, as long as it knows what is out."""

    def __init__(
        self,
        environment: ClusterEnvironment,
        executors: ExecutorPool,
        name: str,
        incarnation: str,
        version: str,
    ) -> None:
        setup = environment.setup
        self.executors = executors
        self.number = int(name.partition("-")[2])
        self.zone = f"z{self.number % setup.zones}"
        self.version = version
        self.excluded: dict[str, int] = {}  # the epoch of the order, by executor
        self.in_flight: dict[str, int] = {}
        self.follower = PlanFollower()
        self.observations = ObservationLog(0)
        self.budget_leases = BudgetLeases()
        self._request_counts = [0, 0, 0, 0]
        self._next_digest_at = 0
        identity = MemberIdentity(
            "node",
            name,
            incarnation,
            self.zone,
            f"v:{name}:{incarnation}",
            version,
            stops_at_lease_expiry=setup.stops_at_lease_expiry,
        )
        super().__init__(environment, name, identity)
        if setup.sends_work:
            self._send_often()
        if setup.spends_budget:
            self._spend_often()

    def report(self) -> MemberReport:
        """What is drained, seen, counted and wanted."""
        return MemberReport(
            self._drained(),
            self._executor_observations(),
            request_counts=self._counts(),
            digest=self._digest(),
            budget_demand=self.budget_leases.demands(self.clock.now()),
        )

    def _counts(self) -> tuple[int, int, int, int]:
        done, errors, late, lost = self._request_counts
        return done, errors, late, lost

    def _drained(self) -> dict[str, int]:
        drained: dict[str, int] = {}
        if self.session.orders is not None:
            drained = {name: epoch for name, epoch in self.excluded.items() if not self.in_flight.get(name)}
            if self.session.orders.drain_clients_epoch:
                drained[self.name] = self.session.orders.drain_clients_epoch
        plan = self.follower.plan
        if plan is not None:
            zone_of = self.environment.setup.zone_of
            busy = {zone_of(name) for name, requests in self.in_flight.items() if requests}
            drained |= {zone: epoch for zone, epoch in plan.closed_zones.items() if zone not in busy}
        return drained

    def _executor_observations(self) -> dict[str, ExecutorObservation]:
        zone_of = self.environment.setup.zone_of
        return {
            name: ExecutorObservation("ready", not one.up, zone=zone_of(name), slots=SLOTS_PER_EXECUTOR)
            for name, one in self.executors.by_name.items()
        }

    def _digest(self) -> ObservationDigest | None:
        now = self.clock.now()
        if not self.environment.setup.plans_traffic or now < self._next_digest_at:
            return None
        self._next_digest_at = now + DIGEST_PERIOD
        epoch = self.follower.plan.epoch if self.follower.plan is not None else 0
        seen = self.observations.observations(now, self._location_estimates())
        return self.observations.make_digest(now, self.zone, seen, epoch, (), False)

    def _location_estimates(self) -> dict[str, LocationEstimate]:
        slots = 1000 * SLOTS_PER_EXECUTOR  # thousandths
        zones = self.executors.names_by_zone
        return {zone: LocationEstimate(len(names), slots * len(names), 0) for zone, names in zones.items()}

    def follow(self, orders: Orders) -> None:
        """Take over what is out, what may be spent, and the plan if it is newer."""
        self.excluded = dict(orders.excluded_executors)
        lease_holds = self.session.is_lease_valid(self.clock.now())
        self.budget_leases.set_rates(self.clock.now(), lease_holds, orders.budget_leases)
        if self.follower.accept_plan(orders.routes) and self.follower.plan is not None:
            who, epoch = f"{self.name}/{self.identity.incarnation}", self.follower.plan.epoch
            self.environment.history.tell(who, "follows", self.zone, epoch=epoch)

    # Spending of a budget.

    def _spend_often(self) -> None:
        """Ask for leave to spend, at times far oftener than the budget allows."""
        if not self.alive:
            return
        self.run(self._spend)
        scheduler, nodes = self.environment.scheduler, self.environment.setup.nodes
        turn = (scheduler.now // BUSY_TURN + self.number) % nodes
        busy = turn == 0 or self.environment.network.is_blocked(self.name, ANYONE)
        delay = self.generator.randrange(*(BUSY_WAITS if busy else CALM_WAITS)) * MILLISECOND
        scheduler.after(delay, self._spend_often)

    def _spend(self) -> None:
        lease_holds = self.session.is_lease_valid(self.clock.now())
        if self.budget_leases.spend(self.clock.now(), lease_holds, PROBE_BUDGET.name):
            lease = self.budget_leases.by_name.get(PROBE_BUDGET.name)
            by_lease = lease is None or lease.is_lease_valid
            self.environment.spending.append((self.environment.scheduler.now, by_lease))

    # Sending work.

    def _send_often(self) -> None:
        if not self.alive:
            return
        self.run(self._send)
        delay = self.generator.randrange(*SEND_WAITS) * MILLISECOND
        self.environment.scheduler.after(delay, self._send_often)

    def _send(self) -> None:
        """One request to an executor that may be sent to."""
        if not self.may_send():
            return
        environment, setup = self.environment, self.environment.setup
        is_regional = setup.plans_traffic and self.generator.random() < REGIONAL_SHARE
        choices = [name for name in self._reachable_executors(is_regional) if name not in self.excluded]
        if not choices:
            return
        name = self.generator.choice(choices)
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        counts = environment.requests_by_version
        counts[self.version] = counts.get(self.version, 0) + 1
        if is_regional and setup.region_of(setup.zone_of(name)) != setup.region_of(self.zone):
            environment.violations.append(f"{self.name} sends what may not leave its region to {name}")
        self.executors.send(self, name)

    def _reachable_executors(self, is_regional: bool) -> list[str]:
        """Executors among which it chooses: by the plan those of one zone; before there is one, all of them,
        or those of its own zone for what may not leave the region.
        """
        everywhere = list(self.executors.by_name)
        if not self.environment.setup.plans_traffic:
            return everywhere
        if self.follower.plan is None:
            return self.executors.names_by_zone[self.zone] if is_regional else everywhere
        now, scope = self.clock.now(), "region" if is_regional else "any"
        self.follower.decide(now, self.observations.observations(now, self._location_estimates()))
        weights = self.follower.weights(now)[scope]
        zone = self.generator.choices([*weights], [*weights.values()])[0] if weights else ""
        self.observations.record_demand(now, scope, SLOT_TIME)
        return self.executors.names_by_zone.get(zone, [])

    def may_send(self) -> bool:
        """Not before it has heard what is out; one that stops by its lease asks it at this moment."""
        return self.session.orders is not None and (
            not self.identity.stops_at_lease_expiry or self.session.is_lease_valid(self.clock.now())
        )

    def on_request_ended(self, executor: str, lost: bool = False) -> None:
        """A request has come back, or never arrived."""
        self.in_flight[executor] -= 1
        zone = self.environment.setup.zone_of(executor)
        self.observations.record_attempt(self.clock.now(), (zone,), False, False, lost)
        self._request_counts[0] += 1
        error_share = ERROR_SHARE_OF_FAILING if self.version == "failing" else ERROR_SHARE
        self._request_counts[1] += self.generator.random() < error_share

    def stop(self) -> None:
        """SIGTERM: it answers what it holds, says that it leaves, and ends."""
        if self.alive and (self.paused or any(self.in_flight.values())):
            self.environment.scheduler.after(STOP_DELAY, self.stop)
        elif self.alive:
            self.kill()
