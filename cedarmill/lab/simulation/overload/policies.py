"""Who decides what is admitted and spent: each node alone, or each by a fixed part of the whole."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from cedarmill.cluster.gossip_plan import ExecutorReport
from cedarmill.lab.simulation.overload.node import SimulatedNode
from cedarmill.lab.simulation.overload.request import ClientRequest

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.nodes import NodeGroup
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

SAMPLES = 6  # executors at which a node looks for one request
FIXED_PROBE_SHARE = 0.2  # of probes that a fixed part leaves
PART_BURST = 0.2  # s of its part that a node may use at once, one request at least


class Admission(enum.Enum):
    """What becomes of a request that has come to a node."""

    ADMITTED = enum.auto()
    REFUSED = enum.auto()
    REFUSED_WITH_ADVICE = enum.auto()


class AlonePolicy:
    """Each node by its own reports, as today: nothing is asked of anyone."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        self.simulation, self.setup = simulation, simulation.setup
        self.generator = simulation.generator

    def step(self, number: int) -> None:
        """Called in each step, after the clients."""

    def admit(self, now: float, request: ClientRequest, node: SimulatedNode) -> Admission:
        """Whether a node takes a request on."""
        return Admission.ADMITTED

    def may_connect(self, now: float, node: SimulatedNode) -> bool:
        """Whether a node may open a connection now."""
        return True

    def may_probe(self, now: float, node: SimulatedNode) -> bool:
        """Whether a node may probe an executor now."""
        return True

    def may_retry(self, now: float, node: SimulatedNode) -> bool:
        """Whether a node may send a request again that an executor refused."""
        return True

    def sharers(self, executor: int) -> int:
        """Nodes that share reports of an executor, the own one included."""
        return 1

    def choose(self, now: float, node: SimulatedNode, request: ClientRequest, nodes: NodeGroup) -> int | None:
        """The best of some executors that have room by the node's reports; none where none has."""
        return nodes.least_loaded(now, node, self.draw(node), request.weight)

    def draw(self, node: SimulatedNode) -> list[int]:
        """Some of the executors that a node uses."""
        count = len(node.executors)
        return [node.executors[int(n)] for n in self.generator.integers(count, size=SAMPLES)]

    def on_no_room(self, node: SimulatedNode) -> None:
        """A node has found no executor for a request."""

    def on_report(self, now: float, node: SimulatedNode, report: ExecutorReport) -> None:
        """A node has heard something of an executor itself."""


class FixedPolicy(AlonePolicy):
    """Each node has an even part of all slots, retries and probes."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        super().__init__(simulation)
        self._used = [0.0] * self.setup.nodes  # requests of its part, which drain at its rate
        self._used_at = [0.0] * self.setup.nodes

    def admit(self, now: float, request: ClientRequest, node: SimulatedNode) -> Admission:
        """As long as the node's even part of all slots allows, by the rate that they stand."""
        rate = self.setup.request_rate / self.setup.nodes
        number = node.number
        used = max(0.0, self._used[number] - (now - self._used_at[number]) * rate)
        admitted = used < max(1.0, rate * PART_BURST)
        self._used[number], self._used_at[number] = used + admitted, now
        return Admission.ADMITTED if admitted else Admission.REFUSED

    def may_probe(self, now: float, node: SimulatedNode) -> bool:
        """A fifth of the time."""
        return float(self.generator.random()) <= FIXED_PROBE_SHARE

    def may_retry(self, now: float, node: SimulatedNode) -> bool:
        """A part of the node's own first attempts."""
        return node.retry_budget.spend(node.first_attempts)
