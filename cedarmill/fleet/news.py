"""News of executors shared between nodes, so that one probe or answer serves many; no I/O.

A node tells what it has heard itself, with its age, to those that use the same executor, and never what it
was told: so a fact makes one message to each user and no more, whatever happens. Which executors a node uses
is drawn by rendezvous hashing over the names alone, so that all nodes know who uses what, and a node or an
executor that comes or goes changes only its own part. Between two facts a node counts its own sends and ends,
and others' by them: news that come late do not bring the whole fleet to the one box that seemed idle.

Not carried between real processes yet: `lab/fleet/storms.py` plays it.
"""

from collections.abc import Iterable
from heapq import nsmallest
from math import exp
from typing import NamedTuple

USERS = 4  # nodes that use one executor; with twelve 48 nodes serve 0.77 of the worth at twice the slots
LEAST = 6  # executors that a node uses at the least
MUCH = 1.5  # times an even part of the traffic, from which a node uses more; and the step of how many
TELL = 0.2  # s between two facts told of one executor by one node
FADE = 1.6  # s in which a fact fades into what is usual: eight mean running times
FULL_BY = 6  # times, at the most, that own sends count when it is asked whether an executor is full
GAP = 3.0  # s, the age beyond which a fact that was told is not followed


def _seed(node: str) -> int:
    import xxhash  # of the fleet's extra: the platform's node never comes here

    return xxhash.xxh64_intdigest(node.encode())


def _weight(seed: int, executor: bytes) -> int:
    import xxhash

    return xxhash.xxh64_intdigest(executor, seed)


class Draw:
    """Who uses what, kept as nodes and executors come and go: a change costs its own part, not all anew."""

    def __init__(self) -> None:
        self.nodes: dict[str, int] = {}  # their seeds
        self.executors: dict[str, bytes] = {}
        self.users: dict[str, list[str]] = {}  # by executor, the nodes with the highest weights first

    def set(self, nodes: Iterable[str], executors: Iterable[str]) -> bool:
        """Who is there now; whether anything has changed."""
        nodes, executors = set(nodes), set(executors)
        come, gone = nodes - self.nodes.keys(), self.nodes.keys() - nodes
        if not come and not gone and executors == self.executors.keys():
            return False
        for node in gone:
            del self.nodes[node]
        for node in sorted(come):
            self.nodes[node] = _seed(node)
        for one in self.executors.keys() - executors:
            del self.executors[one], self.users[one]
        for one, users_ in self.users.items():
            if not gone.isdisjoint(users_):
                self.users[one] = self._first(one, self.nodes)
            elif come:
                self.users[one] = self._first(one, come.union(users_))
        for one in sorted(executors - self.executors.keys()):
            self.executors[one] = one.encode()
            self.users[one] = self._first(one, self.nodes)
        return True

    def _first(self, executor: str, nodes: Iterable[str]) -> list[str]:
        name = self.executors[executor]
        weights = [(-_weight(self.nodes[node], name), node) for node in nodes]
        return [node for _, node in nsmallest(USERS, weights)]

    def subset(self, node: str, part: float = 0.0) -> list[str]:
        """The executors that a node uses: those that draw it, and where that is too few its own highest.

        `part`: of the fleet's traffic that comes here, as far as it is known. One that has far more than an
        even part uses more, in steps, so that a part that differs little moves nothing.
        """
        mine = {one for one, users_ in self.users.items() if node in users_}
        size = float(LEAST)
        while part * len(self.nodes) > MUCH and size < USERS * len(self.executors) * part:
            size *= MUCH
        if len(mine) < size:
            seed = self.nodes.get(node) or _seed(node)
            weights = [(-_weight(seed, name), one) for one, name in self.executors.items()]
            mine.update(one for _, one in nsmallest(int(size), weights))
        return sorted(mine)


class Fact(NamedTuple):
    """What one node heard of an executor itself."""

    executor: int | str
    at: float  # s, by the clock of who holds it
    held: float  # jobs that run or wait there, of all nodes
    slots: float


class Board:
    """What one node knows."""

    def __init__(self) -> None:
        self.facts: dict[int | str, Fact] = {}
        self.since: dict[int | str, int] = {}  # own sends less own ends since the fact
        self._told: dict[int | str, float] = {}
        self._usual = 0.0  # jobs held for each slot, the mean of what was heard

    def hear(self, fact: Fact) -> bool:
        """A newer fact takes the place of an older one; whether it did."""
        before = self.facts.get(fact.executor)
        if before is not None and fact.at <= before.at:
            return False
        self.facts[fact.executor] = fact
        self.since[fact.executor] = 0
        self._usual += (fact.held / max(1.0, fact.slots) - self._usual) * 0.1
        return True

    def tells(self, fact: Fact) -> bool:
        """Whether an own fact is to be told: not more often than `TELL`, however many answers come."""
        if fact.at - self._told.get(fact.executor, -TELL) < TELL:
            return False
        self._told[fact.executor] = fact.at
        return True

    def sent(self, executor: int | str) -> None:
        """An own job goes there."""
        self.since[executor] = self.since.get(executor, 0) + 1

    def ended(self, executor: int | str) -> None:
        """An own job has ended there, or its client has left."""
        self.since[executor] = self.since.get(executor, 0) - 1

    def load(self, executor: int | str, now: float, sharers: float) -> float:
        """Jobs believed there: the fact, less the older it is, and own sends since, times those who share."""
        fact, since = self.facts.get(executor), self.since.get(executor, 0)
        if fact is None:
            return max(0.0, since)
        age = max(0.0, now - fact.at)
        if age > GAP:
            return max(0.0, self._usual * fact.slots + since)
        faded = exp(-age / FADE)
        return max(0.0, faded * fact.held + (1 - faded) * self._usual * fact.slots + since * max(1, sharers))
