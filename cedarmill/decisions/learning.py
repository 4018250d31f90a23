"""Learned capacity: slots and queue places of executors, running times of classes and preemption gain.

An executor's capacity is what own attempts hold there plus what its reports and refusals leave for this
balancer.
"""

import math
from typing import NamedTuple

from cedarmill.decisions import interface as api
from cedarmill.decisions.state import Attempt, BalancerState, Executor, Request

INITIAL_QUEUE_PLACES = 0.5  # requests
# Share of the queue places open to requests of weight 0; the highest weight gets all.
LOWEST_PRIORITY_QUEUE_SHARE = 0.5
QUEUE_PLACES_INCREASE = 0.1  # additive increase per prompt start
QUEUE_PLACES_DECREASE_FACTOR = 0.75  # multiplicative decrease per refusal or late start
PROMPT_WAIT_SHARE = 0.5  # share of the latency objective within which a start is prompt
# Share of the latency objective; a longer wait of an own attempt means no slot is free.
LONG_WAIT_SHARE = 0.25
EXECUTOR_SAMPLES = 12  # window of the means of one executor; other windows are multiples
CLASS_SAMPLES = 20 * EXECUTOR_SAMPLES  # window of the running times of a class
ALL_EXECUTORS_SAMPLES = 8 * EXECUTOR_SAMPLES  # window of the means over all executors
RUNNING_TIME_SAMPLES = 4 * EXECUTOR_SAMPLES  # window of the mean running time over all classes
IDLE_SLOTS_SAMPLES = 2 * EXECUTOR_SAMPLES  # window of the mean of idle slots, in reports
PREEMPTION_SAMPLES = EXECUTOR_SAMPLES / 2  # window of the preemption gain
ZONE_IDLE_SLOTS_SAMPLES = 10  # window of the mean idle slots of local and remote zones, in reports
REPORT_DECAY_RUNS = 8.0  # time constant of a report's weight, in mean running times
STALE_RESERVATION_RUNS = 2  # lifetime of a stale reservation, in mean running times of the class


class FreeCapacity(NamedTuple):
    """Idle slots of an executor, without and with its queue places; 0 if the request does not fit."""

    idle_slots: float
    slots_with_queue: float


def apply_report(
    state: BalancerState, executor: Executor, report: api.LoadReport | None, ended: tuple[Attempt, ...] = ()
) -> None:
    """Update the capacity of an executor from its load report.

    `ended` are own attempts that ended together with the report and still count as running in it. Incomplete,
    invalid and repeated reports are ignored.
    """
    if report is None or not _is_new_report(state, executor, report):
        return
    executor.report, executor.reported_at = report, executor.last_response_at
    # Attempts that ended before are left out: the report is mostly older, but others may use their slots.
    running = [attempt.request for attempt in (*executor.attempts.values(), *ended) if attempt.started_at]
    executor.release_stale_reservations(state.now - 1)
    columns = state.report_columns
    if columns.free_slots is not None:
        own_slots = executor.sibling_slots + sum(request.slots for request in running)
        queued = report[columns.queue] if columns.queue is not None else None
        _learn_slots(state, executor, own_slots, report[columns.free_slots], queued)
    if columns.errors_per_s is not None:  # of all balancers' requests, far more than the own ones show
        executor.reported_errors = report[columns.errors_per_s] * state.learned.mean_run_us / 1e6
    if columns.free_memory is not None:
        own_memory = executor.sibling_memory + sum(request.memory for request in running)
        executor.memory_capacity = own_memory + report[columns.free_memory]


def _is_new_report(state: BalancerState, executor: Executor, report: api.LoadReport) -> bool:
    """Whether a report is complete, has valid values and differs from the previous one."""
    is_complete = len(report) == len(state.settings.report_fields) > 0
    return is_complete and report != executor.report and all(0 <= value < math.inf for value in report)


def _learn_slots(
    state: BalancerState, executor: Executor, own_slots: float, free_slots: float, queued: float | None
) -> None:
    """Update an executor's slots from own running attempts, free slots and queued requests."""
    rounded_free_slots = math.floor(free_slots + 0.5)  # reports are imprecise
    executor.capacity = own_slots + rounded_free_slots
    # Queued requests hold no slot, so own ones among them are subtracted.
    if queued is not None and free_slots < 0.5:
        own_queued = queued * own_slots / max(own_slots, executor.slots + queued)
        executor.capacity = max(min(own_slots, 1.0), executor.capacity - own_queued)
    # Without reported starts, queued own attempts look like used slots: only free ones are certain.
    confirmed_slots = executor.capacity if state.settings.tells_start else rounded_free_slots
    executor.slots = max(executor.slots, confirmed_slots)
    learned = state.learned
    # Only free slots count, since own attempts that ended with the report may be among them.
    most_free = max(1, rounded_free_slots)
    if most_free > learned.slots_by_kind.get(executor.kind, 0.0):
        learned.slots_by_kind[executor.kind] = most_free
        learned.size_by_kind[executor.kind] = executor.size
    idle_per_size = free_slots / executor.size
    learned.idle_slots += (idle_per_size - learned.idle_slots) / IDLE_SLOTS_SAMPLES
    if executor.zone != state.settings.zone:
        learned.idle_slots_remote += (idle_per_size - learned.idle_slots_remote) / ZONE_IDLE_SLOTS_SAMPLES
    else:
        learned.idle_slots_local += (idle_per_size - learned.idle_slots_local) / ZONE_IDLE_SLOTS_SAMPLES
    learned.own_held_slots += (own_slots - learned.own_held_slots) / ALL_EXECUTORS_SAMPLES
    learned.all_held_slots += (executor.slots - free_slots - learned.all_held_slots) / ALL_EXECUTORS_SAMPLES


def set_sibling_load(executor: Executor, slots: float, memory: float) -> None:
    """Count the load of the sibling process as own; only that process learns when its attempts end."""
    executor.held_slots += slots - executor.sibling_slots
    executor.held_memory += memory - executor.sibling_memory
    executor.sibling_slots, executor.sibling_memory = slots, memory


def adjust_queue_places(state: BalancerState, executor: Executor, wait_us: float, objective_us: int) -> None:
    """Increase the queue places after a prompt start; decrease them once per congestion event."""
    if wait_us <= objective_us * PROMPT_WAIT_SHARE:
        # Without reports the number of slots is unknown, so there is no upper bound.
        upper_bound = executor.slots if executor.report else math.inf
        executor.queue_places = min(executor.queue_places + QUEUE_PLACES_INCREASE, upper_bound)
    elif wait_us > objective_us and state.now - executor.backed_off_at > state.settings.connect_timeout_us:
        executor.backed_off_at = state.now
        executor.queue_places *= QUEUE_PLACES_DECREASE_FACTOR


def slack_us(state: BalancerState, request: Request) -> float:
    """Return the time that the latency objective leaves a request after its hinted running time."""
    return _slack_for_run(request, request.hint_us or state.class_times(request).mean_us)


def _slack_for_run(request: Request, run_us: float) -> float:
    request_class = request.request_class
    return request_class.aim_us + max(0.0, request_class.aim_stretch - 1) * run_us


def free_capacity(state: BalancerState, executor: Executor, request: Request) -> FreeCapacity:
    """Return an executor's free capacity for a request; the weight of its last report decays with age."""
    learned, class_run_us = state.learned, state.class_times(request).mean_us
    if executor.stale_reservations:  # executors without reports would stay full otherwise
        executor.release_stale_reservations(state.now - STALE_RESERVATION_RUNS * int(class_run_us))
    # An old report gives way to the mean of all executors: most of its slots were taken or freed since.
    report_weight = 0.0
    if executor.last_response_at:
        report_weight = math.exp(
            (executor.last_response_at - state.now) / (REPORT_DECAY_RUNS * learned.mean_run_us)
        )
    reported_idle = executor.capacity - executor.held_slots
    idle_slots = report_weight * reported_idle + (1 - report_weight) * learned.idle_slots * executor.size
    if executor.attempts and _has_waiting_attempt(state, executor):
        idle_slots = min(idle_slots, 0.0)  # no slot is free, whatever the report shows
    priority = request.priority / state.highest_weight
    queue_places_open = executor.queue_places * (
        LOWEST_PRIORITY_QUEUE_SHARE + (1 - LOWEST_PRIORITY_QUEUE_SHARE) * priority
    )
    if executor.rejected_at and state.now < executor.rejected_at + learned.mean_run_us:
        queue_places_open = 0.0  # its queue is full, or it has none
    # A request with less slack than its class may use fewer queue places: if it waits, it is late.
    class_slack_us = _slack_for_run(request, class_run_us)
    slack_factor = 1 - report_weight * max(0.0, 1 - slack_us(state, request) / class_slack_us)
    slots_with_queue = idle_slots + queue_places_open * slack_factor
    if executor.memory_capacity - executor.held_memory < request.memory:
        idle_slots, slots_with_queue = 0.0, min(slots_with_queue, executor.queue_places)
    return FreeCapacity(
        idle_slots * (idle_slots >= request.slots), slots_with_queue * (slots_with_queue >= request.slots)
    )


def reported_free_slots(state: BalancerState, executor: Executor, since: int) -> float:
    """Return the free slots of a report later than `since` (us), less what was sent after it; 0 without one.

    Slots of attempts that have ended do not count as free before a report shows it: an executor may hold
    them for a while after its answer.
    """
    column = state.report_columns.free_slots
    if column is None or executor.report is None or executor.reported_at <= since:
        return 0.0
    sent_since = sum(
        attempt.request.slots
        for attempt in executor.attempts.values()
        if not attempt.started_at or attempt.started_at >= executor.reported_at
    )
    return executor.report[column] - sent_since


def _has_waiting_attempt(state: BalancerState, executor: Executor) -> bool:
    """Whether an own attempt has waited so long at the executor that no slot can be free."""
    for attempt in executor.attempts.values():
        if not attempt.started_at:
            return state.now - attempt.sent_at > LONG_WAIT_SHARE * attempt.request.request_class.aim_us
    return False


def hinted_work_us(state: BalancerState, request: Request) -> float:
    """Return the expected slot-time (us) of a request by its hint, or by its class without one."""
    times = state.class_times(request)
    hinted = request.hint_us and times.count
    return request.slots * (request.hint_us * math.exp(times.log_ratio) if hinted else times.mean_us)


def record_start(state: BalancerState, attempt: Attempt) -> None:
    """Update queue places and preemption gain by how long an attempt waited before its start."""
    wait_us, objective_us = state.now - attempt.sent_at, attempt.request.request_class.aim_us
    adjust_queue_places(state, attempt.executor, wait_us, objective_us)
    if attempt.after_preemption:  # starts late if the cancelled attempt keeps its slot
        record_preemption(state, wait_us <= LONG_WAIT_SHARE * objective_us)


def record_preemption(state: BalancerState, is_prompt: bool) -> None:
    """Update the preemption gain by whether a replacement attempt started promptly."""
    state.learned.preemption_gain += (is_prompt - state.learned.preemption_gain) / PREEMPTION_SAMPLES


def record_run(state: BalancerState, attempt: Attempt) -> None:
    """Update the running times of a served attempt's class, and its executor's slowdown."""
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
    """Estimate the wait of an attempt from its running time, for executors that do not report starts."""
    request, times = attempt.request, state.class_times(attempt.request)
    objective_us = request.request_class.aim_us
    late_us = run_us - slack_us(state, request) - (request.hint_us or times.mean_us)
    adjust_queue_places(state, attempt.executor, late_us + objective_us, objective_us)
    if attempt.after_preemption:  # late if the cancelled attempt kept its slot
        wait_us = run_us - math.exp(times.log_ratio) * (request.hint_us or 1)
        record_preemption(state, wait_us <= LONG_WAIT_SHARE * objective_us)
