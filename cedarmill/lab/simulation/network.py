"""The simulated network: messages that are late, in order on their link, lost, or partitioned away."""

import random
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from cedarmill.lab.simulation.clock import SECOND, Scheduler

ANYONE = "*"  # in a partition: whoever is at the other end
LOSS_SHARE = 0.002  # of messages that are lost without a partition
MIN_DELAY = 200  # us
MEAN_EXTRA_DELAY = 1500  # us, exponential
START_PHASE = 4 * SECOND  # us that are left out of the counts of messages at rest

MessageT = TypeVar("MessageT")


class Receiver(Protocol):
    """A process that may stand still: what comes meanwhile waits."""

    def run(self, call: Callable[[], object]) -> None:
        """Do this now, or when the process goes on."""


class SimulatedNetwork:
    """Links between all processes, by name; a link is made by the first message on it."""

    def __init__(self, scheduler: Scheduler, generator: random.Random) -> None:
        self._scheduler = scheduler
        self.generator = generator
        self._replicas: dict[str, Receiver] = {}
        self._last_arrival: dict[tuple[str, str], int] = {}
        self.blocked_until: dict[tuple[str, str], int] = {}  # us, by source and target
        self.messages = 0
        self.messages_at_rest = 0
        self.replica_messages_at_rest = 0  # of these, between replicas

    def add_replica(self, name: str, replica: Receiver) -> None:
        """From now on what comes to that name comes to this process."""
        self._replicas[name] = replica

    def block(self, source: str, target: str, until: int) -> None:
        """Let nothing pass from one to the other till a time (us); either may be `ANYONE`."""
        self.blocked_until[source, target] = until

    def block_both_ways(self, one: str, other: str, until: int) -> None:
        """Let nothing pass between two till a time (us)."""
        self.block(one, other, until)
        self.block(other, one, until)

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether a partition of just this pair holds now."""
        return self.blocked_until.get((source, target), 0) > self._scheduler.now

    def passes(self, source: str, target: str) -> bool:
        """Whether no partition holds a message between them back now."""
        pairs = ((source, target), (source, ANYONE), (ANYONE, target))
        return not any(self.is_blocked(*pair) for pair in pairs)

    def send(self, source: str, target: str, deliver: Callable[[], object]) -> None:
        """One message: late, in order on its link, or lost; `deliver` is called where it arrives."""
        self._count(source, target)
        if not self.passes(source, target) or self.generator.random() < LOSS_SHARE:
            return
        delay = int(self.generator.expovariate(1 / MEAN_EXTRA_DELAY)) + MIN_DELAY
        now = self._scheduler.now
        at = max(now + delay, self._last_arrival.get((source, target), 0) + 1)
        self._last_arrival[source, target] = at
        receiver = self._replicas.get(target)

        def arrive() -> None:
            if not self.passes(source, target):
                return
            if receiver is not None:
                receiver.run(deliver)
            else:
                deliver()

        self._scheduler.after(at - now, arrive)

    def _count(self, source: str, target: str) -> None:
        self.messages += 1
        if self._scheduler.now > START_PHASE:
            self.messages_at_rest += 1
            self.replica_messages_at_rest += source in self._replicas and target in self._replicas


class DelayedMessages(Generic[MessageT]):
    """Messages on their way in a simulation that moves by steps; they are taken in the order of sending."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, MessageT]] = []

    def send(self, arrives_at: float, message: MessageT) -> None:
        """Have it arrive at a time (s)."""
        self._waiting.append((arrives_at, message))

    def take_due(self, now: float) -> list[MessageT]:
        """What has arrived by now (s)."""
        due = [message for arrives_at, message in self._waiting if arrives_at <= now]
        self._waiting = [one for one in self._waiting if one[0] > now]
        return due
