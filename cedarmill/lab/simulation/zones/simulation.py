"""Zones and regions in virtual time: flows of requests over zones, many nodes, and three routing policies.

Requests are flows here, steps are a tenth of a second: enough to see zones fill, fall over and come back, at
1,000 executors and 200 nodes in seconds. What routes is the real thing: digests, evidence, the plan while
entries are applied, and each node's following are the modules that the processes run. Between them are
messages that come late, a leader that dies, and replicas that are gone. One seed is one timeline.
"""

import dataclasses

import numpy

from cedarmill.cluster.observations.digest import SCOPES
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.lab.simulation.seeds import numpy_generator
from cedarmill.lab.simulation.zones.agreed import AgreedPolicy
from cedarmill.lab.simulation.zones.attempts import AttemptHistory
from cedarmill.lab.simulation.zones.incidents import INCIDENTS
from cedarmill.lab.simulation.zones.measurements import Flows, Measurements
from cedarmill.lab.simulation.zones.results import ZoneResult
from cedarmill.lab.simulation.zones.routing import AlonePolicy, RoutingPolicy, StaticPolicy
from cedarmill.lab.simulation.zones.setup import (
    SAFE_LOAD,
    SCOPE_SHARES,
    STEP,
    US,
    Array,
    Incident,
    ZoneSetup,
)
from cedarmill.lab.simulation.zones.world import ZoneWorld

SEED_STREAM = 7
NOTICE_TIME = 1.0  # s after which a node's executors that do not answer are left alone

_POLICIES: dict[str, type[RoutingPolicy]] = {
    "alone": AlonePolicy,
    "static": StaticPolicy,
    "agreed": AgreedPolicy,
}


class ZoneSimulation:
    """One incident, one seed, one routing policy."""

    def __init__(self, setup: ZoneSetup, incident: Incident, seed: int, policy: str) -> None:
        self.incident, self.policy = incident, policy
        self.generator = numpy_generator(seed, SEED_STREAM)
        self.world = ZoneWorld(setup, self.generator)
        regions = {f"r{r}": [f"z{r}{z}" for z in range(setup.zones)] for r in range(setup.regions)}
        self.layout = ZoneLayout(regions, {}, SAFE_LOAD)
        self.attempts = AttemptHistory(setup.nodes, self.world.count)
        self._last_there = numpy.zeros(self.world.count)  # s, when a zone last had capacity
        self.routing = _POLICIES[policy](self)
        self.measurements = Measurements(self)

    @property
    def now_us(self) -> int:
        """The time since the start (us)."""
        return round(self.world.now * US)

    def step(self) -> None:
        """Let a tenth of a second pass."""
        world = self.world
        self.incident.change(self, world.now)
        self.routing.step()
        demand, rows = world.demand(), self.routing.rows()
        capacity = world.capacity()
        reach = world.reach(capacity)
        sent: Array = numpy.zeros_like(reach)
        for scope in SCOPES:
            sent = sent + rows[scope] * (demand * SCOPE_SHARES[scope])[:, None]
        arrived = sent * reach + self._second_attempts(rows, demand, reach, capacity)
        served, late = world.serve(arrived.sum(0), capacity)
        self.attempts.record(world, self.generator, sent, late)
        self.measurements.record(Flows(demand, arrived, capacity, served))
        world.now = round(world.now + STEP, 6)

    def _second_attempts(self, rows: dict[str, Array], demand: Array, reach: Array, capacity: Array) -> Array:
        """What did not arrive is sent once more, by the same shares; zones known to be dead are not tried."""
        self._last_there = numpy.where(capacity > 0, self.world.now, self._last_there)
        noticed = self.world.now - self._last_there > NOTICE_TIME
        arrived: Array = numpy.zeros_like(reach)
        for scope in SCOPES:
            row = rows[scope]
            lost = (row * ~noticed * (1 - reach)).sum(1) * (demand * SCOPE_SHARES[scope])
            arrived = arrived + row * lost[:, None] * reach
        return arrived

    def run(self) -> ZoneResult:
        """Play it to its end."""
        while self.world.now < self.incident.length:
            self.step()
        return self.measurements.result()


def play(incident_name: str, seed: int, policy: str, setup: ZoneSetup | None = None) -> ZoneResult:
    """Play an incident by its name, at its own load."""
    incident = INCIDENTS[incident_name]
    setup = dataclasses.replace(setup or ZoneSetup(), load=incident.load)
    return ZoneSimulation(setup, incident, seed, policy).run()
