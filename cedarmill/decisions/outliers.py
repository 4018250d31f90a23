"""Outlier ejection: the health of executors, and when an ejected one gets a probation attempt."""

import math

from cedarmill.decisions import learning
from cedarmill.decisions.interface import Effect
from cedarmill.decisions.learning import ALL_EXECUTORS_SAMPLES, EXECUTOR_SAMPLES
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request

MIN_HEALTH = 0.3  # executors below are ejected and get probation attempts only
# Multiple of the connect time-out, doubled by each consecutive failure.
PROBATION_DELAY_CONNECT_TIMEOUTS = 2.0
MAX_PROBATION_DOUBLINGS = 4
PROBATION_JITTER = 0.5, 1.5  # range of the factor on the probation delay: not all come back at once
ERRORS_DECAY_RUNS = 8.0  # time constant of reported errors, in mean running times
MAX_TOLERATED_ERRORS = 0.05  # reported errors per mean running time; above, an executor is a last resort
ERROR_WEIGHT = 3  # samples that an error counts as
BROKEN_CONNECTION_WEIGHT = 1  # samples that a broken connection counts as: it is the end of one connection
HEALTH_BASE = 1.001  # health is (base - excess errors) ** exponent, and so never 0
HEALTH_EXPONENT = 3


def reports_errors(state: BalancerState, executor: Executor) -> bool:
    """Whether the executor's recent report shows more errors than tolerated."""
    if executor.reported_errors <= MAX_TOLERATED_ERRORS:
        return False
    decay_exponent = (executor.last_response_at - state.now) / (ERRORS_DECAY_RUNS * state.learned.mean_run_us)
    return executor.reported_errors * math.exp(decay_exponent) > MAX_TOLERATED_ERRORS


def health_weight(state: BalancerState, executor: Executor, request: Request) -> float:
    """Return an executor's selection weight by health; 0 if ejected and no probation attempt is due."""
    if reports_errors(state, executor):
        return 0.0  # until a later report shows fewer errors
    if executor.health >= MIN_HEALTH and not executor.consecutive_failures:
        return executor.health
    is_due = not executor.attempts and state.now >= executor.probation_at
    return float(is_due and request.request_class.effect != Effect.UNSAFE)


def record_connection_failure(state: BalancerState, executor: Executor) -> None:
    """Record a sign of a dead or unreachable executor, and delay its probation with backoff."""
    if state.now >= executor.probation_at:
        executor.consecutive_failures += 1
        _postpone_probation(state, executor)


def record_send(state: BalancerState, executor: Executor) -> None:
    """Postpone the next probation attempt when one is sent to an executor on probation."""
    on_probation = executor.consecutive_failures or executor.health < MIN_HEALTH
    if on_probation and state.now >= executor.probation_at:
        _postpone_probation(state, executor)


def _postpone_probation(state: BalancerState, executor: Executor) -> None:
    doublings = min(executor.consecutive_failures, MAX_PROBATION_DOUBLINGS)
    wait_us = PROBATION_DELAY_CONNECT_TIMEOUTS * state.settings.connect_timeout_us * 2**doublings
    executor.probation_at = state.now + int(wait_us * state.random.uniform(*PROBATION_JITTER))


def record_served(state: BalancerState, attempt: Attempt) -> None:
    """Record a served attempt: its executor is alive, and its running time is a sample."""
    executor, learned = attempt.executor, state.learned
    executor.error_share += (0 - executor.error_share) / EXECUTOR_SAMPLES
    learned.error_share += (0 - learned.error_share) / ALL_EXECUTORS_SAMPLES
    executor.consecutive_failures = 0
    learning.record_run(state, attempt)
    _update_health(state, executor)


def record_failed(state: BalancerState, attempt: Attempt, weight: int) -> None:
    """Record a failed attempt, which counts as `weight` samples at its executor."""
    executor, learned = attempt.executor, state.learned
    executor.error_share += (1 - executor.error_share) / EXECUTOR_SAMPLES * weight
    learned.error_share += (1 - learned.error_share) / ALL_EXECUTORS_SAMPLES
    _update_health(state, executor)


def _update_health(state: BalancerState, executor: Executor) -> None:
    """Update an executor's health from its errors in excess of the mean, and from its slowdown."""
    # Errors that are common to all executors do not count, since they say nothing about this one.
    excess_errors = max(0.0, executor.error_share - state.learned.error_share)
    error_factor = (HEALTH_BASE - excess_errors) ** HEALTH_EXPONENT
    executor.health = error_factor * math.exp(-max(0.0, executor.slowdown))
