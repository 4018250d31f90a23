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

PREEMPTION_GAIN_LEAST = 0.6  # share of preempted attempts that free a slot; under it running ones are let be
PREEMPTION_GAIN_SURE = 0.75  # up to this share one at a time is preempted, till the next has shown its gain
LATEST_REQUESTS = 32  # whose executors are looked at for attempts to preempt
QUEUED_TRIED = 8  # queued requests that are placed anew for one event


def admit(state: BalancerState, request: Request) -> None:
    """Place a request, by preemption if it must be, or turn it away."""
    if not selection.place(state, request) and not _preempt(state, request):
        turn_away(state, request)


def turn_away(state: BalancerState, request: Request) -> None:
    """No room: refuse, or queue what was preempted or lost while it may still be repeated, or fail it.

    Nothing is done for a request that is done, has an attempt in flight, or waits for answers to probes.
    """
    if request.done or request.in_flight or request.probes_pending:
        return
    if retries.may_refuse(request):
        advice_us = int(request.retry_after_factor * learning.slack_us(state, request))
        answer = api.Refuse(request.id, min(advice_us, state.settings.max_retry_after_us))
        retries.finish(state, request, answer)
        return
    left_us = retries.time_left_us(state, request)
    if left_us <= 0 or not retries.may_be_repeated(request):
        retries.finish(state, request, api.Fail(request.id))
    elif not request.queued:
        request.queued = True
        state.queue.append(request)
        state.set_timer(left_us, QueueTimeout(request))


def retry_queued(state: BalancerState) -> None:
    """Room may have appeared: queued requests go first, in order of arrival."""
    tried, state.queue = state.queue[:QUEUED_TRIED], state.queue[QUEUED_TRIED:]
    for request in tried:
        moot = request.done or request.in_flight or bool(request.probes_pending)
        request.queued = not (moot or selection.place(state, request))
    state.queue[:0] = [request for request in tried if request.queued]


@dataclass(slots=True)
class _Shortage:
    """What an executor lacks before a request fits there, and the attempts that would free it."""

    slots: float
    memory: float
    victims: list[Attempt] = field(default_factory=list)

    @property
    def lasts(self) -> bool:
        return max(self.slots, self.memory) > 0

    def add(self, victim: Attempt) -> None:
        """Count an attempt as preempted."""
        self.victims.append(victim)
        self.slots -= victim.request.slots
        self.memory -= victim.request.memory


def _preempt(state: BalancerState, request: Request) -> bool:
    """Cancel own attempts of lower priority at the executor where they cost least, and send there."""
    best: list[Attempt] = []
    for executor in _executors_in_use(state):
        if outliers.trust(state, executor, request) and retries.may_send(state, request, executor):
            victims = _victims(state, request, executor)
            if victims and (not best or _cost(victims[-1]) < _cost(best[-1])):
                best = victims
    for victim in best:
        retries.cancel(state, victim)
    if not best:
        return False
    preempted_running = best[-1].started_at > 0
    return selection.send(state, request, best[-1].executor, preempted_running)


def _executors_in_use(state: BalancerState) -> list[Executor]:
    """Where attempts of the latest requests run; none, where executors cannot cancel."""
    if not state.settings.can_cancel:
        return []
    latest = islice(reversed(state.requests.values()), LATEST_REQUESTS)
    attempts = (attempt for request in latest for attempt in request.attempts if attempt.in_flight)
    return list({attempt.executor.id: attempt.executor for attempt in attempts}.values())


def _victims(state: BalancerState, request: Request, executor: Executor) -> list[Attempt]:
    """The cheapest attempts that make room for a request at an executor; none, if they do not suffice."""
    shortage = _Shortage(
        request.slots - (executor.capacity + executor.queue_places - executor.held_slots),
        request.memory - (executor.memory_capacity - executor.held_memory),
    )
    running_too = _running_may_be_preempted(state)
    lower = [
        attempt
        for attempt in executor.attempts.values()
        if not attempt.not_preemptible
        and (running_too or not attempt.started_at)
        and attempt.request.priority < request.priority
    ]
    lower.sort(key=_cost, reverse=True)
    while lower and shortage.lasts:
        shortage.add(lower.pop())
    return [] if shortage.lasts else shortage.victims


def _running_may_be_preempted(state: BalancerState) -> bool:
    """Whether preempting what runs makes room at once; till that is sure, one at a time is tried."""
    gain, last = state.learned.preemption_gain, state.preempting_attempt
    undecided = gain <= PREEMPTION_GAIN_SURE and last is not None and last.in_flight
    return gain > PREEMPTION_GAIN_LEAST and not undecided


def _cost(victim: Attempt) -> tuple[float, bool, float, int, bool, int]:
    """Lowest priority first, then not started, least progress, latest start, then what may be repeated."""
    request = victim.request
    unsafe = request.request_class.effect == Effect.UNSAFE
    return request.priority, victim.started_at > 0, victim.progress, -victim.started_at, unsafe, request.id
