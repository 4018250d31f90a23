"""What is there in the simulation of zones: capacity, demand, links and queues, as flows over zones.

Flows are in slots: a request a second takes `REQUEST_TIME` of one.
"""

import numpy

from cedarmill.lab.simulation.zones.setup import MAX_PROMPT_WAIT, MAX_WAIT, NO_TIME, STEP, Array, ZoneSetup

FALL_FACTOR = 2.5  # times its present capacity in a second, by which a zone falls over (brief)
FALL_TIME = 6.0  # s that it is down then
SLOW_START, SLOW_START_SHARE = 8.9, 0.3  # s, and the share at first, of executors that just started (brief)
RECENT_STEPS = 10  # over which offered load is averaged where a zone may fall over


class ZoneWorld:
    """The true state of all zones; arrays are by zone where nothing else is said."""

    def __init__(self, setup: ZoneSetup, generator: numpy.random.Generator) -> None:
        self.setup = setup
        self.names = [f"z{r}{z}" for r in range(setup.regions) for z in range(setup.zones)]
        self.count = len(self.names)
        self.region: Array = numpy.array([n // setup.zones for n in range(self.count)])
        self.home: Array = numpy.array([n % self.count for n in range(setup.nodes)])  # a node's zone
        each = setup.executors / self.count * setup.slots
        self.full: Array = numpy.full(self.count, each)  # slots of a zone when all is well
        self.weights = self._draw_weights(generator, each)
        self.demand_factor = numpy.ones(self.count)
        self.up = numpy.ones(self.count)  # share of a zone's executors that are there
        self.started_at = numpy.full(self.count, NO_TIME)
        self.speed = numpy.ones(self.count)
        self.failing = numpy.zeros(self.count)  # share of attempts that fail
        self.claimed_factor = numpy.ones(self.count)  # slots that are told, for each that is there
        self.links = numpy.ones((self.count, self.count))  # share that arrives, from and to
        self.latency = numpy.zeros((self.count, self.count))  # s
        self.node_reach = numpy.ones(setup.nodes)  # share of a node's attempts that arrive
        self.silent = numpy.zeros(self.count, bool)  # nodes of the zone tell nothing
        self.false_losses = False  # digests say that zones are lost which are there
        self.queue: Array = numpy.zeros(self.count)  # slot-seconds that wait
        self.offered: list[Array] = [numpy.zeros(self.count) for _ in range(RECENT_STEPS)]  # newest first
        self.down_until = numpy.full(self.count, -1.0)
        # by the incident alone, without falls
        self.planned_down_until, self.planned_start = self.down_until.copy(), self.started_at.copy()
        self.zones_fallen = 0
        self.now = 0.0  # s

    def _draw_weights(self, generator: numpy.random.Generator, each: float) -> Array:
        """Slots wanted by each node at a load of one: uneven within a zone, and between zones."""
        weights = generator.uniform(0.6, 1.4, self.setup.nodes)
        share = generator.uniform(0.85, 1.15, self.count)
        sums = numpy.bincount(self.home, weights, self.count)
        drawn: Array = weights / sums[self.home] * share[self.home] / share.mean() * each
        return drawn

    def _capacity(self, down_until: Array, started_at: Array) -> Array:
        age = numpy.clip((self.now - started_at) / SLOW_START, 0.0, 1.0)
        warm = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * age
        slots: Array = self.full * self.up * warm * self.speed * (self.now >= down_until)
        return slots

    def capacity(self) -> Array:
        """Slots that work."""
        return self._capacity(self.down_until, self.started_at)

    def planned_capacity(self) -> Array:
        """Slots that would work, had no zone fallen over."""
        return self._capacity(self.planned_down_until, self.planned_start)

    def demand(self) -> Array:
        """Slots wanted, by node."""
        wanted: Array = self.weights * self.setup.load * self.demand_factor[self.home]
        return wanted

    def reach(self, capacity: Array) -> Array:
        """Share of attempts that arrive, by node and zone."""
        arriving: Array = self.links[self.home] * (capacity > 0)[None, :] * self.node_reach[:, None]
        return arriving

    def take_down(self, zone: int, seconds: float) -> None:
        """The incident takes a zone."""
        self._fall(zone, seconds)
        self.planned_down_until[zone] = self.planned_start[zone] = self.now + seconds

    def _fall(self, zone: int, seconds: float) -> None:
        """A zone's executors die and come back cold."""
        self.down_until[zone] = self.started_at[zone] = self.now + seconds
        self.queue[zone] = 0.0

    def serve(self, offered: Array, capacity: Array) -> tuple[Array, Array]:
        """Take what is offered for a step; the shares of it that are served, and that are served late.

        A zone that is offered far more than its capacity (at the beginning of the step) falls over.
        """
        self.offered = [offered, *self.offered[:-1]]
        mean = sum(self.offered) / len(self.offered)
        for zone in numpy.flatnonzero((mean > FALL_FACTOR * numpy.maximum(capacity, 1e-9)) & (capacity > 0)):
            self.zones_fallen += 1
            self._fall(int(zone), FALL_TIME)
        capacity = self.capacity()
        divisor = numpy.maximum(capacity, 1e-9)
        self.queue = numpy.maximum(0.0, self.queue + (offered - capacity) * STEP) * (capacity > 0)
        wait = self.queue / divisor
        dropped = numpy.clip(self.queue - MAX_WAIT * divisor, 0.0, offered * STEP)
        self.queue -= dropped
        taken = numpy.where(offered > 1e-9, 1 - dropped / numpy.maximum(offered * STEP, 1e-12), 1.0)
        served = numpy.where(capacity > 0, taken, 0.0) * (1 - self.failing)
        late = numpy.clip((wait - MAX_PROMPT_WAIT) / MAX_PROMPT_WAIT, 0.0, 1.0)
        return served, late
