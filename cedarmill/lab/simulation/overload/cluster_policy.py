"""The cluster-wide policy, with the production shedding threshold, budget leases and shared load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarmill.cluster import budget_grants
from cedarmill.cluster.admission_level.gate import OVER_QUOTA_SHARE
from cedarmill.cluster.budget_grants import Budget
from cedarmill.cluster.gossip_plan import MAX_SENT_FACTOR, ExecutorReport, GossipPlan
from cedarmill.cluster.state import ClusterState, Member
from cedarmill.cluster.state_machine import commands
from cedarmill.lab.simulation.applied_commands import AppliedCommands
from cedarmill.lab.simulation.overload.admission_control import CONTROL_INTERVAL_STEPS, AdmissionControl
from cedarmill.lab.simulation.overload.node import SimulatedNode
from cedarmill.lab.simulation.overload.policies import Admission, AlonePolicy
from cedarmill.lab.simulation.overload.request import ClientRequest
from cedarmill.lab.simulation.overload.setup import MICROSECONDS_PER_SECOND, TENANTS, TOP_WEIGHT

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.nodes import NodeGroup
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

GRANT_INTERVAL_STEPS = 20  # simulation steps between two budget grants
RATE_PER_EXECUTOR = 2000  # probes or connections per second, in thousandths
RETRY_RATE = 100  # retries, in thousandths of the request rate that fills all slots
QUOTA_RESERVE = 800  # thousandths of a quota that requests of zero weight may not spend
UNSHED_QUEUE_WEIGHT = 2 * TOP_WEIGHT  # raises the queue limit while nothing is shed


class ClusterPolicy(AlonePolicy):
    """Coordinates the nodes through replicated cluster state and shared load reports."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        super().__init__(simulation)
        self._gossip = GossipPlan()
        self._names = [f"e{number}" for number in range(self.setup.executors)]
        self._nodes_by_executor: dict[int, list[int]] = {}  # node numbers by executor
        self._traffic_shares: dict[int, float] = {}  # by node number, as last measured
        self._applied_commands = AppliedCommands(ClusterState("lab"))
        budget_grants.set_budgets(self._applied_commands.world, self._budgets())
        for number in range(self.setup.nodes):
            member = Member("node", f"n{number}", "1")
            self._applied_commands.world.members[member.key] = member
        self._control = AdmissionControl(simulation, self._applied_commands.world)
        self._assign_executors()

    def _budgets(self) -> list[Budget]:
        setup, rate = self.setup, self.setup.request_rate
        per_executors = RATE_PER_EXECUTOR * setup.executors
        budgets = [
            Budget("retries", int(rate * RETRY_RATE), setup.nodes),
            Budget("probes", per_executors, setup.nodes),
            Budget("connects", per_executors, setup.nodes),
        ]
        quotas = [
            Budget(_quota_budget(tenant.name), int(rate * tenant.share * 1000), setup.nodes)
            for tenant in TENANTS
        ]
        return budgets + quotas

    def _is_lease_valid(self) -> bool:
        return self.setup.has_replica(self.simulation.now)

    # Decisions of one node.

    def _spend(self, now: float, node: SimulatedNode, budget: str, reserve: int = 0) -> bool:
        return node.budget_leases.spend(
            int(now * MICROSECONDS_PER_SECOND), self._is_lease_valid(), budget, reserve
        )

    def admit(self, now: float, request: ClientRequest, node: SimulatedNode) -> Admission:
        """Admit a request by the shedding threshold, at a reduced weight if its tenant is over quota."""
        weight = request.weight
        reserve = QUOTA_RESERVE - QUOTA_RESERVE * weight // TOP_WEIGHT
        if not self._spend(now, node, _quota_budget(TENANTS[request.tenant].name), reserve):
            weight = weight * OVER_QUOTA_SHARE // 1000
        step = self.simulation.step_number
        node.recent.demand.append((step, weight, request.size))
        sample = float(self.generator.random())
        if node.gate.rejects(int(now * MICROSECONDS_PER_SECOND), self._is_lease_valid(), weight, sample):
            return Admission.REFUSED_WITH_ADVICE
        node.recent.admitted.append(step)
        return Admission.ADMITTED

    def may_connect(self, now: float, node: SimulatedNode) -> bool:
        """Return whether the connection budget permits another connection."""
        return self._spend(now, node, "connects")

    def may_probe(self, now: float, node: SimulatedNode) -> bool:
        """Return whether the probe budget permits another probe."""
        return self._spend(now, node, "probes")

    def may_retry(self, now: float, node: SimulatedNode) -> bool:
        """Return whether the node's retry ratio and the retry budget both permit a retry."""
        return node.retry_budget.spend(node.first_attempts) and self._spend(now, node, "retries")

    def sharers(self, executor: int) -> int:
        """Nodes that use the executor."""
        return len(self._nodes_by_executor[executor])

    def choose(self, now: float, node: SimulatedNode, request: ClientRequest, nodes: NodeGroup) -> int | None:
        """Return the least loaded of two executors, of the other samples, or of all, or None.

        While the cluster sheds nothing, a last search accepts longer queues.
        """
        sampled = self.sample_executors(node)
        for candidates in (sampled[:2], sampled[2:], node.executors):
            executor = nodes.least_loaded(now, node, candidates, request.weight, MAX_SENT_FACTOR)
            if executor is not None:
                return executor
        if node.gate.threshold.weight >= 0:
            return None
        # The other nodes do not all send at the same time, so only the node's own requests count.
        return nodes.least_loaded(now, node, node.executors, UNSHED_QUEUE_WEIGHT, 1)

    def on_no_executor(self, node: SimulatedNode) -> None:
        """Record the rejection for the node's digest."""
        node.recent.rejected_locally.append(self.simulation.step_number)

    def on_report(self, now: float, node: SimulatedNode, report: ExecutorReport) -> None:
        """Schedule delivery of the report to the nodes that use the same executor."""
        if node.board.may_share(report):
            self.simulation.schedule(now + self.setup.report_delay, self._deliver, report, node.number)

    def _deliver(self, now: float, report: ExecutorReport, sender: int) -> None:
        """Deliver a report to the other nodes of its executor, which do not forward it."""
        for number in self._nodes_by_executor[int(report.executor)]:
            if number != sender and self.generator.random() >= self.setup.report_loss:
                self.simulation.nodes.all[number].board.accept(report)

    # Replicated state.

    def step(self, number: int) -> None:
        """Run the periodic budget grants and threshold control while a replica is available."""
        if number % CONTROL_INTERVAL_STEPS == 0:
            self._control.record_queue_spread()
        if number % GRANT_INTERVAL_STEPS == 0 and self._is_lease_valid():
            for node in self.simulation.nodes.all:
                if node.is_alive:
                    self._renew_budget_leases(node)
            self._update_traffic_shares()
        if number % CONTROL_INTERVAL_STEPS == 0 and self._is_lease_valid():
            self._control.step(number)

    def _renew_budget_leases(self, node: SimulatedNode) -> None:
        """Report a node's budget demand, apply its granted rates and acknowledge them."""
        key, now_us = f"node:n{node.number}:1", int(self.simulation.now * MICROSECONDS_PER_SECOND)
        state = self._applied_commands.world
        state.clock = now_us
        self._applied_commands.index = state.index
        self._applied_commands.apply(
            commands.SetBudgetDemand(now_us, key, node.budget_leases.demands(now_us))
        )
        node.budget_leases.set_rates(now_us, True, budget_grants.rates_of(state, key))
        budget_grants.acknowledge(state, key, state.epoch)

    def _update_traffic_shares(self) -> None:
        """Measure the nodes' shares of the traffic and reassign executors by them."""
        demand_by_node = {
            node.number: sum(size for _, _, size in node.recent.demand)
            for node in self.simulation.nodes.all
            if node.is_alive
        }
        total = max(1e-9, sum(demand_by_node.values()))
        self._traffic_shares = {number: size / total for number, size in demand_by_node.items()}
        self._assign_executors()

    def _assign_executors(self) -> None:
        """Assign executors to the nodes with a valid lease, by their shares of the traffic."""
        now = self.simulation.now
        leased_nodes = {
            f"n{node.number}": node
            for node in self.simulation.nodes.all
            if node.is_alive or now < node.lease_until
        }
        self._nodes_by_executor = {number: [] for number in range(self.setup.executors)}
        self._gossip.update(leased_nodes, self._names)
        for name, node in leased_nodes.items():
            share = self._traffic_shares.get(node.number, 0.0)
            node.executors = [
                int(executor_name[1:]) for executor_name in self._gossip.executors_of(name, share)
            ]
            for executor in node.executors:
                self._nodes_by_executor[executor].append(node.number)


def _quota_budget(tenant: str) -> str:
    return f"tenant:{tenant}"
