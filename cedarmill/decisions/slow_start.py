"""Slow start: limits what this balancer sends to an executor that is warming up in each overload window.

An executor that is warming up fails when it receives more than N + 2 * sqrt(N) + 2 requests of mean work in
an overload window (for N under 30: N + 3 * sqrt(N) + 3). N is the number of requests that the settings allow
at its age, from all balancers together. Each balancer therefore keeps to its share of a common budget, both
in work and in requests. Work is slot-time in microseconds.
"""

import math

from cedarmill.decisions.learning import EXECUTOR_SAMPLES, hinted_work_us
from cedarmill.decisions.quotas import record_served, served_share, traffic_share
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request, WorkSent

SAFETY_DEVIATIONS = 1.5  # standard deviations of the total load that must fit below the limit
SHARE_HEADROOM = 1.25  # multiple of its served share that a balancer may use in a burst
MAX_SHARE_SUM = 1.4  # bound on the sum of all shares, since each balancer may use at least an even share
SMALL_WINDOW_REQUESTS = 30  # below, the limit has a wider margin for random variation
SMALL_WINDOW_SLACK, LARGE_WINDOW_SLACK = 3, 2  # factor of sqrt(N), and constant, of that margin
MIN_WORK_SHARE = 0.5  # least expected work, in means of the class: all that overload an executor may be short
MIN_MEAN_WORK_US = 1.0  # requests may need no slots at all
WORK_ESTIMATE_SAMPLES = 20 * EXECUTOR_SAMPLES  # window of the estimate, in requests


def is_warming_up(state: BalancerState, executor: Executor) -> bool:
    """Whether an executor started so recently that it has not reached full capacity."""
    return executor.started_at > 0 and state.now - executor.started_at < state.settings.cold_us > 0


def is_within_budget(state: BalancerState, executor: Executor, request: Request) -> bool:
    """Whether sending a request to an executor keeps to this balancer's budget; true for a warm one."""
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
    # Fractional requests are rounded at random, once per window.
    if state.now - usage.sampled_at > settings.overload_window_us:
        usage.sampled_at, usage.rounding_sample = state.now, state.random.random()
    work_us, sent_us = expected_work_us(state, request), sum(sent.work_us for sent in usage.sends)
    share = _budget_share(state)
    if sent_us + work_us > work_budget_us * share + usage.rounding_sample * min(work_us, work_budget_us):
        return False
    # The executor is overloaded by work or by the number of requests, each of mean work.
    requests_us = (len(usage.sends) + 1) * mean_work_us
    return requests_us <= requests_budget_us * share + usage.rounding_sample * min(
        mean_work_us, requests_budget_us
    )


def _overload_threshold_us(state: BalancerState, executor: Executor) -> float:
    """Return the work (us) per overload window that a warming executor sustains by the settings."""
    settings = state.settings
    # Age at the start of the window, when the executor has the least capacity.
    age_us = max(0, state.now - executor.started_at - settings.overload_window_us)
    share = settings.cold_share + (1 - settings.cold_share) * age_us / settings.cold_us
    return settings.fall_multiple * share * _warm_slots(state, executor) * settings.overload_window_us


def _warm_slots(state: BalancerState, executor: Executor) -> float:
    """Return the slots that executors of the same kind have shown, reduced for a smaller listed size."""
    learned = state.learned
    if executor.kind not in learned.slots_by_kind:
        return executor.slots
    size = learned.size_by_kind.get(executor.kind, executor.size)
    return max(1.0, learned.slots_by_kind[executor.kind] * min(1.0, executor.size / size))


def _safe_mean_requests(allowed: float, instances: int, relative_variance: float = 0.0) -> float:
    """Return the mean number of requests per window that balancers may aim for, per unit of share.

    Each balancer samples independently, so SAFETY_DEVIATIONS standard deviations of the sum must fit below
    the limit. If most balancers send one request or none, the sum has the variance of a Poisson count. If
    each sends many, only its last request is random, with a variance of at most 1/4 per balancer. Either
    variance grows by `relative_variance` (in squares of the mean) per request.
    """
    slack = SMALL_WINDOW_SLACK if allowed < SMALL_WINDOW_REQUESTS else LARGE_WINDOW_SLACK
    bound = allowed + slack * math.sqrt(allowed) + slack
    poisson_mean = _largest_safe_mean(bound, 0.0, 1.0 + relative_variance)
    bounded_mean = _largest_safe_mean(bound, instances / 4, relative_variance)
    return max(poisson_mean, bounded_mean) / min(instances, MAX_SHARE_SUM)


def _largest_safe_mean(bound: float, base_variance: float, variance_per_unit: float) -> float:
    """Return the largest mean of a sum that stays SAFETY_DEVIATIONS standard deviations below `bound`.

    It solves mean + SAFETY_DEVIATIONS * sqrt(base_variance + variance_per_unit * mean) = bound.
    """
    half = SAFETY_DEVIATIONS**2 * variance_per_unit / 2
    root = SAFETY_DEVIATIONS * math.sqrt(
        base_variance + variance_per_unit * bound + SAFETY_DEVIATIONS**2 * variance_per_unit**2 / 4
    )
    return bound + half - root


def _budget_share(state: BalancerState) -> float:
    """Return this balancer's share of the budget: its traffic share, limited by its served share.

    In a burst, the traffic shares of all balancers add up to several budgets.
    """
    even_share = 1 / state.settings.instances
    return min(traffic_share(state), SHARE_HEADROOM * max(even_share, served_share(state)))


def expected_work_us(state: BalancerState, request: Request) -> float:
    """Return a request's slot-time (us) by its hint, at least by its class: short hints are too low."""
    min_us = request.slots * state.class_times(request).mean_us * MIN_WORK_SHARE
    return max(hinted_work_us(state, request), min_us)


def record_send(state: BalancerState, executor: Executor, request: Request) -> None:
    """Record the work of an attempt that is sent to an executor that is warming up."""
    if is_warming_up(state, executor):
        executor.slow_start.sends.append(WorkSent(state.now, expected_work_us(state, request)))


def record_sibling_sends(state: BalancerState, executor: Executor, slots: float) -> None:
    """Record a send of mean work for each additional slot that the sibling process holds."""
    if slots > 0 and is_warming_up(state, executor):
        sent = WorkSent(state.now, state.learned.work_estimate.mean_us)
        executor.slow_start.sends += [sent] * math.ceil(slots)


def record_arrival(state: BalancerState, request: Request) -> None:
    """Update the mean work by a request, if running times of its class are known."""
    times, estimate, served = state.class_times(request), state.learned.work_estimate, state.learned.served
    served.since = served.since or state.now
    if not times.count:
        return
    if not estimate.count:
        estimate.mean_us, estimate.count = times.mean_us, EXECUTOR_SAMPLES
    estimate.count = min(estimate.count + 1, WORK_ESTIMATE_SAMPLES)
    estimate.mean_us += (hinted_work_us(state, request) - estimate.mean_us) / estimate.count


def record_run(state: BalancerState, attempt: Attempt) -> None:
    """Record a served attempt: update the served load and the variance that hints do not explain.

    Attempts at executors that are warming up do not count for the variance, as they may run slower.
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
