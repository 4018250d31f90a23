"""Which executors a node uses, and how much of their slots, as others are told of it."""

from cedarmill.core.dispatch import Dispatch


def busy_executors(dispatch: Dispatch) -> set[int]:
    """Return the executors with attempts in flight."""
    attempts = [attempt for request in dispatch.requests.values() for attempt in request.attempts]
    return {attempt.executor for attempt in attempts if attempt.outcome is None}


def free_share(dispatch: Dispatch) -> float:
    """Return the share (0 to 1) of all listed executors' slots that this node's work does not use."""
    listed = [executor for executor in dispatch.balancer.executors.values() if executor.listed]
    slots = sum(executor.slots for executor in listed)
    free = sum(max(0.0, executor.slots - executor.held_slots) for executor in listed)
    return free / slots if slots else 0.0
