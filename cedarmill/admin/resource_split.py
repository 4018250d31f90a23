"""How the processes of one node split the node's limits; no I/O.

The platform counts all processes of a node as one. A process started beside a running one takes what that
one leaves, and grows as it releases; each has a minimum, or an upgrade of a full node would serve nobody.
"""

from typing import NamedTuple

MIN_PER_PROCESS = 16  # sessions, and upstream connections, that each process may hold whatever others do


class ConnectionCounts(NamedTuple):
    """Client sessions and upstream connections: how many may be held, or are."""

    sessions: int
    connections: int


class NodeLimits(NamedTuple):
    """What the node may use in all, and what a process uses before its first session."""

    descriptors: int
    own_descriptors: int
    memory_mb: float
    own_memory_mb: float
    session_mb: float


def split_limits(limits: NodeLimits, others: list[ConnectionCounts]) -> ConnectionCounts:
    """How many this process may hold beside others that hold so many: what they leave, or its minimum."""
    alone = _total(limits, processes=1)
    shared = _total(limits, processes=1 + len(others))
    return ConnectionCounts(
        _remaining(alone.sessions, shared.sessions, sum(other.sessions for other in others)),
        _remaining(alone.connections, shared.connections, sum(other.connections for other in others)),
    )


def _remaining(alone: int, shared: int, held: int) -> int:
    return max(min(MIN_PER_PROCESS, alone), shared - held)


def _total(limits: NodeLimits, processes: int) -> ConnectionCounts:
    """For all processes together: half of the descriptors for each side; sessions fit into memory too."""
    descriptors = limits.descriptors - limits.own_descriptors * processes
    in_memory = int((limits.memory_mb - limits.own_memory_mb * processes) / limits.session_mb)
    half = descriptors // 2
    return ConnectionCounts(min(half, in_memory), descriptors - half)
