"""Each rule of the checker finds a recorded run in which it is broken, and none in a run without a fault."""

import dataclasses

import pytest

from tests.soak import history as h
from tests.soak.checker import Rule, Violation, check
from tests.soak.schedule import Kind, Schedule, draw_schedule

CALL = "00000000000000aa"
DEADLINE_S, WINDOW_S = 3.0, 1.0
STARTED_AT, TERMINATED_AT, ENDED_AT = 90.0, 110.0, 112.0
SENT_AT = 100.0


def schedule(repeat: str = "single_shot", group: str = "zone") -> Schedule:
    """Return a schedule with one class and executors that are all well."""
    drawn = draw_schedule(1, kind=Kind.SPLIT_ANSWERS)
    plan = dataclasses.replace(
        drawn.classes[0], repeat=repeat, group=group, deadline_s=DEADLINE_S, repeat_window_s=WINDOW_S
    )
    return dataclasses.replace(drawn, classes=(plan,), events=(), held_socket=False)


def sent(at: float = SENT_AT, is_first: bool = True) -> h.ClientSent:
    return h.ClientSent(at, CALL, "class0", DEADLINE_S, 1, is_first, at)


def received(at: float, executor: int = 0, budget_s: float = 0.5) -> h.ExecutorReceived:
    return h.ExecutorReceived(at, CALL, executor, 1, budget_s, at)


def answered(at: float, status: int = 200, body: str = f"result of {CALL}") -> h.ClientAnswered:
    return h.ClientAnswered(at, CALL, status, body, False)


def process_records(ready_after_s: float = 1.0, exit_code: int = 0, *bad_lines: str) -> list[h.Record]:
    return [
        h.NodeStarted(STARTED_AT, 0),
        h.NodeReady(STARTED_AT + ready_after_s, 0),
        h.SignalSent(TERMINATED_AT, 0, "SIGTERM"),
        h.NodeEnded(ENDED_AT, 0, exit_code, bad_lines),
    ]


def violations_of(*records: h.Record, process: list[h.Record] | None = None, **plan: str) -> list[Violation]:
    """Return the violations of a run with these records and a sound process."""
    history = h.History([*(process or process_records()), *records])
    return check(history, schedule(**plan))


SERVED = (sent(), received(100.01), h.ExecutorEnded(100.2, CALL, 0, "done"), answered(100.21))


def test_a_served_request_breaks_no_rule():
    assert violations_of(*SERVED) == []


ANSWER_MUTANTS = {
    "no answer": (sent(), received(100.01), h.ClientGaveUp(104.5, CALL)),
    "late answer": (*SERVED[:2], answered(SENT_AT + DEADLINE_S + 0.6)),
    "second answer": (*SERVED, h.ClientSurplus(100.3, CALL, "HTTP/1.1 200 OK")),
    "closed after an executor had it": (sent(is_first=False), received(100.01), h.ClientCutOff(100.2, CALL)),
    "closed on a new connection": (sent(), h.ClientCutOff(100.01, CALL)),
    "closed long after it crossed": (sent(is_first=False), h.ClientCutOff(101.0, CALL)),
    "lost at shutdown": (sent(TERMINATED_AT + 0.3), h.ClientCutOff(ENDED_AT, CALL)),
}


@pytest.mark.parametrize("records", ANSWER_MUTANTS.values(), ids=ANSWER_MUTANTS)
def test_missing_late_and_second_answers_are_found(records):
    assert Rule.ANSWERED_ONCE in [violation.rule for violation in violations_of(*records)]


ALLOWED_CUTS = {
    "crossed the end of a resting connection": (sent(is_first=False), h.ClientCutOff(100.01, CALL)),
    "new connection long after SIGTERM": (sent(TERMINATED_AT + 0.5), h.ClientCutOff(ENDED_AT, CALL)),
    "client left": (sent(), received(100.01), h.ClientLeft(100.1, CALL)),
}


@pytest.mark.parametrize("records", ALLOWED_CUTS.values(), ids=ALLOWED_CUTS)
def test_cuts_that_the_protocol_allows_are_not_reported(records):
    assert violations_of(*records) == []


def test_a_late_request_that_sigkill_finds_is_not_owed():
    request = (sent(TERMINATED_AT + 0.8, is_first=False), h.ClientGaveUp(115.0, CALL))
    killed = violations_of(*request, process=process_records(1.0, -9))
    assert [violation.rule for violation in killed] == [Rule.PROCESS_SOUND]
    early = (sent(TERMINATED_AT + 0.6, is_first=False), h.ClientGaveUp(115.0, CALL))
    assert Rule.ANSWERED_ONCE in [v.rule for v in violations_of(*early, process=process_records(1.0, -9))]


TWICE = (sent(), received(100.01), received(100.1, executor=1), answered(100.3))
AFTER_WINDOW = (sent(), received(100.01), received(100.02 + WINDOW_S, executor=1), answered(101.3))
EFFECT_MUTANTS = {
    "run twice": (TWICE, {"repeat": "single_shot"}),
    "repeated past its window": (AFTER_WINDOW, {"repeat": "guarded"}),
    "refused after it ran": ((sent(), received(100.01), answered(100.3, 503, "refused\n")), {}),
    "begun for a client that left": ((sent(), h.ClientLeft(100.0, CALL), received(100.2)), {}),
    "another request's result": ((*SERVED[:3], answered(100.2, body="result of 1")), {}),
}


@pytest.mark.parametrize(("records", "plan"), EFFECT_MUTANTS.values(), ids=EFFECT_MUTANTS)
def test_repeated_effects_and_mixed_up_answers_are_found(records, plan):
    assert Rule.EFFECT_ONCE in [violation.rule for violation in violations_of(*records, **plan)]


def test_repeats_that_the_class_allows_are_not_reported():
    assert violations_of(*TWICE, repeat="guarded") == []
    assert violations_of(*AFTER_WINDOW, repeat="free") == []
    rejected = (sent(), received(100.01), h.ExecutorEnded(100.02, CALL, 0, "rejected"))
    assert violations_of(*rejected, received(100.03, executor=1), answered(100.3)) == []


def drained(at: float, *told: h.Record) -> tuple[h.Record, ...]:
    """Return a request that begins at a drained executor at this time."""
    change = h.StatusChanged(95.0, 0, "DRAINING")
    return change, *told, sent(at), received(at + 0.01), answered(at + 0.1)


TOLD_AT_ONCE = h.ListingWritten(95.0, 0, "DRAINING", 95.0)


def test_a_send_after_a_drain_and_too_much_time_are_found():
    assert violations_of(*drained(96.0, TOLD_AT_ONCE)) == []
    assert [v.rule for v in violations_of(*drained(97.0, TOLD_AT_ONCE))] == [Rule.LIMITS_KEPT]
    assert violations_of(*drained(100.0)) == []  # not written: it counts as told after 6 s
    assert [v.rule for v in violations_of(*drained(103.0))] == [Rule.LIMITS_KEPT]
    late = (sent(), received(101.0, budget_s=2.2), answered(101.3))
    assert [v.rule for v in violations_of(*late)] == [Rule.LIMITS_KEPT]


LOST = (sent(), received(100.01), h.ExecutorLost(101.0, CALL, 0))
CAUSE_MUTANTS = {
    "closed by the node at a well executor": (*LOST, answered(101.01, 502, "failed\n")),
    "failed without a reason": (*SERVED[:2], answered(100.3, 502, "failed\n")),
    "failed and never sent": (sent(), answered(100.3, 502, "failed\n")),
}


@pytest.mark.parametrize("records", CAUSE_MUTANTS.values(), ids=CAUSE_MUTANTS)
def test_requests_lost_at_well_executors_and_failures_without_a_reason_are_found(records):
    assert Rule.NO_CAUSELESS_FAILURE in [violation.rule for violation in violations_of(*records)]


def test_failures_with_a_reason_in_the_schedule_are_not_reported():
    failed = answered(101.01, 502, "failed\n")
    assert violations_of(*SERVED[:2], h.ExecutorBroke(101.0, CALL, 0, "reset"), failed) == []
    assert violations_of(h.ExecutorBroke(99.0, "", 0, "hangs"), *LOST, failed) == []
    assert violations_of(*SERVED[:2], h.ExecutorEnded(101.0, CALL, 0, "failed"), failed) == []
    assert violations_of(*SERVED[:2], answered(SENT_AT + DEADLINE_S, 502, "failed\n")) == []


@pytest.mark.parametrize(
    "process",
    [
        process_records(11.0),
        process_records(1.0, 1),
        process_records(1.0, -9),
        process_records(1.0, 0, "Traceback (most recent call last):"),
        [*process_records(), h.NodeQuiet(111.0, 0, 3)],
        [*process_records(), h.RunStuck(150.0)],
    ],
    ids=["late", "exit code", "killed", "traceback", "descriptors", "stuck"],
)
def test_unsound_processes_are_found(process):
    assert [violation.rule for violation in violations_of(*SERVED, process=process)] == [Rule.PROCESS_SOUND]


def test_time_for_which_the_machine_held_the_node_up_is_allowed():
    late = (sent(), received(101.0, budget_s=2.4), answered(101.3))
    assert [v.rule for v in violations_of(*late)] == [Rule.LIMITS_KEPT]
    assert violations_of(h.NodeHeldUp(100.9, 0.3), *late) == []
    assert [v.rule for v in violations_of(h.NodeHeldUp(99.0, 0.3), *late)] == [Rule.LIMITS_KEPT]


def test_time_for_which_no_process_was_ready_is_allowed():
    late = (sent(TERMINATED_AT + 0.1), received(113.0, budget_s=2.9), answered(113.1))
    second = [h.NodeStarted(112.5, 1), h.NodeReady(112.9, 1), h.NodeEnded(116.0, 1, 0, ())]
    assert violations_of(*late, process=[*process_records(), *second]) == []
    assert [v.rule for v in violations_of(*late)] == [Rule.LIMITS_KEPT]
