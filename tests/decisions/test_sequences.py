"""Random sequences of legal events with fixed seeds, checked against rules 1 to 3 and the held slots."""

import random
from dataclasses import dataclass, field

import pytest

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import DeduplicationScope as DeduplicationScope
from cedarmill.decisions.interface import Effect, Outcome
from tests.support.builders import SAFE_CLASS, UNSAFE_CLASS, entry, keyed_class, settings

CLASSES = (
    SAFE_CLASS,
    UNSAFE_CLASS,
    keyed_class(DeduplicationScope.ALL),
    keyed_class(DeduplicationScope.ZONE),
    keyed_class(DeduplicationScope.CELL),
)
NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED}


@dataclass
class ModelAttempt:
    """An attempt as its executor and the network see it."""

    number: int
    executor_id: int
    location: tuple[int, int]  # zone and cell
    sent_at: int
    is_started: bool = False
    outcome: Outcome | None = None
    is_cancelled: bool = False


@dataclass
class ModelRequest:
    """A request as its client sees it."""

    request_class: api.RequestClass
    deadline: int
    is_answered: bool = False
    attempts: list[ModelAttempt] = field(default_factory=list)


class Model:
    """Draws the next legal event at random, and checks every action of the balancer against the rules."""

    def __init__(self, seed: int, **changes) -> None:
        self.random = random.Random(seed)
        self.settings = settings(*CLASSES, **changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000_000_000
        self.requests: dict[int, ModelRequest] = {}
        self.timers: dict[int, int] = {}
        self.states = {n: api.ExecutorState.READY for n in range(1, 6)}
        self.feed(api.EndpointList(api.EndpointListKind.FULL, [self.list_entry(n) for n in self.states]))

    def list_entry(self, executor: int) -> api.EndpointEntry:
        """Return the entry of an executor in the endpoint list."""
        return entry(executor, self.states[executor], zone=executor % 2, cell=executor % 3)

    def feed(self, event: api.Event) -> None:
        """Feed an event to the balancer, and check the returned actions and the held slots."""
        for action in self.balancer.handle(self.now, event):
            match action:
                case api.Send():
                    self.check_send(self.requests[action.request], action.executor)
                case api.Refuse() | api.Fail():
                    request = self.requests[action.request]
                    assert not request.is_answered and self.now < request.deadline  # rule 1
                    request.is_answered = True
                    if isinstance(action, api.Refuse):  # rule 2: a retry by the client must be harmless
                        is_harmless = (
                            request.request_class.effect == Effect.SAFE
                            or request.request_class.group == DeduplicationScope.ALL
                        )
                        may_repeat = is_harmless and request.request_class.effect != Effect.UNSAFE
                        assert may_repeat or all(a.outcome in NEVER_RAN for a in request.attempts)
                case api.Cancel():
                    attempt = self.requests[action.request].attempts[action.attempt]
                    assert attempt.outcome is None
                    attempt.is_cancelled = True
                case api.SetTimer():
                    self.timers[action.token] = self.now + action.delay_us
        for executor in self.balancer.executors.values():
            held_slots = sum(
                a.request.slots for a in (*executor.attempts.values(), *executor.stale_reservations)
            )
            assert executor.held_slots == pytest.approx(held_slots)
        in_flight = {(n, a.number) for n, r in self.requests.items() for a in r.attempts if a.outcome is None}
        assert in_flight == {
            key for executor in self.balancer.executors.values() for key in executor.attempts
        }

    def check_send(self, request: ModelRequest, executor: int) -> None:
        """Check that a new attempt keeps to the rules, and record it."""
        request_class, location = request.request_class, (executor % 2, executor % 3)
        assert not request.is_answered and self.now < request.deadline  # rule 1
        assert self.states[executor] == api.ExecutorState.READY  # rule 3
        assert len(request.attempts) < self.settings.max_attempts
        for attempt in request.attempts:  # rule 2
            assert self.settings.may_duplicate or attempt.outcome is not None
            if attempt.outcome in NEVER_RAN or request_class.effect == Effect.SAFE:
                continue
            assert (
                request_class.effect == Effect.KEYED
                and self.now < attempt.sent_at + request_class.repeat_window_us
            )
            if request_class.group != DeduplicationScope.ALL:
                index = 0 if request_class.group == DeduplicationScope.ZONE else 1
                assert attempt.location[index] == location[index]
        request.attempts.append(ModelAttempt(len(request.attempts), executor, location, self.now))

    def arrive(self) -> None:
        """Feed the arrival of a request of a random class."""
        number, class_index = len(self.requests) + 1, self.random.randrange(len(CLASSES))
        time_left_us = CLASSES[class_index].deadline_us
        self.requests[number] = ModelRequest(CLASSES[class_index], self.now + time_left_us)
        slots, memory = self.random.choice((1.0, 1.0, 2.0)), self.random.choice((0.0, 0.5, 2.0))
        self.feed(api.RequestArrived(number, class_index, time_left_us, slots=slots, memory=memory))

    def advance(self, number: int, request: ModelRequest, attempt: ModelAttempt) -> None:
        """Start an attempt, or end it with a random outcome."""
        if not attempt.is_started and self.random.random() < 0.85:
            attempt.is_started = True
            self.feed(api.AttemptStarted(number, attempt.number, attempt.executor_id))
            return
        after_start = [Outcome.OK] * 12 + [Outcome.ERROR, Outcome.RESET]
        before_start = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET]
        self.end(
            number, request, attempt, self.random.choice(after_start if attempt.is_started else before_start)
        )

    def end(self, number: int, request: ModelRequest, attempt: ModelAttempt, outcome: Outcome) -> None:
        """Feed the end of an attempt, with or without a load report."""
        attempt.outcome = outcome
        is_final = not request.is_answered and outcome == Outcome.OK
        report = self.random.choice((None, (float(self.random.randrange(5)), self.random.random() * 6)))
        request.is_answered |= is_final
        self.feed(api.AttemptEnded(number, attempt.number, attempt.executor_id, outcome, is_final, report))

    def step(self) -> None:
        """Advance the clock, fire the due timers and feed one random event."""
        self.now += self.random.choice((0, 1_000, 5_000, 20_000, 80_000))
        for token in [t for t, due in self.timers.items() if due <= self.now]:
            del self.timers[token]
            self.feed(api.TimerFired(token))
        for number, request in self.requests.items():
            # The host of the balancer ends all attempts shortly before the deadline.
            if not request.is_answered and self.now >= request.deadline - 5_000:
                for attempt in [a for a in request.attempts if a.outcome is None]:
                    self.end(number, request, attempt, Outcome.TIMEOUT)
                assert request.is_answered  # rule 1: every request is answered before its deadline
        in_flight = [(n, r, a) for n, r in self.requests.items() for a in r.attempts if a.outcome is None]
        sample = self.random.random()
        if cancelled := [item for item in in_flight if item[2].is_cancelled]:
            self.end(*cancelled[0], Outcome.CANCELLED)
        elif sample < 0.5:
            self.arrive()
        elif sample < 0.95 and in_flight:
            self.advance(*self.random.choice(in_flight))
        elif sample < 0.97:
            executor = self.random.choice(list(self.states))
            self.states[executor] = self.random.choice([*api.ExecutorState, *[api.ExecutorState.READY] * 4])
            self.feed(api.EndpointList(api.EndpointListKind.DELTA, [self.list_entry(executor)]))
        elif unanswered := [n for n, r in self.requests.items() if not r.is_answered]:
            self.requests[unanswered[0]].is_answered = True
            self.feed(api.RequestWithdrawn(unanswered[0]))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("may_duplicate", [False, True])
@pytest.mark.parametrize("can_cancel", [False, True])
def test_rules_and_held_slots_are_correct_over_long_random_sequences(seed, may_duplicate, can_cancel):
    model = Model(seed, may_duplicate=may_duplicate, can_cancel=can_cancel)
    for _ in range(1_200):
        model.step()
    assert sum(bool(request.attempts) for request in model.requests.values()) > 100
    assert sum(len(request.attempts) > 1 for request in model.requests.values()) > 3
