"""Simulated executors: they run the requests that nodes send, go down and come up."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarmill.lab.history import Visit
from cedarmill.lab.simulation.clock import MILLISECOND
from cedarmill.lab.simulation.environment import ClusterEnvironment

if TYPE_CHECKING:
    from cedarmill.lab.simulation.node import SimulatedNode

MIN_DELAY = 100  # us from a node to an executor
MEAN_EXTRA_DELAY = 800  # us, exponential
MIN_RUN_TIME, MAX_RUN_TIME = 50, 400  # ms, evenly between them


@dataclass(slots=True)
class SimulatedExecutor:
    """Whether it is up, and how many requests it runs."""

    up: bool = True
    running: int = 0


class ExecutorPool:
    """All executors of a run, and the attempts that reached them."""

    def __init__(self, environment: ClusterEnvironment) -> None:
        self._environment = environment
        setup = environment.setup
        self.by_name = {f"box-{number}": SimulatedExecutor() for number in range(setup.executors)}
        self.names_by_zone: dict[str, list[str]] = {}
        for name in self.by_name:
            self.names_by_zone.setdefault(setup.zone_of(name), []).append(name)
        self.visits: list[Visit] = []

    def send(self, node: SimulatedNode, name: str) -> None:
        """A request goes from a node to an executor; it takes its time, or is lost with the executor."""
        delay = int(self._environment.network.generator.expovariate(1 / MEAN_EXTRA_DELAY)) + MIN_DELAY
        self._environment.scheduler.after(delay, self._arrive, node, name)

    def _arrive(self, node: SimulatedNode, name: str) -> None:
        executor, now = self.by_name[name], self._environment.scheduler.now
        zone = self._environment.setup.zone_of(name)
        self.visits.append(Visit(name, zone, node.identity.incarnation, "job", now))
        if not executor.up:
            node.run(node.on_request_ended, name, True)
            return
        executor.running += 1
        run_time = self._environment.network.generator.randrange(MIN_RUN_TIME, MAX_RUN_TIME) * MILLISECOND
        self._environment.scheduler.after(run_time, self._finish, node, name)

    def _finish(self, node: SimulatedNode, name: str) -> None:
        executor = self.by_name[name]
        executor.running = max(0, executor.running - 1)
        node.run(node.on_request_ended, name)

    def stop(self, name: str, down_time: int) -> None:
        """An executor dies with what it runs, and comes up after a time (us); nothing where it is down."""
        executor = self.by_name[name]
        if executor.up:
            executor.up, executor.running = False, 0
            self._environment.history.tell(name, "down", name, note="fault")
            self._environment.scheduler.after(down_time, self._come_up, name)

    def _come_up(self, name: str) -> None:
        self.by_name[name].up = True
        self._environment.history.tell(name, "up", name, note="fault")
