"""What all actors of one run of the cluster share: time, chance, links, the history, and who is there."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarmill.cluster.raft.messages import Entry
from cedarmill.cluster.raft.state import Timing
from cedarmill.cluster.state import EPOCH_INDEX_BITS
from cedarmill.lab.cluster.history import EventHistory
from cedarmill.lab.simulation.clock import SECOND, Scheduler
from cedarmill.lab.simulation.cluster_setup import ClusterSetup
from cedarmill.lab.simulation.network import SimulatedNetwork
from cedarmill.lab.simulation.seeds import text_generator

if TYPE_CHECKING:
    from cedarmill.cluster.messages import ClientRequest
    from cedarmill.lab.simulation.member import SimulatedMember
    from cedarmill.lab.simulation.node import SimulatedNode
    from cedarmill.lab.simulation.replica import SimulatedReplica
    from cedarmill.lab.simulation.supervisor import SimulatedSupervisor


class AppliedEntries:
    """What replicas applied: the first at each index is what all others have to apply there."""

    def __init__(self, environment: ClusterEnvironment) -> None:
        self._environment = environment
        self.by_index: dict[int, tuple[int, bytes]] = {}  # term and data
        self.first_applied_at: dict[int, int] = {}  # us, by epoch

    def add(self, replica: str, entry: Entry, generation: int) -> None:
        """A replica applies an entry in a generation of the cluster."""
        first = self.by_index.setdefault(entry.index, (entry.term, entry.data))
        epoch = generation << EPOCH_INDEX_BITS | entry.index
        self.first_applied_at.setdefault(epoch, self._environment.scheduler.now)
        if first != (entry.term, entry.data):
            self._environment.report_violation(f"{replica} applies another entry {entry.index}")


@dataclass(slots=True)
class Machine:
    """What the death of its supervisor leaves."""

    stored_units: bytes = b""
    incarnations: int = 0
    nodes: dict[str, SimulatedNode] = field(default_factory=dict)  # by incarnation


@dataclass(slots=True)
class PendingFaults:
    """Faults that wait for a moment which has not come yet."""

    supervisors_after_start: set[int] = field(default_factory=set)  # which meet one after their next start
    pause_at_orders: set[str] = field(default_factory=set)  # members that stand still with orders on the way
    paused_till_drained: list[SimulatedNode] = field(default_factory=list)


class ClusterEnvironment:
    """One run's shared parts; times in microseconds."""

    def __init__(self, setup: ClusterSetup, seed: int) -> None:
        self.setup, self.seed = setup, seed
        self.scheduler = Scheduler()
        self.generator = text_generator(seed, "world")
        self.network = SimulatedNetwork(self.scheduler, text_generator(seed, "net"))
        self.history = EventHistory(lambda: self.scheduler.now)
        self.raft_timing = Timing()
        self.applied = AppliedEntries(self)
        self.violations: list[str] = []  # breaches that the run itself saw
        self.spending: list[tuple[int, bool]] = []  # when, and whether by a lease, of the budget
        self.requests_by_version: dict[str, int] = {}  # of the node that sent them
        self.pending_faults = PendingFaults()
        self.replicas: dict[str, SimulatedReplica] = {}
        self.members: dict[str, SimulatedMember] = {}  # by the key of their session
        self.machines = [Machine() for _ in range(setup.nodes)]
        self.supervisors: list[SimulatedSupervisor] = []

    def report_violation(self, text: str) -> None:
        """Note a breach that happens now."""
        self.violations.append(f"{self.scheduler.now / SECOND:.3f} s: {text}")

    def submit(
        self, source: str, replica: str, request: ClientRequest, on_reply: Callable[[object], None]
    ) -> None:
        """Let a member or an operator ask a replica; `on_reply` is called at the replica.

        A replica that was killed meanwhile answers nothing.
        """
        starts = self.replicas[replica].starts

        def reply(answer: object) -> None:
            if self.replicas[replica].starts == starts:
                on_reply(answer)

        self.network.send(source, replica, lambda: self.replicas[replica].on_request(request, reply))

    def resume_paused_nodes(self) -> None:
        """Something was drained: what stood still till then goes on."""
        for node in self.pending_faults.paused_till_drained:
            self.scheduler.after(1_000, node.resume)
        self.pending_faults.paused_till_drained = []
