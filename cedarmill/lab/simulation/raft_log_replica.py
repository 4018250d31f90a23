"""A replica of the log alone: its core, its disk, what waits for a sync; and messages between replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
from cedarmill.cluster.raft.events import Event, PersistenceCompleted
from cedarmill.cluster.raft.messages import Message
from cedarmill.cluster.raft.node import RaftNode
from cedarmill.cluster.raft.state import PersistentState
from cedarmill.lab.simulation.disk import Disk

if TYPE_CHECKING:
    from cedarmill.lab.simulation.raft_log import LogSimulation

MAX_CLOCK_OFFSET = 50_000  # us
SEEDS_PER_RUN = 100  # a seed for each start of a replica

WaitingMessage = tuple[str, str, Message]  # source, target


class MessagePool:
    """Messages on their way, any of which may be the next; a partitioned link takes none in."""

    def __init__(self) -> None:
        self.waiting: list[WaitingMessage] = []
        self.partitions: set[tuple[str, str]] = set()

    def send(self, source: str, target: str, message: Message) -> None:
        """Put a message on its way; on a partitioned link it is lost."""
        if (source, target) not in self.partitions:
            self.waiting.append((source, target, message))

    def take_first_of_link(self, number: int) -> WaitingMessage:
        """Take out the first message of the link on which that message is."""
        link = self.waiting[number][:2]
        first = next(place for place, one in enumerate(self.waiting) if one[:2] == link)
        return self.waiting.pop(first)


class LogReplica:
    """One replica; its clock has an offset of its own, drawn at each start."""

    def __init__(self, run: LogSimulation, name: str, saved: PersistentState) -> None:
        self._run, self.name, self.disk = run, name, Disk(saved)
        self._starts = 0
        self.start()

    def start(self) -> None:
        """Begin anew from what the disk holds."""
        self._starts += 1
        self.alive = True
        self._unsent: list[SendMessage] = []  # till what they rest on is synced
        self.clock_offset = self._run.generator.randrange(MAX_CLOCK_OFFSET)
        seed = self._run.seed * SEEDS_PER_RUN + self._starts
        self.core = RaftNode(self.name, self.disk.load(), self.now(), seed, self._run.timing)

    def now(self) -> int:
        """What its clock shows (us)."""
        return self._run.time + self.clock_offset

    def step(self, event: Event) -> None:
        """Let the core take an event, and carry out its actions."""
        for action in self.core.step(self.now(), event):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        checks = self._run.checks
        if isinstance(action, PersistTermAndVote | PersistEntries):
            self.disk.save(action)
        elif isinstance(action, SendMessage):
            self.send_after_sync(action)
        elif isinstance(action, RestoreSnapshot):
            self.disk.put_snapshot(action.snapshot, list(self.core.log.entries))
        elif isinstance(action, ApplyEntries):
            for entry in action.entries:
                checks.on_committed(self.name, entry)
        elif isinstance(action, RoleChanged) and action.is_leader:
            checks.on_leading(self.name, action.term)
        elif isinstance(action, LeadershipConfirmed):
            checks.on_read_confirmed(action.token, action.index)

    def send_after_sync(self, action: SendMessage) -> None:
        """It leaves when what it rests on is on the disk."""
        self._unsent.append(action)

    def send_now(self, action: SendMessage) -> None:
        """It leaves at once; to a replica that is not there it is lost."""
        if action.target in self._run.replicas:
            self._run.messages.send(self.name, action.target, action.message)

    def sync(self) -> None:
        """What waits is on the disk; then what was promised by it leaves."""
        last_indexes = [
            action.entries[-1].index for action in self.disk.unsynced if isinstance(action, PersistEntries)
        ]
        self.disk.sync()
        unsent, self._unsent = self._unsent, []
        for action in unsent:
            self.send_now(action)
        if last_indexes:
            self.step(PersistenceCompleted(last_indexes[-1]))

    def kill(self) -> None:
        """End it at once; what was not synced or sent is lost."""
        self.alive, self._unsent = False, []
