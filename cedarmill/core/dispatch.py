"""Owns requests and attempts: what happens becomes events of the balancer, its actions calls on ports.

Every request gets exactly one final answer here, whatever the balancer or a port does. All times are whole
microseconds of the caller's clock; no protocol is known here, so any can be put in front.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from cedarmill.core.timers import Timer, Timers
from cedarmill.deadlines import propagation as budgets
from cedarmill.decisions import interface as api
from cedarmill.decisions.brain import Brain
from cedarmill.decisions.interface import Outcome
from cedarmill.log import say
from cedarmill.values import DeadlineOptions

HOLD_UP_US = 150_000  # a node may be held up so long between its clock and its write (standing test)


class ClientPort(Protocol):
    """Takes the one final answer of a request."""

    def served(self, result: Any) -> None: ...
    def refused(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...
    def present(self) -> bool: ...  # asked as bytes are written; one that has left is withdrawn by it


class ExecutorPort(Protocol):
    """Carries attempts and probes; each comes back once through `ended` or `probed`.

    `cancel` tells whether the attempt is over here; False: it cannot be cancelled and goes on till its real
    end, unless `now_or_never`. `recall` takes a probe back that has not gone out.
    """

    def send(self, attempt: "Attempt") -> None: ...
    def cancel(self, attempt: "Attempt", now_or_never: bool = False) -> bool: ...
    def probe(self, probe: "Probe") -> None: ...
    def recall(self, probe: "Probe") -> None: ...


class DiscoveryPort(Protocol):
    """Asks for the changes of the list, now and whenever they stop coming; comes back through `listed`."""

    def watch(self) -> None: ...


class AbsentClient:
    """The client port of who has left, where work is set to go on all the same."""

    def served(self, result: Any) -> None: ...
    def refused(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...

    def present(self) -> bool:
        """Always: the work is wanted although nobody waits for the answer."""
        return True


class Request:
    """One request that the node has taken."""

    __slots__ = (
        "id",
        "client",
        "payload",
        "due",
        "spec",
        "claim",
        "attempts",
        "probes",
        "answered",
        "deadline",
    )

    def __init__(
        self, number: int, client: ClientPort, payload: Any, spec: api.JobClass, claim: budgets.Claim
    ) -> None:
        self.id, self.client, self.payload, self.spec = number, client, payload, spec
        self.claim, self.due = claim, claim.due
        self.attempts: list[Attempt] = []
        self.probes: list[Probe] = []  # asked for its sake, not yet answered
        self.answered = False
        self.deadline: Timer | None = None


class Attempt:
    """One attempt of a request; `exchange` belongs to the executor port."""

    __slots__ = (
        "request",
        "number",
        "executor",
        "sent_at",
        "outcome",
        "exchange",
        "written",
        "end_unobserved",
    )

    def __init__(self, request: Request, number: int, executor: int, now: int) -> None:
        self.request, self.number, self.executor, self.sent_at = request, number, executor, now
        self.outcome: Outcome | None = None
        self.exchange: Any = None
        self.written = False  # whether its last byte has left: only then may it run
        self.end_unobserved = True  # whether a cancel's effect at the executor stays unknown; the port knows


class Probe:
    """One probe, and the request that it is for, if any; `exchange` belongs to the executor port."""

    __slots__ = ("executor", "request", "written", "exchange")

    def __init__(self, executor: int, request: Request | None) -> None:
        self.executor, self.request = executor, request
        self.written = False
        self.exchange: Any = None


class Dispatch:
    """The requests of a node, between the balancer and the ports."""

    def __init__(
        self,
        balancer: Brain,
        timers: Timers,
        executors: ExecutorPort,
        discovery: DiscoveryPort,
        budget: budgets.Budget | None = None,
    ) -> None:
        self.balancer, self.timers = balancer, timers
        self.budget = budget or budgets.Budget(DeadlineOptions(), len(balancer.settings.classes))
        self.executors, self.discovery = executors, discovery
        self.requests: dict[int, Request] = {}
        self.unanswered = 0  # requests without their final answer
        self.ready_executors: set[int] = set()
        # whether anything may be sent now, where a fleet says
        self.fence: Callable[[int], bool] | None = None
        self.hears: Callable[[int, int, api.LoadReport], None] | None = None  # each report of an executor
        self.told: Callable[[str, bool], None] | None = None  # hears of each final answer: which, and if late
        self.mark: Callable[[api.RequestArrived], None] | None = None  # where a request may run, if it may
        self.seen: Callable[[int, Attempt], None] | None = None  # hears of each attempt that has ended
        # whether one more may be spent of a budget (probes, lists, connects), where a fleet has set one
        self.may_spend: Callable[[int, str], bool] | None = None
        self.may_retry: Callable[[int], bool] | None = None  # whether one more try may follow a failed one
        self._count = 0
        self._events: deque[tuple[api.Event, Request | None]] = deque()
        self._delivering = False
        self._actions: dict[type, Callable[[int, Any], None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: lambda now, a: self._answer(now, a.request, "refused", a.retry_after_us),
            api.Fail: lambda now, a: self._answer(now, a.request, "failed"),
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.Subscribe: self._subscribe,
        }

    # Events.

    def arrive(
        self, now: int, client: ClientPort, payload: Any, due: int, job: api.RequestArrived
    ) -> Request:
        """Take a request; `job` describes it, its number is given here."""
        self._count += 1
        job.request = self._count
        if self.mark is not None:
            self.mark(job)
        claim = budgets.Claim(job.job_class, job.slots, due)
        request = Request(self._count, client, payload, self.balancer.settings.classes[job.job_class], claim)
        self.requests[request.id] = request
        self.unanswered += 1
        request.deadline = self.timers.add(due, lambda at: self._overdue(at, request))
        if self.budget.step(now, budgets.Arrived(claim)):  # hopeless: nothing has begun, no is harmless
            self._answer(now, request.id, "refused", 0)
        else:
            self._deliver(now, job, request)
        return request

    def withdraw(self, now: int, request: Request) -> None:
        """The client has gone: nothing is owed any longer, and nothing more starts for it."""
        if request.answered:
            return
        if self.budget.options.on_leave == "ignore":
            request.client = AbsentClient()
            return
        unwritten = tuple(a.number for a in request.attempts if a.outcome is None and not a.written)
        recalls = self.budget.step(now, budgets.Left(request.claim, unwritten))
        self._close(request)
        self._deliver(
            now, api.RequestWithdrawn(request.id), request
        )  # first, or the balancer would place it once more
        for attempt in [request.attempts[recall.number] for recall in recalls]:
            if attempt.outcome is None:
                self._give_up(now, attempt, Outcome.MOOT)
        for probe in [probe for probe in request.probes if not probe.written]:
            self._recall_probe(now, probe)

    def answer_by(self, until: int) -> None:
        """Each open request has its final answer by then (us): the process may be killed soon after."""
        for request in list(self.requests.values()):
            if not request.answered and request.due > until:
                self.timers.cancel(request.deadline)
                request.due = request.claim.due = until
                request.deadline = self.timers.add(
                    until, lambda at, request=request: self._overdue(at, request)
                )

    def _recall_probe(self, now: int, probe: Probe) -> None:
        try:
            self.executors.recall(probe)
        except Exception:
            say("defect", True, what="recall")
        self.probe_ended(now, probe, Outcome.MOOT)

    def attempt_written(self, now: int, attempt: Attempt) -> None:
        """Its last byte has left: from now on it may run."""
        if not attempt.written and attempt.outcome is None:
            attempt.written = True
            self.budget.step(now, budgets.Written(attempt.request.claim, attempt.number))

    def attempt_ended(
        self,
        now: int,
        attempt: Attempt,
        outcome: Outcome,
        report: api.LoadReport | None = None,
        result: Any = None,
    ) -> None:
        """The one outcome of an attempt; a later one is passed over."""
        if attempt.outcome is not None:
            return
        attempt.outcome, request = outcome, attempt.request
        end_unobserved = attempt.end_unobserved and outcome in (Outcome.CANCELLED, Outcome.TIMEOUT)
        self.budget.step(now, budgets.Ended(request.claim, attempt.number, outcome, end_unobserved))
        if outcome == Outcome.OK:
            self._answer(now, request.id, "served", result)
        over = (
            request.answered or outcome == Outcome.MOOT or now >= request.due
        )  # no try will follow: none is spent
        more = over or self.may_retry is None or self.may_retry(now)
        tries = api.ANY_TRIES if more else len(request.attempts)
        event = api.AttemptEnded(
            request.id, attempt.number, attempt.executor, outcome, request.answered, report, tries
        )
        if self.seen is not None:
            self.seen(now, attempt)
        self._report_load(now, attempt.executor, report)
        self._deliver(now, event, request)
        self._forget(request)

    def attempt_started(self, now: int, attempt: Attempt) -> None:
        """The executor began to run it."""
        self._deliver(
            now, api.AttemptStarted(attempt.request.id, attempt.number, attempt.executor), attempt.request
        )

    def attempt_progressed(self, now: int, attempt: Attempt, done: float) -> None:
        """Share done of it."""
        event = api.AttemptProgress(attempt.request.id, attempt.number, attempt.executor, done)
        self._deliver(now, event, attempt.request)

    def probe_ended(
        self, now: int, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None
    ) -> None:
        """The result of one probe."""
        if probe.request is not None and probe in probe.request.probes:
            probe.request.probes.remove(probe)
        self._report_load(now, probe.executor, report)
        self._deliver(now, api.ProbeEnded(probe.executor, outcome, report))

    def on_peer_report(self, now: int, worker: int, report: api.LoadReport, age: int) -> None:
        """What another node heard of an executor itself, at most so long ago (us)."""
        self._deliver(now, api.ProbeEnded(worker, Outcome.OK, report, age))

    def _report_load(self, now: int, worker: int, report: api.LoadReport | None) -> None:
        if self.hears is not None and report:
            self.hears(now, worker, report)

    def on_endpoint_list(self, now: int, news: api.WorkerList) -> None:
        """News of discovery's list."""
        ready = {entry.worker for entry in news.entries if entry.state == api.WorkerState.READY}
        if news.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            self.ready_executors = ready
        else:
            self.ready_executors -= {entry.worker for entry in news.entries}
            self.ready_executors |= ready
        self._deliver(now, news)

    def set_zone_shares(self, now: int, rows: dict[tuple[int, ...], dict[int, float]]) -> None:
        """Which part of all requests is to run in each zone, by the zones in which they may run."""
        self._deliver(now, api.Shares(rows))

    def set_sibling_usage(self, now: int, worker: int, slots: float, memory: float) -> None:
        """What another process of this node has out at an executor now."""
        self._deliver(now, api.Beside(worker, slots, memory))

    def may_write(self, now: int, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent: it can outlive its right while it waits to connect."""
        return self.blocking_outcome(now, attempt) is None

    def blocking_outcome(self, now: int, attempt: Attempt) -> Outcome | None:
        """The outcome of an attempt that may not be sent any longer, or None where it may.

        MOOT: no other attempt may be sent either, so that the request is answered at once. DROPPED: another
        executor may take it, and this one is not to blame.
        """
        request = attempt.request
        if attempt.outcome is not None or not self.budget.may_start(now, request.claim):
            return Outcome.MOOT
        if not request.client.present():  # its close may wait unread where the loop was held up
            return Outcome.MOOT
        if not self._within_window(now, attempt):
            return Outcome.MOOT
        if self.fence is not None and not self.fence(now):
            return Outcome.DROPPED
        if attempt.executor not in self.ready_executors:  # drains or is gone since the balancer chose it
            return Outcome.DROPPED
        return None

    def _within_window(self, now: int, attempt: Attempt) -> bool:
        """Whether it would arrive before repeats count anew, also if this node is held up at the write."""
        request = attempt.request
        if request.spec.effect != api.Effect.KEYED:
            return True
        arrives = now + HOLD_UP_US + 2 * self.balancer.settings.tick_us  # the ticks are the way there
        ran = [a for a in request.attempts if a is not attempt and a.outcome not in api.NEVER_RAN]
        return all(arrives < a.sent_at + request.spec.repeat_window_us for a in ran)

    def busy_executors(self) -> set[int]:
        """Executors with attempts that have not ended."""
        return {
            a.executor for request in self.requests.values() for a in request.attempts if a.outcome is None
        }

    def may_probe(self, probe: Probe) -> bool:
        """Whether a probe may still be written: not for a client's sake alone that has left."""
        return probe.request is None or probe.request.claim.state is not budgets.State.LEFT

    def free_share(self) -> float:
        """The share of all listed backends' slots that the module believes to be free of own work."""
        listed = [worker for worker in self.balancer.workers.values() if worker.listed]
        slots = sum(worker.slots for worker in listed)
        return sum(max(0.0, worker.slots - worker.held) for worker in listed) / slots if slots else 0.0

    # The balancer.

    def _deliver(self, now: int, event: api.Event, request: Request | None = None) -> None:
        """Give the balancer its events one after the other, also those that its own actions bring about."""
        self._events.append((event, request))
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._events:
                event, request = self._events.popleft()
                self._handle(now, event, request)
        finally:
            self._delivering = False

    def _handle(self, now: int, event: api.Event, request: Request | None) -> None:
        try:
            actions = self.balancer.handle(now, event)
        except Exception:
            say("defect", True, what=f"brain on {type(event).__name__}")
            actions = []
            if request is not None and not request.answered:  # it may never hear of this request again
                self._answer(now, request.id, "failed")
                self._events.append((api.RequestWithdrawn(request.id), request))
        for action in actions:
            try:
                self._actions[type(action)](now, action)
            except Exception:
                say("defect", True, what=f"action {type(action).__name__}")

    def _send(self, now: int, action: api.Send) -> None:
        request = self.requests[action.request]
        attempt = Attempt(request, len(request.attempts), action.worker, now)
        request.attempts.append(attempt)
        if attempt.number >= self.balancer.settings.max_attempts or not self.budget.may_start(
            now, request.claim
        ):
            self.attempt_ended(now, attempt, Outcome.MOOT)
            return
        if not self.budget.worth_starting(now, request.claim):
            ran = any(a.outcome not in api.NEVER_RAN for a in request.attempts if a is not attempt)
            self._answer(now, request.id, *(("failed",) if ran else ("refused", 0)))
            self.attempt_ended(now, attempt, Outcome.MOOT)
            return
        if (blocking_outcome := self.blocking_outcome(now, attempt)) is not None:
            self.attempt_ended(now, attempt, blocking_outcome)
            return
        try:
            self.executors.send(attempt)
        except Exception:
            say("defect", True, what="send")
            self.attempt_ended(now, attempt, Outcome.RESET)  # how far it came is not known

    def _cancel(self, now: int, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is None or (attempt := request.attempts[action.attempt]).outcome is not None:
            return
        self.budget.step(now, budgets.Cut(request.claim, attempt.number))
        never = request.claim.state is budgets.State.LEFT and not attempt.written
        self._give_up(now, attempt, Outcome.MOOT if never else Outcome.CANCELLED)

    def _give_up(self, now: int, attempt: Attempt, outcome: Outcome, now_or_never: bool = False) -> None:
        """End an attempt here, unless its executor cannot stop it: then its slots stay taken till it ends."""
        over = True
        try:
            over = self.executors.cancel(attempt, now_or_never) is not False
        except Exception:
            say("defect", True, what="cancel")
        if over or now_or_never:
            self.attempt_ended(now, attempt, outcome)

    def _probe(self, now: int, action: api.Probe) -> None:
        request = self.requests.get(action.request)
        probe = Probe(action.worker, request)
        if not self.may_probe(probe) or not self._spend(now, "probes"):
            self.probe_ended(now, probe, Outcome.MOOT)
            return
        if request is not None:
            request.probes.append(probe)
        try:
            self.executors.probe(probe)
        except Exception:
            say("defect", True, what="probe")
            self.probe_ended(now, probe, Outcome.CONNECT_FAILED)  # or the balancer would wait for ever

    def _spend(self, now: int, budget: str) -> bool:
        return self.may_spend is None or self.may_spend(now, budget)

    def may_connect(self, now: int) -> bool:
        """Whether a connection may be opened now, where a fleet has set a budget of them."""
        return self._spend(now, "connects")

    def may_call_discovery(self, now: int) -> bool:
        """Whether discovery may be called now, where a fleet has set a budget of calls."""
        return self._spend(now, "lists")

    def _subscribe(self, now: int, action: api.Subscribe) -> None:
        try:
            if not self.may_call_discovery(now):
                self.on_endpoint_list(
                    now, api.WorkerList(api.ListKind.FAILED, [])
                )  # it asks again, later each time
                return
            self.discovery.watch()  # from now on it asks by itself whenever the watch is lost
        except Exception:
            say("defect", True, what="watch")
            self.on_endpoint_list(now, api.WorkerList(api.ListKind.FAILED, []))  # or it would never ask again

    def _set_timer(self, now: int, action: api.SetTimer) -> None:
        token = action.token
        self.timers.add(now + action.delay_us, lambda at: self._deliver(at, api.TimerFired(token)))

    # Answers.

    def _answer(self, now: int, number: int, kind: str, *details: Any) -> None:
        """The one place that gives a final answer: the first counts, later ones are passed over."""
        request = self.requests.get(number)
        if request is None or request.answered:
            return
        self.budget.step(now, budgets.Answered(request.claim))
        self._close(request)
        if self.told is not None:
            self.told(kind, now > request.due - request.spec.deadline_us + request.spec.aim_us)
        try:
            getattr(request.client, kind)(*details)
        except Exception:
            say("defect", True, what="answer")

    def _close(self, request: Request) -> None:
        request.answered = True
        self.unanswered -= 1
        self._forget(request)

    def _forget(self, request: Request) -> None:
        """Let go of a request that is answered and has no attempt out."""
        if request.answered and all(attempt.outcome is not None for attempt in request.attempts):
            self.timers.cancel(request.deadline)
            self.requests.pop(request.id, None)

    def _overdue(self, now: int, request: Request) -> None:
        """The budget is used up: attempts time out, and the balancer answers, or else this does."""
        self.budget.step(now, budgets.RanOut(request.claim))
        for attempt in request.attempts:
            if attempt.outcome is None:
                self._give_up(now, attempt, Outcome.TIMEOUT, now_or_never=True)
        if not request.answered:
            say("overdue-unanswered")
            self._answer(now, request.id, "failed")
            self._deliver(now, api.RequestWithdrawn(request.id), request)
