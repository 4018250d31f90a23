"""Long random but legal event sequences with fixed seeds: rules 1 to 3 and the count of slots held."""

import random
from dataclasses import dataclass, field

import pytest

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import DeduplicationScope as DeduplicationScope
from cedarmill.decisions.interface import Effect, Outcome
from tests.support.builders import SAFE, UNSAFE, entry, keyed, settings

CLASSES = (
    SAFE,
    UNSAFE,
    keyed(DeduplicationScope.ALL),
    keyed(DeduplicationScope.ZONE),
    keyed(DeduplicationScope.CELL),
)
SURE_NOT_RUN = {Outcome.FULL, Outcome.CONNECT_FAILED}


@dataclass
class Out:
    """An attempt as the outside world sees it."""

    number: int
    worker: int
    group: tuple[int, int]
    sent: int
    started: bool = False
    outcome: Outcome | None = None
    cut: bool = False


@dataclass
class Job:
    """A request as the outside world sees it."""

    spec: api.RequestClass
    deadline: int
    answered: bool = False
    attempts: list[Out] = field(default_factory=list)


class World:
    """Draws the next legal event, and checks each action against the rules."""

    def __init__(self, seed: int, **changes) -> None:
        self.random = random.Random(seed)
        self.settings = settings(*CLASSES, **changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000_000_000
        self.jobs: dict[int, Job] = {}
        self.timers: dict[int, int] = {}
        self.states = {n: api.ExecutorState.READY for n in range(1, 6)}
        self.feed(api.EndpointList(api.EndpointListKind.FULL, [self.entry(n) for n in self.states]))

    def entry(self, worker: int) -> api.EndpointEntry:
        return entry(worker, self.states[worker], zone=worker % 2, cell=worker % 3)

    def feed(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case api.Send():
                    self.check_send(self.jobs[action.request], action.executor)
                case api.Refuse() | api.Fail():
                    job = self.jobs[action.request]
                    assert not job.answered and self.now < job.deadline  # rule 1
                    job.answered = True
                    if isinstance(action, api.Refuse):  # rule 2: a refusal says that it may be tried again
                        harmless = job.spec.effect == Effect.SAFE or job.spec.group == DeduplicationScope.ALL
                        keyed_all = harmless and job.spec.effect != Effect.UNSAFE
                        assert keyed_all or all(a.outcome in SURE_NOT_RUN for a in job.attempts)
                case api.Cancel():
                    attempt = self.jobs[action.request].attempts[action.attempt]
                    assert attempt.outcome is None
                    attempt.cut = True
                case api.SetTimer():
                    self.timers[action.token] = self.now + action.delay_us
        for worker in self.balancer.executors.values():
            held = sum(a.request.slots for a in (*worker.attempts.values(), *worker.stale_reservations))
            assert worker.held_slots == pytest.approx(held)
        out = {(r, a.number) for r, j in self.jobs.items() for a in j.attempts if a.outcome is None}
        assert out == {key for worker in self.balancer.executors.values() for key in worker.attempts}

    def check_send(self, job: Job, worker: int) -> None:
        spec, group = job.spec, (worker % 2, worker % 3)
        assert not job.answered and self.now < job.deadline  # rule 1
        assert self.states[worker] == api.ExecutorState.READY  # rule 3
        assert len(job.attempts) < self.settings.max_attempts
        for attempt in job.attempts:  # rule 2
            assert self.settings.may_duplicate or attempt.outcome is not None
            if attempt.outcome in SURE_NOT_RUN or spec.effect == Effect.SAFE:
                continue
            assert spec.effect == Effect.KEYED and self.now < attempt.sent + spec.repeat_window_us
            if spec.group != DeduplicationScope.ALL:
                side = 0 if spec.group == DeduplicationScope.ZONE else 1
                assert attempt.group[side] == group[side]
        job.attempts.append(Out(len(job.attempts), worker, group, self.now))

    def arrive(self) -> None:
        number, kind = len(self.jobs) + 1, self.random.randrange(len(CLASSES))
        left = CLASSES[kind].deadline_us
        self.jobs[number] = Job(CLASSES[kind], self.now + left)
        slots, memory = self.random.choice((1.0, 1.0, 2.0)), self.random.choice((0.0, 0.5, 2.0))
        self.feed(api.RequestArrived(number, kind, left, slots=slots, memory=memory))

    def move(self, request: int, job: Job, attempt: Out) -> None:
        if not attempt.started and self.random.random() < 0.85:
            attempt.started = True
            self.feed(api.AttemptStarted(request, attempt.number, attempt.worker))
            return
        after = [Outcome.OK] * 12 + [Outcome.ERROR, Outcome.RESET]
        before = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET]
        self.end(request, job, attempt, self.random.choice(after if attempt.started else before))

    def end(self, request: int, job: Job, attempt: Out, outcome: Outcome) -> None:
        attempt.outcome = outcome
        final = not job.answered and outcome == Outcome.OK
        report = self.random.choice((None, (float(self.random.randrange(5)), self.random.random() * 6)))
        job.answered |= final
        self.feed(api.AttemptEnded(request, attempt.number, attempt.worker, outcome, final, report))

    def step(self) -> None:
        self.now += self.random.choice((0, 1_000, 5_000, 20_000, 80_000))
        for token in [t for t, due in self.timers.items() if due <= self.now]:
            del self.timers[token]
            self.feed(api.TimerFired(token))
        for request, job in self.jobs.items():
            if not job.answered and self.now >= job.deadline - 5_000:  # the host ends what is out by then
                for attempt in [a for a in job.attempts if a.outcome is None]:
                    self.end(request, job, attempt, Outcome.TIMEOUT)
                assert job.answered  # rule 1: every request has its answer while the client waits
        out = [(r, j, a) for r, j in self.jobs.items() for a in j.attempts if a.outcome is None]
        draw = self.random.random()
        if cut := [item for item in out if item[2].cut]:
            self.end(*cut[0], Outcome.CANCELLED)
        elif draw < 0.5:
            self.arrive()
        elif draw < 0.95 and out:
            self.move(*self.random.choice(out))
        elif draw < 0.97:
            worker = self.random.choice(list(self.states))
            self.states[worker] = self.random.choice([*api.ExecutorState, *[api.ExecutorState.READY] * 4])
            self.feed(api.EndpointList(api.EndpointListKind.DELTA, [self.entry(worker)]))
        elif waiting := [r for r, j in self.jobs.items() if not j.answered]:
            self.jobs[waiting[0]].answered = True
            self.feed(api.RequestWithdrawn(waiting[0]))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("duplicate", [False, True])
@pytest.mark.parametrize("cancel", [False, True])
def test_rules_and_slots_hold_over_long_random_sequences(seed, duplicate, cancel):
    world = World(seed, may_duplicate=duplicate, can_cancel=cancel)
    for _ in range(1_200):
        world.step()
    assert sum(bool(job.attempts) for job in world.jobs.values()) > 100
    assert sum(len(job.attempts) > 1 for job in world.jobs.values()) > 3
