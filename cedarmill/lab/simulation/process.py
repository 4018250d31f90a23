"""What all simulated processes have: a clock, and being dead or standing still."""

from collections.abc import Callable
from typing import Any

from cedarmill.lab.simulation.clock import ProcessClock
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.seeds import text_generator


class SimulatedProcess:
    """A process that may be killed, or stand still with all that comes to it waiting."""

    def __init__(self, environment: ClusterEnvironment, name: str, clock_name: str) -> None:
        self.environment, self.name = environment, name
        generator = text_generator(environment.seed, clock_name, "clock")
        self.clock = ProcessClock(environment.scheduler, generator)
        self.alive, self.paused = True, False
        self.starts = 0  # counted at kills as well, so that a number names one run of the process
        self._deferred: list[tuple[Callable[..., object], tuple[Any, ...]]] = []  # came while it stood still

    def run(self, call: Callable[..., object], *arguments: Any) -> None:
        """Let it do something, now or when it goes on; one that is dead never does."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append((call, arguments))
        else:
            call(*arguments)

    def pause(self, length: int) -> None:
        """Have it stand still for a true time (us)."""
        if self.alive and not self.paused:
            self.paused = True
            self.environment.scheduler.after(length, self.resume)

    def resume(self) -> None:
        """Let it go on, with what has come meanwhile first."""
        self.paused = False
        deferred, self._deferred = self._deferred, []
        for call, arguments in deferred:
            self.run(call, *arguments)

    def kill(self) -> None:
        """End it at once; nothing that waited is done."""
        self.alive, self.paused, self._deferred = False, False, []
        self.starts += 1
