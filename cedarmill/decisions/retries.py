"""Retries and hedged requests: whether another attempt may follow, and the completion of requests.

All attempts pass `may_send` and all refusals pass `may_refuse`, which enforce the rules of the protocol:
a request gets one final answer (1), its effects are not repeated (2), a draining executor gets no new
attempts (3), and an executor that is warming up is not overloaded (4).
"""

from cedarmill.decisions import interface as api
from cedarmill.decisions import slow_start
from cedarmill.decisions.interface import DeduplicationScope, Effect
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request

MAX_WRITE_DELAY_US = 150_000  # a node may be held up for this long between reading the clock and writing
CLIENT_CLOSE_GRACE_US = 100_000  # an attempt that begins later after its client's end counts as lost
MARGIN_TICKS = 2  # ticks of the clock before the end of a deadline or a window


def may_send(state: BalancerState, request: Request, executor: Executor) -> bool:
    """Whether an attempt of a request may be sent to an executor now."""
    send_deadline = _send_deadline(state, request) if request.attempts else request.deadline
    is_over = request.done or state.now >= send_deadline or len(request.attempts) >= request.max_attempts
    if (
        is_over
        or not executor.listed
        or (request.allowed_zones and executor.zone not in request.allowed_zones)
    ):
        return False
    if request.request_class.worker_kind not in (-1, executor.kind):
        return False
    if not slow_start.is_within_budget(state, executor, request):
        return False
    return not request.attempts or all(
        _permits_attempt(state, attempt, executor) for attempt in request.attempts
    )


def _permits_attempt(state: BalancerState, attempt: Attempt, executor: Executor) -> bool:
    """Whether an attempt permits another one at an executor, after it ended or while it runs."""
    if attempt.in_flight and not state.settings.may_duplicate:
        return False
    effect = attempt.request.request_class.effect
    if not attempt.may_have_run or effect == Effect.SAFE:
        return True
    return effect != Effect.UNSAFE and _deduplicates(attempt, executor)


def _deduplicates(attempt: Attempt, executor: Executor) -> bool:
    """Whether an executor discards a repetition of an attempt."""
    scope = attempt.request.request_class.group
    if scope == DeduplicationScope.ZONE:
        return attempt.zone == executor.zone
    if scope == DeduplicationScope.CELL:
        return attempt.cell == executor.cell
    return True


def _send_deadline(state: BalancerState, request: Request) -> int:
    """Return the time (us) until which another attempt may be sent, allowing for a delayed write."""
    request_class, margin_us = request.request_class, MARGIN_TICKS * state.settings.tick_us
    limits = [request.deadline - max(margin_us, MAX_WRITE_DELAY_US - CLIENT_CLOSE_GRACE_US)]
    if request_class.effect == Effect.KEYED:  # a repetition after the deduplication window would run again
        sent_times = [attempt.sent_at for attempt in request.attempts if attempt.may_have_run]
        limits += [
            sent_at + request_class.repeat_window_us - margin_us - MAX_WRITE_DELAY_US
            for sent_at in sent_times
        ]
    return min(limits)


def time_left_us(state: BalancerState, request: Request) -> int:
    """Return the time (us) in which another attempt may still be sent; 0 or less if there is none."""
    return _send_deadline(state, request) - state.now


def may_retry(request: Request) -> bool:
    """Whether a request that was attempted has attempts left and may be repeated."""
    return len(request.attempts) < request.max_attempts and request.request_class.effect != Effect.UNSAFE


def may_refuse(request: Request) -> bool:
    """Whether a request may be refused, which tells its client that a retry is harmless."""
    request_class = request.request_class
    is_known_everywhere = request_class.group == DeduplicationScope.ALL
    is_harmless = request_class.effect == Effect.SAFE or (
        request_class.effect == Effect.KEYED and is_known_everywhere
    )
    return not request.done and (is_harmless or not any(attempt.may_have_run for attempt in request.attempts))


def cancel(state: BalancerState, attempt: Attempt) -> None:
    """Cancel an attempt, if executors can cancel and it is not being cancelled already."""
    if state.settings.can_cancel and attempt.in_flight and not attempt.not_preemptible:
        attempt.not_preemptible = True
        state.actions.append(api.Cancel(attempt.request.id, attempt.number))


def finish(state: BalancerState, request: Request, answer: api.Refuse | api.Fail | None = None) -> None:
    """Complete a request: give its answer, if any, and cancel its attempts."""
    if answer is not None:
        state.actions.append(answer)
    request.done = True
    for attempt in request.attempts:
        cancel(state, attempt)
    if not request.in_flight:
        state.requests.pop(request.id, None)
