"""Decisions of one balancer: each test feeds events to a balancer and checks the returned actions."""

import math
from dataclasses import replace

import pytest

from cedarmill.decisions import interface as api
from cedarmill.decisions import learning, retries
from cedarmill.decisions.admission import MIN_PREEMPTION_GAIN
from cedarmill.decisions.interface import DeduplicationScope as DeduplicationScope
from cedarmill.decisions.interface import Effect, ExecutorState, Outcome
from cedarmill.decisions.learned import ClassRunningTimes
from tests.support.builders import (
    SAFE_CLASS,
    UNSAFE_CLASS,
    Driver,
    action_names,
    entry,
    keyed_class,
    send_actions,
)


def fill_executor(driver: Driver, executor: int, job_class: int = 0) -> list[int]:
    """Send and start requests until the executor is full; return the numbers of the requests."""
    request_ids = []
    while send_actions(actions := driver.arrive(job_class)):
        assert send_actions(actions)[0].executor == executor
        request_ids.append(driver.last_request)
        driver.start(driver.last_request, executor)
    return request_ids


def arrive_until_full(driver: Driver, job_class: int):
    """Send and start requests until an arrival is not just sent, and return the actions for that arrival."""
    while action_names(actions := driver.arrive(job_class)) == ["Send"]:
        driver.start(driver.last_request, send_actions(actions)[0].executor)
    return actions


# Admission and preemption.


def test_idle_slots_admit_any_class_in_order_of_arrival():
    driver = Driver(executor_count=1)
    driver.report(1, 3)
    assert [action_names(driver.arrive(n)) for n in (0, 1, 0)] == [["Send"]] * 3


def test_full_pool_refuses_the_lowest_priority_at_once_with_retry_after():
    driver = Driver(executor_count=1)
    driver.report(1, 1)
    fill_executor(driver, 1)
    actions = driver.arrive(0)
    assert action_names(actions) == ["Refuse"]
    assert 0 < actions[0].retry_after_us <= 1_000_000


def test_full_pool_preempts_lower_priority_for_higher_and_never_the_reverse():
    driver = Driver(executor_count=1)
    driver.report(1, 1)
    fill_executor(driver, 1)
    assert action_names(arrive_until_full(driver, 1)) == ["Cancel", "Send"]
    driver = Driver(executor_count=1)
    driver.report(1, 1)
    fill_executor(driver, 1, job_class=1)
    assert action_names(driver.arrive(0)) == ["Refuse"]
    assert action_names(driver.arrive(1)) == ["Refuse"]


def test_victim_has_the_lowest_priority_and_then_has_not_started():
    lowest_class = api.RequestClass("low", 0.5, 200_000, 5_000_000, Effect.SAFE)
    driver = Driver(SAFE_CLASS, UNSAFE_CLASS, lowest_class, executor_count=1)
    driver.report(1, 2)
    driver.balancer.executors[1].queue_places = 2.0
    driver.arrive(2)
    driver.start(1, 1)
    driver.arrive(0)
    driver.start(2, 1)
    assert send_actions(driver.arrive(2))  # queued at the executor, not started
    cancellations = [a for a in arrive_until_full(driver, 1) if isinstance(a, api.Cancel)]
    assert [a.request for a in cancellations] == [3]


def test_preempted_safe_request_is_retried_or_refused_and_unsafe_one_fails():
    for effect, expected in ((Effect.SAFE, ["Refuse"]), (Effect.UNSAFE, ["Fail"])):
        low_class = api.RequestClass("low", 0.5, 200_000, 5_000_000, effect)
        driver = Driver(low_class, UNSAFE_CLASS, executor_count=1)
        driver.report(1, 1)
        request_ids = fill_executor(driver, 1)
        (cancellation,) = [a for a in arrive_until_full(driver, 1) if isinstance(a, api.Cancel)]
        assert cancellation.request in request_ids
        answers = action_names(driver.end(cancellation.request, 1, Outcome.CANCELLED, final=False))
        assert answers in (expected, ["Send"]) if effect == Effect.SAFE else answers == expected


@pytest.mark.parametrize("effect", [Effect.SAFE, Effect.KEYED, Effect.UNSAFE])
def test_request_preempted_before_it_was_sent_is_sent_elsewhere_or_refused(effect):
    """Guards against failing a request that never ran, whatever its effect."""
    low_class = api.RequestClass("low", 0.5, 200_000, 5_000_000, effect, DeduplicationScope.ZONE, 3_000_000)
    for added_executors, expected in (([], ["Refuse"]), ([entry(2)], ["Send"])):
        driver = Driver(low_class, UNSAFE_CLASS, executor_count=1)
        driver.report(1, 1)
        while send_actions(driver.arrive(0)):
            pass
        cancellation = next(a for a in driver.arrive(1) if isinstance(a, api.Cancel))
        driver.feed(api.EndpointList(api.EndpointListKind.DELTA, added_executors))
        ended = driver.end(cancellation.request, 1, Outcome.RECALLED, final=False)
        assert action_names(ended) == expected


def test_slots_of_preempted_running_attempts_stay_held_until_the_next_report():
    driver = Driver(executor_count=1)
    driver.report(1, 1)
    request_ids = fill_executor(driver, 1)
    executor = driver.balancer.executors[1]
    arrive_until_full(driver, 1)
    held_before = executor.held_slots
    preempted = next(
        attempt
        for request_id in request_ids
        for attempt in driver.balancer.requests[request_id].attempts
        if attempt.not_preemptible
    )
    driver.end(preempted.request.id, 1, Outcome.CANCELLED, final=False)
    assert executor.held_slots == held_before
    driver.now += 1_000_000
    driver.report(1, 0.5)
    assert executor.held_slots == held_before - 1


def test_running_attempts_are_not_preempted_when_the_learned_gain_is_low():
    driver = Driver(executor_count=1)
    driver.report(1, 1)
    fill_executor(driver, 1)
    driver.balancer.state.learned.preemption_gain = 0.1
    assert action_names(arrive_until_full(driver, 1)) == ["Refuse"]


def test_preemption_stops_when_late_starts_show_that_it_frees_no_slots():
    """Where cancelled attempts keep running, each preemption fails a request and frees no slot."""
    driver = Driver(executor_count=3)
    for executor in (1, 2, 3):
        driver.report(executor, 30)
    while send_actions(driver.arrive(0)):
        driver.start(
            driver.last_request, driver.balancer.requests[driver.last_request].attempts[0].executor.id
        )
    preemptions = 0
    for _ in range(30):
        actions = driver.arrive(1)
        preemptions += action_names(actions).count("Cancel")
        if send_actions(actions):
            driver.now += 400_000
            driver.start(driver.last_request, send_actions(actions)[0].executor)
            for executor in (1, 2, 3):
                driver.report(executor, 0, 90 - preemptions / 100)
    assert 0 < preemptions <= 4


def test_preemption_stops_when_the_replacement_ends_late_without_reported_starts():
    """Without reported starts, only a late end shows that a cancelled attempt kept its slot."""
    driver = Driver(executor_count=1, tells_start=False)
    driver.report(1, 1)
    fill_executor(driver, 1)
    assert action_names(arrive_until_full(driver, 1)) == ["Cancel", "Send"]
    driver.now += 3_000_000
    driver.end(driver.last_request, 1, Outcome.OK)
    assert driver.balancer.state.learned.preemption_gain < MIN_PREEMPTION_GAIN


def test_reinstated_executor_gets_one_request_although_the_local_zone_has_idle_slots():
    """Operators expect a reinstated executor to receive a request within seconds."""
    local_entries = [entry(n, zone=0) for n in (1, 2, 3)]
    driver = Driver(entries=[*local_entries, entry(4, zone=1)], instances=1, tells_start=False)
    for executor in (1, 2, 3):
        driver.report(executor, 5)
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(4, api.ExecutorState.DRAINING, zone=1)]))
    reinstated = entry(4, zone=1, started_at=driver.now - 8_000_000, is_reinstated=True)
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [reinstated]))
    first, second = (send_actions(driver.arrive(0))[0].executor for _ in range(2))
    assert first == 4
    assert second != 4


QUEUE_REPORTING = {"tells_start": False, "report_fields": ("free_slots", "free_memory", "queue")}


def driver_with_queued_attempts(*classes: api.RequestClass) -> Driver:
    """Return a driver whose only executor, of two slots, got four requests before it reported a queue."""
    driver = Driver(*classes, executor_count=1, **QUEUE_REPORTING)
    driver.feed(api.ProbeEnded(1, Outcome.OK, (2.0, 100.0, 0.0)))
    driver.balancer.executors[1].capacity = 4.0
    for _ in range(4):
        assert send_actions(driver.arrive(0))
    return driver


def test_own_attempts_in_the_reported_queue_do_not_raise_the_capacity():
    """Counting queued attempts as slots makes the capacity of a full executor grow with its queue."""
    driver = driver_with_queued_attempts()
    driver.feed(api.ProbeEnded(1, Outcome.OK, (0.0, 98.0, 2.0)))
    assert driver.balancer.executors[1].capacity == 2.0
    driver.end(1, 1, Outcome.OK)
    assert not send_actions(driver.arrive(0))  # of the three remaining, two run and one is queued


def test_executor_with_a_long_queue_has_capacity_one_with_own_attempts_and_zero_without():
    """One assumed slot at every full executor makes the balancers of a large cluster overfill the queues."""
    driver = driver_with_queued_attempts()
    driver.feed(api.ProbeEnded(1, Outcome.OK, (0.0, 98.0, 40.0)))
    assert driver.balancer.executors[1].capacity == 1.0
    driver = Driver(executor_count=1, **QUEUE_REPORTING)
    driver.feed(api.ProbeEnded(1, Outcome.OK, (0.0, 98.0, 5.0)))
    assert driver.balancer.executors[1].capacity == 0.0
    assert not send_actions(driver.arrive(0))


def test_request_with_little_slack_does_not_queue_where_one_with_usual_slack_may():
    """A short request that queues behind a long one misses its latency objective and wastes a slot."""
    stretched_class = api.RequestClass("l", 1.0, 100_000, 5_000_000, Effect.SAFE, aim_stretch=2.0)
    driver = Driver(stretched_class, executor_count=1, **QUEUE_REPORTING)
    driver.feed(api.ProbeEnded(1, Outcome.OK, (2.0, 100.0, 0.0)))
    driver.balancer.state.learned.class_times[0] = ClassRunningTimes(1_000_000.0, 0.0, 50)
    driver.balancer.executors[1].queue_places = 1.0
    driver.arrive(0, hint_us=1_000_000)
    driver.arrive(0, hint_us=1_000_000)
    assert action_names(driver.arrive(0, hint_us=50_000)) == ["Refuse"]
    assert send_actions(driver.arrive(0, hint_us=1_000_000))


def test_queue_places_fall_when_a_request_misses_its_own_latency_objective():
    """Late requests raise the mean running time of their class, so that mean must not define lateness."""
    stretched_class = api.RequestClass("l", 1.0, 200_000, 5_000_000, Effect.SAFE, aim_stretch=2.0)
    driver = Driver(stretched_class, UNSAFE_CLASS, executor_count=1, **QUEUE_REPORTING)
    driver.feed(api.ProbeEnded(1, Outcome.OK, (2.0, 100.0, 0.0)))
    driver.balancer.state.learned.class_times[0] = ClassRunningTimes(3_000_000.0, 3.0, 50)
    places_before = driver.balancer.executors[1].queue_places
    driver.arrive(0, hint_us=100_000)
    driver.now += 3_000_000
    driver.end(1, 1, Outcome.OK)
    assert driver.balancer.executors[1].queue_places < places_before


def test_only_one_preemption_is_pending_until_its_gain_is_confirmed():
    """Otherwise many requests are preempted before the first replacement shows that this gains nothing."""
    driver = Driver(executor_count=3, tells_start=False)
    for executor in (1, 2, 3):
        driver.report(executor, 4)
    while send_actions(driver.arrive(0)):
        pass
    preemptions = [action_names(driver.arrive(1)).count("Cancel") for _ in range(8)]
    assert sum(preemptions) == 1
    driver.balancer.state.learned.preemption_gain = 0.9  # confirmed: each arrival may preempt
    assert sum(action_names(driver.arrive(1)).count("Cancel") for _ in range(3)) >= 3


@pytest.mark.parametrize("hint_us", [100_000, 1_000_000])
def test_retry_after_of_a_refusal_is_a_quarter_of_the_slack(hint_us):
    """A much shorter Retry-After uses up the client's retries while the pool is still full."""
    driver = Driver(replace(SAFE_CLASS, aim_stretch=2.0), executor_count=1, max_retry_after_us=2_000_000)
    driver.report(1, 1)
    fill_executor(driver, 1)
    refusal = driver.arrive(0, hint_us=hint_us)[0]
    assert refusal.retry_after_us == (SAFE_CLASS.aim_us + hint_us) / 4


def test_failures_common_to_all_executors_eject_none():
    """Where every executor breaks some connections, most of them would be ejected at the same time."""
    driver = Driver(executor_count=4)
    for n in range(400):
        sent = send_actions(driver.arrive(1, time_left_us=60_000_000))
        if sent:
            driver.end(driver.last_request, sent[0].executor, Outcome.RESET if n % 5 == 0 else Outcome.OK)
    assert min(executor.health for executor in driver.balancer.executors.values()) > 0.5


def test_lower_priority_may_use_fewer_queue_places_but_all_idle_slots():
    """Where preemption frees no slots, only the queue places shed the lowest priority first."""
    driver = Driver(executor_count=1)
    driver.report(1, 2)
    for n in range(2):
        assert action_names(driver.arrive(0)) == ["Send"]
        driver.start(n + 1, 1)
    driver.balancer.state.learned.preemption_gain = 0.0
    driver.balancer.executors[1].queue_places = 1.2
    assert action_names(driver.arrive(0)) == ["Refuse"]
    assert action_names(driver.arrive(1)) == ["Send"]


# Learned capacity.


def test_own_running_attempts_count_towards_the_capacity():
    driver = Driver(executor_count=1)
    driver.report(1, 4)
    driver.run(2)
    driver.now += 1_000_000
    driver.report(1, 1)  # two own attempts and one free slot; another balancer uses the fourth slot
    assert driver.balancer.executors[1].capacity == 3


def test_executor_with_fewer_held_slots_is_drawn_more_often():
    """Own attempts are known exactly, even where load reports are wrong."""
    driver = Driver(executor_count=2)
    for executor, held_slots in ((1, 2.0), (2, 0.0)):
        driver.report(executor, 30)
        driver.balancer.executors[executor].held_slots = held_slots
    drawn = driver.draw(100)
    assert drawn.count(2) > 4 * drawn.count(1)


def test_request_goes_only_where_its_memory_fits():
    driver = Driver(executor_count=2)
    driver.report(1, 4, memory=0.2)
    driver.report(2, 1, memory=4.0)
    assert send_actions(driver.arrive(0, memory=0.5))[0].executor == 2


def test_prompt_starts_raise_and_refusals_lower_the_queue_places():
    driver = Driver(executor_count=1)
    executor = driver.balancer.executors[1]
    driver.report(1, 4)
    driver.arrive(0)
    driver.start(1, 1)
    assert executor.queue_places == pytest.approx(0.6)
    driver.arrive(0)
    driver.now += 1_000_000
    driver.end(2, 1, Outcome.FULL, final=False)
    assert executor.queue_places == pytest.approx(0.45)


def test_queue_places_grow_beyond_the_slots_when_no_reports_arrive():
    """Otherwise a deployment without load reports uses two slots of an executor at most."""
    driver = Driver(executor_count=1)
    driver.balancer.executors[1].queue_places = 1.0
    for _ in range(30):
        driver.arrive(0)
        driver.start(driver.last_request, 1)
        driver.end(driver.last_request, 1, Outcome.OK)
    assert driver.balancer.executors[1].queue_places > 3


@pytest.mark.parametrize("report", [None, (), (1.0,), (-1.0, 2.0), (math.nan, 1.0), (math.inf, 1.0)])
def test_invalid_reports_are_ignored(report):
    driver = Driver(executor_count=1)
    capacity_before = driver.balancer.executors[1].capacity
    driver.feed(api.ProbeEnded(1, Outcome.OK, report))
    assert driver.balancer.executors[1].capacity == capacity_before


def test_stale_reservations_expire_when_no_reports_arrive():
    """Otherwise executors without load reports stay full of cancelled attempts."""
    driver = Driver(executor_count=1)
    driver.arrive(0)
    driver.start(1, 1)
    driver.feed(api.RequestWithdrawn(1))
    driver.end(1, 1, Outcome.CANCELLED, final=True)
    assert driver.balancer.executors[1].held_slots == 1
    driver.now += 3_000_000
    assert action_names(driver.arrive(0)) == ["Send"]
    assert driver.balancer.executors[1].held_slots == 1


def test_only_the_attempt_that_ends_with_a_report_counts_as_running_in_it():
    """The slot of an attempt that ended earlier may already be in use by another balancer."""
    driver = Driver(executor_count=1)
    driver.report(1, 3)
    driver.run(3)
    driver.now += 150_000
    driver.end(1, 1, Outcome.OK)
    driver.now += 20_000
    # Requests 2 and 3 hold a slot each; another balancer uses the slot of request 1.
    driver.end(2, 1, Outcome.OK, report=(0.0, 100.0))
    assert driver.balancer.executors[1].capacity == 2


def test_identical_reports_do_not_reduce_the_capacity():
    """Identical reports do not mean that the next report is too old to include running attempts."""
    driver = Driver(executor_count=1)
    for _ in range(5):
        driver.report(1, 4)
        driver.now += 1_000_000
    driver.run(3)
    driver.now += 500_000
    driver.report(1, 1)
    assert driver.balancer.executors[1].capacity == 4


def test_attempts_count_as_started_when_sent_if_executors_report_no_starts():
    """Otherwise every own attempt seems to be queued, and requests are refused although slots are idle."""
    driver = Driver(executor_count=1, tells_start=False)
    driver.report(1, 4)
    driver.arrive(0)
    driver.now += 1_000_000
    assert action_names(driver.arrive(0)) == ["Send"]
    driver.report(1, 2)
    assert driver.balancer.executors[1].capacity == 4
    places_before = driver.balancer.executors[1].queue_places
    driver.end(1, 1, Outcome.FULL, final=False)
    assert driver.balancer.executors[1].queue_places < places_before


def test_queued_attempts_do_not_count_as_slots_without_reported_starts():
    """Otherwise the learned slots exceed the real ones, and requests queue while other executors are idle."""
    driver = Driver(executor_count=1, tells_start=False)
    driver.report(1, 2)
    driver.balancer.executors[1].queue_places = 4.0
    for _ in range(4):
        assert send_actions(driver.arrive(1))
    driver.report(1, 0)
    assert driver.balancer.executors[1].slots == 2


# Health.


def test_connection_failure_stops_traffic_until_a_probation_attempt():
    driver = Driver(executor_count=2)
    driver.report(1, 9)
    driver.report(2, 9)
    failed = send_actions(driver.arrive(0))[0].executor
    retry_actions = driver.end(1, failed, Outcome.CONNECT_FAILED, final=False)
    assert send_actions(retry_actions)[0].executor == 3 - failed
    for _ in range(5):
        assert send_actions(driver.arrive(0))[0].executor == 3 - failed
        driver.end(driver.last_request, 3 - failed, Outcome.OK)
    driver.end(1, 3 - failed, Outcome.OK, attempt=1)
    driver.now += 10_000_000
    driver.report(failed, 9)
    driver.report(3 - failed, 9)
    assert failed in {send_actions(driver.arrive(0))[0].executor for _ in range(9)}


def test_executor_that_fails_fast_does_not_attract_traffic_by_being_idle():
    driver = Driver(executor_count=2, max_attempts=1)
    driver.report(2, 20)
    for _ in range(60):
        driver.report(1, 20 + driver.last_request / 1000)
        executor = send_actions(driver.arrive(0))[0].executor
        driver.end(
            driver.last_request, executor, Outcome.ERROR if executor == 1 else Outcome.OK, final=executor == 2
        )
    drawn = driver.draw(20)
    assert drawn.count(1) <= 2


def test_executor_with_an_attempt_that_does_not_start_gets_no_further_requests():
    driver = Driver(executor_count=2)
    driver.report(1, 9)
    driver.report(2, 9)
    unanswered = send_actions(driver.arrive(0))[0].executor
    driver.now += 1_000_000
    assert {send_actions(driver.arrive(0))[0].executor for _ in range(5)} == {3 - unanswered}


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.DROPPED])
def test_broken_connection_does_not_eject_the_executor(outcome):
    """Established connections break now and then although their executor is healthy."""
    driver = Driver(executor_count=1)
    assert send_actions(driver.arrive(1))
    driver.end(1, 1, outcome, final=False)
    assert send_actions(driver.arrive(1))


def test_unreachable_executor_is_not_a_last_resort():
    """Otherwise requests use up their attempts at executors whose connections fail at once."""
    driver = Driver(executor_count=2)
    driver.report(1, 9)
    driver.report(2, 1)
    while action_names(actions := driver.arrive(1)) == ["Send"]:
        executor = send_actions(actions)[0].executor
        if executor == 1:
            driver.end(driver.last_request, 1, Outcome.CONNECT_FAILED, final=False)
    assert action_names(actions) == ["Refuse"]
    assert driver.balancer.executors[1].capacity > driver.balancer.executors[1].held_slots


def test_class_that_requires_a_kind_of_executor_is_sent_only_to_that_kind():
    class_of_kind_2 = api.RequestClass("g", 1.0, 200_000, 5_000_000, Effect.SAFE, worker_kind=2)
    driver = Driver(class_of_kind_2, entries=[entry(1, kind=0), entry(2, kind=2)])
    driver.report(1, 9)
    driver.report(2, 1)
    assert {a.executor for _ in range(5) for a in send_actions(driver.arrive(0))} == {2}


# Rule 1: each request gets one final answer.


def test_request_is_refused_when_no_executor_is_listed():
    driver = Driver(entries=[entry(1, ExecutorState.GONE)])
    assert action_names(driver.arrive(0)) == ["Refuse"]


@pytest.mark.parametrize("job_class", [0, 1])
def test_each_request_is_refused_once_when_every_executor_is_unreachable(job_class):
    driver = Driver(executor_count=3)
    for _ in range(5):
        actions = driver.arrive(job_class)
        answer_kinds = action_names(actions)
        while send_actions(actions):
            attempt = len(driver.balancer.requests[driver.last_request].attempts) - 1
            executor_id = send_actions(actions)[0].executor
            actions = driver.end(
                driver.last_request, executor_id, Outcome.CONNECT_FAILED, attempt, final=False
            )
            answer_kinds += action_names(actions)
        assert answer_kinds[-1] == "Refuse" and answer_kinds.count("Refuse") == 1
    assert driver.balancer.requests == {} and all(
        executor.held_slots == 0 for executor in driver.balancer.executors.values()
    )


def test_request_that_times_out_at_its_deadline_fails_once():
    driver = Driver(executor_count=1)
    driver.arrive(1)
    driver.now += 5_000_000
    assert action_names(driver.end(1, 1, Outcome.TIMEOUT, final=False)) == ["Fail"]
    assert driver.balancer.requests == {}


def test_queued_request_fails_before_its_deadline():
    driver = Driver(keyed_class(DeduplicationScope.CELL), executor_count=1)
    driver.arrive(0)
    driver.start(1, 1)
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, ExecutorState.GONE)]))
    actions = driver.end(1, 1, Outcome.RESET, final=False)
    assert action_names(actions) == []
    delay = max(a.delay_us for a in actions if isinstance(a, api.SetTimer))
    assert delay < 5_000_000
    assert action_names(driver.fire_all(actions, delay)) == ["Fail"]


def test_withdrawn_request_is_cancelled_and_its_timers_do_nothing():
    driver = Driver(executor_count=1)
    actions = driver.arrive(0)
    assert action_names(driver.feed(api.RequestWithdrawn(1))) == ["Cancel"]
    assert action_names(driver.fire_all(actions, 1_000_000)) == []
    assert action_names(driver.end(1, 1, Outcome.CANCELLED, final=True)) == []
    assert driver.balancer.requests == {} and driver.balancer.executors[1].held_slots == 0


def test_unknown_requests_attempts_executors_and_tokens_are_ignored():
    driver = Driver(executor_count=1)
    driver.arrive(0)
    held_before = driver.balancer.executors[1].held_slots
    for event in (
        api.AttemptEnded(9, 0, 1, Outcome.OK, True), api.AttemptEnded(1, 7, 1, Outcome.OK, True),
        api.AttemptEnded(1, 0, 8, Outcome.OK, True), api.AttemptStarted(9, 0, 1), api.AttemptStarted(1, 0, 8),
        api.AttemptProgress(9, 0, 1, 0.5), api.StreamStarted(9, 0, 1), api.ProbeEnded(8, Outcome.OK),
        api.TimerFired(99), api.RequestWithdrawn(9), api.PeerMessage(1, b"x"),
    ):  # fmt: skip
        assert driver.feed(event) == []
    assert driver.balancer.executors[1].held_slots == held_before


# Rule 2: effects are not repeated. Permitted retries and refusals after each outcome, by effect.

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DROPPED)
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.RESET, Outcome.CANCELLED)
LOCATIONS = {1: (0, 0), 2: (0, 0), 3: (0, 1), 4: (1, 2)}  # executor: zone, cell
PERMITTED_EXECUTORS = {
    (Effect.SAFE, None): {1, 2, 3, 4},
    (Effect.KEYED, DeduplicationScope.ALL): {1, 2, 3, 4},
    (Effect.KEYED, DeduplicationScope.ZONE): {1, 2, 3},
    (Effect.KEYED, DeduplicationScope.CELL): {1, 2},
    (Effect.UNSAFE, None): set(),
}


def _request_class(effect, group):
    if group:
        return keyed_class(group)
    return api.RequestClass("c", 3.0, 200_000, 5_000_000, effect, repeat_window_us=3_000_000)


@pytest.mark.parametrize("effect,group", PERMITTED_EXECUTORS)
@pytest.mark.parametrize("outcome", [*NEVER_RAN, *MAY_HAVE_RUN, None])
@pytest.mark.parametrize("is_after_window", [False, True])
@pytest.mark.parametrize("may_duplicate", [False, True])
def test_permitted_retries_and_refusals_by_effect_and_outcome(
    effect, group, outcome, is_after_window, may_duplicate
):
    driver = Driver(_request_class(effect, group), may_duplicate=may_duplicate,
                    entries=[entry(1, zone=0, cell=0)])  # fmt: skip
    assert send_actions(driver.arrive(0))[0].executor == 1
    driver.feed(
        api.EndpointList(
            api.EndpointListKind.DELTA,
            [entry(n, zone=zone, cell=cell) for n, (zone, cell) in LOCATIONS.items()],
        )
    )
    driver.feed(
        api.EndpointList(api.EndpointListKind.DELTA, [entry(1, ExecutorState.GONE)])
    )  # the attempt keeps the zone and cell of its executor
    request = driver.balancer.requests[1]
    attempt = request.attempts[0]
    if outcome is not None:
        attempt.in_flight, attempt.may_have_run = False, outcome not in NEVER_RAN
    driver.balancer.state.now = driver.now + (3_000_000 if is_after_window else 0)
    permitted = {
        n for n in LOCATIONS if retries.may_send(driver.balancer.state, request, driver.balancer.executors[n])
    }
    expected = {1, 2, 3, 4} if outcome in NEVER_RAN else PERMITTED_EXECUTORS[effect, group]
    if outcome not in NEVER_RAN and is_after_window and effect == Effect.KEYED:
        expected = set()
    if outcome is None and not may_duplicate:
        expected = set()
    assert permitted == expected - {1}
    is_harmless = outcome in NEVER_RAN or effect == Effect.SAFE or group == DeduplicationScope.ALL
    assert retries.may_refuse(request) == is_harmless


def driver_after_reset(
    elapsed_us: int,
    window_us: int,
    time_left_us: int = 5_000_000,
    scope: DeduplicationScope = DeduplicationScope.ZONE,
):
    """Reset the only attempt of a keyed request after `elapsed_us`; return the driver and the actions."""
    driver = Driver(keyed_class(scope, window_us), executor_count=2)
    assert send_actions(driver.arrive(0, time_left_us=time_left_us))
    executor = driver.balancer.requests[1].attempts[0].executor.id
    driver.now += elapsed_us
    return driver, driver.end(1, executor, Outcome.RESET)


@pytest.mark.parametrize("elapsed_us,window_us", [(0, 155_000), (1_000, 100_000), (2_845_000, 3_000_000)])
def test_request_is_answered_when_its_retry_could_be_written_after_the_deduplication_window(
    elapsed_us, window_us
):
    """A delayed write could make the retry run twice, so the request fails or is refused at once."""
    assert action_names(driver_after_reset(elapsed_us, window_us)[1]) == ["Fail"]
    assert action_names(driver_after_reset(elapsed_us, window_us, scope=DeduplicationScope.ALL)[1]) == [
        "Refuse"
    ]


def test_retry_within_the_deduplication_window_is_sent():
    assert action_names(driver_after_reset(2_830_000, 3_000_000)[1]) == ["Send"]


def test_no_retry_is_sent_just_before_the_deadline():
    """A delayed write would start the attempt after the client has disconnected."""
    assert action_names(driver_after_reset(955_000, 3_000_000, time_left_us=1_000_000)[1]) == ["Fail"]
    assert action_names(driver_after_reset(940_000, 3_000_000, time_left_us=1_000_000)[1]) == ["Send"]


def test_queued_request_fails_when_its_deduplication_window_closes():
    """No retry may follow after that, so waiting for the deadline only delays the answer."""
    driver = Driver(keyed_class(DeduplicationScope.ZONE, 1_000_000), executor_count=1)
    driver.arrive(0)
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, ExecutorState.GONE)]))
    actions = driver.end(1, 1, Outcome.RESET)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert timer.delay_us == 1_000_000 - 150_000 - 2 * driver.balancer.settings.tick_us
    assert action_names(driver.fire_all([timer], timer.delay_us)) == ["Fail"]


def test_no_attempt_follows_the_last_one_and_no_refusal_follows_completion():
    driver = Driver(executor_count=2, max_attempts=1)
    driver.arrive(0)
    request = driver.balancer.requests[1]
    request.attempts[0].in_flight = request.attempts[0].may_have_run = False
    assert not retries.may_send(driver.balancer.state, request, driver.balancer.executors[1])
    request.done = True
    assert not retries.may_refuse(request)


def test_attempt_whose_response_has_begun_is_not_preempted():
    driver = Driver(executor_count=1)
    driver.report(1, 1)
    for request in fill_executor(driver, 1):
        driver.feed(api.StreamStarted(request, 0, 1))
    assert action_names(arrive_until_full(driver, 1)) == ["Refuse"]


# Rule 3: draining executors get no new attempts; changes of the endpoint list.


@pytest.mark.parametrize("state", [ExecutorState.DRAINING, ExecutorState.GONE])
def test_no_request_is_sent_to_a_draining_or_gone_executor(state):
    driver = Driver(executor_count=2)
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, state)]))
    assert {a.executor for _ in range(20) for a in send_actions(driver.arrive(0))} <= {2}


def test_executor_missing_from_a_full_list_gets_no_requests():
    driver = Driver(executor_count=2)
    driver.feed(api.EndpointList(api.EndpointListKind.FULL, [entry(2)]))
    assert {a.executor for _ in range(20) for a in send_actions(driver.arrive(0))} <= {2}


def test_executor_that_the_list_moves_to_another_zone_changes_pools():
    """With the old zone, a keyed request could be retried where its idempotency key is unknown."""
    driver = Driver(keyed_class(DeduplicationScope.ZONE), executor_count=3)
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(2, api.ExecutorState.DRAINING)]))
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(3, api.ExecutorState.DRAINING)]))
    assert send_actions(driver.arrive(0))[0].executor == 1
    driver.feed(api.EndpointList(api.EndpointListKind.FULL, [entry(2, zone=1), entry(3, zone=0)]))
    assert [executor.id for executor in driver.balancer.state.pools.remote] == [2] and [
        executor.id for executor in driver.balancer.state.pools.local
    ] == [3]
    assert [a.executor for a in send_actions(driver.end(1, 1, Outcome.RESET))] == [3]


def test_empty_full_list_removes_every_executor():
    driver = Driver(executor_count=2)
    driver.feed(api.EndpointList(api.EndpointListKind.FULL, []))
    assert action_names(driver.arrive(0)) == ["Refuse"]


def test_endpoint_list_is_requested_again_with_growing_jittered_delays_after_failures():
    driver = Driver(on_request_discovery=True, instances=4)
    assert action_names(driver.initial_actions) == []
    assert action_names(driver.fire_all(driver.initial_actions, 200_000)) == ["Subscribe"]
    delays = []
    for _ in range(6):
        actions = driver.feed(api.EndpointList(api.EndpointListKind.FAILED, []))
        delays.append(actions[0].delay_us)
        assert action_names(actions) == []
        assert action_names(driver.fire_all(actions, delays[-1])) == ["Subscribe"]
    assert max(delays) < 2 * driver.balancer.settings.ask_within_us
    assert len(set(delays)) == 6 and sum(delays[3:]) > sum(delays[:3])


def test_new_process_of_a_large_cluster_soon_requests_its_endpoint_list():
    """A restarted process with an old list sends requests to executors that are draining."""
    for seed in range(20):
        driver = Driver(on_request_discovery=True, instances=200, seed=seed)
        (timer,) = driver.initial_actions
        assert timer.delay_us <= driver.balancer.settings.ask_within_us / 5


def test_endpoint_list_is_still_requested_after_hours_of_failures():
    """The delay doubles with each failure; it must not overflow a float and end the retries."""
    driver = Driver(on_request_discovery=True)
    for _ in range(1200):
        actions = driver.feed(api.EndpointList(api.EndpointListKind.FAILED, []))
    assert action_names(driver.fire_all(actions, actions[0].delay_us)) == ["Subscribe"]


# Rule 4: an executor that is warming up is not overloaded.


def test_hint_is_ignored_until_a_request_of_its_class_has_ended():
    """The initial ratio of running times to hints assumes hints of 1 us and overestimates all others."""
    driver = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=1, tells_start=False)
    driver.balancer.executors[1].slots = 10.0
    driver.report(1, 10)
    assert send_actions(driver.arrive(0, hint_us=400_000))


def test_warming_executor_gets_no_more_than_this_balancers_share_of_its_budget():
    driver = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=2)
    executor = driver.balancer.executors[1]
    executor.slots = 10.0
    driver.report(1, 10)
    sent = sum(len(send_actions(driver.arrive(0))) for _ in range(50))
    budget = 3.0 * 0.2 * 10 * 2_000_000 / 2  # slot-time (us) per window for this balancer
    assert 0 < sent * 200_000 <= budget
    for request in range(1, sent + 1):
        driver.end(request, 1, Outcome.OK)
    driver.now += 11_000_000
    driver.report(1, 9)
    assert len([a for _ in range(9) for a in send_actions(driver.arrive(0))]) == 9


def test_restarted_executor_keeps_its_slots_but_not_its_reservations_or_report():
    driver = Driver(executor_count=1)
    driver.report(1, 4)
    driver.arrive(0)
    driver.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, started_at=driver.now)]))
    executor = driver.balancer.executors[1]
    assert (executor.started_at, executor.held_slots, executor.slots, executor.report) == (
        driver.now,
        0,
        4,
        None,
    )
    assert action_names(driver.end(1, 1, Outcome.RESET, final=False)) in (["Refuse"], ["Send"])
    assert executor.held_slots in (0, 1)


# Tenants.


def test_requests_of_a_tenant_over_its_share_get_a_lower_priority():
    tenants = (api.Tenant("a", 10.0), api.Tenant("b", 10.0))
    driver = Driver(executor_count=1, tenants=tenants, over_share_worth=0.1)
    driver.report(1, 1000)
    for n in range(200):
        driver.now += 10_000
        if send_actions(driver.arrive(0, tenant=0 if n % 8 else 1)):
            driver.start(driver.last_request, 1)
    priorities = [
        (0 if r.id % 8 != 1 else 1, r.priority) for r in list(driver.balancer.requests.values())[-80:]
    ]
    assert sum(priority < 1 for tenant, priority in priorities if tenant == 0) > 30
    assert all(priority == 1 for tenant, priority in priorities if tenant == 1)


def test_same_events_give_the_same_actions():
    def run():
        driver = Driver(executor_count=5, seed=7)
        return [repr(driver.arrive(n % 2)) for n in range(40)]

    assert run() == run()


def test_larger_of_two_idle_executors_is_drawn_and_probed_more_often():
    """Both report two free slots, but a slot of the larger one becomes free again in half the time."""
    driver = Driver(entries=[entry(1, size=4.0), entry(2, size=2.0)])
    for executor in (1, 2):
        driver.report(executor, 2)
    assert 1.5 < (drawn := driver.draw(300)).count(1) / drawn.count(2) < 8
    probed = []
    for seed in range(60):
        entries = [entry(n, size=4.0 if n % 2 else 1.0) for n in range(1, 9)]
        actions = Driver(entries=entries, seed=seed, can_probe=True).arrive(0)
        probed += [a.executor % 2 for a in actions if isinstance(a, api.Probe)]
    assert sum(probed) > 0.6 * len(probed) > 0


# Large clusters: most reports are old, and the cost of an event does not grow with the number of executors.


def large_cluster_driver(executor_count: int, **changes) -> Driver:
    """Return a driver for one of 200 balancers, with all executors in the local zone."""
    return Driver(
        entries=[entry(n, cell=n // 4) for n in range(1, executor_count + 1)], instances=200, **changes
    )


def test_request_without_fresh_reports_waits_for_two_probes_and_goes_to_the_idle_executor():
    """Requests that are placed by old reports miss their latency objectives."""
    driver = large_cluster_driver(100, can_probe=True)
    probed = [a.executor for a in driver.arrive(0) if isinstance(a, api.Probe)]
    assert len(probed) == 2
    assert send_actions(driver.report(probed[0], 0)) == []
    assert [a.executor for a in send_actions(driver.report(probed[1], 2))] == [probed[1]]


def test_request_is_sent_when_its_probes_are_not_answered():
    driver = large_cluster_driver(100, can_probe=True)
    actions, sent = driver.arrive(0), []
    for _ in range(4):
        actions = driver.fire_all(actions, 20_000)
        sent += send_actions(actions)
    assert len(sent) == 1


def test_weight_of_an_old_report_decays_in_favour_of_the_mean():
    """Otherwise an executor that was full once gets no requests for minutes."""
    driver = large_cluster_driver(1)
    for n in range(40):
        driver.report(1, 2 + n % 2)
    driver.report(1, 0)
    executor = driver.balancer.executors[1]
    driver.arrive(0)
    assert executor.capacity - executor.held_slots <= 0
    driver.now += 60_000_000
    assert send_actions(driver.arrive(0))


@pytest.mark.parametrize("executor_count", [20, 2000])
def test_executors_examined_per_request_do_not_grow_with_the_cluster(executor_count, monkeypatch):
    """Examining every executor for each request takes too much CPU time in a large cluster."""
    driver = large_cluster_driver(executor_count, can_probe=True)
    examined = []
    free_capacity = learning.free_capacity
    monkeypatch.setattr(
        learning, "free_capacity", lambda *arguments: examined.append(1) or free_capacity(*arguments)
    )
    for _ in range(20):
        driver.arrive(0)
    assert 0 < len(examined) <= 20 * 8 * 2


def test_hundreds_of_balancers_use_and_keep_the_budget_of_a_warming_executor():
    """A share below one request is rounded at random; otherwise the executor stays idle while it warms up."""
    sent = 0.0
    for seed in range(300):
        driver = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=300, seed=seed)
        driver.balancer.executors[1].slots = 10.0
        driver.now += 1_000_000
        driver.report(1, 10)
        sent += 200_000 * sum(len(send_actions(driver.arrive(0))) for _ in range(3))
    budget = 3.0 * 0.2 * 10 * 2_000_000  # slot-time (us) per window for all balancers, at the start
    assert 0.2 * budget < sent < budget


def test_rounding_sample_of_a_warming_executor_is_drawn_once_per_window():
    """With a new sample for each request, every balancer would send one in the end."""
    sent_counts = []
    for seed in range(60):
        driver = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=300, seed=seed)
        driver.balancer.executors[1].slots = 10.0
        driver.now += 1_000_000
        sent_counts.append(sum(len(send_actions(driver.arrive(0))) for _ in range(50)))
    assert max(sent_counts) <= 1 and sum(sent_counts) < 20


def test_request_larger_than_the_budget_is_never_sent_to_a_warming_executor():
    """Random rounding must not admit a request that overloads the executor by itself."""
    oversized_us = 10 * 3.0 * 0.2 * 10 * 2_000_000  # ten times the budget of all balancers in a window
    for seed in range(300):
        driver = Driver(
            entries=[entry(1, started_at=1_000_000_000)], instances=30, seed=seed, tells_start=False
        )
        driver.balancer.executors[1].slots = 10.0
        times = driver.balancer.state.learned.class_times[0]
        times.log_ratio, times.count = 0.0, 1  # one request has ended, with a ratio of 1
        driver.now += 1_000_000
        driver.report(1, 10)
        usage = driver.balancer.executors[1].slow_start
        usage.sampled_at, usage.rounding_sample = driver.now, 0.999  # extreme sample
        assert not send_actions(driver.arrive(0, hint_us=int(oversized_us)))
        assert send_actions(driver.arrive(0, hint_us=100_000))


def test_expected_work_of_a_short_hint_has_a_lower_bound():
    """Imprecise hints of short running times are mostly too short and would overload the executor."""
    for hint_us, min_work_us in ((2_000, 100_000), (50_000, 100_000), (800_000, 800_000)):
        driver = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=1, tells_start=False)
        times = driver.balancer.state.learned.class_times[0]
        times.log_ratio, times.count = 0.0, 1  # one request of 0.2 s has ended, with a ratio of 1
        driver.report(1, 10)
        assert send_actions(driver.arrive(0, hint_us=hint_us))
        assert driver.balancer.executors[1].slow_start.sends[0].work_us >= min_work_us
