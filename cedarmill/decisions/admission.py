"""Admission and preemption, after Zhao's preemptive connection pool.

Requests enter in order while the pool has room; when it is full, one of higher priority preempts attempts of
lower ones, or is refused, queued or failed.
"""

from dataclasses import dataclass, field
from itertools import islice

from cedarmill.decisions import interface as api
from cedarmill.decisions import learning, outliers, retries, selection
from cedarmill.decisions.interface import Effect
from cedarmill.decisions.state import Attempt, BalancerState, Executor, QueueTimeout, Request

MIN_PREEMPTION_GAIN = 0.6  # share of preempted attempts that free a slot; under it running ones are let be
CONFIRMED_PREEMPTION_GAIN = (
    0.75  # up to this share one at a time is preempted, till the next has shown its gain
)
PREEMPTION_SCAN_REQUESTS = 32  # whose executors are looked at for attempts to preempt
QUEUED_RETRIES_PER_EVENT = 8  # queued requests that are placed anew for one event


def admit(state: BalancerState, request: Request) -> None:
    """Place a request, by preemption if it must be, or turn it away."""
    if not selection.select_and_send(state, request) and not _preempt(state, request):
        reject_or_queue(state, request)


def reject_or_queue(state: BalancerState, request: Request) -> None:
    """No room: refuse, or queue what was preempted or lost while it may still be repeated, or fail it.

    Nothing is done for a request that is done, has an attempt in flight, or waits for answers to probes.
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


def retry_queued(state: BalancerState) -> None:
    """Room may have appeared: queued requests go first, in order of arrival."""
    tried, state.queue = state.queue[:QUEUED_RETRIES_PER_EVENT], state.queue[QUEUED_RETRIES_PER_EVENT:]
    for request in tried:
        is_settled = request.done or request.in_flight or bool(request.probes_pending)
        request.queued = not (is_settled or selection.select_and_send(state, request))
    state.queue[:0] = [request for request in tried if request.queued]


@dataclass(slots=True)
class _Shortage:
    """What an executor lacks before a request fits there, and the attempts that would free it."""

    slots: float
    memory: float
    victims: list[Attempt] = field(default_factory=list)

    @property
    def is_unmet(self) -> bool:
        return max(self.slots, self.memory) > 0

    def add(self, victim: Attempt) -> None:
        """Count an attempt as preempted."""
        self.victims.append(victim)
        self.slots -= victim.request.slots
        self.memory -= victim.request.memory


def _preempt(state: BalancerState, request: Request) -> bool:
    """Cancel own attempts of lower priority at the executor where they cost least, and send there."""
    best: list[Attempt] = []
    for executor in _executors_of_latest_requests(state):
        if outliers.health_weight(state, executor, request) and retries.may_send(state, request, executor):
            victims = _victims(state, request, executor)
            if victims and (not best or _preemption_cost(victims[-1]) < _preemption_cost(best[-1])):
                best = victims
    for victim in best:
        retries.cancel(state, victim)
    if not best:
        return False
    preempted_running = best[-1].started_at > 0
    return selection.send(state, request, best[-1].executor, preempted_running)


def _executors_of_latest_requests(state: BalancerState) -> list[Executor]:
    """Where attempts of the latest requests run; none, where executors cannot cancel."""
    if not state.settings.can_cancel:
        return []
    latest = islice(reversed(state.requests.values()), PREEMPTION_SCAN_REQUESTS)
    attempts = (attempt for request in latest for attempt in request.attempts if attempt.in_flight)
    return list({attempt.executor.id: attempt.executor for attempt in attempts}.values())


def _victims(state: BalancerState, request: Request, executor: Executor) -> list[Attempt]:
    """The cheapest attempts that make room for a request at an executor; none, if they do not suffice."""
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
    """Whether preempting what runs makes room at once; till that is sure, one at a time is tried."""
    gain, last_attempt = state.learned.preemption_gain, state.preempting_attempt
    is_pending = gain <= CONFIRMED_PREEMPTION_GAIN and last_attempt is not None and last_attempt.in_flight
    return gain > MIN_PREEMPTION_GAIN and not is_pending


def _preemption_cost(victim: Attempt) -> tuple[float, bool, float, int, bool, int]:
    """Lowest priority first, then not started, least progress, latest start, then what may be repeated."""
    request = victim.request
    unsafe = request.request_class.effect == Effect.UNSAFE
    return request.priority, victim.started_at > 0, victim.progress, -victim.started_at, unsafe, request.id
