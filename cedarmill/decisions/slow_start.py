"""Slow start: this balancer's part of what an executor that warms up may be sent, in every overload window.

An executor that warms up falls when it gets more than N + 2 * sqrt(N) + 2 requests of mean work in the
overload window (N under 30: N + 3 * sqrt(N) + 3), N being what the settings allow it then, whoever sent
them. So each balancer keeps to a part of a budget for all, counted as work and as requests. Work is
slot-time in microseconds.
"""

import math

from cedarmill.decisions.learning import SAMPLES_REMEMBERED, hinted_work_us
from cedarmill.decisions.quotas import record_served, served_part, traffic_part
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request, WorkSent

CHANCE_DEVIATIONS = 1.5  # standard deviations of what all balancers send by chance that stay within the bound
PART_HEADROOM = 1.25  # times its known part that a balancer may take in a burst
PARTS_SUM = 1.4  # what the parts that all take may add up to: an even part is open to those that serve less
FEW_REQUESTS = 30  # in a window, under which the slack for chance is wider
SLACK_FEW, SLACK_MANY = 3, 2  # factor on the root of N, and constant, of the slack for chance
LEAST_WORK = 0.5  # of the class's mean, taken for each request: what fells an executor may be short ones all
LEAST_USUAL_WORK_US = 1.0  # requests may need no slots at all
USUAL_WORK_SAMPLES = 20 * SAMPLES_REMEMBERED  # requests that the usual work is the mean of


def is_warming_up(state: BalancerState, executor: Executor) -> bool:
    """Whether an executor started so lately that its capacity is not all there."""
    return executor.started_at > 0 and state.now - executor.started_at < state.settings.cold_us > 0


def admits(state: BalancerState, executor: Executor, request: Request) -> bool:
    """Whether this balancer may send a request to an executor: always, where that is warm."""
    if not is_warming_up(state, executor):
        return True
    settings, use = state.settings, executor.slow_start
    use.sends = [sent for sent in use.sends if sent.at > state.now - settings.overload_window_us]
    stands_us = _work_it_stands_us(state, executor)
    usual_us = max(LEAST_USUAL_WORK_US, state.learned.usual_work.mean_us)
    allowed, variation = stands_us / usual_us, max(0.0, state.learned.usual_work.variation)
    all_requests_us = usual_us * _requests_of_all(allowed, settings.instances)
    all_work_us = min(stands_us, usual_us * _requests_of_all(allowed, settings.instances, variation))
    if (
        state.now - use.sampled_at > settings.overload_window_us
    ):  # parts of a request: by chance, once a window
        use.sampled_at, use.sample = state.now, state.random.random()
    work_us, sent_us = expected_work_us(state, request), sum(sent.work_us for sent in use.sends)
    part = _budget_part(state)
    if sent_us + work_us > all_work_us * part + use.sample * min(work_us, all_work_us):
        return False
    # it falls by work or by the number of requests, each taken for a usual one
    requests_us = (len(use.sends) + 1) * usual_us
    return requests_us <= all_requests_us * part + use.sample * min(usual_us, all_requests_us)


def _work_it_stands_us(state: BalancerState, executor: Executor) -> float:
    """Work in one overload window under which an executor that warms up does not fall, as settings say."""
    settings = state.settings
    age_us = max(0, state.now - executor.started_at - settings.overload_window_us)  # at the window's start
    share = settings.cold_share + (1 - settings.cold_share) * age_us / settings.cold_us
    return settings.fall_multiple * share * _slots_when_warm(state, executor) * settings.overload_window_us


def _slots_when_warm(state: BalancerState, executor: Executor) -> float:
    """What executors of its kind have shown, less where it is listed as smaller."""
    learned = state.learned
    if executor.kind not in learned.slots_by_kind:
        return executor.slots
    size = learned.size_by_kind.get(executor.kind, executor.size)
    return max(1.0, learned.slots_by_kind[executor.kind] * min(1.0, executor.size / size))


def _requests_of_all(allowed: float, instances: int, variation: float = 0.0) -> float:
    """Requests that all balancers may aim to send in a window, where the settings allow so many.

    Each balancer samples for itself: CHANCE_DEVIATIONS standard deviations of the sum must fit below the
    bound. Where most send one or none, the sum's variance is that of a Poisson count; where each sends many,
    only its last one is a matter of chance, with a variance of at most 1/4 for each balancer. Either grows
    by the unforeseen `variation` of work (in squares of the mean) for each request.
    """
    slack = SLACK_FEW if allowed < FEW_REQUESTS else SLACK_MANY
    bound = allowed + slack * math.sqrt(allowed) + slack
    by_many = _mean_below(bound, 0.0, 1.0 + variation)
    by_few = _mean_below(bound, instances / 4, variation)
    return max(by_many, by_few) / min(instances, PARTS_SUM)


def _mean_below(bound: float, fixed: float, each: float) -> float:
    """The mean of a sum with variance `fixed + each * mean` that stays CHANCE_DEVIATIONS below a bound.

    It solves mean + CHANCE_DEVIATIONS * sqrt(fixed + each * mean) = bound.
    """
    half = CHANCE_DEVIATIONS**2 * each / 2
    root = CHANCE_DEVIATIONS * math.sqrt(fixed + each * bound + CHANCE_DEVIATIONS**2 * each**2 / 4)
    return bound + half - root


def _budget_part(state: BalancerState) -> float:
    """This balancer's part of the budget: what it sees of the quotas, bounded by its known part.

    More than that may be a burst that all balancers see: each would take its part of several budgets.
    """
    even = 1 / state.settings.instances
    return min(traffic_part(state), PART_HEADROOM * max(even, served_part(state)))


def expected_work_us(state: BalancerState, request: Request) -> float:
    """Slot-time that a request is likely to take, by its hint; what a rough one calls short runs longer."""
    least_us = request.slots * state.class_times(request).mean_us * LEAST_WORK
    return max(hinted_work_us(state, request), least_us)


def record_send(state: BalancerState, executor: Executor, request: Request) -> None:
    """An attempt of a request goes to an executor, which may be warming up."""
    if is_warming_up(state, executor):
        executor.slow_start.sends.append(WorkSent(state.now, expected_work_us(state, request)))


def record_sibling_sends(state: BalancerState, executor: Executor, slots: float) -> None:
    """The sibling process holds so many slots more than before: a send for each."""
    if slots > 0 and is_warming_up(state, executor):
        sent = WorkSent(state.now, state.learned.usual_work.mean_us)
        executor.slow_start.sends += [sent] * math.ceil(slots)


def record_arrival(state: BalancerState, request: Request) -> None:
    """Let a request count for the usual work, once running times of its class are known."""
    times, usual, served = state.class_times(request), state.learned.usual_work, state.learned.served
    served.since = served.since or state.now
    if not times.count:
        return
    if not usual.count:
        usual.mean_us, usual.count = times.mean_us, SAMPLES_REMEMBERED
    usual.count = min(usual.count + 1, USUAL_WORK_SAMPLES)
    usual.mean_us += (hinted_work_us(state, request) - usual.mean_us) / usual.count


def record_run(state: BalancerState, attempt: Attempt) -> None:
    """An attempt was served: it counts for this balancer's part, and tells how far work strays from hints.

    Those of executors that warm up tell nothing of that: they may run the slower.
    """
    record_served(state)
    if is_warming_up(state, attempt.executor):
        return
    usual, request = state.learned.usual_work, attempt.request
    mean_us = max(LEAST_USUAL_WORK_US, usual.mean_us)
    took = request.slots * (state.now - (attempt.started_at or attempt.sent_at)) / mean_us
    foreseen = expected_work_us(state, request) / mean_us
    usual.runs = min(usual.runs + 1, USUAL_WORK_SAMPLES)
    usual.variation += (took**2 - foreseen**2 - usual.variation) / usual.runs
