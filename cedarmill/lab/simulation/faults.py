"""Faults of a run of the cluster's simulation: moment, length and victim of each are drawn."""

from collections.abc import Callable

from cedarmill.lab.simulation.clock import MILLISECOND, SECOND
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.executor import ExecutorPool
from cedarmill.lab.simulation.network import ANYONE
from cedarmill.lab.simulation.node import BUSY_TURN, SimulatedNode
from cedarmill.lab.simulation.replica import SimulatedReplica

FIRST_FAULT, QUIET_END = 3 * SECOND, 6 * SECOND  # us after the start, and before the end
LENGTHS = (300 * MILLISECOND, 6 * SECOND)  # us that a fault lasts
BEYOND_LEASE = 4 * SECOND  # us: longer than a lease
LONG_PARTITION = 5 * SECOND  # us, on top of the length that was drawn
LONGEST_PAUSE = 20 * SECOND  # us, of a node that stands still till something is drained
RESTART_WAITS = (500 * MILLISECOND, 1500 * MILLISECOND)  # us: about an election

Fault = Callable[[int], None]  # with the length (us) that was drawn


class FaultInjector:
    """Injects faults into the actors of one run; a fault is named as in the history."""

    def __init__(self, environment: ClusterEnvironment, executors: ExecutorPool) -> None:
        self.environment, self.executors = environment, executors
        self.generator = environment.generator
        self._faults: dict[str, Fault] = {
            "kill": self._kill_replica,
            "pause": self._pause_replica,
            "cut": self._partition_replicas,
            "one-way": self._partition_replicas_one_way,
            "isolate": self._isolate_process,
            "all-keepers": self._kill_all_replicas,
            "node-kill": self._kill_node,
            "node-pause": self._pause_node,
            "steward-kill": self._kill_supervisor,
            "executor": self._stop_executor,
            "old-lease": self._pause_supervisor,
            "snap": self._make_snapshot,
            "crash": self._kill_replica_at_sync,
            "mid-change": self._disturb_supervisor_after_start,
            "trap": self._pause_supervisor_at_orders,
            "flicker": self._restart_replicas_during_election,
            "cut-node": self._partition_node,
            "sleeper": self._pause_node_till_drained,
            "zone": self._stop_zone,
            "cut-spender": self._partition_spender,
        }

    def schedule(self) -> None:
        """Draw all faults of the run, with their moments."""
        setup = self.environment.setup
        for _ in range(setup.faults):
            at = self.generator.randrange(FIRST_FAULT, setup.length - QUIET_END)
            self.environment.scheduler.after(at, self.inject, self.generator.choice(setup.fault_kinds))

    def inject(self, kind: str) -> None:
        """Let a fault of this kind happen now."""
        length = self.generator.randrange(*LENGTHS)
        self.environment.history.tell("lab", kind, number=length / SECOND)
        self._faults[kind](length)

    # Replicas.

    def leader(self) -> SimulatedReplica:
        """Who leads, or any where nobody does."""
        replicas = self.environment.replicas.values()
        leading = [one for one in replicas if one.alive and one.replica.is_leader]
        return leading[0] if leading else next(iter(replicas))

    def _some_replica(self) -> SimulatedReplica:
        if self.generator.random() < 0.5:
            return self.leader()
        return self.generator.choice(list(self.environment.replicas.values()))

    def _some_replica_name(self) -> str:
        return self.generator.choice(list(self.environment.replicas))

    def _kill_replica(self, length: int) -> None:
        replica = self._some_replica()
        if replica.alive:
            replica.kill()
            self.environment.scheduler.after(length, replica.start)

    def _kill_all_replicas(self, length: int) -> None:
        for replica in self.environment.replicas.values():
            if replica.alive:
                replica.kill()
                self.environment.scheduler.after(length + self.generator.randrange(SECOND), replica.start)

    def _pause_replica(self, length: int) -> None:
        self._some_replica().pause(length)

    def _kill_replica_at_sync(self, length: int) -> None:
        """A replica is killed the next time that it has something to sync."""
        self._some_replica().dies_at_sync = True

    def _make_snapshot(self, length: int) -> None:
        """A replica makes a snapshot, so that others may need it."""
        self._some_replica().make_snapshot()

    def _restart_replicas_during_election(self, length: int) -> None:
        """The leader dies, and the others are killed and at once started while they elect another."""
        self._kill_replica(length)
        for replica in self.environment.replicas.values():
            if replica.alive:
                delay = self.generator.randrange(*RESTART_WAITS)
                self.environment.scheduler.after(delay, self._restart_replica, replica)

    def _restart_replica(self, replica: SimulatedReplica) -> None:
        if replica.alive:
            replica.kill()
            replica.start()

    # Partitions.

    def _until(self, length: int) -> int:
        return self.environment.scheduler.now + length

    def _partition_replicas(self, length: int) -> None:
        one, other = self._some_replica().name, self._some_replica_name()
        self.environment.network.block_both_ways(one, other, self._until(length))

    def _partition_replicas_one_way(self, length: int) -> None:
        source, target = self._some_replica_name(), self._some_replica().name
        self.environment.network.block(source, target, self._until(length))

    def _isolate_process(self, length: int) -> None:
        """A replica, a node or a supervisor reaches nobody, or hears nobody, or both."""
        supervisors = self.environment.supervisors
        names = [
            *self.environment.replicas,
            *(one.name for one in supervisors),
            *(s.unit for s in supervisors),
        ]
        name, direction = self.generator.choice(names), self.generator.randrange(3)
        if direction < 2:
            self.environment.network.block(name, ANYONE, self._until(length))
        if direction > 0:
            self.environment.network.block(ANYONE, name, self._until(length))

    def _partition_node(self, length: int) -> None:
        """A node reaches no replica for long, and goes on to reach the executors."""
        name = self.generator.choice(self.environment.supervisors).unit
        self.environment.network.block_both_ways(name, ANYONE, self._until(length + LONG_PARTITION))

    def _partition_spender(self, length: int) -> None:
        """The node that spends most of the budget now reaches no replica, and goes on to spend."""
        number = -(self.environment.scheduler.now // BUSY_TURN) % self.environment.setup.nodes
        until = self._until(length + BUSY_TURN)
        self.environment.network.block_both_ways(f"node-{number}", ANYONE, until)

    # Nodes and supervisors.

    def _some_node(self) -> SimulatedNode | None:
        machines = self.environment.machines
        nodes = [node for machine in machines for node in machine.nodes.values() if node.alive]
        return self.generator.choice(nodes) if nodes else None

    def _kill_node(self, length: int) -> None:
        if (node := self._some_node()) is not None:
            node.kill()

    def _pause_node(self, length: int) -> None:
        """Half of them stand still beyond their lease."""
        if (node := self._some_node()) is not None:
            node.pause(length + (BEYOND_LEASE if self.generator.random() < 0.5 else 0))

    def _pause_node_till_drained(self, length: int) -> None:
        """A node stands still till an executor is said to be drained without it."""
        if (node := self._some_node()) is not None:
            self.environment.pending_faults.paused_till_drained.append(node)
            node.pause(LONGEST_PAUSE)

    def _pause_supervisor(self, length: int) -> None:
        """A supervisor stands still beyond its lease."""
        self.generator.choice(self.environment.supervisors).pause(BEYOND_LEASE + length)

    def _kill_supervisor(self, length: int) -> None:
        supervisors = self.environment.supervisors
        supervisors[self.generator.randrange(len(supervisors))].die(length)

    def _disturb_supervisor_after_start(self, length: int) -> None:
        number = self.generator.randrange(len(self.environment.supervisors))
        self.environment.pending_faults.supervisors_after_start.add(number)

    def _pause_supervisor_at_orders(self, length: int) -> None:
        name = self.generator.choice(self.environment.supervisors).name
        self.environment.pending_faults.pause_at_orders.add(name)

    # Executors.

    def _stop_executor(self, length: int) -> None:
        self.executors.stop(self.generator.choice(list(self.executors.by_name)), length)

    def _stop_zone(self, length: int) -> None:
        """All executors of a zone go at once; without a plan of traffic, one."""
        zones = self.executors.names_by_zone
        zone = self.generator.choice(sorted(zones)) if self.environment.setup.plans_traffic else ""
        one = self.generator.choice(list(self.executors.by_name))  # drawn in any case: timelines hang on it
        for name in zones.get(zone, [one]):
            self.executors.stop(name, length + 3 * SECOND)
