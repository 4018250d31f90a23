"""The executors of a scenario: what each can do, and how fast it is by the run's seed."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

import numpy

from cedarmill.lab.experiment import random_generator

EXECUTOR_KIND = "box"  # as discovery lists them


@dataclass(frozen=True, slots=True)
class ExecutorOptions:
    """One executor: where it is, and what it can do at once."""

    name: str
    zone: str
    cores: int
    slots: int
    queue_limit: int
    speed: float = 1.0  # 1: the yardstick of a job's work
    honours_cancellation: bool = False


class ExecutorResources(Protocol):
    """What a scenario says of its executors; speeds are drawn evenly between two bounds."""

    @property
    def executors(self) -> int:
        """How many there are."""

    @property
    def zones(self) -> int:
        """Over how many zones they are dealt out."""

    @property
    def cores(self) -> int:
        """Of each."""

    @property
    def slots(self) -> int:
        """Jobs that each runs at once."""

    @property
    def queue(self) -> int:
        """Jobs that wait at each."""

    @property
    def slowest(self) -> float:
        """The lowest speed."""

    @property
    def fastest(self) -> float:
        """The highest speed."""


def draw_executors(
    resources: ExecutorResources,
    speed_seed: numpy.random.SeedSequence,
    executors_seed: numpy.random.SeedSequence,
    honours_cancellation: bool,
) -> Iterator[tuple[ExecutorOptions, numpy.random.Generator]]:
    """The executors of a scenario, dealt out to the zones in turn, each with a random stream of its own."""
    speeds = random_generator(speed_seed)
    for number, seed in enumerate(executors_seed.spawn(resources.executors)):
        speed = float(speeds.uniform(resources.slowest, resources.fastest))
        options = ExecutorOptions(
            f"box-{number}",
            f"zone-{number % resources.zones}",
            resources.cores,
            resources.slots,
            resources.queue,
            speed,
            honours_cancellation,
        )
        yield options, random_generator(seed)
