"""Every order of small cases: a few happenings, each once, in all orders, and what has to hold after each.

The cases run the real cores, entry by entry. Two happenings are taken in both orders wherever both may
happen; a state that was reached before with the same happenings left is not gone through again.
"""

import hashlib
from collections.abc import Hashable, Iterator, Sequence
from typing import NamedTuple, Protocol


class Case(Protocol):
    """A small world: it is copied at each branch."""

    def copy(self) -> "Case": ...
    def may(self, name: str) -> bool: ...
    def do(self, name: str) -> None: ...
    def key(self) -> Hashable: ...
    def broken(self) -> list[str]: ...


class Explored(NamedTuple):
    """What was gone through: states, steps, orders that came to their end; the shortest breach, if any."""

    states: int
    steps: int
    ends: int
    breach: tuple[tuple[str, ...], str] | None


def explore(case: Case, names: Sequence[str]) -> Explored:
    """All orders of these happenings, breadth first: the first breach found is a shortest one."""
    level: list[tuple[Case, frozenset[int], tuple[str, ...]]] = [(case, frozenset(range(len(names))), ())]
    states = steps = ends = 0
    while level:
        after: dict[Hashable, tuple[Case, frozenset[int], tuple[str, ...]]] = {}
        for world, left, trail in level:
            states += 1
            ways = list(_ways(world, names, left))
            ends += not ways
            for number, name in ways:
                then = world.copy()
                then.do(name)
                steps += 1
                rest = left - {number}
                if found := then.broken():
                    return Explored(states, steps, ends, ((*trail, name), found[0]))
                after.setdefault((rest, then.key()), (then, rest, (*trail, name)))
        level = list(after.values())
    return Explored(states, steps, ends, None)


def _ways(world: Case, names: Sequence[str], left: frozenset[int]) -> Iterator[tuple[int, str]]:
    """What may happen next; of happenings of one name the first only, they are alike."""
    seen = set()
    for number in sorted(left):
        if names[number] not in seen and world.may(names[number]):
            seen.add(names[number])
            yield number, names[number]


def hashed(text: bytes) -> bytes:
    """A short key of a long state."""
    return hashlib.blake2b(text, digest_size=12).digest()
