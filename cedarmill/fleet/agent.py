"""A member's side of its session, without I/O: beats, the lease, orders by epoch, and when to try another
keeper.

Nodes and stewards have one each. What is ordered is whole and has an epoch; an older one never replaces a
newer one. Whether the lease holds is asked at the moment of acting (`holds`), by a clock that goes on while
the process stands still.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cedarmill.fleet.evidence import Digest
from cedarmill.fleet.messages import (
    ClientReply,
    ClientRequest,
    ExecutorObservation,
    Heartbeat,
    HeartbeatReply,
    Orders,
    Unavailable,
)
from cedarmill.fleet.session_tracker import holder_lease_end

BEAT = 250_000  # us between two beats
ANSWER = 1_000_000  # that an answer is waited for, before another keeper is tried
AWAY = 600_000  # between two looks of its own: this process stood still, and doubts what it saw
DOUBT = 1_500_000  # for how long then
FULL_EVERY = 40  # beats that tell all executors anew, should a change have been lost


class Dial(msgspec.Struct, frozen=True):
    """Use the keeper of that name from now on; the connection to another one is closed."""

    keeper: str


class Say(msgspec.Struct, frozen=True):
    """Send this to the keeper dialled."""

    ask: ClientRequest


class Follow(msgspec.Struct, frozen=True):
    """Do as ordered: it is newer than what was followed."""

    orders: Orders


class Lapse(msgspec.Struct, frozen=True):
    """The lease has run out, told once; `Resume` when it holds again."""


class Resume(msgspec.Struct, frozen=True):
    """The lease holds, for the first time or again."""


class Glance(msgspec.Struct, frozen=True):
    """Find out whether that life answers there; say so by `reached`."""

    key: str
    address: str


@dataclass(slots=True)
class Facts:
    """What this process tells of itself, as it stands at a beat."""

    done: dict[str, int] = field(default_factory=dict)
    seen: dict[str, ExecutorObservation] = field(default_factory=dict)
    units: dict[str, tuple[str, str, int, int]] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)
    counts: tuple[int, int, int, int] = (0, 0, 0, 0)
    digest: Digest | None = None
    wants: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Who:
    """What does not change in the life of a process."""

    kind: str
    name: str
    life: str
    zone: str = ""
    address: str = ""
    version: str = ""
    unit_type: str = ""
    stops: bool = False


class Agent:
    """One member's session."""

    def __init__(
        self, who: Who, keepers: list[str], facts: Callable[[], Facts], now: int, first: int = 0
    ) -> None:
        self.who, self.keepers, self.facts = who, keepers, facts
        self.at = first % len(keepers)  # which keeper is tried first: members are spread over them
        self.seq = 0
        self.sent: dict[int, int] = {}  # when each beat left that is not answered yet
        self.lease_till = -1
        self.epoch = 0
        self.term = 0
        self.stamp = -1  # the leader's, as it came last,
        self.stamped = now  # and when
        self.orders: Orders | None = None
        self.leaving = False
        self.looked = now
        self.doubts_till = -1
        self.answered = now  # when a keeper last answered
        self.next_beat = now
        self.told: dict[str, ExecutorObservation] = {}  # what the keepers were last told to be seen
        self.telling: dict[int, dict[str, ExecutorObservation]] = {}  # by beat
        self.look: dict[str, bool] = {}  # answers to `Glance`, for the next beat
        self._held = False  # whether the last word was Resume
        self._dialled = False

    def holds(self, now: int) -> bool:
        """Whether the lease holds at this moment."""
        return now < self.lease_till

    @property
    def due(self) -> int:
        """When to call `passed` at the latest."""
        return min(self.next_beat, self.lease_till) if self._held else self.next_beat

    def passed(self, now: int) -> list:
        """Time has passed."""
        actions = self._look(now)
        if now < self.next_beat:
            return actions
        self.next_beat = now + BEAT
        oldest = min(self.sent.values(), default=now)
        if not self._dialled or now - max(oldest, self.answered) > ANSWER and self.sent:
            actions += self._dial(now)
        actions.append(Say(self._beat(now)))
        return actions

    def _look(self, now: int) -> list:
        if now - self.looked > AWAY:
            self.doubts_till = now + DOUBT
        self.looked = now
        if self._held and not self.holds(now):
            self._held = False
            return [Lapse()]
        return []

    def _dial(self, now: int) -> list:
        """The next keeper; what was on its way to the last one is forgotten."""
        if self._dialled:
            self.at = (self.at + 1) % len(self.keepers)
        self._dialled, self.answered = True, now
        self.sent.clear()
        self.telling.clear()
        return [Dial(self.keepers[self.at])]

    def _beat(self, now: int) -> Heartbeat:
        self.seq += 1
        self.sent[self.seq] = now
        facts, who = self.facts(), self.who
        whole = self.seq % FULL_EVERY == 1
        seen = {n: s for n, s in facts.seen.items() if whole or self.told.get(n) != s}
        self.telling[self.seq] = seen
        held = {}
        if self.orders is not None:
            held = {f"executor:{name}": epoch for name, epoch in self.orders.excluded_executors.items()}
            if self.orders.drain_clients_epoch:
                held[f"node:{who.name}"] = self.orders.drain_clients_epoch
        look, self.look = self.look, {}
        return Heartbeat(
            who.kind,
            who.name,
            who.life,
            self.seq,
            self.epoch,
            self.term,
            who.zone,
            who.address,
            who.version,
            who.unit_type,
            who.stops,
            now < self.doubts_till,
            self.leaving,
            facts.done,
            held,
            seen,
            facts.units,
            facts.ended,
            facts.counts,
            look,
            facts.digest,
            self.stamp,
            now - self.stamped,
            facts.wants,
        )

    def broken(self, now: int) -> list:
        """The connection has gone, or was refused: the next keeper, at the next beat and not sooner."""
        if self._dialled:
            self._dialled, self.at = False, (self.at + 1) % len(self.keepers)
        self.next_beat = max(now + BEAT // 2, self.next_beat)
        return self._look(now)

    def heard(self, now: int, answer: ClientReply) -> list:
        """A keeper has answered."""
        actions = self._look(now)
        if isinstance(answer, HeartbeatReply):
            return actions + self._beaten(now, answer)
        if isinstance(answer, Unavailable) and now - self.answered > ANSWER:
            actions += self._dial(now)
        return actions

    def _beaten(self, now: int, answer: HeartbeatReply) -> list:
        sent = self.sent.pop(answer.sequence, None)
        if sent is None:
            return []  # of a beat to another keeper, forgotten since
        self.answered = now
        for old in [seq for seq in self.sent if seq < answer.sequence]:
            del self.sent[old]
        if answer.leader_timestamp >= 0:
            self.stamp, self.stamped = answer.leader_timestamp, now
        if answer.term != self.term:
            self.term, self.told = answer.term, {}  # a new leader is told all
        else:
            self.told.update(self.telling.get(answer.sequence, {}))
        self.telling = {seq: told for seq, told in self.telling.items() if seq > answer.sequence}
        actions: list = []
        if answer.lease_us:
            self.lease_till = max(self.lease_till, holder_lease_end(sent, answer.lease_us))
        if answer.orders is not None and answer.orders.epoch > self.epoch:
            self.epoch, self.orders = answer.orders.epoch, answer.orders
            actions.append(Follow(answer.orders))
        if not self._held and self.holds(now) and self.orders is not None:
            self._held = True
            actions.append(Resume())
        return actions + [Glance(key, address) for key, address in answer.members_to_probe.items()]

    def reached(self, key: str, there: bool) -> None:
        """What came of a Glance."""
        self.look[key] = there

    def leave(self, now: int) -> list:
        """This life ends, and has nothing out: a last beat says so."""
        self.leaving, self.next_beat = True, now
        return self.passed(now)
