"""The nodes' side of agreement: each follows the newest plan that it has heard, and what it sees itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import numpy

from cedarmill.cluster.observations.digest import SCOPES, WHOLE, LocationObservation
from cedarmill.cluster.plan_follower import PlanFollower
from cedarmill.lab.simulation.zones.attempts import AttemptCounts
from cedarmill.lab.simulation.zones.leader import SentPlan
from cedarmill.lab.simulation.zones.setup import Array

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

DECISION_STEPS = 3  # between two decisions of a node


class PlanFollowers:
    """All nodes' followers, and the shares by which they send."""

    def __init__(
        self,
        simulation: ZoneSimulation,
        own_zone: Array,
        reachable: Callable[[str], Array],
        report: Callable[[str, str], None],
    ) -> None:
        """`reachable` gives the mask of a scope, `report` takes an invariant and what broke it."""
        self._simulation, self._world = simulation, simulation.world
        self._reachable, self._report = reachable, report
        nodes = self._world.setup.nodes
        self.followers = [PlanFollower() for _ in range(nodes)]
        self.epochs = [0] * nodes
        self.rows = {scope: own_zone.copy() for scope in SCOPES}
        self._phase = simulation.generator.integers(0, DECISION_STEPS, nodes)

    def accept(self, arrived: list[SentPlan]) -> None:
        """Let nodes hear plans."""
        for node, plan in arrived:
            before = self.epochs[node]
            if self.followers[node].accept_plan(plan) and plan is not None:
                self.epochs[node] = plan.epoch
                if plan.epoch < before:
                    self._report(
                        "older plans never replace newer ones", f"n{node}: {plan.epoch} after {before}"
                    )

    def decide(self, step: int) -> None:
        """Let the nodes that are due choose their shares."""
        counts = self._simulation.attempts.totals()
        for node in numpy.flatnonzero(self._phase == step % DECISION_STEPS):
            if self.followers[node].plan is not None:
                self._decide(int(node), counts)

    def _decide(self, node: int, counts: AttemptCounts) -> None:
        follower, now = self.followers[node], self._simulation.now_us
        assert follower.plan is not None  # asked before
        follower.decide(now, self._unreached(node, counts))
        own = follower.plan.zone
        for scope, weights in follower.weights(now).items():
            row = numpy.zeros(self._world.count)
            for zone, part in weights.items():
                if zone == own and zone in follower.plan.closed_zones:
                    continue  # refused at once: its executors are out of use
                row[self._world.names.index(zone)] = part / WHOLE
            self.rows[scope][node] = row
        self._check_residency(node)

    def _unreached(self, node: int, counts: AttemptCounts) -> dict[str, LocationObservation]:
        """Zones that were not always reached; of those a follower reads no more than this."""
        attempts, unreached = counts.attempts[node], counts.unreached[node]
        return {
            name: LocationObservation(attempts=int(attempts[zone]), unreached=int(unreached[zone]))
            for zone, name in enumerate(self._world.names)
            if unreached[zone]
        }

    def _check_residency(self, node: int) -> None:
        """What may not leave stays, whatever was agreed and seen."""
        for scope in ("zone", "region"):
            if (self.rows[scope][node] * (1 - self._reachable(scope)[node])).sum() > 0:
                self._report("residents stay", f"n{node} sends what may not leave its {scope} elsewhere")
