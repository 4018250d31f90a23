"""The leader's admission control, which adjusts the shedding threshold by delayed load digests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.state import UNKNOWN, LoadReport, SheddingThreshold
from cedarmill.cluster.state import ClusterState
from cedarmill.lab.simulation.overload.setup import (
    LATENCY_OBJECTIVE,
    MICROSECONDS_PER_SECOND,
    REQUEST_TIME,
    STEP,
)

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

DIGEST_DELAY = 1.0  # seconds from a node to the leader
THRESHOLD_DELAY = 0.3  # seconds from the leader to a node
CONTROL_INTERVAL_STEPS = 10  # simulation steps between two adjustments of the threshold
OVERSTATING_NODE = 0


class LoadWindow(NamedTuple):
    """The simulation steps that digests cover, from `first` up to but excluding `last`."""

    first: int
    last: int

    @property
    def seconds(self) -> float:
        """The duration of the window, in seconds."""
        return (self.last - self.first) * STEP


class AdmissionControl:
    """Runs the production threshold controller on simulated digests."""

    def __init__(self, simulation: OverloadSimulation, state: ClusterState) -> None:
        self._simulation, self._state = simulation, state
        self._request_samples: list[int] = []  # requests at all executors, one sample per control step

    def record_queue_spread(self) -> None:
        """Record the ratio of the longest executor queue to the mean queue during the peak."""
        simulation, setup = self._simulation, self._simulation.setup
        queues = [executor.requests(simulation.now) for executor in simulation.executors]
        if setup.peak_start <= simulation.now < setup.peak_end:
            spread = max(queues) / max(1.0, sum(queues) / len(queues))
            simulation.figures.queue_spreads.append(spread)

    def step(self, number: int) -> None:
        """Advance the controller by one step and schedule delivery of its threshold to the nodes."""
        window = LoadWindow(number - int(2 * DIGEST_DELAY / STEP), number - int(DIGEST_DELAY / 2 / STEP))
        for node in self._simulation.nodes.all:
            node.recent.forget_before(window.first)
        demand = self._demand(window)
        self._state.clock, self._state.index = (
            int(self._simulation.now * MICROSECONDS_PER_SECOND),
            self._state.index + 1,
        )
        controller.advance(self._state, demand, self._load_report(window))
        threshold = self._state.admission.threshold
        self._simulation.schedule(self._simulation.now + THRESHOLD_DELAY, self._deliver_threshold, threshold)

    def _demand(self, window: LoadWindow) -> dict[int, int]:
        """Return the demanded slots (thousandths) by priority weight."""
        demand: dict[int, int] = {}
        overstatement = self._simulation.setup.overstated_demand_factor
        for node in self._simulation.nodes.all:
            factor = overstatement if overstatement and node.number == OVERSTATING_NODE else 1.0
            for at, weight, size in node.recent.demand:
                if at < window.last:
                    demand[weight] = demand.get(weight, 0) + int(1000 * factor * size / window.seconds)
        return demand

    def _load_report(self, window: LoadWindow) -> LoadReport:
        simulation = self._simulation
        recents = [node.recent for node in simulation.nodes.all]
        lateness = [late for recent in recents for at, late in recent.completions if at < window.last]
        rejected = sum(at < window.last for recent in recents for at in recent.rejected_locally)
        admitted = sum(at < window.last for recent in recents for at in recent.admitted)
        self._request_samples.append(
            sum(executor.requests(simulation.now) for executor in simulation.executors)
        )
        samples_ago = int(DIGEST_DELAY / STEP / CONTROL_INTERVAL_STEPS)
        # Requests at the time of the digests.
        requests_in_cluster = self._request_samples[max(0, len(self._request_samples) - 1 - samples_ago)]
        allotted = len(lateness) * (LATENCY_OBJECTIVE + REQUEST_TIME) / window.seconds
        queueing = (
            int(1000 * requests_in_cluster / allotted) if allotted else UNKNOWN if requests_in_cluster else 0
        )
        return LoadReport(
            slots=1000 * simulation.setup.all_slots,
            late=1000 * sum(lateness) // max(1, len(lateness)),
            slots_in_use=1000 * requests_in_cluster,
            slots_served=0,
            queueing=queueing,
            rejected_locally=1000 * rejected // max(1, admitted),
        )

    def _deliver_threshold(self, now: float, threshold: SheddingThreshold) -> None:
        first, last = self._simulation.setup.partial_delivery_period
        for node in self._simulation.nodes.all[:: 2 if first <= now < last else 1]:
            node.gate.set_thresholds(threshold)
