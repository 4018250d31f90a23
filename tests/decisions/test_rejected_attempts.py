"""Attempts that a full executor rejects, and the requests that wait for capacity after that."""

from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from tests.support.builders import Driver, action_names, keyed_class, send_actions

EXECUTOR = 1
TIME_LEFT_US = 5_000_000
GUARDED = keyed_class(api.DeduplicationScope.CELL)


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
