"""Overload in virtual time: nodes, executors, tenants and clients that try again; three policies.

Every request is one of its own. An executor works in order on its slots and does not know whose client has
left, so an overload can outlive its trigger. A node knows of an executor what an answer or a probe told it,
and what it sent itself since. `alone` is a model of what nodes do today, each by its own reports (without the
preemption of requests that run); `fixed` gives each node an even part of all slots, retries and probes;
`fleet` runs the real admission level, the real budget grants and leases, and reports that nodes share. The
all-knowing admission that value is held against sees first tries only. One seed is one timeline.
"""

from collections.abc import Callable
from typing import Any

from cedarmill.lab.simulation.clock import EventQueue
from cedarmill.lab.simulation.overload.clients import Clients
from cedarmill.lab.simulation.overload.cluster_policy import ClusterPolicy
from cedarmill.lab.simulation.overload.executor import SimulatedExecutor
from cedarmill.lab.simulation.overload.incidents import INCIDENTS
from cedarmill.lab.simulation.overload.nodes import NodeGroup
from cedarmill.lab.simulation.overload.policies import AlonePolicy, FixedPolicy
from cedarmill.lab.simulation.overload.results import Figures, OverloadResult
from cedarmill.lab.simulation.overload.setup import LEASE_TIME, STEP, OverloadSetup
from cedarmill.lab.simulation.seeds import numpy_generator

SEED_STREAM = 27

_POLICIES: dict[str, type[AlonePolicy]] = {
    "alone": AlonePolicy,
    "fixed": FixedPolicy,
    "fleet": ClusterPolicy,
}


class OverloadSimulation:
    """One run; times are seconds."""

    def __init__(self, policy: str, setup: OverloadSetup, seed: int) -> None:
        self.setup = setup
        self.generator = numpy_generator(seed, SEED_STREAM)
        self.figures = Figures(setup)
        self.now, self.step_number = 0.0, 0
        self._events = EventQueue[float]()
        self.executors = [SimulatedExecutor(setup.slots) for _ in range(setup.executors)]
        self.nodes = NodeGroup(self)
        self.clients = Clients(self)
        self.policy = _POLICIES[policy](self)

    def schedule(self, at: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call that at a time, or at the beginning of the step in which that is, with the time first."""
        self._events.push(at, call, *arguments)

    def run(self) -> OverloadResult:
        """Play it to its end."""
        for number in range(int(self.setup.length / STEP)):
            self.step_number, self.now = number, number * STEP
            if number == int(self.setup.begins / STEP):
                self._begin_incident()
            self.clients.send_first_tries(self.now)
            self.policy.step(number)
            self._run_events(self.now + STEP)
        return self.figures.result()

    def _run_events(self, end: float) -> None:
        while (next_at := self._events.next_at()) is not None and next_at < end:
            at, call, arguments = self._events.pop()
            call(max(at, self.now), *arguments)

    def _begin_incident(self) -> None:
        setup = self.setup
        for node in self.nodes.all[: int(setup.killed * setup.nodes)]:
            node.alive, node.lease_until = False, self.now + LEASE_TIME
        for executor in self.executors[: int(setup.cold * setup.executors)]:
            executor.restart(self.now)
        if setup.forgets:
            for node in self.nodes.all:
                node.forget()


def play(policy: str, setup: OverloadSetup | str, seed: int) -> OverloadResult:
    """One run of a setup, or of a named incident."""
    setup = INCIDENTS[setup] if isinstance(setup, str) else setup
    return OverloadSimulation(policy, setup, seed).run()
