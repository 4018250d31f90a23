"""Slow start: this balancer's part of what an executor that warms up may be sent, in every overload window.

An executor that warms up falls when it gets more than N + 2 * sqrt(N) + 2 requests of mean work in the
overload window (N under 30: N + 3 * sqrt(N) + 3), N being what the settings allow it then, whoever sent
them. So each balancer keeps to a part of a budget for all, counted as work and as requests. Work is
slot-time in microseconds.
"""

import math

from cedarmill.decisions.learning import EXECUTOR_SAMPLES, hinted_work_us
from cedarmill.decisions.quotas import record_served, served_share, traffic_share
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request, WorkSent

SAFETY_DEVIATIONS = 1.5  # standard deviations of what all balancers send by chance that stay within the bound
SHARE_HEADROOM = 1.25  # times its known part that a balancer may take in a burst
MAX_SHARE_SUM = (
    1.4  # what the parts that all take may add up to: an even part is open to those that serve less
)
SMALL_WINDOW_REQUESTS = 30  # in a window, under which the slack for chance is wider
SMALL_WINDOW_SLACK, LARGE_WINDOW_SLACK = (
    3,
    2,
)  # factor on the root of N, and constant, of the slack for chance
MIN_WORK_SHARE = (
    0.5  # of the class's mean, taken for each request: what fells an executor may be short ones all
)
MIN_MEAN_WORK_US = 1.0  # requests may need no slots at all
WORK_ESTIMATE_SAMPLES = 20 * EXECUTOR_SAMPLES  # requests that the usual work is the mean of


def is_warming_up(state: BalancerState, executor: Executor) -> bool:
    """Whether an executor started so lately that its capacity is not all there."""
    return executor.started_at > 0 and state.now - executor.started_at < state.settings.cold_us > 0


def admits(state: BalancerState, executor: Executor, request: Request) -> bool:
    """Whether this balancer may send a request to an executor: always, where that is warm."""
    if not is_warming_up(state, executor):
        return True
    settings, usage = state.settings, executor.slow_start
    usage.sends = [sent for sent in usage.sends if sent.at > state.now - settings.overload_window_us]
    threshold_us = _overload_threshold_us(state, executor)
    mean_work_us = max(MIN_MEAN_WORK_US, state.learned.work_estimate.mean_us)
    allowed, relative_variance = (
        threshold_us / mean_work_us,
        max(0.0, state.learned.work_estimate.relative_variance),
    )
    requests_budget_us = mean_work_us * _safe_mean_requests(allowed, settings.instances)
    work_budget_us = min(
        threshold_us, mean_work_us * _safe_mean_requests(allowed, settings.instances, relative_variance)
    )
    if (
        state.now - usage.sampled_at > settings.overload_window_us
    ):  # parts of a request: by chance, once a window
        usage.sampled_at, usage.sample = state.now, state.random.random()
    work_us, sent_us = expected_work_us(state, request), sum(sent.work_us for sent in usage.sends)
    share = _budget_share(state)
    if sent_us + work_us > work_budget_us * share + usage.sample * min(work_us, work_budget_us):
        return False
    # it falls by work or by the number of requests, each taken for a usual one
    requests_us = (len(usage.sends) + 1) * mean_work_us
    return requests_us <= requests_budget_us * share + usage.sample * min(mean_work_us, requests_budget_us)


def _overload_threshold_us(state: BalancerState, executor: Executor) -> float:
    """Work in one overload window under which an executor that warms up does not fall, as settings say."""
    settings = state.settings
    age_us = max(0, state.now - executor.started_at - settings.overload_window_us)  # at the window's start
    share = settings.cold_share + (1 - settings.cold_share) * age_us / settings.cold_us
    return settings.fall_multiple * share * _warm_slots(state, executor) * settings.overload_window_us


def _warm_slots(state: BalancerState, executor: Executor) -> float:
    """What executors of its kind have shown, less where it is listed as smaller."""
    learned = state.learned
    if executor.kind not in learned.slots_by_kind:
        return executor.slots
    size = learned.size_by_kind.get(executor.kind, executor.size)
    return max(1.0, learned.slots_by_kind[executor.kind] * min(1.0, executor.size / size))


def _safe_mean_requests(allowed: float, instances: int, relative_variance: float = 0.0) -> float:
    """Requests that all balancers may aim to send in a window, where the settings allow so many.

    Each balancer samples for itself: CHANCE_DEVIATIONS standard deviations of the sum must fit below the
    bound. Where most send one or none, the sum's variance is that of a Poisson count; where each sends many,
    only its last one is a matter of chance, with a variance of at most 1/4 for each balancer. Either grows
    by the unforeseen `variation` of work (in squares of the mean) for each request.
    """
    slack = SMALL_WINDOW_SLACK if allowed < SMALL_WINDOW_REQUESTS else LARGE_WINDOW_SLACK
    bound = allowed + slack * math.sqrt(allowed) + slack
    poisson_mean = _largest_safe_mean(bound, 0.0, 1.0 + relative_variance)
    bounded_mean = _largest_safe_mean(bound, instances / 4, relative_variance)
    return max(poisson_mean, bounded_mean) / min(instances, MAX_SHARE_SUM)


def _largest_safe_mean(bound: float, base_variance: float, variance_per_unit: float) -> float:
    """The mean of a sum with variance `fixed + each * mean` that stays CHANCE_DEVIATIONS below a bound.

    It solves mean + CHANCE_DEVIATIONS * sqrt(fixed + each * mean) = bound.
    """
    half = SAFETY_DEVIATIONS**2 * variance_per_unit / 2
    root = SAFETY_DEVIATIONS * math.sqrt(
        base_variance + variance_per_unit * bound + SAFETY_DEVIATIONS**2 * variance_per_unit**2 / 4
    )
    return bound + half - root


def _budget_share(state: BalancerState) -> float:
    """This balancer's part of the budget: what it sees of the quotas, bounded by its known part.

    More than that may be a burst that all balancers see: each would take its part of several budgets.
    """
    even_share = 1 / state.settings.instances
    return min(traffic_share(state), SHARE_HEADROOM * max(even_share, served_share(state)))


def expected_work_us(state: BalancerState, request: Request) -> float:
    """Slot-time that a request is likely to take, by its hint; what a rough one calls short runs longer."""
    min_us = request.slots * state.class_times(request).mean_us * MIN_WORK_SHARE
    return max(hinted_work_us(state, request), min_us)


def record_send(state: BalancerState, executor: Executor, request: Request) -> None:
    """An attempt of a request goes to an executor, which may be warming up."""
    if is_warming_up(state, executor):
        executor.slow_start.sends.append(WorkSent(state.now, expected_work_us(state, request)))


def record_sibling_sends(state: BalancerState, executor: Executor, slots: float) -> None:
    """The sibling process holds so many slots more than before: a send for each."""
    if slots > 0 and is_warming_up(state, executor):
        sent = WorkSent(state.now, state.learned.work_estimate.mean_us)
        executor.slow_start.sends += [sent] * math.ceil(slots)


def record_arrival(state: BalancerState, request: Request) -> None:
    """Let a request count for the usual work, once running times of its class are known."""
    times, estimate, served = state.class_times(request), state.learned.work_estimate, state.learned.served
    served.since = served.since or state.now
    if not times.count:
        return
    if not estimate.count:
        estimate.mean_us, estimate.count = times.mean_us, EXECUTOR_SAMPLES
    estimate.count = min(estimate.count + 1, WORK_ESTIMATE_SAMPLES)
    estimate.mean_us += (hinted_work_us(state, request) - estimate.mean_us) / estimate.count


def record_run(state: BalancerState, attempt: Attempt) -> None:
    """An attempt was served: it counts for this balancer's part, and tells how far work strays from hints.

    Those of executors that warm up tell nothing of that: they may run the slower.
    """
    record_served(state)
    if is_warming_up(state, attempt.executor):
        return
    estimate, request = state.learned.work_estimate, attempt.request
    mean_us = max(MIN_MEAN_WORK_US, estimate.mean_us)
    actual_work = request.slots * (state.now - (attempt.started_at or attempt.sent_at)) / mean_us
    expected_work = expected_work_us(state, request) / mean_us
    estimate.variance_samples = min(estimate.variance_samples + 1, WORK_ESTIMATE_SAMPLES)
    estimate.relative_variance += (
        actual_work**2 - expected_work**2 - estimate.relative_variance
    ) / estimate.variance_samples
