"""Division of a node's resource limits among its processes; no I/O.

The platform applies its limits to all processes of a node together. During an upgrade the new process may use
what the old one leaves free. Each process has a guaranteed minimum, so that a full node can be upgraded.
"""

from typing import NamedTuple

MIN_PER_PROCESS = 16  # Sessions, and as many upstream connections, guaranteed to each process.
BYTES_PER_MB = 1024 * 1024


class ConnectionCounts(NamedTuple):
    """Numbers of client sessions and upstream connections, either allowed or open."""

    sessions: int
    connections: int


class NodeLimits(NamedTuple):
    """Resource limits of the whole node, and the use of one process without sessions."""

    descriptors: int
    own_descriptors: int
    memory_mb: float
    own_memory_mb: float
    session_mb: float


def split_limits(limits: NodeLimits, others: list[ConnectionCounts]) -> ConnectionCounts:
    """Return this process's limits, given the open connections of the node's other processes."""
    single_process = _total_limits(limits, processes=1)
    shared = _total_limits(limits, processes=1 + len(others))
    return ConnectionCounts(
        _remaining_limit(single_process.sessions, shared.sessions, sum(other.sessions for other in others)),
        _remaining_limit(
            single_process.connections, shared.connections, sum(other.connections for other in others)
        ),
    )


def process_memory_bytes(limits: NodeLimits, processes: int) -> int:
    """Return what each of a node's processes may use."""
    return int(limits.memory_mb / processes * BYTES_PER_MB)


def message_memory_bytes(limits: NodeLimits, processes: int) -> int:
    """Return what each of a node's processes may use for its connections and their messages."""
    own_bytes = int(limits.own_memory_mb * BYTES_PER_MB)
    return max(0, process_memory_bytes(limits, processes) - own_bytes)


def _remaining_limit(single_process: int, shared: int, open_elsewhere: int) -> int:
    return max(min(MIN_PER_PROCESS, single_process), shared - open_elsewhere)


def _total_limits(limits: NodeLimits, processes: int) -> ConnectionCounts:
    """Return the limits of all processes together; memory limits the number of sessions too."""
    descriptors = limits.descriptors - limits.own_descriptors * processes
    max_sessions_in_memory = int((limits.memory_mb - limits.own_memory_mb * processes) / limits.session_mb)
    client_descriptors = descriptors // 2
    return ConnectionCounts(min(client_descriptors, max_sessions_in_memory), descriptors - client_descriptors)
