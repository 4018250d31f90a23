"""Discovery: what a message of the endpoint list changes, and when the list is asked for."""

from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import EndpointEntry, EndpointListKind, ExecutorState
from cedarmill.decisions.learning import INITIAL_QUEUE_PLACES
from cedarmill.decisions.state import BalancerState, Executor, SubscribeDue

CALL_SPREAD_PER_BALANCER_US = (
    50_000  # for each balancer, over which all ask for the list; doubled by each failure
)
FIRST_CALL_SPREAD_LIMIT = 0.2  # of the time in which discovery is to be asked: the first call comes within it
RETRY_SPREAD_LIMIT = 2.0  # the same after a failed call
MAX_SPREAD_DOUBLINGS = 16  # so many double the span: for any fleet that is beyond the longest wait
RETRY_DELAY_DIVISOR = 40  # of the same time: at least so much of it passes after a failed call


def apply_list(state: BalancerState, event: api.EndpointList) -> None:
    """Take the endpoint list or what changed in it; a failed call is made again, later each time."""
    if event.kind == EndpointListKind.FAILED:
        state.list_failures = min(state.list_failures + 1, MAX_SPREAD_DOUBLINGS)
        wait_us = state.settings.ask_within_us // RETRY_DELAY_DIVISOR
        _schedule_call(state, 2.0**state.list_failures, RETRY_SPREAD_LIMIT, wait_us)
        return
    state.list_failures = 0
    for entry in event.entries:
        _apply_entry(state, entry)
    if event.kind != EndpointListKind.DELTA:
        listed_ids = {entry.executor for entry in event.entries}
        for executor in state.executors.values():
            if executor.id not in listed_ids:
                state.pools.remove(executor)
    state.reinstated = [executor for executor in state.reinstated if executor is state.executors[executor.id]]
    if event.kind == EndpointListKind.CACHED and state.settings.on_request_discovery:
        _schedule_call(state, 0.0 if state.is_successor else 1.0, FIRST_CALL_SPREAD_LIMIT)


def _apply_entry(state: BalancerState, entry: EndpointEntry) -> None:
    """Take one line of the list: a new executor, a new process of one, another place or state."""
    executor = state.executors.get(entry.executor)
    if executor is None or entry.started_at > executor.started_at:
        state.pools.remove(executor)
        executor = state.executors[entry.executor] = _executor_for_process(entry, executor)
    elif entry.state == ExecutorState.READY and (entry.zone, entry.cell) != (executor.zone, executor.cell):
        state.pools.remove(executor)  # the list is true; attempts keep the zone and cell they were sent to
        executor.zone, executor.cell = entry.zone, entry.cell
    if entry.state != ExecutorState.READY:
        state.pools.remove(executor)
    elif not executor.listed:
        state.pools.add(executor, state.random.random())
        if entry.by_hand:
            state.reinstated.append(executor)


def _executor_for_process(entry: EndpointEntry, predecessor: Executor | None) -> Executor:
    """A new process of an executor: of the one before it, its slots and attempts in flight still hold."""
    executor = Executor(
        entry.executor,
        entry.zone,
        entry.cell,
        entry.kind,
        entry.started_at,
        slots=1.0,
        capacity=1.0,
        queue_places=INITIAL_QUEUE_PLACES,
        size=entry.size or 1.0,
        listed=False,
    )
    if predecessor is not None:
        executor.slots, executor.attempts = predecessor.slots, predecessor.attempts
        executor.slow_start = (
            predecessor.slow_start
        )  # a start told again, or anew by a little, is no second budget
    return executor


def _schedule_call(
    state: BalancerState, spread_factor: float, spread_limit: float, min_delay_us: int = 0
) -> None:
    """Ask at a random time: all balancers lose the list at once, and discovery serves few calls.

    The span grows with the balancers and by `factor`, up to `bound` of the time in which discovery is asked.
    """
    settings = state.settings
    span_us = min(
        CALL_SPREAD_PER_BALANCER_US * settings.instances * spread_factor,
        spread_limit * settings.ask_within_us,
    )
    state.set_timer(min_delay_us + int(span_us * state.random.random()), SubscribeDue())
