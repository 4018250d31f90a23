"""Decisions of the balancer, driven by hand-made events."""

import math
from dataclasses import replace

import pytest

from cedarmill.decisions import interface as api
from cedarmill.decisions import learning, retries
from cedarmill.decisions.admission import MIN_PREEMPTION_GAIN
from cedarmill.decisions.interface import DeduplicationScope as DeduplicationScope
from cedarmill.decisions.interface import Effect, Outcome
from cedarmill.decisions.interface import ExecutorState as WorkerState
from cedarmill.decisions.learned import ClassRunningTimes
from tests.support.builders import SAFE, UNSAFE, Driver, entry, keyed, kinds, sends


def fill(d: Driver, worker: int, job_class: int = 0) -> list[int]:
    """Send and start jobs until the worker is full; they are kept running."""
    ids = []
    while sends(actions := d.arrive(job_class)):
        assert sends(actions)[0].executor == worker
        ids.append(d.requests)
        d.start(d.requests, worker)
    return ids


def past_room(d: Driver, job_class: int):
    """The first answer to arrivals of a class that is not a plain send; what was sent runs on."""
    while kinds(answer := d.arrive(job_class)) == ["Send"]:
        d.start(d.requests, sends(answer)[0].executor)
    return answer


# Admission and preemption.


def test_idle_slots_admit_any_class_in_order_of_arrival():
    d = Driver(workers=1)
    d.report(1, 3)
    assert [kinds(d.arrive(n)) for n in (0, 1, 0)] == [["Send"]] * 3


def test_full_pool_refuses_the_lowest_worth_at_once_with_advice():
    d = Driver(workers=1)
    d.report(1, 1)
    fill(d, 1)
    answer = d.arrive(0)
    assert kinds(answer) == ["Refuse"]
    assert 0 < answer[0].retry_after_us <= 1_000_000


def test_full_pool_cuts_lower_worth_for_higher_and_never_the_reverse():
    d = Driver(workers=1)
    d.report(1, 1)
    fill(d, 1)
    assert kinds(past_room(d, 1)) == ["Cancel", "Send"]
    d = Driver(workers=1)
    d.report(1, 1)
    fill(d, 1, job_class=1)
    assert kinds(d.arrive(0)) == ["Refuse"]
    assert kinds(d.arrive(1)) == ["Refuse"]


def test_victim_is_the_lowest_worth_then_the_one_not_started():
    low = api.RequestClass("low", 0.5, 200_000, 5_000_000, Effect.SAFE)
    d = Driver(SAFE, UNSAFE, low, workers=1)
    d.report(1, 2)
    d.balancer.executors[1].queue_places = 2.0
    d.arrive(2)
    d.start(1, 1)
    d.arrive(0)
    d.start(2, 1)
    assert sends(d.arrive(2))  # waits: not started
    cut = [a for a in past_room(d, 1) if isinstance(a, api.Cancel)]
    assert [a.request for a in cut] == [3]


def test_cut_safe_job_is_tried_again_and_cut_unsafe_job_fails():
    for effect, end in ((Effect.SAFE, ["Refuse"]), (Effect.UNSAFE, ["Fail"])):
        low = api.RequestClass("low", 0.5, 200_000, 5_000_000, effect)
        d = Driver(low, UNSAFE, workers=1)
        d.report(1, 1)
        ids = fill(d, 1)
        (cut,) = [a for a in past_room(d, 1) if isinstance(a, api.Cancel)]
        assert cut.request in ids
        answer = kinds(d.end(cut.request, 1, Outcome.CANCELLED, final=False))
        assert answer in (end, ["Send"]) if effect == Effect.SAFE else answer == end


def test_slots_of_cut_running_work_count_until_a_report_shows_them_free():
    d = Driver(workers=1)
    d.report(1, 1)
    ids = fill(d, 1)
    worker = d.balancer.executors[1]
    past_room(d, 1)
    held = worker.held_slots
    cut = next(a for i in ids for a in d.balancer.requests[i].attempts if a.not_preemptible)
    d.end(cut.request.id, 1, Outcome.CANCELLED, final=False)
    assert worker.held_slots == held
    d.now += 1_000_000
    d.report(1, 0.5)
    assert worker.held_slots == held - 1


def test_running_work_is_not_cut_once_cancelling_was_seen_to_leave_it_running():
    d = Driver(workers=1)
    d.report(1, 1)
    fill(d, 1)
    d.balancer.state.learned.preemption_gain = 0.1
    assert kinds(past_room(d, 1)) == ["Refuse"]


def test_cuts_end_where_they_are_seen_to_make_no_room():
    """i359ab1, i225357: where cancelled work goes on, each cut lost a job and made no room."""
    d = Driver(workers=3)
    for worker in (1, 2, 3):
        d.report(worker, 30)
    while sends(d.arrive(0)):
        d.start(d.requests, d.balancer.requests[d.requests].attempts[0].executor.id)
    cuts = 0
    for _ in range(30):
        actions = d.arrive(1)
        cuts += kinds(actions).count("Cancel")
        if sends(actions):
            d.now += 400_000
            d.start(d.requests, sends(actions)[0].executor)
            for worker in (1, 2, 3):
                d.report(worker, 0, 90 - cuts / 100)
    assert 0 < cuts <= 4


def test_cuts_end_where_starts_go_untold_and_the_job_in_place_is_late():
    """Without start notices nothing told that cancelled work goes on: each cut lost a job for nothing."""
    d = Driver(workers=1, tells_start=False)
    d.report(1, 1)
    fill(d, 1)
    assert kinds(past_room(d, 1)) == ["Cancel", "Send"]
    d.now += 3_000_000
    d.end(d.requests, 1, Outcome.OK)
    assert d.balancer.state.learned.preemption_gain < MIN_PREEMPTION_GAIN


def test_one_put_back_by_hand_gets_a_job_though_the_own_zone_has_room():
    """Operators look for 5 s whether it serves; a node with room near it never went there."""
    near = [entry(n, zone=0) for n in (1, 2, 3)]
    d = Driver(entries=[*near, entry(4, zone=1)], instances=1, tells_start=False)
    for worker in (1, 2, 3):
        d.report(worker, 5)
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(4, api.ExecutorState.DRAINING, zone=1)]))
    back = entry(4, zone=1, started_at=d.now - 8_000_000, by_hand=True)
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [back]))
    first, second = (sends(d.arrive(0))[0].executor for _ in range(2))
    assert first == 4
    assert second != 4


QUEUED = {"tells_start": False, "report_fields": ("free_slots", "free_memory", "queue")}


def queued_driver(*classes: api.RequestClass) -> Driver:
    """One worker of two slots that holds four own jobs, as sent before any report told of a queue."""
    d = Driver(*classes, workers=1, **QUEUED)
    d.feed(api.ProbeEnded(1, Outcome.OK, (2.0, 100.0, 0.0)))
    d.balancer.executors[1].capacity = 4.0
    for _ in range(4):
        assert sends(d.arrive(0))
    return d


def test_own_jobs_that_wait_by_report_are_no_slots_learned():
    """The pool grew with every job that waited: half of all jobs came late once the fleet was full."""
    d = queued_driver()
    d.feed(api.ProbeEnded(1, Outcome.OK, (0.0, 98.0, 2.0)))
    assert d.balancer.executors[1].capacity == 2.0
    d.end(1, 1, Outcome.OK)
    assert not sends(d.arrive(0))  # three are left: two run, one waits


def test_a_worker_full_of_others_jobs_has_one_slot_at_most_and_none_without_own_jobs():
    """With a slot believed at every full worker, a fleet of 200 nodes queued where none of it was served."""
    d = queued_driver()
    d.feed(api.ProbeEnded(1, Outcome.OK, (0.0, 98.0, 40.0)))
    assert d.balancer.executors[1].capacity == 1.0
    d = Driver(workers=1, **QUEUED)
    d.feed(api.ProbeEnded(1, Outcome.OK, (0.0, 98.0, 5.0)))
    assert d.balancer.executors[1].capacity == 0.0
    assert not sends(d.arrive(0))


def test_a_job_with_little_time_to_spare_does_not_wait_where_a_usual_one_may():
    """A job of 50 ms behind one of a second came late, and the slot it then took served nobody."""
    late = api.RequestClass("l", 1.0, 100_000, 5_000_000, Effect.SAFE, aim_stretch=2.0)
    d = Driver(late, workers=1, **QUEUED)
    d.feed(api.ProbeEnded(1, Outcome.OK, (2.0, 100.0, 0.0)))
    d.balancer.state.learned.class_times[0] = ClassRunningTimes(1_000_000.0, 0.0, 50)
    d.balancer.executors[1].queue_places = 1.0
    d.arrive(0, hint_us=1_000_000)
    d.arrive(0, hint_us=1_000_000)
    assert kinds(d.arrive(0, hint_us=50_000)) == ["Refuse"]
    assert sends(d.arrive(0, hint_us=1_000_000))


def test_places_to_wait_fall_when_jobs_miss_their_own_wanted_time():
    """Against the class's mean, which late jobs raise, a fleet that was late throughout looked well."""
    late = api.RequestClass("l", 1.0, 200_000, 5_000_000, Effect.SAFE, aim_stretch=2.0)
    d = Driver(late, UNSAFE, workers=1, **QUEUED)
    d.feed(api.ProbeEnded(1, Outcome.OK, (2.0, 100.0, 0.0)))
    d.balancer.state.learned.class_times[0] = ClassRunningTimes(3_000_000.0, 3.0, 50)
    before = d.balancer.executors[1].queue_places
    d.arrive(0, hint_us=100_000)
    d.now += 3_000_000
    d.end(1, 1, Outcome.OK)
    assert d.balancer.executors[1].queue_places < before


def test_one_cut_at_a_time_is_tried_till_cuts_are_known_to_pay():
    """Ten running jobs were cut and failed before the first job in place had ended and shown no gain."""
    d = Driver(workers=3, tells_start=False)
    for worker in (1, 2, 3):
        d.report(worker, 4)
    while sends(d.arrive(0)):
        pass
    cuts = [kinds(d.arrive(1)).count("Cancel") for _ in range(8)]
    assert sum(cuts) == 1
    d.balancer.state.learned.preemption_gain = 0.9  # seen to pay: each arrival of higher worth has its room
    assert sum(kinds(d.arrive(1)).count("Cancel") for _ in range(3)) >= 3


@pytest.mark.parametrize("hint", [100_000, 1_000_000])
def test_a_refused_client_comes_back_while_its_job_can_be_in_time(hint):
    """Advice of some 30 ms used up a client's two retries in 75 ms, with the pool as full as before."""
    d = Driver(replace(SAFE, aim_stretch=2.0), workers=1, max_retry_after_us=2_000_000)
    d.report(1, 1)
    fill(d, 1)
    refusal = d.arrive(0, hint_us=hint)[0]
    assert refusal.retry_after_us == (SAFE.aim_us + hint) / 4


def test_failures_that_befall_all_leave_no_worker_out():
    """Where all workers break a part of their connections, most were distrusted at the same time."""
    d = Driver(workers=4)
    for n in range(400):
        to = sends(d.arrive(1, left=60_000_000))
        if to:
            d.end(d.requests, to[0].executor, Outcome.RESET if n % 5 == 0 else Outcome.OK)
    assert min(worker.health for worker in d.balancer.executors.values()) > 0.5


def test_places_to_wait_are_fewer_for_lower_worth_and_idle_slots_are_not():
    """Where cuts free nothing, this alone keeps the lowest worth the first to be shed."""
    d = Driver(workers=1)
    d.report(1, 2)
    for n in range(2):
        assert kinds(d.arrive(0)) == ["Send"]
        d.start(n + 1, 1)
    d.balancer.state.learned.preemption_gain = 0.0
    d.balancer.executors[1].queue_places = 1.2
    assert kinds(d.arrive(0)) == ["Refuse"]
    assert kinds(d.arrive(1)) == ["Send"]


# The pool.


def test_own_running_jobs_are_credited_to_the_pool():
    d = Driver(workers=1)
    d.report(1, 4)
    d.run(2)
    d.now += 1_000_000
    d.report(1, 1)  # two of ours run, one slot is free: three are ours, one belongs to others
    assert d.balancer.executors[1].capacity == 3


def test_few_own_jobs_draw_more_than_many():
    """i45a555: own jobs tell the truth also where reports do not."""
    d = Driver(workers=2)
    for worker, held in ((1, 2.0), (2, 0.0)):
        d.report(worker, 30)
        d.balancer.executors[worker].held_slots = held
    drawn = d.draw(100)
    assert drawn.count(2) > 4 * drawn.count(1)


def test_memory_is_counted_with_slots():
    d = Driver(workers=2)
    d.report(1, 4, memory=0.2)
    d.report(2, 1, memory=4.0)
    assert sends(d.arrive(0, memory=0.5))[0].executor == 2


def test_refusals_and_prompt_starts_move_the_waiting_places():
    d = Driver(workers=1)
    worker = d.balancer.executors[1]
    d.report(1, 4)
    d.arrive(0)
    d.start(1, 1)
    assert worker.queue_places == pytest.approx(0.6)
    d.arrive(0)
    d.now += 1_000_000
    d.end(2, 1, Outcome.FULL, final=False)
    assert worker.queue_places == pytest.approx(0.45)


def test_waiting_places_grow_past_what_others_report_where_no_report_comes():
    """A copy of a deployment without reports never used more than two slots of a worker."""
    d = Driver(workers=1)
    d.balancer.executors[1].queue_places = 1.0
    for _ in range(30):
        d.arrive(0)
        d.start(d.requests, 1)
        d.end(d.requests, 1, Outcome.OK)
    assert d.balancer.executors[1].queue_places > 3


@pytest.mark.parametrize("report", [None, (), (1.0,), (-1.0, 2.0), (math.nan, 1.0), (math.inf, 1.0)])
def test_unsound_reports_are_no_news(report):
    d = Driver(workers=1)
    before = d.balancer.executors[1].capacity
    d.feed(api.ProbeEnded(1, Outcome.OK, report))
    assert d.balancer.executors[1].capacity == before


def test_stale_reservations_fade_where_no_report_ever_comes():
    """i00273e: workers without reports stayed full of cut jobs for good."""
    d = Driver(workers=1)
    d.arrive(0)
    d.start(1, 1)
    d.feed(api.RequestWithdrawn(1))
    d.end(1, 1, Outcome.CANCELLED, final=True)
    assert d.balancer.executors[1].held_slots == 1
    d.now += 3_000_000
    assert kinds(d.arrive(0)) == ["Send"]
    assert d.balancer.executors[1].held_slots == 1


def test_only_the_job_that_ends_with_a_report_ran_when_it_was_measured():
    """Jobs that ended up to half an aim earlier were counted too: slots that others had taken looked idle."""
    d = Driver(workers=1)
    d.report(1, 3)
    d.run(3)
    d.now += 150_000
    d.end(1, 1, Outcome.OK)
    d.now += 20_000
    d.end(2, 1, Outcome.OK, report=(0.0, 100.0))  # job 2 and job 3 hold a slot each; that of job 1 was taken
    assert d.balancer.executors[1].capacity == 2


def test_equal_reports_for_long_do_not_shrink_the_pool():
    """Equal reports were read as a long refresh period, so running jobs were not credited."""
    d = Driver(workers=1)
    for _ in range(5):
        d.report(1, 4)
        d.now += 1_000_000
    d.run(3)
    d.now += 500_000
    d.report(1, 1)
    assert d.balancer.executors[1].capacity == 4


def test_where_starts_are_not_told_jobs_count_as_started_when_sent():
    """Without start notices every own job seemed to wait, and half of all traffic was refused."""
    d = Driver(workers=1, tells_start=False)
    d.report(1, 4)
    d.arrive(0)
    d.now += 1_000_000
    assert kinds(d.arrive(0)) == ["Send"]
    d.report(1, 2)
    assert d.balancer.executors[1].capacity == 4
    before = d.balancer.executors[1].queue_places
    d.end(1, 1, Outcome.FULL, final=False)
    assert d.balancer.executors[1].queue_places < before


def test_own_jobs_that_wait_are_not_taken_for_slots_where_starts_go_untold():
    """Slots grew to 5 and 6 where there are 2, and 4 to 6 jobs were sent there while others stood idle."""
    d = Driver(workers=1, tells_start=False)
    d.report(1, 2)
    d.balancer.executors[1].queue_places = 4.0
    for _ in range(4):
        assert sends(d.arrive(1))
    d.report(1, 0)
    assert d.balancer.executors[1].slots == 2


# Health.


def test_connect_failures_stop_traffic_until_a_trial():
    d = Driver(workers=2)
    d.report(1, 9)
    d.report(2, 9)
    first = sends(d.arrive(0))[0].executor
    again = d.end(1, first, Outcome.CONNECT_FAILED, final=False)
    assert sends(again)[0].executor == 3 - first
    for _ in range(5):
        assert sends(d.arrive(0))[0].executor == 3 - first
        d.end(d.requests, 3 - first, Outcome.OK)
    d.end(1, 3 - first, Outcome.OK, attempt=1)
    d.now += 10_000_000
    d.report(first, 9)
    d.report(3 - first, 9)
    assert first in {sends(d.arrive(0))[0].executor for _ in range(9)}


def test_a_fast_failer_does_not_draw_traffic_by_looking_idle():
    d = Driver(workers=2, max_attempts=1)
    d.report(2, 20)
    for _ in range(60):
        d.report(1, 20 + d.requests / 1000)
        worker = sends(d.arrive(0))[0].executor
        d.end(d.requests, worker, Outcome.ERROR if worker == 1 else Outcome.OK, final=worker == 2)
    seen = d.draw(20)
    assert seen.count(1) <= 2


def test_a_silent_worker_is_left_alone():
    d = Driver(workers=2)
    d.report(1, 9)
    d.report(2, 9)
    silent = sends(d.arrive(0))[0].executor
    d.now += 1_000_000
    assert {sends(d.arrive(0))[0].executor for _ in range(5)} == {3 - silent}


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.DROPPED])
def test_a_broken_connection_is_no_sign_of_a_dead_worker(outcome):
    """Where kept connections break now and then, each break once left a worker out for a second and more."""
    d = Driver(workers=1)
    assert sends(d.arrive(1))
    d.end(1, 1, outcome, final=False)
    assert sends(d.arrive(1))


def test_a_struck_worker_is_no_last_resort():
    """ica311e: jobs burned their attempts on workers whose connections fail at once."""
    d = Driver(workers=2)
    d.report(1, 9)
    d.report(2, 1)
    while kinds(answer := d.arrive(1)) == ["Send"]:
        worker = sends(answer)[0].executor
        if worker == 1:
            d.end(d.requests, 1, Outcome.CONNECT_FAILED, final=False)
    assert kinds(answer) == ["Refuse"]
    assert d.balancer.executors[1].capacity > d.balancer.executors[1].held_slots


def test_class_that_needs_a_kind_of_worker_goes_only_there():
    special = api.RequestClass("g", 1.0, 200_000, 5_000_000, Effect.SAFE, worker_kind=2)
    d = Driver(special, entries=[entry(1, kind=0), entry(2, kind=2)])
    d.report(1, 9)
    d.report(2, 1)
    assert {a.executor for _ in range(5) for a in sends(d.arrive(0))} == {2}


# Rule 1: one final answer.


def test_no_worker_on_the_list_refuses():
    d = Driver(entries=[entry(1, WorkerState.GONE)])
    assert kinds(d.arrive(0)) == ["Refuse"]


@pytest.mark.parametrize("job_class", [0, 1])
def test_every_worker_unreachable_gives_each_request_one_refusal(job_class):
    d = Driver(workers=3)
    for _ in range(5):
        actions = d.arrive(job_class)
        answers = kinds(actions)
        while sends(actions):
            attempt = len(d.balancer.requests[d.requests].attempts) - 1
            worker = sends(actions)[0].executor
            actions = d.end(d.requests, worker, Outcome.CONNECT_FAILED, attempt, final=False)
            answers += kinds(actions)
        assert answers[-1] == "Refuse" and answers.count("Refuse") == 1
    assert d.balancer.requests == {} and all(w.held_slots == 0 for w in d.balancer.executors.values())


def test_timeout_at_the_deadline_fails_once():
    d = Driver(workers=1)
    d.arrive(1)
    d.now += 5_000_000
    assert kinds(d.end(1, 1, Outcome.TIMEOUT, final=False)) == ["Fail"]
    assert d.balancer.requests == {}


def test_held_job_gets_its_answer_before_the_deadline():
    d = Driver(keyed(DeduplicationScope.CELL), workers=1)
    d.arrive(0)
    d.start(1, 1)
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, WorkerState.GONE)]))
    actions = d.end(1, 1, Outcome.RESET, final=False)
    assert kinds(actions) == []
    delay = max(a.delay_us for a in actions if isinstance(a, api.SetTimer))
    assert delay < 5_000_000
    assert kinds(d.fire_all(actions, delay)) == ["Fail"]


def test_withdrawn_request_is_cancelled_and_timers_of_it_do_nothing():
    d = Driver(workers=1)
    actions = d.arrive(0)
    assert kinds(d.feed(api.RequestWithdrawn(1))) == ["Cancel"]
    assert kinds(d.fire_all(actions, 1_000_000)) == []
    assert kinds(d.end(1, 1, Outcome.CANCELLED, final=True)) == []
    assert d.balancer.requests == {} and d.balancer.executors[1].held_slots == 0


def test_unknown_requests_attempts_workers_and_tokens_are_ignored():
    d = Driver(workers=1)
    d.arrive(0)
    held = d.balancer.executors[1].held_slots
    for event in (
        api.AttemptEnded(9, 0, 1, Outcome.OK, True), api.AttemptEnded(1, 7, 1, Outcome.OK, True),
        api.AttemptEnded(1, 0, 8, Outcome.OK, True), api.AttemptStarted(9, 0, 1), api.AttemptStarted(1, 0, 8),
        api.AttemptProgress(9, 0, 1, 0.5), api.StreamStarted(9, 0, 1), api.ProbeEnded(8, Outcome.OK),
        api.TimerFired(99), api.RequestWithdrawn(9), api.PeerMessage(1, b"x"),
    ):  # fmt: skip
        assert d.feed(event) == []
    assert d.balancer.executors[1].held_slots == held


# Rule 2: effects. What may follow each outcome, for each kind of effect.

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DROPPED)
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.RESET, Outcome.CANCELLED)
PLACES = {1: (0, 0), 2: (0, 0), 3: (0, 1), 4: (1, 2)}  # worker: zone, cell
ALLOWED = {
    (Effect.SAFE, None): {1, 2, 3, 4},
    (Effect.KEYED, DeduplicationScope.ALL): {1, 2, 3, 4},
    (Effect.KEYED, DeduplicationScope.ZONE): {1, 2, 3},
    (Effect.KEYED, DeduplicationScope.CELL): {1, 2},
    (Effect.UNSAFE, None): set(),
}


def _class(effect, group):
    if group:
        return keyed(group)
    return api.RequestClass("c", 3.0, 200_000, 5_000_000, effect, repeat_window_us=3_000_000)


@pytest.mark.parametrize("effect,group", ALLOWED)
@pytest.mark.parametrize("outcome", [*NEVER_RAN, *MAY_HAVE_RUN, None])
@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("duplicate", [False, True])
def test_what_may_be_sent_and_refused(effect, group, outcome, late, duplicate):
    d = Driver(_class(effect, group), may_duplicate=duplicate,
               entries=[entry(1, zone=0, cell=0)])  # fmt: skip
    assert sends(d.arrive(0))[0].executor == 1
    d.feed(
        api.EndpointList(
            api.EndpointListKind.DELTA, [entry(n, zone=z, cell=c) for n, (z, c) in PLACES.items()]
        )
    )
    d.feed(
        api.EndpointList(api.EndpointListKind.DELTA, [entry(1, WorkerState.GONE)])
    )  # the group outlives the worker
    request = d.balancer.requests[1]
    attempt = request.attempts[0]
    if outcome is not None:
        attempt.in_flight, attempt.may_have_run = False, outcome not in NEVER_RAN
    d.balancer.state.now = d.now + (3_000_000 if late else 0)
    allowed = {n for n in PLACES if retries.may_send(d.balancer.state, request, d.balancer.executors[n])}
    expected = {1, 2, 3, 4} if outcome in NEVER_RAN else ALLOWED[effect, group]
    if outcome not in NEVER_RAN and late and effect == Effect.KEYED:
        expected = set()
    if outcome is None and not duplicate:
        expected = set()
    assert allowed == expected - {1}
    harmless = outcome in NEVER_RAN or effect == Effect.SAFE or group == DeduplicationScope.ALL
    assert retries.may_refuse(request) == harmless


def broken(
    after: int, window: int, left: int = 5_000_000, group: DeduplicationScope = DeduplicationScope.ZONE
):
    """What follows when the one attempt of a keyed job breaks so long after it was sent."""
    d = Driver(keyed(group, window), workers=2)
    assert sends(d.arrive(0, left=left))
    worker = d.balancer.requests[1].attempts[0].executor.id
    d.now += after
    return d, d.end(1, worker, Outcome.RESET)


@pytest.mark.parametrize("after,window", [(0, 155_000), (1_000, 100_000), (2_845_000, 3_000_000)])
def test_a_repeat_that_may_be_written_after_its_window_is_not_chosen_and_answered_at_once(after, window):
    """Chosen two ticks before the end, it was written 0.15 s later, or taken back and held to the end."""
    assert kinds(broken(after, window)[1]) == ["Fail"]
    assert kinds(broken(after, window, group=DeduplicationScope.ALL)[1]) == ["Refuse"]


def test_a_repeat_within_its_window_is_chosen_as_before():
    assert kinds(broken(2_830_000, 3_000_000)[1]) == ["Send"]


def test_a_further_attempt_does_not_begin_when_its_client_is_about_to_give_up():
    """Held up for 0.15 s, it began later than 0.1 s after its client had gone."""
    assert kinds(broken(955_000, 3_000_000, left=1_000_000)[1]) == ["Fail"]
    assert kinds(broken(940_000, 3_000_000, left=1_000_000)[1]) == ["Send"]


def test_a_held_job_is_answered_when_its_window_closes():
    """It was held to its deadline, though nothing could follow any longer."""
    d = Driver(keyed(DeduplicationScope.ZONE, 1_000_000), workers=1)
    d.arrive(0)
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, WorkerState.GONE)]))
    actions = d.end(1, 1, Outcome.RESET)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert timer.delay_us == 1_000_000 - 150_000 - 2 * d.balancer.settings.tick_us
    assert kinds(d.fire_all([timer], timer.delay_us)) == ["Fail"]


def test_nothing_follows_the_end_or_the_last_attempt():
    d = Driver(workers=2, max_attempts=1)
    d.arrive(0)
    request = d.balancer.requests[1]
    request.attempts[0].in_flight = request.attempts[0].may_have_run = False
    assert not retries.may_send(d.balancer.state, request, d.balancer.executors[1])
    request.done = True
    assert not retries.may_refuse(request)


def test_streamed_answer_is_neither_cut_nor_repeated():
    d = Driver(workers=1)
    d.report(1, 1)
    for request in fill(d, 1):
        d.feed(api.StreamStarted(request, 0, 1))
    assert kinds(past_room(d, 1)) == ["Refuse"]


# Rule 3: drains, and the worker list.


@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.GONE])
def test_nothing_goes_to_a_draining_or_gone_worker(state):
    d = Driver(workers=2)
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, state)]))
    assert {a.executor for _ in range(20) for a in sends(d.arrive(0))} <= {2}


def test_a_worker_missing_in_a_full_list_has_gone():
    d = Driver(workers=2)
    d.feed(api.EndpointList(api.EndpointListKind.FULL, [entry(2)]))
    assert {a.executor for _ in range(20) for a in sends(d.arrive(0))} <= {2}


def test_a_worker_that_the_list_moves_to_another_zone_is_there():
    """The old zone stood for good: a keyed job could be sent again where its repeat is not known."""
    d = Driver(keyed(DeduplicationScope.ZONE), workers=3)
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(2, api.ExecutorState.DRAINING)]))
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(3, api.ExecutorState.DRAINING)]))
    assert sends(d.arrive(0))[0].executor == 1
    d.feed(api.EndpointList(api.EndpointListKind.FULL, [entry(2, zone=1), entry(3, zone=0)]))
    assert [w.id for w in d.balancer.state.pools.remote] == [2] and [
        w.id for w in d.balancer.state.pools.local
    ] == [3]
    assert [a.executor for a in sends(d.end(1, 1, Outcome.RESET))] == [3]


def test_an_empty_whole_list_is_true():
    d = Driver(workers=2)
    d.feed(api.EndpointList(api.EndpointListKind.FULL, []))
    assert kinds(d.arrive(0)) == ["Refuse"]


def test_subscription_is_asked_for_and_renewed_with_growing_jittered_waits():
    d = Driver(on_request_discovery=True, instances=4)
    assert kinds(d.first) == []
    assert kinds(d.fire_all(d.first, 200_000)) == ["Subscribe"]
    delays = []
    for _ in range(6):
        actions = d.feed(api.EndpointList(api.EndpointListKind.FAILED, []))
        delays.append(actions[0].delay_us)
        assert kinds(actions) == []
        assert kinds(d.fire_all(actions, delays[-1])) == ["Subscribe"]
    assert max(delays) < 2 * d.balancer.settings.ask_within_us
    assert len(set(delays)) == 6 and sum(delays[3:]) > sum(delays[:3])


def test_a_new_process_of_a_large_fleet_asks_for_its_list_soon():
    """Over 10 s at 200 processes, restarted ones sent to executors that had drained 6 s and more before."""
    for seed in range(20):
        d = Driver(on_request_discovery=True, instances=200, seed=seed)
        (timer,) = d.first
        assert timer.delay_us <= d.balancer.settings.ask_within_us / 5


def test_discovery_that_is_away_for_hours_is_still_asked():
    """The doubled wait was a float without bound: the 1,024th failure raised, and nothing was asked again."""
    d = Driver(on_request_discovery=True)
    for _ in range(1200):
        actions = d.feed(api.EndpointList(api.EndpointListKind.FAILED, []))
    assert kinds(d.fire_all(actions, actions[0].delay_us)) == ["Subscribe"]


# Rule 4: cold workers.


def test_a_hint_says_nothing_of_the_time_a_job_takes_before_one_has_ended():
    """The ratio to the hint starts as if hints were 1: 0.4 s stood for a day, and cold workers got none."""
    d = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=1, tells_start=False)
    d.balancer.executors[1].slots = 10.0
    d.report(1, 10)
    assert sends(d.arrive(0, hint_us=400_000))


def test_cold_worker_gets_no_more_than_this_dispatchers_part_of_its_budget():
    d = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=2)
    worker = d.balancer.executors[1]
    worker.slots = 10.0
    d.report(1, 10)
    sent = sum(len(sends(d.arrive(0))) for _ in range(50))
    budget = 3.0 * 0.2 * 10 * 2_000_000 / 2  # slot-time in a window for this dispatcher
    assert 0 < sent * 200_000 <= budget
    for request in range(1, sent + 1):
        d.end(request, 1, Outcome.OK)
    d.now += 11_000_000
    d.report(1, 9)
    assert len([a for _ in range(9) for a in sends(d.arrive(0))]) == 9


def test_a_restart_under_the_same_id_is_cold_and_forgets_the_old_process():
    d = Driver(workers=1)
    d.report(1, 4)
    d.arrive(0)
    d.feed(api.EndpointList(api.EndpointListKind.DELTA, [entry(1, started_at=d.now)]))
    worker = d.balancer.executors[1]
    assert (worker.started_at, worker.held_slots, worker.slots, worker.report) == (d.now, 0, 4, None)
    assert kinds(d.end(1, 1, Outcome.RESET, final=False)) in (["Refuse"], ["Send"])
    assert worker.held_slots in (0, 1)


# Tenants.


def test_over_share_traffic_counts_its_lower_worth():
    tenants = (api.Tenant("a", 10.0), api.Tenant("b", 10.0))
    d = Driver(workers=1, tenants=tenants, over_share_worth=0.1)
    d.report(1, 1000)
    for n in range(200):
        d.now += 10_000
        if sends(d.arrive(0, tenant=0 if n % 8 else 1)):
            d.start(d.requests, 1)
    ranks = [(0 if r.id % 8 != 1 else 1, r.priority) for r in list(d.balancer.requests.values())[-80:]]
    assert sum(rank < 1 for tenant, rank in ranks if tenant == 0) > 30
    assert all(rank == 1 for tenant, rank in ranks if tenant == 1)


def test_same_events_give_the_same_actions():
    def run():
        d = Driver(workers=5, seed=7)
        return [repr(d.arrive(n % 2)) for n in range(40)]

    assert run() == run()


def test_the_larger_of_two_idle_workers_gets_more_and_is_asked_first_more_often():
    """Both show two slots, but a slot of the larger is free again in half the time."""
    d = Driver(entries=[entry(1, size=4.0), entry(2, size=2.0)])
    for worker in (1, 2):
        d.report(worker, 2)
    assert 1.5 < (drawn := d.draw(300)).count(1) / drawn.count(2) < 8
    asked = []
    for seed in range(60):
        entries = [entry(n, size=4.0 if n % 2 else 1.0) for n in range(1, 9)]
        actions = Driver(entries=entries, seed=seed, can_probe=True).arrive(0)
        asked += [a.executor % 2 for a in actions if isinstance(a, api.Probe)]
    assert sum(asked) > 0.6 * len(asked) > 0


# Full size: most workers are not heard of for long, and the cost of an event does not grow with the fleet.


def big(workers: int, **changes) -> Driver:
    """A dispatcher among many, over many workers of the own zone."""
    return Driver(entries=[entry(n, cell=n // 4) for n in range(1, workers + 1)], instances=200, **changes)


def test_a_job_without_fresh_news_is_held_for_two_probes_and_sent_where_a_slot_is_free():
    """2e1e9500, 0ee33f7b: jobs went by news of a minute ago, and half of them came late."""
    d = big(100, can_probe=True)
    asked = [a.executor for a in d.arrive(0) if isinstance(a, api.Probe)]
    assert len(asked) == 2
    assert sends(d.report(asked[0], 0)) == []
    assert [a.executor for a in sends(d.report(asked[1], 2))] == [asked[1]]


def test_a_held_job_is_placed_when_no_answer_comes():
    d = big(100, can_probe=True)
    actions, sent = d.arrive(0), []
    for _ in range(4):
        actions = d.fire_all(actions, 20_000)
        sent += sends(actions)
    assert len(sent) == 1


def test_news_fade_into_what_workers_show_on_the_mean():
    """58229bdd: a report held for good, so a worker once seen full was refused for minutes."""
    d = big(1)
    for n in range(40):
        d.report(1, 2 + n % 2)
    d.report(1, 0)
    worker = d.balancer.executors[1]
    d.arrive(0)
    assert worker.capacity - worker.held_slots <= 0
    d.now += 60_000_000
    assert sends(d.arrive(0))


@pytest.mark.parametrize("workers", [20, 2000])
def test_the_workers_looked_at_for_a_job_do_not_grow_with_the_fleet(workers, monkeypatch):
    """ia09bca, i8f5702: a walk over the fleet for each job had the day cut off."""
    d = big(workers, can_probe=True)
    looked = []
    free_capacity = learning.free_capacity
    monkeypatch.setattr(learning, "free_capacity", lambda *about: looked.append(1) or free_capacity(*about))
    for _ in range(20):
        d.arrive(0)
    assert 0 < len(looked) <= 20 * 8 * 2


def test_cold_sends_of_hundreds_of_dispatchers_keep_the_budget_and_use_it():
    """A part of the budget below one job was never used: cold zones stayed idle for all their warm-up."""
    sent = 0.0
    for seed in range(300):
        d = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=300, seed=seed)
        d.balancer.executors[1].slots = 10.0
        d.now += 1_000_000
        d.report(1, 10)
        sent += 200_000 * sum(len(sends(d.arrive(0))) for _ in range(3))
    budget = 3.0 * 0.2 * 10 * 2_000_000  # of all together in a window, at the cold share
    assert 0.2 * budget < sent < budget


def test_the_draw_of_a_cold_worker_is_one_for_each_window():
    """Asked again for each job, many dispatchers would all win it in the end."""
    wins = []
    for seed in range(60):
        d = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=300, seed=seed)
        d.balancer.executors[1].slots = 10.0
        d.now += 1_000_000
        wins.append(sum(len(sends(d.arrive(0))) for _ in range(50)))
    assert max(wins) <= 1 and sum(wins) < 20


def test_a_job_that_alone_would_push_a_cold_worker_over_is_never_drawn_for_it():
    """Drawn by chance for its part, one of 19 s went to a worker that stands 2.1 s of work in a window."""
    heavy = 10 * 3.0 * 0.2 * 10 * 2_000_000  # slot-time: ten times what all together may send in a window
    for seed in range(300):
        d = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=30, seed=seed, tells_start=False)
        d.balancer.executors[1].slots = 10.0
        times = d.balancer.state.learned.class_times[0]
        times.log_ratio, times.count = 0.0, 1  # one has ended: hints count as they are
        d.now += 1_000_000
        d.report(1, 10)
        use = d.balancer.executors[1].slow_start
        use.sampled_at, use.rounding_sample = d.now, 0.999  # the luckiest of a thousand
        assert not sends(d.arrive(0, hint_us=int(heavy)))
        assert sends(d.arrive(0, hint_us=100_000))


def test_short_hints_do_not_fill_a_cold_worker_with_more_than_it_stands():
    """Rough hints that call jobs short are mostly wrong: 2.3 s by nine of them were over 6 s."""
    for hint, least in ((2_000, 100_000), (50_000, 100_000), (800_000, 800_000)):
        d = Driver(entries=[entry(1, started_at=1_000_000_000)], instances=1, tells_start=False)
        times = d.balancer.state.learned.class_times[0]
        times.log_ratio, times.count = 0.0, 1  # one of 0.2 s has ended: hints count as they are
        d.report(1, 10)
        assert sends(d.arrive(0, hint_us=hint))
        assert d.balancer.executors[1].slow_start.sends[0].work_us >= least
