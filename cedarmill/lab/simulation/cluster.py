"""One run of the cluster's cores on one seeded clock: replicas, nodes, supervisors, executors and operators
under faults; no sockets.

One seed is one timeline: all chance comes from one tree of seeds, all events of one instant are taken in the
order in which they were entered, and nothing hangs on hashing. Each process has a clock of its own rate. A
message may be late, lost or never leave; a disk loses what was not synced; a process may be killed or stand
still at any moment. The histories are checked by the invariants that also check real processes.
"""

import msgspec

from cedarmill.cluster import budget_grants
from cedarmill.cluster.raft.messages import Peer
from cedarmill.cluster.state import ClusterState, encode_snapshot
from cedarmill.cluster.traffic_control import intake
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.lab.cluster.invariants import Record
from cedarmill.lab.simulation.clock import SECOND
from cedarmill.lab.simulation.cluster_setup import (
    PROBE_BUDGET,
    SLOTS_PER_EXECUTOR,
    SLOW_START,
    ClusterSetup,
)
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.executor import ExecutorPool
from cedarmill.lab.simulation.faults import FaultInjector
from cedarmill.lab.simulation.operators import DrainOperator, ReleaseOperator
from cedarmill.lab.simulation.replica import SimulatedReplica
from cedarmill.lab.simulation.seeds import timeline_hash
from cedarmill.lab.simulation.supervisor import SimulatedSupervisor
from cedarmill.values import LimitOptions

MAX_RECOVERY_SECONDS = 15  # after a run, for replicas that were down at its end
FIRST_DRAIN = 4 * SECOND  # us
MAX_DRAIN_GAP = 2 * SECOND  # us


def initial_state(setup: ClusterSetup) -> ClusterState:
    """What is agreed before anything happened."""
    state = ClusterState("lab", limits=list(setup.limits), slow_start_us=SLOW_START)
    if setup.spends_budget:
        budget_grants.set_budgets(state, [PROBE_BUDGET])
    if setup.plans_traffic:
        intake.set_layout(state, ZoneLayout(setup.zones_by_region()))
    return state


class ClusterSimulation:
    """One run; times are microseconds of its virtual clock."""

    def __init__(self, setup: ClusterSetup, seed: int) -> None:
        self.setup, self.seed = setup, seed
        self.environment = ClusterEnvironment(setup, seed)
        self.scheduler, self.network = self.environment.scheduler, self.environment.network
        self.history = self.environment.history
        self.executors = ExecutorPool(self.environment)
        self.faults = FaultInjector(self.environment, self.executors)
        self.replicas = self.environment.replicas
        self._start_replicas()
        for number in range(setup.nodes):
            supervisor = SimulatedSupervisor(self.environment, self.executors, number, 0)
            self.environment.supervisors.append(supervisor)
        self.operators: list[DrainOperator] = []
        self.release = ReleaseOperator(self.environment, setup.release) if setup.release else None

    def _start_replicas(self) -> None:
        names = [f"keeper-{number}" for number in range(self.setup.replicas)]
        config = {name: Peer("", True, "") for name in names}
        state = initial_state(self.setup)
        for name in names:
            replica = SimulatedReplica(self.environment, name, config, state)
            self.replicas[name] = replica
            self.network.add_replica(name, replica)

    def run(self) -> Record:
        """Play it to its end; what it left."""
        self._schedule_drains()
        self.faults.schedule()
        self._compare_states()
        self.scheduler.run_until(self.setup.length)
        for _ in range(MAX_RECOVERY_SECONDS):
            if any(replica.replica.is_leader for replica in self.replicas.values()):
                break
            self.scheduler.run_until(self.scheduler.now + SECOND)
        self._tell_open_permits()
        return self._record()

    def _record(self) -> Record:
        setup, environment = self.setup, self.environment
        targets = [(name, "executor") for name in self.executors.by_name]
        targets += [(f"node-{number}", "node") for number in range(setup.nodes)]
        places = {name: {"kind": kind, "zone": setup.zone_of(name)} for name, kind in targets}
        limits = tuple(
            LimitOptions(one.kind, one.scope, one.max_targets, one.share, one.capacity_left)
            for one in setup.limits
        )
        floors = PROBE_BUDGET.rate - PROBE_BUDGET.grantable
        return Record(
            self.history.events,
            self.executors.visits,
            limits,
            places,
            dict.fromkeys(places, SLOTS_PER_EXECUTOR),
            None,
            SLOW_START,
            disagreements=environment.violations,
            granted_at=environment.applied.first_applied_at,
            spent=environment.spending,
            budget=(PROBE_BUDGET.grantable, floors, setup.nodes),
        )

    def _compare_states(self) -> None:
        """Replicas that have applied as much hold the same, to the last byte; asked each second."""
        first_by_index: dict[int, tuple[str, bytes]] = {}
        for replica in self.replicas.values():
            state = replica.replica.state
            text = encode_snapshot(state)
            name, first_text = first_by_index.setdefault(state.index, (replica.name, text))
            if first_text != text:
                self.environment.report_violation(f"{name} and {replica.name} differ at {state.index}")
        self.scheduler.after(SECOND, self._compare_states)

    def _tell_open_permits(self) -> None:
        """At the end the replicas name what is still out."""
        states = [replica.replica.state for replica in self.replicas.values()]
        newest = max(states, key=lambda state: (state.generation, state.index))
        for permit in newest.permits.values():
            if permit.is_out_of_service:
                self.history.tell("keepers", "named", permit.target, epoch=permit.epoch)

    def _schedule_drains(self) -> None:
        generator, names, at = self.environment.generator, list(self.executors.by_name), FIRST_DRAIN
        for number in range(self.setup.drains):
            at += 0 if number % 3 == 1 else generator.randrange(MAX_DRAIN_GAP)
            self.scheduler.after(at, self._drain, number, generator.choice(names))

    def _drain(self, number: int, target: str) -> None:
        self.operators.append(DrainOperator(self.environment, self.executors, number, target))

    def requests_of(self, version: str) -> int:
        """Requests that nodes of a version sent, in ten thousandths of all."""
        counts = self.environment.requests_by_version
        return 10_000 * counts.get(version, 0) // max(1, sum(counts.values()))

    def digest(self) -> str:
        """Of the whole timeline: equal for equal seeds, whatever the machine's hashing."""
        events = b"".join(msgspec.json.encode(event) for event in self.history.events)
        visits = repr([(visit.executor, visit.id, visit.at) for visit in self.executors.visits])
        return timeline_hash(events, visits.encode(), str(self.network.messages).encode())
