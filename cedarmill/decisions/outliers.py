"""Outlier ejection: which executors are trusted, left alone, or given a probation attempt."""

import math

from cedarmill.decisions import learning
from cedarmill.decisions.interface import Effect
from cedarmill.decisions.learning import ALL_EXECUTORS_SAMPLES, EXECUTOR_SAMPLES
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request

MIN_HEALTH = 0.3  # an executor whose health is lower gets probation attempts only
PROBATION_DELAY_CONNECT_TIMEOUTS = 2.0  # connect time-outs before one, doubled for each consecutive failure
MAX_PROBATION_DOUBLINGS = 4  # times at most
PROBATION_JITTER = 0.5, 1.5  # factors on that wait, between which it is drawn: not all come back at once
ERRORS_DECAY_RUNS = 8.0  # mean running times in which reported errors fade
MAX_TOLERATED_ERRORS = 0.05  # reported errors in a mean running time; above them an executor is a last resort
ERROR_WEIGHT = 3  # samples that an error of an executor counts as
BROKEN_CONNECTION_WEIGHT = 1  # samples that a broken connection counts as: one connection's end
HEALTH_BASE = 1.001  # health falls with the cube of this less the share of errors, so it is never 0
HEALTH_EXPONENT = 3


def reports_errors(state: BalancerState, executor: Executor) -> bool:
    """Whether an executor reported errors, a while ago at most."""
    if executor.reported_errors <= MAX_TOLERATED_ERRORS:
        return False
    decay_exponent = (executor.heard_at - state.now) / (ERRORS_DECAY_RUNS * state.learned.mean_run_us)
    return executor.reported_errors * math.exp(decay_exponent) > MAX_TOLERATED_ERRORS


def health_weight(state: BalancerState, executor: Executor, request: Request) -> float:
    """Weight of an executor besides its room; 0 unless its health is good or a probation attempt is due."""
    if reports_errors(state, executor):
        return 0.0  # the next report tells whether it is over
    if executor.health >= MIN_HEALTH and not executor.consecutive_failures:
        return executor.health
    is_due = not executor.attempts and state.now >= executor.probation_at
    return float(is_due and request.request_class.effect != Effect.UNSAFE)


def record_connection_failure(state: BalancerState, executor: Executor) -> None:
    """A sign of a dead or unreachable executor: leave it alone, longer each time."""
    if state.now >= executor.probation_at:
        executor.consecutive_failures += 1
        _postpone_probation(state, executor)


def record_send(state: BalancerState, executor: Executor) -> None:
    """An attempt goes to an executor: where it is on probation, the next waits for its turn."""
    on_probation = executor.consecutive_failures or executor.health < MIN_HEALTH
    if on_probation and state.now >= executor.probation_at:
        _postpone_probation(state, executor)


def _postpone_probation(state: BalancerState, executor: Executor) -> None:
    doublings = min(executor.consecutive_failures, MAX_PROBATION_DOUBLINGS)
    wait_us = PROBATION_DELAY_CONNECT_TIMEOUTS * state.settings.connect_timeout_us * 2**doublings
    executor.probation_at = state.now + int(wait_us * state.random.uniform(*PROBATION_JITTER))


def record_served(state: BalancerState, attempt: Attempt) -> None:
    """An attempt was served: its executor is alive, and its running time counts."""
    executor, learned = attempt.executor, state.learned
    executor.error_share += (0 - executor.error_share) / EXECUTOR_SAMPLES
    learned.error_share += (0 - learned.error_share) / ALL_EXECUTORS_SAMPLES
    executor.consecutive_failures = 0
    learning.record_run(state, attempt)
    _update_health(state, executor)


def record_failed(state: BalancerState, attempt: Attempt, weight: int) -> None:
    """An attempt failed, which counts as so many samples at its executor."""
    executor, learned = attempt.executor, state.learned
    executor.error_share += (1 - executor.error_share) / EXECUTOR_SAMPLES * weight
    learned.error_share += (1 - learned.error_share) / ALL_EXECUTORS_SAMPLES
    _update_health(state, executor)


def _update_health(state: BalancerState, executor: Executor) -> None:
    """The health of an executor, by its errors beyond those of all and by its running times."""
    excess_errors = max(
        0.0, executor.error_share - state.learned.error_share
    )  # what befalls all tells nothing of one
    error_factor = (HEALTH_BASE - excess_errors) ** HEALTH_EXPONENT
    executor.health = error_factor * math.exp(-max(0.0, executor.slowdown))
