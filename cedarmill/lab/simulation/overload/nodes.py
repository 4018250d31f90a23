"""The simulated nodes, which forward requests to executors, retry them and handle their completion."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarmill.cluster.gossip_plan import ExecutorReport
from cedarmill.lab.simulation.overload.executor import SimulatedExecutor
from cedarmill.lab.simulation.overload.node import SimulatedNode
from cedarmill.lab.simulation.overload.policies import Admission
from cedarmill.lab.simulation.overload.request import ClientRequest
from cedarmill.lab.simulation.overload.setup import (
    CLIENT_TIMEOUT,
    LATENCY_OBJECTIVE,
    REQUEST_TIME,
    TOP_WEIGHT,
)

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

MAX_ATTEMPTS = 3  # per try of a request at a node
MAX_REPORT_AGE = 0.4  # seconds, after which a node probes the executor
REFUSAL_COST, PROBE_COST, CONNECT_COST = 0.01, 0.002, 0.005  # slot-seconds


class NodeGroup:
    """Routes requests through all nodes of a run."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        self._simulation, self._setup = simulation, simulation.setup
        self._figures, self._executors = simulation.figures, simulation.executors
        setup = self._setup
        self.all = [
            SimulatedNode(number, setup.executors, setup.fixed_queue_slots) for number in range(setup.nodes)
        ]

    def accept(self, now: float, request: ClientRequest) -> None:
        """Admit or refuse a client's request, at another node if its own is dead."""
        clients = self._simulation.clients
        self._figures.offered += 1
        while not self.all[request.node].is_alive:
            request.node = clients.choose_node()
        node = self.all[request.node]
        node.first_attempts += 1
        admission = self._simulation.policy.admit(now, request, node)
        if admission is Admission.ADMITTED:
            request.attempts = 0
            self._send(now, request, node)
        else:
            clients.on_refused(now, request, advised=admission is Admission.REFUSED_WITH_ADVICE)

    def _send(self, now: float, request: ClientRequest, node: SimulatedNode) -> None:
        policy = self._simulation.policy
        executor_number = policy.choose(now, node, request, self)
        if executor_number is None:
            policy.on_no_executor(node)
            self._simulation.clients.on_refused(now, request, advised=False)
            return
        executor = self._executors[executor_number]
        self._figures.attempts += 1
        request.attempts += 1
        if executor_number not in node.connected and policy.may_connect(now, node):
            node.connected.add(executor_number)
            self._figures.connects += 1
            self._charge_overhead(now, executor, CONNECT_COST)
        requests = executor.requests(now)
        if executor.is_full(now, requests):
            self._charge_overhead(now, executor, REFUSAL_COST)
            self._record_report(now, node, executor_number, requests)
            self._retry_attempt(now, request, node)
            return
        node.board.on_sent(executor_number)
        end = executor.enqueue(now, request.size)
        self._figures.work += request.size
        observed_at = min(end, now + CLIENT_TIMEOUT)
        self._simulation.schedule(
            observed_at, self._on_attempt_ended, request, node, executor_number, end, now
        )

    def _retry_attempt(self, now: float, request: ClientRequest, node: SimulatedNode) -> None:
        """Retry a refused attempt if the attempt limit and the policy permit, or refuse the request."""
        if request.attempts < MAX_ATTEMPTS and self._simulation.policy.may_retry(now, node):
            self._send(now, request, node)
        else:
            self._simulation.clients.on_refused(now, request, advised=False)

    def _charge_overhead(self, now: float, executor: SimulatedExecutor, size: float) -> None:
        """Charge an executor with overhead (slot-seconds) and count it as wasted work."""
        executor.occupy_slot(now, size)
        self._figures.work += size
        self._figures.wasted_work += size

    # Load reports of executors.

    def least_loaded(
        self, now: float, node: SimulatedNode, executor_numbers: list[int], weight: int, max_sharers: int = 1
    ) -> int | None:
        """Return the least loaded of these executors with capacity, or None.

        Executors with outdated reports are probed first if the policy permits. The node's requests since
        a report count once per sharing node, up to `max_sharers` times.
        """
        available = []
        for executor_number in executor_numbers:
            report = node.board.reports.get(executor_number)
            if report is None or now - report.at > MAX_REPORT_AGE:
                self._probe(now, node, executor_number)
            sharers = self._simulation.policy.sharers(executor_number)
            load = node.board.estimated_load(executor_number, now, min(sharers, max_sharers))
            if load < self._setup.slots + node.queue_slots(executor_number, weight):
                available.append(
                    (node.board.estimated_load(executor_number, now, sharers**0.5), executor_number)
                )
        return min(available)[1] if available else None

    def _probe(self, now: float, node: SimulatedNode, executor_number: int) -> None:
        if not self._simulation.policy.may_probe(now, node):
            return
        self._figures.probes += 1
        key = executor_number, int(now)
        self._figures.probes_by_second[key] = self._figures.probes_by_second.get(key, 0) + 1
        executor = self._executors[executor_number]
        self._charge_overhead(now, executor, PROBE_COST)
        self._record_report(now, node, executor_number, executor.requests(now))

    def _record_report(self, now: float, node: SimulatedNode, executor_number: int, requests: int) -> None:
        """Record the number of requests at an executor in the node's reports, and pass it to the policy."""
        report = ExecutorReport(executor_number, now, requests, self._setup.slots)
        node.board.accept(report)
        self._simulation.policy.on_report(now, node, report)

    # Completion.

    def _on_attempt_ended(
        self,
        now: float,
        request: ClientRequest,
        node: SimulatedNode,
        executor_number: int,
        end: float,
        sent_at: float,
    ) -> None:
        """Handle the end of an attempt: a response, a timeout of its client or the death of its node."""
        clients = self._simulation.clients
        if not node.is_alive:
            self._figures.wasted_work += request.size
            clients.retry(now, request)
            return
        node.board.on_ended(executor_number)
        response_time = now - request.first_at if request.tries == 1 else now - sent_at
        late = end > sent_at + CLIENT_TIMEOUT or response_time > LATENCY_OBJECTIVE + REQUEST_TIME
        node.recent.completions.append((self._simulation.step_number, late))
        node.update_queue_slots(now, executor_number, late, self._setup.slots)
        if end > now + 1e-9:
            self._figures.wasted_work += request.size
            clients.retry(now, request)
            return
        self._record_report(now, node, executor_number, self._executors[executor_number].requests(now))
        if not request.is_done:
            request.is_done = True
            if not late:
                self._count_served(request, response_time)

    def _count_served(self, request: ClientRequest, response_time: float) -> None:
        setup, figures = self._setup, self._figures
        if self._simulation.now >= setup.peak_start:
            figures.value += request.weight * request.size
            figures.response_times[request.weight].append(response_time)
        figures.served_by_second[int(request.first_at)] += 1
        if setup.load(request.first_at) != setup.normal:
            figures.served_by_tenant[request.tenant] += request.size
            figures.top_weight_served += request.weight == TOP_WEIGHT
