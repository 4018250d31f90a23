"""Admission and preemption, based on Zhao's preemptive connection pool.

Requests are admitted in order of arrival while the pool has free capacity. In a full pool, a request of
higher priority preempts attempts of lower priority; otherwise it is refused, queued or failed.
"""

from dataclasses import dataclass, field
from itertools import islice

from cedarmill.decisions import interface as api
from cedarmill.decisions import learning, outliers, retries, selection
from cedarmill.decisions.interface import Effect
from cedarmill.decisions.state import Attempt, BalancerState, Executor, QueueRetryDue, QueueTimeout, Request

MIN_PREEMPTION_GAIN = 0.6  # share of preemptions that must free a slot before running attempts are preempted
CONFIRMED_PREEMPTION_GAIN = 0.75  # share above which several preemptions may be pending at a time
PREEMPTION_SCAN_REQUESTS = 32  # latest requests whose executors are considered for preemption
QUEUED_RETRIES_PER_EVENT = 8  # queued requests that are retried for one event


def admit(state: BalancerState, request: Request) -> None:
    """Send a request, preempting other attempts if necessary; reject or queue it if there is no capacity."""
    if not selection.select_and_send(state, request) and not _preempt(state, request):
        reject_or_queue(state, request)


def reject_or_queue(state: BalancerState, request: Request) -> None:
    """Refuse a request that cannot be sent, or queue it while it may still be retried, or fail it.

    Do nothing if the request is done, has an attempt in flight or waits for answers to probes.
    """
    if request.done or request.in_flight or request.probes_pending:
        return
    if retries.may_refuse(request):
        retry_after_us = int(request.retry_after_factor * learning.slack_us(state, request))
        refusal = api.Refuse(request.id, min(retry_after_us, state.settings.max_retry_after_us))
        retries.finish(state, request, refusal)
        return
    remaining_us = retries.time_left_us(state, request)
    if remaining_us <= 0 or not retries.may_retry(request):
        retries.finish(state, request, api.Fail(request.id))
    elif not request.queued:
        request.queued = True
        state.queue.append(request)
        state.set_timer(remaining_us, QueueTimeout(request))
        _schedule_queue_retry(state, request)


def _schedule_queue_retry(state: BalancerState, request: Request) -> None:
    """Schedule the next retry of a queued request, by when a slot has become free on average.

    Without listed executors nothing can be retried before the next endpoint list, which retries the queue.
    """
    has_executors = bool(state.pools.local or state.pools.remote)
    if has_executors and not request.has_retry_timer:
        request.has_retry_timer = True
        state.set_timer(int(state.learned.mean_run_us), QueueRetryDue(request))


def on_queue_retry_due(state: BalancerState, request: Request) -> None:
    """Retry the queue for a request that waits in it, with new probes."""
    request.has_retry_timer = False
    if request.queued and not request.done:
        request.probe_rounds = 0
        retry_queued(state)


def retry_queued(state: BalancerState) -> None:
    """Send queued requests, in order of arrival, when capacity may have become free."""
    retried, state.queue = state.queue[:QUEUED_RETRIES_PER_EVENT], state.queue[QUEUED_RETRIES_PER_EVENT:]
    for request in retried:
        is_handled = request.done or request.in_flight or bool(request.probes_pending)
        request.queued = not (is_handled or selection.select_and_send(state, request))
    still_queued = [request for request in retried if request.queued]
    state.queue[:0] = still_queued
    for request in still_queued:
        _schedule_queue_retry(state, request)


@dataclass(slots=True)
class _Shortage:
    """Capacity that an executor lacks for a request, and the attempts to preempt to free it."""

    slots: float
    memory: float
    victims: list[Attempt] = field(default_factory=list)

    @property
    def is_unmet(self) -> bool:
        return max(self.slots, self.memory) > 0

    def add(self, victim: Attempt) -> None:
        """Add an attempt to preempt."""
        self.victims.append(victim)
        self.slots -= victim.request.slots
        self.memory -= victim.request.memory


def _preempt(state: BalancerState, request: Request) -> bool:
    """Preempt lower-priority attempts at the executor with the lowest preemption cost, and send there."""
    cheapest: list[Attempt] = []
    for executor in _executors_of_latest_requests(state):
        if outliers.health_weight(state, executor, request) and retries.may_send(state, request, executor):
            victims = _victims(state, request, executor)
            if victims and (not cheapest or _preemption_cost(victims[-1]) < _preemption_cost(cheapest[-1])):
                cheapest = victims
    for victim in cheapest:
        retries.cancel(state, victim)
    if not cheapest:
        return False
    preempted_running = cheapest[-1].started_at > 0
    return selection.send(state, request, cheapest[-1].executor, preempted_running)


def _executors_of_latest_requests(state: BalancerState) -> list[Executor]:
    """Return the executors of the latest requests; empty if executors cannot cancel attempts."""
    if not state.settings.can_cancel:
        return []
    latest = islice(reversed(state.requests.values()), PREEMPTION_SCAN_REQUESTS)
    attempts = (attempt for request in latest for attempt in request.attempts if attempt.in_flight)
    return list({attempt.executor.id: attempt.executor for attempt in attempts}.values())


def _victims(state: BalancerState, request: Request, executor: Executor) -> list[Attempt]:
    """Return the cheapest attempts that free enough capacity for a request; empty if they do not suffice."""
    shortage = _Shortage(
        request.slots - (executor.capacity + executor.queue_places - executor.held_slots),
        request.memory - (executor.memory_capacity - executor.held_memory),
    )
    include_running = _may_preempt_running(state)
    preemptible = [
        attempt
        for attempt in executor.attempts.values()
        if not attempt.not_preemptible
        and (include_running or not attempt.started_at)
        and attempt.request.priority < request.priority
    ]
    preemptible.sort(key=_preemption_cost, reverse=True)
    while preemptible and shortage.is_unmet:
        shortage.add(preemptible.pop())
    return [] if shortage.is_unmet else shortage.victims


def _may_preempt_running(state: BalancerState) -> bool:
    """Whether preempting running attempts frees their slots at once.

    Until the gain is confirmed, only one such preemption is tried at a time.
    """
    gain, last_attempt = state.learned.preemption_gain, state.preempting_attempt
    is_pending = gain <= CONFIRMED_PREEMPTION_GAIN and last_attempt is not None and last_attempt.in_flight
    return gain > MIN_PREEMPTION_GAIN and not is_pending


def _preemption_cost(victim: Attempt) -> tuple[float, bool, float, int, bool, int]:
    """Return the sort key of attempts to preempt, cheapest first.

    The order is lowest priority, not started, least progress, latest start, and safe to repeat.
    """
    request = victim.request
    unsafe = request.request_class.effect == Effect.UNSAFE
    return request.priority, victim.started_at > 0, victim.progress, -victim.started_at, unsafe, request.id
