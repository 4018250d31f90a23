"""The leader's side of agreement: digests become evidence, evidence commands, and plans go out to nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarmill.cluster.messages import RouteWeights
from cedarmill.cluster.observations.assessment import DIGEST_LIFETIME_US, ObservationCollector
from cedarmill.cluster.state import ClusterState
from cedarmill.cluster.state_machine import commands, dispatch
from cedarmill.cluster.traffic_control import reports
from cedarmill.cluster.traffic_plan.similarity import are_similar
from cedarmill.lab.simulation.applied_commands import AppliedCommands
from cedarmill.lab.simulation.network import DelayedMessages
from cedarmill.lab.simulation.zones.digests import SentDigest

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

ASSESSMENT_STEPS = 5  # between two assessments
PROMPT_SHARE, PROMPT_DELAY, LATE_DELAY = 0.95, 0.3, 2.0  # of plans; s at the most, evenly from 0
HALF_HEAR_FOR = 1.0  # s before the leader dies, in which half of the nodes hear nothing


class SentPlan(NamedTuple):
    """A plan on its way to a node."""

    node: int
    plan: RouteWeights | None


class PlanLeader:
    """The state that is agreed, and whoever leads at the moment."""

    def __init__(self, simulation: ZoneSimulation) -> None:
        self._simulation, self._generator = simulation, simulation.generator
        self.agreed = AppliedCommands(ClusterState("lab"))
        self.agreed.apply(commands.SetZones(0, "lab", "1", simulation.layout))
        self.on_the_way = DelayedMessages[SentPlan]()
        self._collector = ObservationCollector()
        self._led = True
        self._told_epoch = -1

    @property
    def state(self) -> ClusterState:
        """What is agreed."""
        return self.agreed.world

    def step(self, step: int, arrived: list[SentDigest]) -> None:
        """Take in digests, record evidence, do what is due, tell a new plan; nothing without a leader."""
        simulation = self._simulation
        led = simulation.incident.has_leader(simulation.world.now)
        if led and not self._led:
            self._collector = ObservationCollector()  # a new leader knows nothing of before
        self._led = led
        if not led:
            return
        for node, made_at, digest in arrived:
            self._collector.accept(made_at, f"n{node}", digest)
        now = simulation.now_us
        if step % ASSESSMENT_STEPS == 0 and self._most_are_heard(now):
            evidence = self._collector.assess(now, simulation.world.names)
            if not are_similar(self.state.traffic.latest_assessment, evidence):
                self.agreed.apply(commands.RecordZoneEvidence(now, evidence))
        due_at = dispatch.next_due(self.state)
        if due_at is not None and now >= due_at:
            self.agreed.apply(commands.AdvanceTime(now))
        if self.state.traffic.epoch != self._told_epoch:
            self._told_epoch = self.state.traffic.epoch
            self._tell_plan()

    def _most_are_heard(self, now: int) -> bool:
        digests = self._collector.digests.values()
        heard = sum(now - made_at <= DIGEST_LIFETIME_US for made_at, _ in digests)
        return 2 * heard > self._simulation.world.setup.nodes

    def _tell_plan(self) -> None:
        world, incident = self._simulation.world, self._simulation.incident
        plans = {name: reports.route_weights(self.state, name) for name in world.names}
        half_hear = incident.half_hear and not incident.has_leader(world.now + HALF_HEAR_FOR)
        for node, home in enumerate(world.home):
            if half_hear and node % 2:
                continue
            most = PROMPT_DELAY if self._generator.random() < PROMPT_SHARE else LATE_DELAY
            arrives_at = world.now + float(self._generator.uniform(0.0, most))
            self.on_the_way.send(arrives_at, SentPlan(node, plans[world.names[home]]))
