"""Small builders shared by the tests: settings, events, a balancer that is driven by hand."""

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer

SAFE = api.RequestClass("s", 1.0, 200_000, 5_000_000, api.Effect.SAFE)
UNSAFE = api.RequestClass("u", 5.0, 200_000, 5_000_000, api.Effect.UNSAFE)


def keyed(group: api.DeduplicationScope, window: int = 3_000_000) -> api.RequestClass:
    return api.RequestClass("k", 3.0, 200_000, 5_000_000, api.Effect.KEYED, group, window)


def settings(*classes: api.RequestClass, **changes) -> api.Settings:
    values = dict(
        instances=2, zone=0, classes=classes or (SAFE, UNSAFE), cold_us=10_000_000, cold_share=0.2,
        fall_multiple=3.0, overload_window_us=2_000_000, max_attempts=3, can_cancel=True, may_duplicate=True,
        tells_start=True, max_retry_after_us=1_000_000, report_fields=("free_slots", "free_memory"),
        tick_us=5_000,
    )  # fmt: skip
    return api.Settings(**(values | changes))


class Driver:
    """Feeds a balancer and numbers requests; `now` moves by hand."""

    def __init__(self, *classes: api.RequestClass, workers: int = 2, seed: int = 1, entries=None, **changes):
        self.balancer = Balancer(settings(*classes, **changes), seed)
        self.now = 1_000_000_000
        self.requests = 0
        entries = entries or [entry(n) for n in range(1, workers + 1)]
        self.first = self.feed(api.EndpointList(api.EndpointListKind.CACHED, entries))

    def feed(self, event, after: int = 0):
        self.now += after
        return self.balancer.handle(self.now, event)

    def arrive(self, job_class: int = 0, left: int = 5_000_000, **fields):
        self.requests += 1
        return self.feed(api.RequestArrived(self.requests, job_class, left, **fields))

    def end(self, request: int, worker: int, outcome: api.Outcome, attempt: int = 0, final=None,
            report=None):  # fmt: skip
        final = outcome == api.Outcome.OK if final is None else final
        return self.feed(api.AttemptEnded(request, attempt, worker, outcome, final, report))

    def start(self, request: int, worker: int, attempt: int = 0):
        return self.feed(api.AttemptStarted(request, attempt, worker))

    def run(self, count: int, worker: int = 1) -> None:
        """Jobs of the first class arrive and start at the worker."""
        for _ in range(count):
            self.arrive(0)
            self.start(self.requests, worker)

    def draw(self, count: int) -> list[int]:
        """The workers that jobs are sent to, one after the other, each served at once."""
        drawn = []
        for _ in range(count):
            drawn.append(sends(self.arrive(0))[0].executor)
            self.end(self.requests, drawn[-1], api.Outcome.OK)
        return drawn

    def report(self, worker: int, free: float, memory: float = 100.0):
        return self.feed(api.ProbeEnded(worker, api.Outcome.OK, (free, memory)))

    def fire_all(self, actions, after: int):
        """Fire the timers among the actions, `after` microseconds from now."""
        self.now += after
        return [a for t in actions if isinstance(t, api.SetTimer) for a in self.feed(api.TimerFired(t.token))]


def entry(worker: int, state: api.ExecutorState = api.ExecutorState.READY, **fields) -> api.EndpointEntry:
    return api.EndpointEntry(worker, state, **fields)


def kinds(actions) -> list[str]:
    """The names of the actions, timers and probes left out."""
    return [type(a).__name__ for a in actions if not isinstance(a, api.SetTimer | api.Probe)]


def sends(actions) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]
