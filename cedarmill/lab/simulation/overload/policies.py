"""Admission and budget policies without coordination: independent nodes, and fixed equal shares."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from cedarmill.cluster.gossip_plan import ExecutorReport
from cedarmill.lab.simulation.overload.node import SimulatedNode
from cedarmill.lab.simulation.overload.request import ClientRequest

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.nodes import NodeGroup
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

EXECUTOR_SAMPLES = 6  # executors sampled per request
PERMITTED_PROBE_SHARE = 0.2  # share of probes that the fixed policy permits
FIXED_SHARE_BURST = 0.2  # seconds of a node's fixed rate, one request at least


class Admission(enum.Enum):
    """The admission decision on a request at a node."""

    ADMITTED = enum.auto()
    REFUSED = enum.auto()
    REFUSED_WITH_ADVICE = enum.auto()


class AlonePolicy:
    """Lets each node decide by its own load reports, without limits."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        self.simulation, self.setup = simulation, simulation.setup
        self.generator = simulation.generator

    def step(self, number: int) -> None:
        """Run periodic work, once per simulation step after the clients."""

    def admit(self, now: float, request: ClientRequest, node: SimulatedNode) -> Admission:
        """Return the admission decision on a request."""
        return Admission.ADMITTED

    def may_connect(self, now: float, node: SimulatedNode) -> bool:
        """Return whether a node may open a connection now."""
        return True

    def may_probe(self, now: float, node: SimulatedNode) -> bool:
        """Return whether a node may probe an executor now."""
        return True

    def may_retry(self, now: float, node: SimulatedNode) -> bool:
        """Return whether a node may retry a request that an executor refused."""
        return True

    def sharers(self, executor: int) -> int:
        """Return the number of nodes that share reports of an executor, the asking node included."""
        return 1

    def choose(self, now: float, node: SimulatedNode, request: ClientRequest, nodes: NodeGroup) -> int | None:
        """Return the least loaded of some sampled executors with capacity, or None."""
        return nodes.least_loaded(now, node, self.sample_executors(node), request.weight)

    def sample_executors(self, node: SimulatedNode) -> list[int]:
        """Return random executors among those that a node uses."""
        count = len(node.executors)
        return [node.executors[int(n)] for n in self.generator.integers(count, size=EXECUTOR_SAMPLES)]

    def on_no_executor(self, node: SimulatedNode) -> None:
        """Handle a request for which a node found no executor with capacity."""

    def on_report(self, now: float, node: SimulatedNode, report: ExecutorReport) -> None:
        """Handle a load report that a node received directly from an executor."""


class FixedPolicy(AlonePolicy):
    """Gives each node an equal, fixed share of all slots, and limits its retries and probes."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        super().__init__(simulation)
        self._bucket_levels = [0.0] * self.setup.nodes  # leaky-bucket level in requests, by node
        self._bucket_updated_at = [0.0] * self.setup.nodes

    def admit(self, now: float, request: ClientRequest, node: SimulatedNode) -> Admission:
        """Admit a request if the leaky bucket of the node's equal share has capacity."""
        rate = self.setup.request_rate / self.setup.nodes
        number = node.number
        level = max(0.0, self._bucket_levels[number] - (now - self._bucket_updated_at[number]) * rate)
        admitted = level < max(1.0, rate * FIXED_SHARE_BURST)
        self._bucket_levels[number], self._bucket_updated_at[number] = level + admitted, now
        return Admission.ADMITTED if admitted else Admission.REFUSED

    def may_probe(self, now: float, node: SimulatedNode) -> bool:
        """Permit a probe at random, with the fixed probability."""
        return float(self.generator.random()) <= PERMITTED_PROBE_SHARE

    def may_retry(self, now: float, node: SimulatedNode) -> bool:
        """Permit retries up to a fixed ratio of the node's first attempts."""
        return node.retry_budget.spend(node.first_attempts)
