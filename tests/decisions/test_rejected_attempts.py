"""Attempts that a full executor rejects, and the requests that wait for capacity after that."""

import pytest

from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from tests.support.builders import Driver, action_names, keyed_class, send_actions

EXECUTOR = 1
TIME_LEFT_US = 5_000_000
REPEAT_WINDOW_US = 3_000_000  # shorter than the time left, so it bounds the time for repeats
GUARDED = keyed_class(api.DeduplicationScope.CELL, REPEAT_WINDOW_US)


def driver_with_ambiguous_request(**changes) -> Driver:
    """Return a driver whose request 1 may have run at the executor, where it is sent again."""
    driver = Driver(GUARDED, executor_count=1, **changes)
    driver.report(EXECUTOR, 2)
    driver.arrive(0, TIME_LEFT_US)
    assert action_names(driver.end(1, EXECUTOR, Outcome.RESET, final=False)) == ["Send"]
    return driver


def has_probe(actions: list) -> bool:
    """Whether a probe is among the actions."""
    return any(isinstance(action, api.Probe) for action in actions)


def probe_result(free_slots: float) -> api.ProbeEnded:
    """Return the result of a probe."""
    return api.ProbeEnded(EXECUTOR, Outcome.OK, (free_slots, 100.0))


def fire_due(driver: Driver, pending: list[tuple[int, int]], actions: list) -> list:
    """Add the timers among the actions to the pending ones, fire the next, and return its actions."""
    timers = [action for action in actions if isinstance(action, api.SetTimer)]
    pending[:] = sorted([*pending, *((driver.now + timer.delay_us, timer.token) for timer in timers)])
    due, token = pending.pop(0)
    driver.now = max(driver.now, due)
    return driver.feed(api.TimerFired(token))


def test_queued_request_is_retried_when_no_event_tells_of_free_capacity():
    """Guards against a request that waits for its time to run out beside an executor that is idle again."""
    driver = driver_with_ambiguous_request(can_probe=True)
    driver.report(EXECUTOR, 0)
    actions = driver.end(1, EXECUTOR, Outcome.FULL, attempt=1, final=False)
    assert action_names(actions) == []
    began_at, pending = driver.now, []
    while not has_probe(actions):
        actions = fire_due(driver, pending, actions)
        assert action_names(actions) == []
    assert driver.now - began_at < TIME_LEFT_US / 2
    assert send_actions(driver.report(EXECUTOR, 1))


def test_executor_that_has_just_rejected_a_request_does_not_get_it_again_at_once():
    """Guards against a request that spends all its attempts at one full executor within milliseconds."""
    driver = driver_with_ambiguous_request()
    driver.balancer.executors[EXECUTOR].queue_places = 4.0  # learned while the executor still queued requests
    assert action_names(driver.end(1, EXECUTOR, Outcome.FULL, attempt=1, final=False)) == []


@pytest.mark.parametrize("executor_count", [1, 2])
def test_ambiguous_rejection_is_resolved_once_elsewhere_where_possible(executor_count):
    """Guards against a second attempt at an executor that is probably full while another has room."""
    driver = Driver(keyed_class(api.DeduplicationScope.ALL), executor_count=executor_count)
    for number in range(1, executor_count + 1):
        driver.report(number, 2)
        driver.balancer.executors[number].queue_places = 4.0
    first = send_actions(driver.arrive(0, TIME_LEFT_US))[0].executor
    actions = driver.end(1, first, Outcome.AMBIGUOUS_FULL, final=False)
    second = send_actions(actions)[0].executor
    assert (second == first) == (executor_count == 1)
    assert send_actions(driver.end(1, second, Outcome.FULL, attempt=1, final=False)) == []


def test_request_with_an_ambiguous_rejection_may_have_run_and_is_not_refused():
    for outcome, expected in ((Outcome.FULL, ["Refuse"]), (Outcome.AMBIGUOUS_FULL, ["Send"])):
        driver = Driver(GUARDED, executor_count=1)
        driver.arrive(0, TIME_LEFT_US)
        assert action_names(driver.end(1, EXECUTOR, outcome, final=False)) == expected


def test_rejected_request_goes_to_another_executor_or_is_refused():
    for executor_count, expected in ((1, "Refuse"), (2, "Send")):
        driver = Driver(executor_count=executor_count)
        for number in range(1, executor_count + 1):
            driver.report(number, 2)
            driver.balancer.executors[number].queue_places = 4.0
        rejecting = send_actions(driver.arrive())[0].executor
        actions = driver.end(1, rejecting, Outcome.FULL, final=False)
        assert action_names(actions) == [expected]
        assert [send.executor for send in send_actions(actions)] == [3 - rejecting] * (executor_count - 1)


def test_rejected_request_returns_for_a_slot_that_a_report_after_the_backoff_shows():
    """Guards against a return for a report that left the executor before the rejection."""
    driver = driver_with_ambiguous_request()
    driver.balancer.executors[EXECUTOR].queue_places = 4.0
    driver.end(1, EXECUTOR, Outcome.FULL, attempt=1, final=False)
    backoff_us = int(driver.balancer.state.learned.mean_run_us)
    assert action_names(driver.feed(probe_result(2), elapsed_us=backoff_us // 2)) == []
    assert action_names(driver.feed(probe_result(0), elapsed_us=backoff_us)) == []
    assert action_names(driver.feed(probe_result(1), elapsed_us=1_000)) == ["Send"]


def test_slot_of_an_ended_attempt_is_not_free_before_a_report_shows_it():
    """An executor may hold the slot for a while after its answer."""
    driver = driver_with_ambiguous_request()
    driver.balancer.executors[EXECUTOR].queue_places = 4.0
    driver.arrive(0, TIME_LEFT_US)
    driver.start(2, EXECUTOR)
    driver.end(1, EXECUTOR, Outcome.FULL, attempt=1, final=False)
    driver.now += int(2 * driver.balancer.state.learned.mean_run_us)
    actions = driver.end(2, EXECUTOR, Outcome.OK, report=(0.0, 100.0))
    assert action_names(actions) == []


def test_attempts_left_after_a_rejection_are_spread_over_the_time_left_without_reports():
    driver = driver_with_ambiguous_request(max_attempts=4)
    driver.balancer.executors[EXECUTOR].queue_places = 4.0
    rejected_at, sent_at, pending = driver.now, [], []
    actions = driver.end(1, EXECUTOR, Outcome.FULL, attempt=1, final=False)
    while action_names(actions) != ["Fail"]:
        if action_names(actions) == ["Send"]:
            sent_at.append(driver.now - rejected_at)
            pending += [(driver.now + a.delay_us, a.token) for a in actions if isinstance(a, api.SetTimer)]
            actions = driver.end(1, EXECUTOR, Outcome.FULL, attempt=len(sent_at) + 1, final=False)
        else:
            actions = fire_due(driver, pending, actions)
    assert len(sent_at) == 2
    assert sent_at[0] > REPEAT_WINDOW_US / 4
    assert sent_at[1] - sent_at[0] > REPEAT_WINDOW_US / 4


def test_later_requests_leave_a_slot_to_a_queued_request_at_the_executor_that_rejected_it():
    """Guards against later requests that take each slot that becomes free during the back-off."""
    driver = driver_with_ambiguous_request()
    driver.end(1, EXECUTOR, Outcome.FULL, attempt=1, final=False)
    driver.report(EXECUTOR, 1)
    assert action_names(driver.arrive(0, TIME_LEFT_US)) == ["Refuse"]
    driver.report(EXECUTOR, 2)
    assert action_names(driver.arrive(0, TIME_LEFT_US)) == ["Send"]


def test_executor_has_no_queue_places_for_a_while_after_a_rejection():
    """Guards against sending each new request to a full executor that has no queue."""
    driver = Driver(executor_count=1)
    driver.report(EXECUTOR, 2)
    driver.run(3)
    driver.balancer.executors[EXECUTOR].queue_places = 4.0
    assert send_actions(driver.arrive(0))
    assert action_names(driver.end(4, EXECUTOR, Outcome.FULL, final=False)) == ["Refuse"]
    assert action_names(driver.arrive(0)) == ["Refuse"]
    driver.now += int(driver.balancer.state.learned.mean_run_us)
    assert action_names(driver.arrive(0)) == ["Send"]
