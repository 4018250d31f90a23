"""Event-driven simulation of overload under three admission policies.

Executors also process requests whose clients have left, so an overload can outlast its cause. Nodes estimate
an executor's load from responses, probes and the requests that they have sent since.

- `alone`: each node decides by its own load reports.
- `fixed`: each node has an equal share of all slots, and limited retries and probes.
- `fleet`: nodes use the production shedding threshold, budget grants and leases, and share load reports.

The ideal admission, to which a run's value is compared, sees first tries only. A seed determines the run.
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
    """Runs one setup under one policy; times are seconds."""

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
        """Schedule a call that gets its time, or the start of its step if later, as first argument."""
        self._events.push(at, call, *arguments)

    def run(self) -> OverloadResult:
        """Run the simulation to its end and return the measurements."""
        for number in range(int(self.setup.length / STEP)):
            self.step_number, self.now = number, number * STEP
            if number == int(self.setup.peak_start / STEP):
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
        for node in self.nodes.all[: int(setup.killed_node_share * setup.nodes)]:
            node.is_alive, node.lease_until = False, self.now + LEASE_TIME
        for executor in self.executors[: int(setup.cold_executor_share * setup.executors)]:
            executor.restart(self.now)
        if setup.drops_node_state:
            for node in self.nodes.all:
                node.drop_reports_and_connections()


def play(policy: str, setup: OverloadSetup | str, seed: int) -> OverloadResult:
    """Run a setup or a named incident and return its measurements."""
    setup = INCIDENTS[setup] if isinstance(setup, str) else setup
    return OverloadSimulation(policy, setup, seed).run()
