"""Every order of small cases: a few events, each once, in all orders, and what has to hold after each.

The cases run the real cores, entry by entry. Two events are taken in both orders wherever both may happen; a
state that was reached before with the same events left is not gone through again.
"""

from collections.abc import Hashable, Iterator, Sequence
from typing import NamedTuple, Protocol, Self


class Case(Protocol):
    """A small world: it is copied at each branch."""

    def copy(self) -> Self:
        """The same, to be changed by itself."""

    def is_possible(self, event: str) -> bool:
        """Whether this event may happen next."""

    def happen(self, event: str) -> None:
        """Let an event happen."""

    def key(self) -> Hashable:
        """Equal for states from which the same follows."""

    def violations(self) -> list[str]:
        """What does not hold of this state."""


class Exploration(NamedTuple):
    """What was gone through: states, steps, orders that came to their end; the shortest breach, if any.

    A breach is the events that led there, and the first violation.
    """

    states: int
    steps: int
    ends: int
    breach: tuple[tuple[str, ...], str] | None


class _Branch(NamedTuple):
    """A state on the way, the events that have not happened yet, and those that have."""

    case: Case
    left: frozenset[int]
    trail: tuple[str, ...]


def explore(case: Case, events: Sequence[str]) -> Exploration:
    """All orders of these events, breadth first: the first breach found is a shortest one."""
    level = [_Branch(case, frozenset(range(len(events))), ())]
    states = steps = ends = 0
    while level:
        reached: dict[Hashable, _Branch] = {}
        for branch in level:
            states += 1
            possible = list(_possible_events(branch, events))
            ends += not possible
            for number, event in possible:
                after = branch.case.copy()
                after.happen(event)
                steps += 1
                left, trail = branch.left - {number}, (*branch.trail, event)
                if violations := after.violations():
                    return Exploration(states, steps, ends, (trail, violations[0]))
                reached.setdefault((left, after.key()), _Branch(after, left, trail))
        level = list(reached.values())
    return Exploration(states, steps, ends, None)


def _possible_events(branch: _Branch, events: Sequence[str]) -> Iterator[tuple[int, str]]:
    """What may happen next; of events of one name the first only, they are alike."""
    seen = set()
    for number in sorted(branch.left):
        event = events[number]
        if event not in seen and branch.case.is_possible(event):
            seen.add(event)
            yield number, event
