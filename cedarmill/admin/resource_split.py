"""What one of several processes of a node may hold of the node's limits; no I/O.

The platform counts all processes of a node as one. A process started beside a living one takes what that
one leaves, and grows as it lets go; each has its least, or an upgrade of a full node would serve nobody.
"""

from typing import NamedTuple

LEAST = 16  # sessions, and connections to backends, that each process may hold whatever the others do


class Room(NamedTuple):
    """Client sessions and connections to backends: a bound, or what is held."""

    sessions: int
    connections: int


class Limits(NamedTuple):
    """What the node may hold in all, and what a process takes before its first session."""

    descriptors: int
    own_descriptors: int
    memory_mb: float
    own_memory_mb: float
    session_mb: float


def share(limits: Limits, others: list[Room]) -> Room:
    """The bounds of this process beside others that hold so much: what they leave, and its least always."""
    alone, beside = _bounds(limits, 1), _bounds(limits, 1 + len(others))
    taken = Room(sum(other.sessions for other in others), sum(other.connections for other in others))
    return Room(*(max(min(LEAST, most), room - used)
                  for most, room, used in zip(alone, beside, taken, strict=True)))  # fmt: skip


def _bounds(limits: Limits, processes: int) -> Room:
    """Of all processes together: half of the descriptors for each side; sessions fit into memory too."""
    free = limits.descriptors - limits.own_descriptors * processes
    in_memory = int((limits.memory_mb - limits.own_memory_mb * processes) / limits.session_mb)
    return Room(min(free // 2, in_memory), free - free // 2)
