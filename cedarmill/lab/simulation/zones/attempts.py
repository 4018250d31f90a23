"""What nodes see of their attempts: counts by node and zone, by chance where they are few."""

from dataclasses import dataclass

import numpy

from cedarmill.lab.simulation.zones.setup import MAX_PROMPT_WAIT, REQUEST_TIME, STEP, Array
from cedarmill.lab.simulation.zones.world import ZoneWorld

WINDOW_STEPS = 30  # that a node's counts reach back: 3 s


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Attempts by node (rows) and zone (columns)."""

    attempts: Array
    failed: Array
    late: Array
    unreached: Array


class AttemptHistory:
    """The counts of the last steps, the newest first."""

    def __init__(self, nodes: int, zones: int) -> None:
        none = numpy.zeros((nodes, zones))
        self._steps = [AttemptCounts(none, none, none, none) for _ in range(WINDOW_STEPS)]

    @property
    def newest(self) -> AttemptCounts:
        """Of the last step."""
        return self._steps[0]

    def totals(self, steps: int = WINDOW_STEPS) -> AttemptCounts:
        """Over the last so many steps."""
        some = self._steps[:steps]
        return AttemptCounts(
            numpy.sum([one.attempts for one in some], axis=0),
            numpy.sum([one.failed for one in some], axis=0),
            numpy.sum([one.late for one in some], axis=0),
            numpy.sum([one.unreached for one in some], axis=0),
        )

    def record(self, world: ZoneWorld, generator: numpy.random.Generator, sent: Array, late: Array) -> None:
        """Draw the counts of a step from what was sent (slots) and the share that each zone serves late."""
        attempts = generator.poisson(numpy.maximum(sent, 0) * (STEP / REQUEST_TIME))
        unreached = generator.binomial(attempts, 1 - world.reach(world.capacity()))
        arrived = attempts - unreached
        failed = generator.binomial(arrived, numpy.broadcast_to(world.failing, arrived.shape))
        slow_link = numpy.clip(world.latency[world.home] / MAX_PROMPT_WAIT, 0.0, 1.0)
        lateness = numpy.clip(late[None, :] + slow_link, 0.0, 1.0)
        late_counts = generator.binomial(arrived - failed, lateness)
        newest = AttemptCounts(attempts, failed, late_counts, unreached)
        self._steps = [newest, *self._steps[:-1]]
