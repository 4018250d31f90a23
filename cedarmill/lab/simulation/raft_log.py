"""The replicated log alone, under many more faults a second than a cluster would meet.

Any message on its way may be the next to arrive, or be lost; any replica may be the next whose time passes,
that syncs, that dies or comes back. Its invariants: one leader a term, what is committed stays committed and
is the same for all, and what was committed when a read was asked is seen by it.
"""

from cedarmill.cluster.raft.events import (
    ChangeMembership,
    ConfirmLeadership,
    MessageReceived,
    ProposeCommand,
    SnapshotPersisted,
    TimeAdvanced,
)
from cedarmill.cluster.raft.messages import Peer, Snapshot
from cedarmill.cluster.raft.roles import Role
from cedarmill.cluster.raft.state import PersistentState, Timing
from cedarmill.lab.simulation.raft_log_checks import LogChecks
from cedarmill.lab.simulation.raft_log_replica import LogReplica, MessagePool
from cedarmill.lab.simulation.seeds import text_generator

MAX_STEP = 3_000  # us that pass between two events
MIN_REPLICAS = 3  # below which the leader takes another one in
HEARTBEAT_PERIOD, ELECTION_TIMEOUT = 30_000, 150_000  # us
DOOMED_EVENTS = (10, 120)  # that a leader still lives, where leaders die soon

# Chances at each event.
CRASH_CHANCE, SNAPSHOT_CHANCE, CHANGE_CHANCE = 0.006, 0.002, 0.002
PARTITION_CHANCE = 0.004
HEAL_CHANCE = 3 * PARTITION_CHANCE
LOSS_CHANCE = 0.02  # of a message
RESTART_CHANCE, START_CHANCE = 0.5, 0.2  # at once after a crash; later, whenever it is the next

# What the next event is, by one sample from 0 to 1: upper bounds.
ARRIVAL, TIME_ADVANCES, SYNC, PROPOSAL = 0.6, 0.75, 0.9, 0.97


class LogSimulation:
    """One run of some thousand events."""

    def __init__(
        self, seed: int, replicas: int = 3, events: int = 8000, churn: bool = False, changes: bool = False
    ) -> None:
        """`churn`: each new leader reaches few others, and dies soon; `changes`: replicas come and go for
        good.
        """
        self.seed, self.events = seed, events
        self.generator = text_generator("log", seed)
        self.timing = Timing(HEARTBEAT_PERIOD, ELECTION_TIMEOUT)
        self.time = 0
        self.checks = LogChecks(self._on_new_leader)
        self.messages = MessagePool()
        self._churn, self._changes = churn, changes
        self._added = 0  # replicas that came later
        self._doomed: tuple[str, int] | None = None  # a leader, and the events that it still lives
        self._tokens = 0
        names = [f"k{number}" for number in range(replicas)]
        config = {name: Peer("") for name in names}
        saved = PersistentState(1, "", Snapshot(1, 1, config, b""))
        self.replicas: dict[str, LogReplica] = {}
        for name in names:
            self.replicas[name] = LogReplica(self, name, saved)

    def _on_new_leader(self, name: str) -> None:
        if self._churn:
            others = [other for other in self.replicas if other != name]
            reached = self.generator.sample(others, self.generator.randint(1, len(others)))
            self.messages.partitions = {(name, other) for other in reached}
            self._doomed = name, self.generator.randrange(*DOOMED_EVENTS)

    def run(self) -> list[str]:
        """Play it; what was found wrong."""
        for _ in range(self.events):
            self.time += self.generator.randrange(MAX_STEP)
            self._next_event()
            if self.checks.violations:
                break
        return self.checks.violations

    def _leader(self) -> LogReplica | None:
        leading = (one for one in self.replicas.values() if one.alive and one.core.role is Role.LEADER)
        return next(leading, None)

    def _some_replica(self) -> LogReplica:
        return self.replicas[self.generator.choice(list(self.replicas))]

    def _next_token(self) -> int:
        self._tokens += 1
        return self._tokens

    def _next_event(self) -> None:
        self._inject_faults()
        replica = self._some_replica()
        sample = self.generator.random()
        if sample < ARRIVAL and self.messages.waiting:
            self._deliver_one()
        elif not replica.alive:
            if self.generator.random() < START_CHANCE:
                replica.start()
        elif sample < TIME_ADVANCES:
            replica.step(TimeAdvanced())
        elif sample < SYNC:
            replica.sync()
        elif sample < PROPOSAL:
            token = self._next_token()
            replica.step(ProposeCommand(b"%d" % token, token))
        else:
            token = self._next_token()
            self.checks.begin_read(token)
            replica.step(ConfirmLeadership(token))

    def _deliver_one(self) -> None:
        """Any message may be the next, but those of one link keep their order."""
        source, target, message = self.messages.take_first_of_link(
            self.generator.randrange(len(self.messages.waiting))
        )
        replica = self.replicas[target]
        if (
            replica.alive
            and self.generator.random() >= LOSS_CHANCE
            and (source, target) not in self.messages.partitions
        ):
            replica.step(MessageReceived(source, message))

    # Faults.

    def _inject_faults(self) -> None:
        self._kill_doomed_leader()
        if self.generator.random() < CRASH_CHANCE:
            replica = self._some_replica()
            replica.kill()
            if self.generator.random() < RESTART_CHANCE:
                replica.start()
        if self.generator.random() < PARTITION_CHANCE:
            source, target = self.generator.sample(list(self.replicas), 2)
            self.messages.partitions.add((source, target))
        if self.messages.partitions and self.generator.random() < HEAL_CHANCE:
            self.messages.partitions.clear()
        if self.generator.random() < CHANGE_CHANCE and self._changes:
            self._change_membership()
        if self.generator.random() < SNAPSHOT_CHANCE:
            self._make_snapshot()

    def _kill_doomed_leader(self) -> None:
        if self._doomed is None:
            return
        name, events_left = self._doomed
        self._doomed = (name, events_left - 1) if events_left else None
        if not events_left:
            self.replicas[name].kill()
            self.messages.partitions.clear()

    def _change_membership(self) -> None:
        """The leader takes a replica in, on an empty disk, or one out; one that is out never comes back."""
        leader = self._leader()
        if leader is None:
            return
        names, token = list(leader.core.config), self._next_token()
        if len(names) <= MIN_REPLICAS:
            self._added += 1
            name = f"s{self._added}"
            empty = PersistentState(0, "", Snapshot(0, 0, {}, b""), needs_catch_up=True)
            self.replicas[name] = LogReplica(self, name, empty)
            leader.step(ChangeMembership(name, Peer("", False), token))
        else:
            leader.step(ChangeMembership(self.generator.choice(names), None, token))

    def _make_snapshot(self) -> None:
        leader = self._leader()
        if leader is None or leader.core.commit_index <= leader.core.log.snapshot.index:
            return
        index = leader.core.commit_index
        snapshot = Snapshot(index, leader.core.log.term(index), leader.core.config, b"%d" % index)
        leader.sync()
        if leader.core.config_index <= index:
            leader.step(SnapshotPersisted(snapshot))
            leader.disk.put_snapshot(snapshot, list(leader.core.log.entries))
