"""The cluster as one: the real threshold of admission, leased budgets, and reports that nodes share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarmill.cluster import budget_grants
from cedarmill.cluster.admission_level.gate import OVER_QUOTA_SHARE
from cedarmill.cluster.budget_grants import Budget
from cedarmill.cluster.gossip_plan import MAX_SENT_FACTOR, ExecutorReport, GossipPlan
from cedarmill.cluster.state import ClusterState, Member
from cedarmill.cluster.state_machine import commands
from cedarmill.lab.simulation.applied_commands import AppliedCommands
from cedarmill.lab.simulation.overload.admission_control import CONTROL_STEPS, AdmissionControl
from cedarmill.lab.simulation.overload.node import SimulatedNode
from cedarmill.lab.simulation.overload.policies import Admission, AlonePolicy
from cedarmill.lab.simulation.overload.request import ClientRequest
from cedarmill.lab.simulation.overload.setup import TENANTS, TOP_WEIGHT, US

if TYPE_CHECKING:
    from cedarmill.lab.simulation.overload.nodes import NodeGroup
    from cedarmill.lab.simulation.overload.simulation import OverloadSimulation

GRANT_STEPS = 20  # between two looks at demand, budgets and who uses what: 1 s
RATE_PER_EXECUTOR = 2000  # thousandths a second, of probes and of connections
RETRY_RATE = 100  # thousandths: a tenth of the requests that fill all slots
QUOTA_RESERVE = 800  # thousandths of a quota that requests of no weight leave to others
CALM_WEIGHT = 2 * TOP_WEIGHT  # where nothing is shed: half a queue slot more than the top weight has


class ClusterPolicy(AlonePolicy):
    """What is agreed, and nodes that obey it."""

    def __init__(self, simulation: OverloadSimulation) -> None:
        super().__init__(simulation)
        self._gossip = GossipPlan()
        self._names = [f"e{number}" for number in range(self.setup.executors)]
        self._users: dict[int, list[int]] = {}  # nodes, by executor
        self._traffic_shares: dict[int, float] = {}  # by node, as last reported
        self._agreed = AppliedCommands(ClusterState("lab"))
        budget_grants.set_budgets(self._agreed.world, self._budgets())
        for number in range(self.setup.nodes):
            member = Member("node", f"n{number}", "1")
            self._agreed.world.members[member.key] = member
        self._control = AdmissionControl(simulation, self._agreed.world)
        self._assign_executors()

    def _budgets(self) -> list[Budget]:
        setup, rate = self.setup, self.setup.request_rate
        per_executors = RATE_PER_EXECUTOR * setup.executors
        budgets = [
            Budget("retries", int(rate * RETRY_RATE), setup.nodes),
            Budget("probes", per_executors, setup.nodes),
            Budget("connects", per_executors, setup.nodes),
        ]
        quotas = [Budget(_quota(one.name), int(rate * one.share * 1000), setup.nodes) for one in TENANTS]
        return budgets + quotas

    def _lease_holds(self) -> bool:
        return self.setup.has_replica(self.simulation.now)

    # What a node may do.

    def _spend(self, now: float, node: SimulatedNode, budget: str, reserve: int = 0) -> bool:
        return node.budget_leases.spend(int(now * US), self._lease_holds(), budget, reserve)

    def admit(self, now: float, request: ClientRequest, node: SimulatedNode) -> Admission:
        """By the threshold, at the weight that the tenant's quota leaves the request."""
        weight = request.weight
        reserve = QUOTA_RESERVE - QUOTA_RESERVE * weight // TOP_WEIGHT
        if not self._spend(now, node, _quota(TENANTS[request.tenant].name), reserve):
            weight = weight * OVER_QUOTA_SHARE // 1000
        step = self.simulation.step_number
        node.recent.wanted.append((step, weight, request.size))
        sample = float(self.generator.random())
        if node.gate.rejects(int(now * US), self._lease_holds(), weight, sample):
            return Admission.REFUSED_WITH_ADVICE
        node.recent.admitted.append(step)
        return Admission.ADMITTED

    def may_connect(self, now: float, node: SimulatedNode) -> bool:
        """By the budget of connections."""
        return self._spend(now, node, "connects")

    def may_probe(self, now: float, node: SimulatedNode) -> bool:
        """By the budget of probes."""
        return self._spend(now, node, "probes")

    def may_retry(self, now: float, node: SimulatedNode) -> bool:
        """By the node's own first attempts, and the budget of retries."""
        return node.retry_budget.spend(node.first_attempts) and self._spend(now, node, "retries")

    def sharers(self, executor: int) -> int:
        """Nodes that use the executor."""
        return len(self._users[executor])

    def choose(self, now: float, node: SimulatedNode, request: ClientRequest, nodes: NodeGroup) -> int | None:
        """The best of two, of some more, of all that the node uses; where nothing is shed by milder rules."""
        drawn = self.draw(node)
        for part in (drawn[:2], drawn[2:], node.executors):
            found = nodes.least_loaded(now, node, part, request.weight, MAX_SENT_FACTOR)
            if found is not None:
                return found
        if node.gate.threshold.weight >= 0:
            return None
        # others do not all send at the same time
        return nodes.least_loaded(now, node, node.executors, CALM_WEIGHT, 1)

    def on_no_room(self, node: SimulatedNode) -> None:
        """It enters the node's digest."""
        node.recent.rejected_locally.append(self.simulation.step_number)

    def on_report(self, now: float, node: SimulatedNode, report: ExecutorReport) -> None:
        """It goes to those that use the same executor, later."""
        if node.board.may_share(report):
            self.simulation.schedule(now + self.setup.report_delay, self._deliver, report, node.number)

    def _deliver(self, now: float, report: ExecutorReport, sender: int) -> None:
        """Reports come to the others; nobody passes on what it was told."""
        for number in self._users[int(report.executor)]:
            if number != sender and self.generator.random() >= self.setup.report_loss:
                self.simulation.nodes.all[number].board.accept(report)

    # What is agreed.

    def step(self, number: int) -> None:
        """Digests, the threshold, budgets: as real as they are, over reports that come late."""
        if number % CONTROL_STEPS == 0:
            self._control.note_queues()
        if number % GRANT_STEPS == 0 and self._lease_holds():
            for node in self.simulation.nodes.all:
                if node.alive:
                    self._grant(node)
            self._note_traffic()
        if number % CONTROL_STEPS == 0 and self._lease_holds():
            self._control.step(number)

    def _grant(self, node: SimulatedNode) -> None:
        """A node reports its demand, and follows what it is granted."""
        key, us = f"node:n{node.number}:1", int(self.simulation.now * US)
        state = self._agreed.world
        state.clock = us
        self._agreed.index = state.index
        self._agreed.apply(commands.SetBudgetDemand(us, key, node.budget_leases.demands(us)))
        node.budget_leases.set_rates(us, True, budget_grants.rates_of(state, key))
        budget_grants.acknowledge(state, key, state.epoch)

    def _note_traffic(self) -> None:
        """Who is there, and what comes to whom; where that has changed, who uses what."""
        came = {
            node.number: sum(size for _, _, size in node.recent.wanted)
            for node in self.simulation.nodes.all
            if node.alive
        }
        total = max(1e-9, sum(came.values()))
        self._traffic_shares = {number: size / total for number, size in came.items()}
        self._assign_executors()

    def _assign_executors(self) -> None:
        """Who uses what: by the nodes that are there, and their parts of the traffic."""
        now = self.simulation.now
        there = {
            f"n{node.number}": node
            for node in self.simulation.nodes.all
            if node.alive or now < node.lease_until
        }
        self._users = {number: [] for number in range(self.setup.executors)}
        self._gossip.update(there, self._names)
        for name, node in there.items():
            share = self._traffic_shares.get(node.number, 0.0)
            node.executors = [int(one[1:]) for one in self._gossip.executors_of(name, share)]
            for executor in node.executors:
                self._users[executor].append(node.number)


def _quota(tenant: str) -> str:
    return f"tenant:{tenant}"
