"""Routing by the cluster's plan: real digests, evidence, plan and following, over late messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy

from cedarmill.cluster.observations.digest import SCOPES
from cedarmill.cluster.traffic_control import rollout, zone_status
from cedarmill.cluster.traffic_plan.state import WeightTable
from cedarmill.lab.simulation.zones.digests import NodeDigests
from cedarmill.lab.simulation.zones.followers import PlanFollowers
from cedarmill.lab.simulation.zones.leader import PlanLeader
from cedarmill.lab.simulation.zones.routing import RoutingPolicy
from cedarmill.lab.simulation.zones.setup import STEP, STEPS_PER_SECOND, US, Array

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

MOVE_RATE = rollout.MOVE_RATE  # thousandths a second, as it is meant to be: a mutant changes the other
MOVE_TOLERANCE = 1.6  # times the rate that shares may move in a second
MAX_BELIEVED_LOST = 5.0  # s that a zone may be there and counted as lost
DWELL_TOLERANCE = 3.5  # s by which a zone may be believed again before its dwell time is over
CLOSED_TOLERANCE = 0.5  # s in which something may still go to a closed zone of which all nodes have heard
HALF_REACHED = 0.5  # share that arrives on a link


class AgreedPolicy(RoutingPolicy):
    """By the plan that is agreed, checked on the way."""

    def __init__(self, simulation: ZoneSimulation) -> None:
        super().__init__(simulation)
        self.leader = PlanLeader(simulation)
        self._digests = NodeDigests(simulation)
        self._followers = PlanFollowers(simulation, self._own_zone, self.reachable, self.report)
        self._checks = AgreementChecks(self, self._followers)

    def step(self) -> None:
        """Digests go out, the leader decides, nodes hear and follow."""
        world = self.world
        step = round(world.now / STEP)
        self._digests.send(step, self._followers.epochs)
        self.leader.step(step, self._digests.on_the_way.take_due(world.now))
        self._followers.accept(self.leader.on_the_way.take_due(world.now))
        self._followers.decide(step)
        self._checks.check(step)

    def report(self, invariant: str, text: str) -> None:
        """Note a violation that is seen now."""
        self.violations.append(f"{invariant}: {self.world.now:.1f} s: {text}")

    def rows(self) -> dict[str, Array]:
        """As the nodes decided last."""
        return self._followers.rows

    def changes(self) -> int:
        """Changes of zones' states so far."""
        return sum(zone.status_changes for zone in self.leader.state.zones.values())

    def returning(self) -> list[int]:
        """Zones that the plan brings back."""
        zones = self.leader.state.zones
        return [n for n, name in enumerate(self.world.names) if zones[name].status == "returning"]


class AgreementChecks:
    """States against what is true, shares against their bounds, closed zones against what is sent there."""

    def __init__(self, policy: AgreedPolicy, followers: PlanFollowers) -> None:
        self._policy, self._followers = policy, followers
        self._world = policy.world
        self._report = policy.report
        self._there_since = numpy.zeros(self._world.count)  # s
        self._statuses = ["open"] * self._world.count
        self._weights_before: WeightTable = {}
        self._closed_since: dict[int, float] = {}  # s, zones that every node has heard to be closed

    def check(self, step: int) -> None:
        """Look at everything after a step of the policy."""
        world = self._world
        self._there_since = numpy.where(world.capacity() > 0, self._there_since, world.now)
        for zone, name in enumerate(world.names):
            status = self._policy.leader.state.zones[name].status
            if status != self._statuses[zone]:
                self._check_change(zone, self._statuses[zone], status)
                self._statuses[zone] = status
        if step % STEPS_PER_SECOND == 0:
            self._check_moves()
        self._check_closed_zones()

    def _check_change(self, zone: int, before: str, status: str) -> None:
        world, name = self._world, self._world.names[zone]
        there_for = world.now - self._there_since[zone]
        is_well = not world.failing[zone]
        is_reached = is_well and world.links[:, zone].min() >= HALF_REACHED
        if status in ("lost", "ill") and there_for > MAX_BELIEVED_LOST and is_reached:
            self._report("nothing is lost that is there", f"{name} is {status} after {there_for:.1f} s")
        returns = before in ("lost", "ill") and status == "returning"
        if returns and is_well and there_for < zone_status.MIN_DWELL_US / US - DWELL_TOLERANCE:
            self._report("one change in a damped period", f"{name} back after {there_for:.1f} s")

    def _check_moves(self) -> None:
        weights, before = self._policy.leader.state.traffic.weights, self._weights_before
        self._weights_before = {
            source: {scope: dict(row) for scope, row in by_scope.items()}
            for source, by_scope in weights.items()
        }
        gone = {name for n, name in enumerate(self._world.names) if self._statuses[n] in ("lost", "out")}
        for source, by_scope in before.items():
            for scope, row in by_scope.items():
                now = weights.get(source, {}).get(scope, {})
                zones = now.keys() | row.keys()
                moved = max((abs(now.get(zone, 0) - row.get(zone, 0)) for zone in zones), default=0)
                if moved > MOVE_TOLERANCE * MOVE_RATE and not gone & row.keys():
                    self._report("shares move in bounded steps", f"{source} {scope} moved by {moved}")

    def _check_closed_zones(self) -> None:
        """Once all nodes have heard that a zone is closed, nothing is sent there."""
        for zone, name in enumerate(self._world.names):
            plans = [follower.plan for follower in self._followers.followers]
            if not all(plan is not None and name in plan.closed_zones for plan in plans):
                self._closed_since.pop(zone, None)
                continue
            since = self._closed_since.setdefault(zone, self._world.now)
            if self._world.now - since > CLOSED_TOLERANCE:
                sent = sum(self._followers.rows[scope][:, zone].sum() for scope in SCOPES)
                if sent > 0:
                    self._report("a shut zone gets nothing", f"{name} gets {sent:.3f} of rows")
