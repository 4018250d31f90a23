"""The leader's side of admission: what digests say of the load, a moment ago, moves the threshold."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.state import UNKNOWN, LoadReport, SheddingThreshold
from cedarmill.cluster.state import ClusterState
from cedarmill.lab.simulation.overload.setup import LATENCY_OBJECTIVE, REQUEST_TIME, STEP, US

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

DIGEST_DELAY = 1.0  # s that digests take to the leader
ORDERS_DELAY = 0.3  # s that orders take back
CONTROL_STEPS = 10  # between two steps of the threshold: 0.5 s
LYING_NODE = 0


class LoadWindow(NamedTuple):
    """What digests tell of the steps from `first` to `last`, the last one left out."""

    first: int
    last: int

    @property
    def seconds(self) -> float:
        """How long it is."""
        return (self.last - self.first) * STEP


class AdmissionControl:
    """Runs the real controller of the threshold."""

    def __init__(self, simulation: OverloadSimulation, state: ClusterState) -> None:
        self._simulation, self._state = simulation, state
        self._requests: list[int] = []  # at executors, at each look

    def note_queues(self) -> None:
        """Measure how uneven executors' queues are in the peak."""
        simulation, setup = self._simulation, self._simulation.setup
        queues = [executor.requests(simulation.now) for executor in simulation.executors]
        if setup.begins <= simulation.now < setup.ends:
            spread = max(queues) / max(1.0, sum(queues) / len(queues))
            simulation.figures.queue_spreads.append(spread)

    def step(self, number: int) -> None:
        """One step of the controller; nodes hear of the threshold later."""
        window = LoadWindow(number - int(2 * DIGEST_DELAY / STEP), number - int(DIGEST_DELAY / 2 / STEP))
        for node in self._simulation.nodes.all:
            node.recent.forget_before(window.first)
        demand = self._demand(window)
        self._state.clock, self._state.index = int(self._simulation.now * US), self._state.index + 1
        controller.advance(self._state, demand, self._load_report(window))
        threshold = self._state.admission.threshold
        self._simulation.schedule(self._simulation.now + ORDERS_DELAY, self._tell, threshold)

    def _demand(self, window: LoadWindow) -> dict[int, int]:
        """Slots wanted (thousandths), by priority weight."""
        demand: dict[int, int] = {}
        demand_lie = self._simulation.setup.demand_lie
        for node in self._simulation.nodes.all:
            factor = demand_lie if demand_lie and node.number == LYING_NODE else 1.0
            for at, weight, size in node.recent.wanted:
                if at < window.last:
                    demand[weight] = demand.get(weight, 0) + int(1000 * factor * size / window.seconds)
        return demand

    def _load_report(self, window: LoadWindow) -> LoadReport:
        simulation = self._simulation
        recents = [node.recent for node in simulation.nodes.all]
        ends = [late for recent in recents for at, late in recent.ends if at < window.last]
        rejected = sum(at < window.last for recent in recents for at in recent.rejected_locally)
        admitted = sum(at < window.last for recent in recents for at in recent.admitted)
        self._requests.append(sum(one.requests(simulation.now) for one in simulation.executors))
        looks_ago = int(DIGEST_DELAY / STEP / CONTROL_STEPS)
        in_cluster = self._requests[max(0, len(self._requests) - 1 - looks_ago)]  # as it was then
        allotted = len(ends) * (LATENCY_OBJECTIVE + REQUEST_TIME) / window.seconds
        queueing = int(1000 * in_cluster / allotted) if allotted else UNKNOWN if in_cluster else 0
        return LoadReport(
            slots=1000 * simulation.setup.all_slots,
            late=1000 * sum(ends) // max(1, len(ends)),
            slots_in_use=1000 * in_cluster,
            slots_served=0,
            queueing=queueing,
            rejected_locally=1000 * rejected // max(1, admitted),
        )

    def _tell(self, now: float, threshold: SheddingThreshold) -> None:
        first, last = self._simulation.setup.half_told
        for node in self._simulation.nodes.all[:: 2 if first <= now < last else 1]:
            node.gate.set_thresholds(threshold)
