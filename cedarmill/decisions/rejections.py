"""Back-off after rejections: when an executor that has rejected a request may get the same request again.

Each rejection costs one of the few attempts that a request has. Reports may be late, so one that arrives soon
after a rejection may describe the time before it.
"""

from cedarmill.decisions import learning, retries
from cedarmill.decisions.learning import FreeCapacity
from cedarmill.decisions.state import BalancerState, Executor, Request

BACKOFF_FACTOR = 2.0  # the back-off grows by this factor with each rejection of a request
MAX_RESERVING_REQUESTS = 8  # first requests of the queue that may hold a slot; bounds the cost of an event


def last_rejection_at(request: Request, executor: Executor) -> int:
    """Return when an executor last rejected a request (us); 0 if it has not."""
    rejections = [
        attempt.ended_at
        for attempt in request.attempts
        if attempt.was_rejected and attempt.executor is executor
    ]
    return max(rejections, default=0)


def may_resolve_at_once(request: Request, executor: Executor) -> bool:
    """Whether the last attempt got an ambiguous rejection, which a repeat at the same executor resolves."""
    last = request.attempts[-1] if request.attempts else None
    return last is not None and last.executor is executor and last.was_rejected and last.may_have_run


def available_capacity(state: BalancerState, executor: Executor, request: Request) -> FreeCapacity:
    """Return the free capacity that a request may use; none during the back-off after a rejection.

    After the back-off, only slots that a report shows free are available. Without reports, the attempts left
    are spread over the time left, and queue places count again.
    """
    free_capacity = learning.free_capacity(state, executor, request)
    if state.queue:
        free_capacity = _leave_slots(free_capacity, _reserved_slots(state, executor, request), request)
    rejected_at = last_rejection_at(request, executor)
    if not rejected_at or may_resolve_at_once(request, executor):
        return free_capacity
    if state.now >= rejected_at + _spread_us(state, request, rejected_at):
        return free_capacity
    reported_slots = learning.reported_free_slots(state, executor, rejected_at + _backoff_us(state, request))
    idle_slots = min(free_capacity.idle_slots, reported_slots)
    return _leave_slots(FreeCapacity(idle_slots, idle_slots), 0.0, request)


def _reserved_slots(state: BalancerState, executor: Executor, request: Request) -> float:
    """Return the slots of the largest queued request that the executor has rejected; it came first.

    Not of all of them: while they wait for their back-off, the slots stay idle.
    """
    first_queued = state.queue[:MAX_RESERVING_REQUESTS]
    waiting = (queued for queued in first_queued if queued is not request and not queued.done)
    return max((queued.slots for queued in waiting if last_rejection_at(queued, executor)), default=0.0)


def _leave_slots(free_capacity: FreeCapacity, reserved_slots: float, request: Request) -> FreeCapacity:
    """Return the free capacity without reserved slots; 0 where the request does not fit then."""
    idle_slots = free_capacity.idle_slots - reserved_slots
    slots_with_queue = free_capacity.slots_with_queue - reserved_slots
    return FreeCapacity(
        idle_slots * (idle_slots >= request.slots), slots_with_queue * (slots_with_queue >= request.slots)
    )


def _backoff_us(state: BalancerState, request: Request) -> int:
    """Return the back-off: a slot becomes free in a mean running time on average."""
    count = sum(attempt.was_rejected for attempt in request.attempts)
    return int(state.learned.mean_run_us * BACKOFF_FACTOR ** (count - 1))


def _spread_us(state: BalancerState, request: Request, rejected_at: int) -> int:
    """Return the time between attempts that spreads those left over the time left since a rejection."""
    attempts_left = request.max_attempts - len(request.attempts)
    time_left_us = retries.time_left_us(state, request) + state.now - rejected_at
    return max(_backoff_us(state, request), time_left_us // (attempts_left + 1))
