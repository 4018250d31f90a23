"""Small builders shared by the tests: settings, events, a balancer that is driven by hand."""

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer

SAFE_CLASS = api.RequestClass("s", 1.0, 200_000, 5_000_000, api.Effect.SAFE)
UNSAFE_CLASS = api.RequestClass("u", 5.0, 200_000, 5_000_000, api.Effect.UNSAFE)


def keyed_class(scope: api.DeduplicationScope, window_us: int = 3_000_000) -> api.RequestClass:
    return api.RequestClass("k", 3.0, 200_000, 5_000_000, api.Effect.KEYED, scope, window_us)


def settings(*classes: api.RequestClass, **changes) -> api.Settings:
    values = dict(
        instances=2, zone=0, classes=classes or (SAFE_CLASS, UNSAFE_CLASS), cold_us=10_000_000,
        cold_share=0.2, fall_multiple=3.0, overload_window_us=2_000_000, max_attempts=3, can_cancel=True,
        may_duplicate=True, tells_start=True, max_retry_after_us=1_000_000,
        report_fields=("free_slots", "free_memory"), tick_us=5_000,
    )  # fmt: skip
    return api.Settings(**(values | changes))


class Driver:
    """Feeds a balancer and numbers requests; `now` moves by hand."""

    def __init__(
        self, *classes: api.RequestClass, executor_count: int = 2, seed: int = 1, entries=None, **changes
    ):
        self.balancer = Balancer(settings(*classes, **changes), seed)
        self.now = 1_000_000_000
        self.last_request = 0
        entries = entries or [entry(n) for n in range(1, executor_count + 1)]
        self.initial_actions = self.feed(api.EndpointList(api.EndpointListKind.CACHED, entries))

    def feed(self, event, elapsed_us: int = 0):
        self.now += elapsed_us
        return self.balancer.handle(self.now, event)

    def arrive(self, class_index: int = 0, time_left_us: int = 5_000_000, **fields):
        self.last_request += 1
        return self.feed(api.RequestArrived(self.last_request, class_index, time_left_us, **fields))

    def end(self, request: int, executor: int, outcome: api.Outcome, attempt: int = 0, final=None,
            report=None):  # fmt: skip
        final = outcome == api.Outcome.OK if final is None else final
        return self.feed(api.AttemptEnded(request, attempt, executor, outcome, final, report))

    def start(self, request: int, executor: int, attempt: int = 0):
        return self.feed(api.AttemptStarted(request, attempt, executor))

    def run(self, count: int, executor: int = 1) -> None:
        """Jobs of the first class arrive and start at the executor."""
        for _ in range(count):
            self.arrive(0)
            self.start(self.last_request, executor)

    def draw(self, count: int) -> list[int]:
        """The executors that jobs are sent to, one after the other, each served at once."""
        drawn = []
        for _ in range(count):
            drawn.append(send_actions(self.arrive(0))[0].executor)
            self.end(self.last_request, drawn[-1], api.Outcome.OK)
        return drawn

    def report(self, executor: int, free_slots: float, memory: float = 100.0):
        return self.feed(api.ProbeEnded(executor, api.Outcome.OK, (free_slots, memory)))

    def fire_all(self, actions, elapsed_us: int):
        """Fire the timers among the actions, `elapsed_us` microseconds from now."""
        self.now += elapsed_us
        return [a for t in actions if isinstance(t, api.SetTimer) for a in self.feed(api.TimerFired(t.token))]


def entry(executor: int, state: api.ExecutorState = api.ExecutorState.READY, **fields) -> api.EndpointEntry:
    return api.EndpointEntry(executor, state, **fields)


def action_names(actions) -> list[str]:
    """The names of the actions, timers and probes left out."""
    return [type(a).__name__ for a in actions if not isinstance(a, api.SetTimer | api.Probe)]


def send_actions(actions) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]
