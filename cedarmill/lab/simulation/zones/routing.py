"""How nodes choose zones: what all policies have, and the two without agreement."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy

from cedarmill.cluster.observations.digest import SCOPES
from cedarmill.lab.simulation.zones.setup import STEP, Array

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

MAX_REPORT_AGE = 22  # steps that are kept for those that hear late
SMOOTHING = 0.2  # of what a node hears
MAX_BACKOFF_DOUBLINGS = 4
FIRST_BACKOFF = 0.5  # s till a zone that was not reached is tried again
LEAVING_SHARE = 0.99  # of requests that leave a home zone which is gone


class RoutingPolicy:
    """Where the nodes of one run send their requests."""

    def __init__(self, simulation: ZoneSimulation) -> None:
        self.simulation, self.world = simulation, simulation.world
        self.generator = simulation.generator
        world = self.world
        self.violations: list[str] = []  # seen on the way
        nodes = world.setup.nodes
        self._same_region = (world.region[world.home][:, None] == world.region[None, :]).astype(float)
        self._own_zone = numpy.zeros((nodes, world.count))
        self._own_zone[numpy.arange(nodes), world.home] = 1.0

    def step(self) -> None:
        """Called before each step."""

    def rows(self) -> dict[str, Array]:
        """For each scope the shares of requests by node and zone."""
        raise NotImplementedError

    def changes(self) -> int:
        """Changes of zones' states so far."""
        return 0

    def returning(self) -> list[int]:
        """Zones that are being brought back."""
        return []

    def reachable(self, scope: str) -> Array:
        """1 where requests of that scope may go, by node and zone."""
        masks: dict[str, Array] = {
            "zone": self._own_zone,
            "region": self._same_region,
            "any": numpy.ones_like(self._own_zone),
        }
        return masks[scope]


class AlonePolicy(RoutingPolicy):
    """Each node by its own observations: its zone by (idle there / idle elsewhere)^2, spill when full."""

    def __init__(self, simulation: ZoneSimulation) -> None:
        super().__init__(simulation)
        world = self.world
        shape = (world.setup.nodes, world.count)
        self._idle = numpy.full(shape, 1.0 - world.setup.load)
        self._backoff_left = numpy.zeros(shape)  # s till it is tried again
        self._failures = numpy.zeros(shape)
        self._report_age = self.generator.integers(1, 6, world.setup.nodes)  # steps: it probes
        self._past: list[Array] = [self._idle[0].copy() for _ in range(MAX_REPORT_AGE)]

    def step(self) -> None:
        """Take in reports of some steps ago, and what was not reached in the last one."""
        world, generator = self.world, self.generator
        told = world.capacity() * world.claimed_factor
        in_use = world.offered[0]
        now = numpy.where(world.full > 0, (told - numpy.minimum(told, in_use)) / world.full, 0.0)
        now = numpy.where(world.queue > 0, 0.0, now)
        self._past = [now, *self._past[:-1]]
        seen = numpy.stack([self._past[age] for age in self._report_age])
        noise = generator.uniform(0.8, 1.2, seen.shape)
        self._idle += (seen * noise - self._idle) * SMOOTHING
        newest = self.simulation.attempts.newest
        tried = newest.attempts > 0
        lost = (newest.unreached > 0.5 * numpy.maximum(1, newest.attempts)) & tried
        more = numpy.minimum(self._failures + 1, MAX_BACKOFF_DOUBLINGS)
        self._failures = numpy.where(lost, more, self._failures)
        self._failures = numpy.where(~lost & tried, 0, self._failures)
        backoff = FIRST_BACKOFF * 2**self._failures * generator.uniform(0.5, 1.5, lost.shape)
        self._backoff_left = numpy.where(lost, backoff, numpy.maximum(0.0, self._backoff_left - STEP))

    def rows(self) -> dict[str, Array]:
        """The own zone first, the rest by what is idle there."""
        idle = numpy.maximum(1e-3, self._idle) * (self._backoff_left <= 0)
        own = (idle * self._own_zone).sum(1)
        found = {}
        for scope in SCOPES:
            if scope == "zone":
                found[scope] = self._own_zone.copy()
                continue
            others = idle * self.reachable(scope) * (1 - self._own_zone)
            count = numpy.maximum(1, (others > 0).sum(1))
            far = others.sum(1) / count
            near = numpy.where(far > 0, numpy.minimum(1.0, (own / numpy.maximum(far, 1e-9)) ** 2), 1.0)
            near = numpy.where(own > 0, near, 0.0)
            weight = others / numpy.maximum(others.sum(1, keepdims=True), 1e-9)
            found[scope] = self._own_zone * near[:, None] + weight * (1 - near)[:, None]
        return found


class StaticPolicy(RoutingPolicy):
    """Fixed shares: home, and where a node sees its home gone, evenly over the others that it may use."""

    WINDOW_STEPS = 10

    def __init__(self, simulation: ZoneSimulation) -> None:
        super().__init__(simulation)
        self._home_gone = numpy.zeros(self.world.setup.nodes, bool)

    def step(self) -> None:
        """Look whether the home zone is reached."""
        totals = self.simulation.attempts.totals(self.WINDOW_STEPS)
        home = numpy.arange(self.world.setup.nodes), self.world.home
        attempts, unreached = totals.attempts[home], totals.unreached[home]
        unknown = self._home_gone & (attempts < 2)
        self._home_gone = numpy.where(attempts >= 2, unreached > 0.5 * attempts, unknown)

    def rows(self) -> dict[str, Array]:
        """Home, or nearly all elsewhere."""
        found = {}
        for scope in SCOPES:
            others = self.reachable(scope) * (1 - self._own_zone)
            weight = others / numpy.maximum(others.sum(1, keepdims=True), 1e-9)
            gone = (self._home_gone & (others.sum(1) > 0)).astype(float)[:, None]
            found[scope] = self._own_zone * (1 - LEAVING_SHARE * gone) + weight * LEAVING_SHARE * gone
        return found
