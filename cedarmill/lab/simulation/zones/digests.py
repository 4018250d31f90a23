"""The nodes' side of evidence: digests that each node makes once a second, and that come late."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy

from cedarmill.cluster.observations.digest import SCOPES, WHOLE, LocationObservation, ObservationDigest
from cedarmill.lab.simulation.network import DelayedMessages
from cedarmill.lab.simulation.zones.attempts import AttemptCounts
from cedarmill.lab.simulation.zones.setup import SCOPE_SHARES, STEPS_PER_SECOND

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

LATE_FROM = 8.0  # s from which digests are late, where an incident says so: a plan stands by then
MAX_DELAY = 0.3  # s, evenly from 0
TRUE_ZONES = 2  # of which digests tell the truth, where they lie


class SentDigest(NamedTuple):
    """A digest on its way to the leader."""

    node: int
    made_at: int  # us
    digest: ObservationDigest


class NodeDigests:
    """Makes and sends the digests of all nodes, a tenth of them in each step."""

    def __init__(self, simulation: ZoneSimulation) -> None:
        self._simulation, self._world = simulation, simulation.world
        self._generator = simulation.generator
        self._phase = self._generator.integers(0, STEPS_PER_SECOND, self._world.setup.nodes)
        self._sequence = 0
        self.on_the_way = DelayedMessages[SentDigest]()

    def send(self, step: int, followed_epochs: list[int]) -> None:
        """Make and send what is due in this step; nodes of a silent zone tell nothing."""
        world, counts = self._world, None
        for n in numpy.flatnonzero(self._phase == step % STEPS_PER_SECOND):
            if world.silent[world.home[n]]:
                continue
            counts = counts or self._simulation.attempts.totals()
            self._sequence += 1
            delay = self._simulation.incident.digest_delay * (world.now >= LATE_FROM)
            arrives_at = world.now + delay + float(self._generator.uniform(0.0, MAX_DELAY))
            digest = self._make(int(n), counts, followed_epochs[n])
            self.on_the_way.send(arrives_at, SentDigest(int(n), self._simulation.now_us, digest))

    def _make(self, node: int, counts: AttemptCounts, followed_epoch: int) -> ObservationDigest:
        world = self._world
        demand = float(world.demand()[node])
        wanted = {
            scope: int(WHOLE * demand * SCOPE_SHARES[scope] * self._generator.uniform(0.95, 1.05))
            for scope in SCOPES
        }
        seen = self._observations(node, counts)
        return ObservationDigest(self._sequence, world.names[world.home[node]], wanted, seen, followed_epoch)

    def _observations(self, node: int, counts: AttemptCounts) -> dict[str, LocationObservation]:
        world = self._world
        slots, in_use = world.capacity() * world.claimed_factor, world.offered[0]
        found = {
            name: LocationObservation(
                int(world.setup.executors / world.count * world.up[zone]),
                int(WHOLE * slots[zone]),
                int(WHOLE * min(in_use[zone], slots[zone])),
                int(counts.attempts[node, zone]),
                int(counts.failed[node, zone]),
                int(counts.late[node, zone]),
                int(counts.unreached[node, zone]),
            )
            for zone, name in enumerate(world.names)
        }
        if world.false_losses:
            for name in world.names[TRUE_ZONES:]:
                found[name] = LocationObservation(9, found[name].slots, 0, 50, unreached=50)
        return found
