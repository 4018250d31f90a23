"""Learned capacity: slots and queue places of each executor, running times of classes, what preemption gains.

What own attempts hold of an executor stands against what its reports and refusals leave to this balancer.
"""

import math
from typing import NamedTuple

from cedarmill.decisions import interface as api
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request

INITIAL_QUEUE_PLACES = 0.5  # queue places of an executor at first, requests
LOWEST_PRIORITY_QUEUE_SHARE = (
    0.5  # of the queue places open to a request of no weight; all of them to the highest
)
QUEUE_PLACES_INCREASE = 0.1  # for each prompt start (additive increase), requests
QUEUE_PLACES_DECREASE_FACTOR = 0.75  # factor on them at a refusal or a late start (multiplicative decrease)
PROMPT_WAIT_SHARE = 0.5  # of the latency objective: a start within it is prompt
LONG_WAIT_SHARE = (
    0.25  # of the latency objective: an own attempt that waits so long shows that no slot is free
)
EXECUTOR_SAMPLES = 12  # that the means of an executor hold; means over all executors hold multiples
CLASS_SAMPLES = 20 * EXECUTOR_SAMPLES  # that the running times of a class hold
ALL_EXECUTORS_SAMPLES = 8 * EXECUTOR_SAMPLES  # that means over all executors hold
RUNNING_TIME_SAMPLES = 4 * EXECUTOR_SAMPLES  # that the mean running time over all classes holds
IDLE_SLOTS_SAMPLES = 2 * EXECUTOR_SAMPLES  # reports that the mean of idle slots holds
PREEMPTION_SAMPLES = EXECUTOR_SAMPLES / 2  # that the gain of preemption holds
ZONE_IDLE_SLOTS_SAMPLES = 10  # reports that the idle slots of the own zone and of the others are the mean of
REPORT_DECAY_RUNS = 8.0  # mean running times in which a report fades into the mean of all
STALE_RESERVATION_RUNS = (
    2  # mean running times of a class after which a given-up attempt holds nothing any longer
)


class FreeCapacity(NamedTuple):
    """Idle slots of an executor, and those with its queue places; 0 where the request does not fit."""

    idle: float
    with_queue: float


def apply_report(
    state: BalancerState, executor: Executor, report: api.LoadReport | None, ended: tuple[Attempt, ...] = ()
) -> None:
    """Learn from a report: own slots are those of own attempts that run, or ended with it, and those free.

    One that is not whole, not sound, or the same measurement as the last is passed over.
    """
    if report is None or not _is_new_report(state, executor, report):
        return
    executor.report = report
    # not those that ended before: reports are mostly older, but others may have taken their slots
    running = [attempt.request for attempt in (*executor.attempts.values(), *ended) if attempt.started_at]
    executor.release_stale(state.now - 1)
    columns = state.report_columns
    if columns.free_slots is not None:
        own_slots = executor.sibling_slots + sum(request.slots for request in running)
        queued_requests = report[columns.queue] if columns.queue is not None else None
        _learn_slots(state, executor, own_slots, report[columns.free_slots], queued_requests)
    if columns.errors_per_s is not None:  # of all balancers' requests: far more than own ones could tell
        executor.reported_errors = report[columns.errors_per_s] * state.learned.mean_run_us / 1e6
    if columns.free_memory is not None:
        own_memory = executor.sibling_memory + sum(request.memory for request in running)
        executor.memory_capacity = own_memory + report[columns.free_memory]


def _is_new_report(state: BalancerState, executor: Executor, report: api.LoadReport) -> bool:
    """Whether a report has all fields, sound ones, and is not the same measurement again."""
    is_complete = len(report) == len(state.settings.report_fields) > 0
    return is_complete and report != executor.report and all(0 <= value < math.inf for value in report)


def _learn_slots(
    state: BalancerState,
    executor: Executor,
    own_slots: float,
    free_slots: float,
    queued_requests: float | None,
) -> None:
    """Learn an executor's slots from those that own attempts hold, those free, and the requests that wait."""
    rounded_free_slots = math.floor(free_slots + 0.5)  # reports are rough
    executor.capacity = own_slots + rounded_free_slots
    if (
        queued_requests is not None and free_slots < 0.5
    ):  # own part of those that wait there: they hold no slot
        own_queued = queued_requests * own_slots / max(own_slots, executor.slots + queued_requests)
        executor.capacity = max(min(own_slots, 1.0), executor.capacity - own_queued)
    # where starts go untold, own attempts that wait look like slots: only free ones are sure
    confirmed_slots = executor.capacity if state.settings.tells_start else rounded_free_slots
    executor.slots = max(executor.slots, confirmed_slots)
    learned = state.learned
    most_free = max(1, rounded_free_slots)  # own attempts may have been among them: never more than it has
    if most_free > learned.slots_by_kind.get(executor.kind, 0.0):
        learned.slots_by_kind[executor.kind] = most_free
        learned.size_by_kind[executor.kind] = executor.size
    idle = free_slots / executor.size
    learned.idle_slots += (idle - learned.idle_slots) / IDLE_SLOTS_SAMPLES
    if executor.zone != state.settings.zone:
        learned.idle_slots_remote += (idle - learned.idle_slots_remote) / ZONE_IDLE_SLOTS_SAMPLES
    else:
        learned.idle_slots_local += (idle - learned.idle_slots_local) / ZONE_IDLE_SLOTS_SAMPLES
    learned.own_held_slots += (own_slots - learned.own_held_slots) / ALL_EXECUTORS_SAMPLES
    learned.all_held_slots += (executor.slots - free_slots - learned.all_held_slots) / ALL_EXECUTORS_SAMPLES


def set_sibling_load(executor: Executor, slots: float, memory: float) -> None:
    """Count what the sibling process holds as own; only that process knows when its attempts end."""
    executor.held_slots += slots - executor.sibling_slots
    executor.held_memory += memory - executor.sibling_memory
    executor.sibling_slots, executor.sibling_memory = slots, memory


def adjust_queue_places(state: BalancerState, executor: Executor, wait_us: float, objective_us: int) -> None:
    """Queue places grow with prompt starts, and fall once for each congestion."""
    if wait_us <= objective_us * PROMPT_WAIT_SHARE:
        # where no reports come, nothing else tells its slots: no bound then
        upper_bound = executor.slots if executor.report else math.inf
        executor.queue_places = min(executor.queue_places + QUEUE_PLACES_INCREASE, upper_bound)
    elif wait_us > objective_us and state.now - executor.backed_off_at > state.settings.connect_timeout_us:
        executor.backed_off_at = state.now
        executor.queue_places *= QUEUE_PLACES_DECREASE_FACTOR


def slack_us(state: BalancerState, request: Request) -> float:
    """What its latency objective leaves to a request besides its run, by its hint."""
    return _slack_for_run(request, request.hint_us or state.class_times(request).mean_us)


def _slack_for_run(request: Request, run_us: float) -> float:
    request_class = request.request_class
    return request_class.aim_us + max(0.0, request_class.aim_stretch - 1) * run_us


def free_capacity(state: BalancerState, executor: Executor, request: Request) -> FreeCapacity:
    """What an executor has for a request, by the last report as far as it has not faded."""
    learned, class_run_us = state.learned, state.class_times(request).mean_us
    if executor.stale_reservations:  # one that sends no reports must not stay full of them
        executor.release_stale(state.now - STALE_RESERVATION_RUNS * int(class_run_us))
    # an old report fades into what executors show in the mean: most slots have been taken or freed since
    report_weight = 0.0
    if executor.heard_at:
        report_weight = math.exp((executor.heard_at - state.now) / (REPORT_DECAY_RUNS * learned.mean_run_us))
    reported_idle = executor.capacity - executor.held_slots
    idle = report_weight * reported_idle + (1 - report_weight) * learned.idle_slots * executor.size
    if executor.attempts and _has_waiting_attempt(state, executor):
        idle = min(idle, 0.0)  # whatever the report says, nothing is free
    priority = request.priority / state.highest_weight
    queue_places_open = executor.queue_places * (
        LOWEST_PRIORITY_QUEUE_SHARE + (1 - LOWEST_PRIORITY_QUEUE_SHARE) * priority
    )
    # fewer for one with little slack against the usual: a short one that waits is late
    class_slack_us = _slack_for_run(request, class_run_us)
    slack_factor = 1 - report_weight * max(0.0, 1 - slack_us(state, request) / class_slack_us)
    with_queue = idle + queue_places_open * slack_factor
    if executor.memory_capacity - executor.held_memory < request.memory:
        idle, with_queue = 0.0, min(with_queue, executor.queue_places)
    return FreeCapacity(idle * (idle >= request.slots), with_queue * (with_queue >= request.slots))


def _has_waiting_attempt(state: BalancerState, executor: Executor) -> bool:
    """Whether an own attempt waits there for so long that no slot can be free."""
    for attempt in executor.attempts.values():
        if not attempt.started_at:
            return state.now - attempt.sent_at > LONG_WAIT_SHARE * attempt.request.request_class.aim_us
    return False


def hinted_work_us(state: BalancerState, request: Request) -> float:
    """Slot-time that a request is likely to take, by its hint alone, or as usual in its class (us)."""
    times = state.class_times(request)
    hinted = request.hint_us and times.count
    return request.slots * (request.hint_us * math.exp(times.log_ratio) if hinted else times.mean_us)


def record_start(state: BalancerState, attempt: Attempt) -> None:
    """An attempt began to run: whether it had to wait tells of queue places and of preemption."""
    wait_us, objective_us = state.now - attempt.sent_at, attempt.request.request_class.aim_us
    adjust_queue_places(state, attempt.executor, wait_us, objective_us)
    if attempt.after_preemption:  # where cancelled work goes on, the attempt in its place starts late
        record_preemption(state, wait_us <= LONG_WAIT_SHARE * objective_us)


def record_preemption(state: BalancerState, is_prompt: bool) -> None:
    """Whether an attempt in place of a preempted one started at once."""
    state.learned.preemption_gain += (is_prompt - state.learned.preemption_gain) / PREEMPTION_SAMPLES


def record_run(state: BalancerState, attempt: Attempt) -> None:
    """An attempt was served: learn its class's running time, and the executor's against its peers'."""
    executor, request, learned = attempt.executor, attempt.request, state.learned
    times = state.class_times(request)
    run_us = max(1, state.now - (attempt.started_at or attempt.sent_at))
    if not state.settings.tells_start:
        _learn_from_wait(state, attempt, run_us)
    log_ratio = math.log(run_us / (request.hint_us or 1))
    times.count = min(times.count + 1, CLASS_SAMPLES)
    times.mean_us += (run_us - times.mean_us) / times.count
    times.log_ratio += (log_ratio - times.log_ratio) / times.count
    learned.mean_run_us += (run_us - learned.mean_run_us) / RUNNING_TIME_SAMPLES
    executor.slowdown += (log_ratio - times.log_ratio - executor.slowdown) / EXECUTOR_SAMPLES


def _learn_from_wait(state: BalancerState, attempt: Attempt, run_us: int) -> None:
    """Where starts go untold: how late an attempt was, by its own wanted time and its hint."""
    request, times = attempt.request, state.class_times(attempt.request)
    objective_us = request.request_class.aim_us
    late_us = run_us - slack_us(state, request) - (request.hint_us or times.mean_us)
    adjust_queue_places(state, attempt.executor, late_us + objective_us, objective_us)
    if attempt.after_preemption:  # whether it waited for work that goes on
        wait_us = run_us - math.exp(times.log_ratio) * (request.hint_us or 1)
        record_preemption(state, wait_us <= LONG_WAIT_SHARE * objective_us)
