"""Discovery: applies endpoint list messages and schedules requests for the endpoint list."""

from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import EndpointEntry, EndpointListKind, ExecutorState
from cedarmill.decisions.learning import INITIAL_QUEUE_PLACES
from cedarmill.decisions.state import BalancerState, Executor, SubscribeDue

CALL_SPREAD_PER_BALANCER_US = 50_000  # doubled by each failed call
FIRST_CALL_SPREAD_LIMIT = 0.2  # share of `ask_within_us` within which the first call is made
RETRY_SPREAD_LIMIT = 2.0  # multiple of `ask_within_us` within which a failed call is retried
MAX_SPREAD_DOUBLINGS = 16  # beyond the longest delay for any number of balancers
RETRY_DELAY_DIVISOR = 40  # `ask_within_us` divided by this is the minimum delay of a retry


def apply_list(state: BalancerState, event: api.EndpointList) -> None:
    """Apply an endpoint list or its changes; after a failed call, schedule the next one with backoff."""
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
    """Apply a list entry: a new executor, a restarted one, or another location or state."""
    executor = state.executors.get(entry.executor)
    if executor is None or entry.started_at > executor.started_at:
        state.pools.remove(executor)
        executor = state.executors[entry.executor] = _executor_for_process(entry, executor)
    elif entry.state == ExecutorState.READY and (entry.zone, entry.cell) != (executor.zone, executor.cell):
        state.pools.remove(executor)  # running attempts keep the zone and cell in which they were sent
        executor.zone, executor.cell = entry.zone, entry.cell
    if entry.state != ExecutorState.READY:
        state.pools.remove(executor)
    elif not executor.listed:
        state.pools.add(executor, state.random.random())
        if entry.is_reinstated:
            state.reinstated.append(executor)


def _executor_for_process(entry: EndpointEntry, predecessor: Executor | None) -> Executor:
    """Create an executor record; a restarted executor keeps its predecessor's slots and attempts."""
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
        executor.slow_start = predecessor.slow_start  # a start listed again, a little later, is no new budget
    return executor


def _schedule_call(
    state: BalancerState, spread_factor: float, spread_limit: float, min_delay_us: int = 0
) -> None:
    """Schedule a call to discovery after a random delay, so that balancers do not call all at once.

    All balancers lose the list at the same moment, and discovery serves few calls at a time.
    The delay is spread over a time that grows with the number of balancers and with `spread_factor`, up to
    `spread_limit` times `ask_within_us`.
    """
    settings = state.settings
    spread_us = min(
        CALL_SPREAD_PER_BALANCER_US * settings.instances * spread_factor,
        spread_limit * settings.ask_within_us,
    )
    state.set_timer(min_delay_us + int(spread_us * state.random.random()), SubscribeDue())
