"""The agreed log alone, under many more faults a second than a fleet would meet: random orders of everything.

Any message on its way may be the next to arrive, or be lost; any keeper may be the next whose time passes,
that syncs, that dies or comes back. Its laws: one leader a term, what is agreed stays agreed and is the
same for all, and what was agreed when a read was asked is seen by it.
"""

import random

from cedarmill.cluster.raft.actions import (
    Action,
    ApplyEntries,
    LeadershipConfirmed,
    PersistEntries,
    PersistTermAndVote,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
)
from cedarmill.cluster.raft.events import (
    ChangeMembership,
    ConfirmLeadership,
    Event,
    MessageReceived,
    PersistenceCompleted,
    ProposeCommand,
    SnapshotPersisted,
    TimeAdvanced,
)
from cedarmill.cluster.raft.messages import AppendEntries, Entry, Message, Peer, Snapshot
from cedarmill.cluster.raft.node import RaftNode
from cedarmill.cluster.raft.roles import Role
from cedarmill.cluster.raft.state import PersistentState, Timing
from cedarmill.lab.simulation.cluster import Disk

STEP = 3_000  # us that pass at the most between two events
CRASH, LOSE, CUT, SNAP, CHANGE = 0.006, 0.02, 0.004, 0.002, 0.002  # chances at each event


class Node:
    """A keeper: its core, what is on its disk, and what is not yet."""

    def __init__(self, run: "LogSimulation", name: str, saved: PersistentState) -> None:
        self.run, self.name, self.disk = run, name, Disk(saved)
        self.starts = 0
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.alive = True
        self.after: list[SendMessage] = []  # to be sent when that is synced
        self.skew = self.run.dice.randrange(50_000)
        seed = self.run.seed * 100 + self.starts
        self.core = RaftNode(self.name, self.disk.load(), self.now(), seed, self.run.timing)

    def now(self) -> int:
        return self.run.time + self.skew

    def step(self, event: Event) -> None:
        """Let the core take an event, and take its actions."""
        for action in self.core.step(self.now(), event):
            self._take(action)

    def _take(self, action: Action) -> None:
        run = self.run
        if isinstance(action, PersistTermAndVote | PersistEntries):
            self.disk.save(action)
        elif isinstance(action, SendMessage):
            self.promise(action)
        elif isinstance(action, RestoreSnapshot):
            self.disk.put_snapshot(action.snapshot, list(self.core.log.entries))
        elif isinstance(action, ApplyEntries):
            for entry in action.entries:
                run.agreed(self.name, entry)
        elif isinstance(action, RoleChanged) and action.leads:
            run.leads(self.name, action.term)
        elif isinstance(action, LeadershipConfirmed):
            run.confirmed(action)

    def promise(self, action: SendMessage) -> None:
        """It leaves when what it rests on is on the disk."""
        self.after.append(action)

    def sync(self) -> None:
        """What waits is on the disk; then what was promised by it leaves."""
        puts = [
            action.entries[-1].index for action in self.disk.waiting if isinstance(action, PersistEntries)
        ]
        self.disk.sync()
        sends, self.after = self.after, []
        for send in sends:
            self.run.send(self.name, send)
        if puts:
            self.step(PersistenceCompleted(puts[-1]))

    def kill(self) -> None:
        self.alive, self.after = False, []


class LogSimulation:
    """One run of some thousand events."""

    def __init__(self, seed: int, keepers: int = 3, events: int = 8000, churn: bool = False,
                 changes: bool = False) -> None:  # fmt: skip
        """`churn`: each new leader reaches few others, and dies soon; `changes`: keepers come and go for
        good.
        """
        self.seed, self.events = seed, events
        self.dice = random.Random(f"log/{seed}")
        self.timing = Timing(30_000, 150_000)
        self.time = 0
        self.found: list[str] = []
        self.by_index: dict[int, tuple[int, bytes]] = {}
        self.highest = 0  # that any keeper has called agreed
        self.by_term: dict[int, str] = {}
        self.reads: dict[int, int] = {}
        self.churn, self.changes = churn, changes
        self.came = 0  # keepers that came later
        self.doomed: tuple[str, int] | None = None  # a leader, and the events that it still lives
        self.on_the_way: list[tuple[str, str, Message]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.tokens = 0
        names = [f"k{n}" for n in range(keepers)]
        config = {name: Peer("") for name in names}
        first = Snapshot(1, 1, config, b"")
        self.nodes = {name: Node(self, name, PersistentState(1, "", first)) for name in names}

    def agreed(self, name: str, entry: Entry) -> None:
        """A keeper calls an entry agreed."""
        known = self.by_index.setdefault(entry.index, (entry.term, entry.data))
        if known != (entry.term, entry.data):
            self.found.append(f"{name} agrees on another entry {entry.index} than was agreed")
        self.highest = max(self.highest, entry.index)

    def leads(self, name: str, term: int) -> None:
        if self.by_term.setdefault(term, name) != name:
            self.found.append(f"{name} and {self.by_term[term]} both lead in term {term}")
        if self.churn:
            others = [other for other in self.nodes if other != name]
            self.cuts = {
                (name, other) for other in self.dice.sample(others, self.dice.randint(1, len(others)))
            }
            self.doomed = name, self.dice.randrange(10, 120)

    def confirmed(self, action: LeadershipConfirmed) -> None:
        asked = self.reads.pop(action.token, 0)
        if action.index < asked:
            self.found.append(f"a read sees {action.index}, and {asked} was agreed when it was asked")

    def send(self, source: str, send: SendMessage) -> None:
        if (source, send.target) not in self.cuts and send.target in self.nodes:
            self.on_the_way.append((source, send.target, send.message))

    def run(self) -> list[str]:
        """Play it; what was found wrong."""
        for _ in range(self.events):
            self.time += self.dice.randrange(STEP)
            self._event()
            if self.found:
                break
        return self.found

    def _change(self) -> None:
        """The leader takes a keeper in, on an empty disk, or one out; one that is out never comes back."""
        leader = next((n for n in self.nodes.values() if n.alive and n.core.role is Role.LEADER), None)
        if leader is None:
            return
        names = list(leader.core.config)
        self.tokens += 1
        if len(names) <= 3:
            self.came += 1
            name = f"s{self.came}"
            empty = PersistentState(0, "", Snapshot(0, 0, {}, b""), needs_catch_up=True)
            self.nodes[name] = Node(self, name, empty)
            leader.step(ChangeMembership(name, Peer("", False), self.tokens))
        else:
            leader.step(ChangeMembership(self.dice.choice(names), None, self.tokens))

    def _event(self) -> None:
        dice = self.dice
        self._faults()
        node = self.nodes[dice.choice(list(self.nodes))]
        roll = dice.random()
        if roll < 0.6 and self.on_the_way:
            self._arrive()
        elif not node.alive:
            if dice.random() < 0.2:
                node.start()
        elif roll < 0.75:
            node.step(TimeAdvanced())
        elif roll < 0.9:
            node.sync()
        elif roll < 0.97:
            self.tokens += 1
            node.step(ProposeCommand(b"%d" % self.tokens, self.tokens))
        else:
            self.tokens += 1
            self.reads[self.tokens] = self.highest
            node.step(ConfirmLeadership(self.tokens))

    def _arrive(self) -> None:
        """Any message may be the next, but those of one link keep their order."""
        source, target, message = self.on_the_way[self.dice.randrange(len(self.on_the_way))]
        first = next(n for n, one in enumerate(self.on_the_way) if one[:2] == (source, target))
        source, target, message = self.on_the_way.pop(first)
        node = self.nodes[target]
        if node.alive and self.dice.random() >= LOSE and (source, target) not in self.cuts:
            node.step(MessageReceived(source, message))

    def _faults(self) -> None:
        dice = self.dice
        if self.doomed is not None:
            name, left = self.doomed
            self.doomed = (name, left - 1) if left else None
            if not left:
                self.nodes[name].kill()
                self.cuts.clear()
        if dice.random() < CRASH:
            node = self.nodes[dice.choice(list(self.nodes))]
            node.kill()
            if dice.random() < 0.5:
                node.start()
        if dice.random() < CUT:
            a, b = dice.sample(list(self.nodes), 2)
            self.cuts.add((a, b))
        if self.cuts and dice.random() < 3 * CUT:
            self.cuts.clear()
        if dice.random() < CHANGE and self.changes:
            self._change()
        if dice.random() < SNAP:
            leader = next((n for n in self.nodes.values() if n.alive and n.core.role is Role.LEADER), None)
            if leader is not None and leader.core.commit_index > leader.core.log.snapshot.index:
                index = leader.core.commit_index
                snapshot = Snapshot(index, leader.core.log.term(index), leader.core.config, b"%d" % index)
                leader.sync()
                if leader.core.config_index <= index:
                    leader.step(SnapshotPersisted(snapshot))
                    leader.disk.put_snapshot(snapshot, list(leader.core.log.entries))


def figure_eight() -> list[str]:
    """The schedule of figure 8 of the Raft paper, step by step; what was found wrong.

    An entry of an old term comes to stand with a majority, and is replaced all the same: who calls it
    agreed by count alone is wrong. Chance hardly finds it, since a new leader's own entry follows at once.
    """
    run = LogSimulation(8, 5)
    k0, k1, k2, k3, k4 = (run.nodes[name] for name in sorted(run.nodes))

    def settle(*there: Node, rounds: int = 60, upto: int = 1 << 30) -> None:
        """Messages among these pass, all others are lost, and entries beyond an index too."""
        names = {node.name for node in there}
        for _ in range(rounds):
            for node in there:
                node.sync()
            for source, target, message in run.on_the_way[:]:
                run.on_the_way.remove((source, target, message))
                if (
                    isinstance(message, AppendEntries)
                    and message.entries
                    and message.entries[-1].index > upto
                ):
                    continue
                if source in names and target in names:
                    run.nodes[target].step(MessageReceived(source, message))

    def elect(node: Node, *voters: Node) -> None:
        for _ in range(40):
            run.time += 40_000
            if run.time >= node.core.deadline - node.skew:
                node.step(TimeAdvanced())
            settle(node, *voters, rounds=4, upto=0)
            if node.core.role is Role.LEADER:
                return

    elect(k0, k1, k2)
    settle(k0, k1, k2, k3, k4)
    k0.step(ProposeCommand(b"old", 1))
    old = k0.core.log.last_index
    settle(k0, k1)  # stands with two of five
    k0.kill()
    run.time += 400_000
    elect(k4, k2, k3)
    k4.sync()  # its own entry stands with it alone
    k4.kill()
    run.on_the_way.clear()
    run.time += 400_000
    k0.start()
    elect(k0, k1, k2)
    for _ in range(4):
        run.time += 40_000
        k0.step(TimeAdvanced())
        settle(k0, k1, k2, upto=old)  # the old entry comes to a third, nothing newer does
    k0.kill()
    run.on_the_way.clear()
    run.time += 400_000
    k4.start()
    elect(k4, k2, k3)
    run.time += 40_000
    k4.step(TimeAdvanced())
    settle(k4, k2, k3)
    return run.found
