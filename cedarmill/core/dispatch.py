"""Owns reqs and attempts: happenings become events of the brain, its actions calls on ports.

Every req gets exactly one final answer here, whatever the brain or a port does. All times are whole
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
    """Takes the one final answer of a req."""

    def served(self, result: Any) -> None: ...
    def refused(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...
    def present(self) -> bool: ...  # asked as bytes are written; one that has left is withdrawn by it


class BackendPort(Protocol):
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


class Nobody:
    """The client port of who has left, where work is set to go on all the same."""

    def served(self, result: Any) -> None: ...
    def refused(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...

    def present(self) -> bool:
        """Always: the work is wanted although nobody waits for the answer."""
        return True


class Req:
    """One req that the node has taken."""

    __slots__ = ("id", "client", "payload", "due", "spec", "claim", "attempts", "probes", "answered",
                 "deadline")  # fmt: skip

    def __init__(self, number: int, client: ClientPort, payload: Any, spec: api.JobClass,
                 claim: budgets.Claim) -> None:  # fmt: skip
        self.id, self.client, self.payload, self.spec = number, client, payload, spec
        self.claim, self.due = claim, claim.due
        self.attempts: list[Attempt] = []
        self.probes: list[Probe] = []  # asked for its sake, not yet answered
        self.answered = False
        self.deadline: Timer | None = None


class Attempt:
    """One attempt of a req; `link` belongs to the backend port."""

    __slots__ = ("req", "number", "worker", "sent_at", "outcome", "link", "written", "blind")

    def __init__(self, req: Req, number: int, worker: int, now: int) -> None:
        self.req, self.number, self.worker, self.sent_at = req, number, worker, now
        self.outcome: Outcome | None = None
        self.link: Any = None
        self.written = False  # whether its last byte has left: only then may it run
        self.blind = True  # whether a cancel's effect at the backend stays unknown; the port knows


class Probe:
    """One probe, and the req for whose sake it was asked, if any; `link` belongs to the backend port."""

    __slots__ = ("worker", "req", "written", "link")

    def __init__(self, worker: int, req: Req | None) -> None:
        self.worker, self.req = worker, req
        self.written = False
        self.link: Any = None


class Dispatch:
    """The reqs of a node, between the brain and the ports."""

    def __init__(self, brain: Brain, timers: Timers, backends: BackendPort, discovery: DiscoveryPort,
                 budget: budgets.Budget | None = None) -> None:  # fmt: skip
        self.brain, self.timers = brain, timers
        self.budget = budget or budgets.Budget(DeadlineOptions(), len(brain.settings.classes))
        self.backends, self.discovery = backends, discovery
        self.reqs: dict[int, Req] = {}
        self.owed = 0  # reqs without their final answer
        self.listed_ready: set[int] = set()
        # whether anything may be sent now, where a fleet says
        self.fence: Callable[[int], bool] | None = None
        self.hears: Callable[[int, int, api.LoadReport], None] | None = None  # each report of a backend
        self.told: Callable[[str, bool], None] | None = None  # hears of each final answer: which, and if late
        self.mark: Callable[[api.RequestArrived], None] | None = None  # where a req may run, if it may
        self.seen: Callable[[int, Attempt], None] | None = None  # hears of each attempt that has ended
        # whether one more may be spent of a budget (probes, lists, connects), where a fleet has set one
        self.may_spend: Callable[[int, str], bool] | None = None
        self.may_retry: Callable[[int], bool] | None = None  # whether one more try may follow a failed one
        self._count = 0
        self._events: deque[tuple[api.Event, Req | None]] = deque()
        self._busy = False
        self._actions: dict[type, Callable[[int, Any], None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: lambda now, a: self._answer(now, a.request, "refused", a.retry_after_us),
            api.Fail: lambda now, a: self._answer(now, a.request, "failed"),
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.Subscribe: self._subscribe,
        }

    # Happenings.

    def arrive(self, now: int, client: ClientPort, payload: Any, due: int, job: api.RequestArrived) -> Req:
        """Take a req; `job` describes it, its number is given here."""
        self._count += 1
        job.request = self._count
        if self.mark is not None:
            self.mark(job)
        claim = budgets.Claim(job.job_class, job.slots, due)
        req = Req(self._count, client, payload, self.brain.settings.classes[job.job_class], claim)
        self.reqs[req.id] = req
        self.owed += 1
        req.deadline = self.timers.add(due, lambda at: self._overdue(at, req))
        if self.budget.step(now, budgets.Arrived(claim)):  # hopeless: nothing has begun, no is harmless
            self._answer(now, req.id, "refused", 0)
        else:
            self._tell(now, job, req)
        return req

    def withdraw(self, now: int, req: Req) -> None:
        """The client has gone: nothing is owed any longer, and nothing more starts for it."""
        if req.answered:
            return
        if self.budget.options.on_leave == "ignore":
            req.client = Nobody()
            return
        unwritten = tuple(a.number for a in req.attempts if a.outcome is None and not a.written)
        recalls = self.budget.step(now, budgets.Left(req.claim, unwritten))
        self._close(req)
        self._tell(now, api.RequestWithdrawn(req.id), req)  # first, or the brain would place it once more
        for attempt in [req.attempts[recall.number] for recall in recalls]:
            if attempt.outcome is None:
                self._give_up(now, attempt, Outcome.MOOT)
        for probe in [probe for probe in req.probes if not probe.written]:
            self._recall(now, probe)

    def answer_by(self, until: int) -> None:
        """Each open request has its final answer by then (us): the process may be killed soon after."""
        for req in list(self.reqs.values()):
            if not req.answered and req.due > until:
                self.timers.cancel(req.deadline)
                req.due = req.claim.due = until
                req.deadline = self.timers.add(until, lambda at, req=req: self._overdue(at, req))

    def _recall(self, now: int, probe: Probe) -> None:
        try:
            self.backends.recall(probe)
        except Exception:
            say("defect", True, what="recall")
        self.probed(now, probe, Outcome.MOOT)

    def written(self, now: int, attempt: Attempt) -> None:
        """Its last byte has left: from now on it may run."""
        if not attempt.written and attempt.outcome is None:
            attempt.written = True
            self.budget.step(now, budgets.Written(attempt.req.claim, attempt.number))

    def ended(self, now: int, attempt: Attempt, outcome: Outcome, report: api.LoadReport | None = None,
              result: Any = None) -> None:  # fmt: skip
        """The one outcome of an attempt; a later one is passed over."""
        if attempt.outcome is not None:
            return
        attempt.outcome, req = outcome, attempt.req
        blind = attempt.blind and outcome in (Outcome.CANCELLED, Outcome.TIMEOUT)
        self.budget.step(now, budgets.Ended(req.claim, attempt.number, outcome, blind))
        if outcome == Outcome.OK:
            self._answer(now, req.id, "served", result)
        over = req.answered or outcome == Outcome.MOOT or now >= req.due  # no try will follow: none is spent
        more = over or self.may_retry is None or self.may_retry(now)
        tries = api.ANY_TRIES if more else len(req.attempts)
        event = api.AttemptEnded(req.id, attempt.number, attempt.worker, outcome, req.answered, report, tries)
        if self.seen is not None:
            self.seen(now, attempt)
        self._heard(now, attempt.worker, report)
        self._tell(now, event, req)
        self._forget(req)

    def started(self, now: int, attempt: Attempt) -> None:
        """The backend began to run it."""
        self._tell(now, api.AttemptStarted(attempt.req.id, attempt.number, attempt.worker), attempt.req)

    def progress(self, now: int, attempt: Attempt, done: float) -> None:
        """Share done of it."""
        event = api.AttemptProgress(attempt.req.id, attempt.number, attempt.worker, done)
        self._tell(now, event, attempt.req)

    def probed(self, now: int, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        """The result of one probe."""
        if probe.req is not None and probe in probe.req.probes:
            probe.req.probes.remove(probe)
        self._heard(now, probe.worker, report)
        self._tell(now, api.ProbeEnded(probe.worker, outcome, report))

    def told_of(self, now: int, worker: int, report: api.LoadReport, age: int) -> None:
        """What another node heard of a backend itself, at most so long ago (us)."""
        self._tell(now, api.ProbeEnded(worker, Outcome.OK, report, age))

    def _heard(self, now: int, worker: int, report: api.LoadReport | None) -> None:
        if self.hears is not None and report:
            self.hears(now, worker, report)

    def listed(self, now: int, news: api.WorkerList) -> None:
        """News of discovery's list."""
        ready = {entry.worker for entry in news.entries if entry.state == api.WorkerState.READY}
        if news.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            self.listed_ready = ready
        else:
            self.listed_ready -= {entry.worker for entry in news.entries}
            self.listed_ready |= ready
        self._tell(now, news)

    def shares(self, now: int, rows: dict[tuple[int, ...], dict[int, float]]) -> None:
        """Which part of all reqs is to run in each zone, by the zones in which they may run."""
        self._tell(now, api.Shares(rows))

    def beside(self, now: int, worker: int, slots: float, memory: float) -> None:
        """What another process of this node has out at a backend now."""
        self._tell(now, api.Beside(worker, slots, memory))

    def may_write(self, now: int, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent: it can outlive its right while it waits to connect."""
        return self.barred(now, attempt) is None

    def barred(self, now: int, attempt: Attempt) -> Outcome | None:
        """The outcome of an attempt that may not be sent any longer, or None where it may.

        MOOT: no other attempt may be sent either, so that the request is answered at once. DROPPED: another
        executor may take it, and this one is not to blame.
        """
        req = attempt.req
        if attempt.outcome is not None or not self.budget.may_start(now, req.claim):
            return Outcome.MOOT
        if not req.client.present():  # its close may wait unread where the loop was held up
            return Outcome.MOOT
        if not self._within_window(now, attempt):
            return Outcome.MOOT
        if self.fence is not None and not self.fence(now):
            return Outcome.DROPPED
        if attempt.worker not in self.listed_ready:  # drains or is gone since the brain chose it
            return Outcome.DROPPED
        return None

    def _within_window(self, now: int, attempt: Attempt) -> bool:
        """Whether it would arrive before repeats count anew, also if this node is held up at the write."""
        req = attempt.req
        if req.spec.effect != api.Effect.KEYED:
            return True
        arrives = now + HOLD_UP_US + 2 * self.brain.settings.tick_us  # the ticks are the way there
        ran = [a for a in req.attempts if a is not attempt and a.outcome not in api.NEVER_RAN]
        return all(arrives < a.sent_at + req.spec.repeat_window_us for a in ran)

    def busy(self) -> set[int]:
        """Backends with attempts that have not ended."""
        return {a.worker for req in self.reqs.values() for a in req.attempts if a.outcome is None}

    def may_probe(self, probe: Probe) -> bool:
        """Whether a probe may still be written: not for a client's sake alone that has left."""
        return probe.req is None or probe.req.claim.state is not budgets.State.LEFT

    def room(self) -> float:
        """The share of all listed backends' slots that the module believes to be free of own work."""
        listed = [worker for worker in self.brain.workers.values() if worker.listed]
        slots = sum(worker.slots for worker in listed)
        return sum(max(0.0, worker.slots - worker.held) for worker in listed) / slots if slots else 0.0

    # Brain.

    def _tell(self, now: int, event: api.Event, req: Req | None = None) -> None:
        """Give the brain its events one after the other, also those that its own actions bring about."""
        self._events.append((event, req))
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event, req = self._events.popleft()
                self._handle(now, event, req)
        finally:
            self._busy = False

    def _handle(self, now: int, event: api.Event, req: Req | None) -> None:
        try:
            actions = self.brain.handle(now, event)
        except Exception:
            say("defect", True, what=f"brain on {type(event).__name__}")
            actions = []
            if req is not None and not req.answered:  # it may never hear of this req again
                self._answer(now, req.id, "failed")
                self._events.append((api.RequestWithdrawn(req.id), req))
        for action in actions:
            try:
                self._actions[type(action)](now, action)
            except Exception:
                say("defect", True, what=f"action {type(action).__name__}")

    def _send(self, now: int, action: api.Send) -> None:
        req = self.reqs[action.request]
        attempt = Attempt(req, len(req.attempts), action.worker, now)
        req.attempts.append(attempt)
        if attempt.number >= self.brain.settings.max_attempts or not self.budget.may_start(now, req.claim):
            self.ended(now, attempt, Outcome.MOOT)
            return
        if not self.budget.worth_starting(now, req.claim):
            ran = any(a.outcome not in api.NEVER_RAN for a in req.attempts if a is not attempt)
            self._answer(now, req.id, *(("failed",) if ran else ("refused", 0)))
            self.ended(now, attempt, Outcome.MOOT)
            return
        if (barred := self.barred(now, attempt)) is not None:
            self.ended(now, attempt, barred)
            return
        try:
            self.backends.send(attempt)
        except Exception:
            say("defect", True, what="send")
            self.ended(now, attempt, Outcome.RESET)  # how far it came is not known

    def _cancel(self, now: int, action: api.Cancel) -> None:
        req = self.reqs.get(action.request)
        if req is None or (attempt := req.attempts[action.attempt]).outcome is not None:
            return
        self.budget.step(now, budgets.Cut(req.claim, attempt.number))
        never = req.claim.state is budgets.State.LEFT and not attempt.written
        self._give_up(now, attempt, Outcome.MOOT if never else Outcome.CANCELLED)

    def _give_up(self, now: int, attempt: Attempt, outcome: Outcome, now_or_never: bool = False) -> None:
        """End an attempt here, unless its backend cannot stop it: then its slots stay taken till it ends."""
        over = True
        try:
            over = self.backends.cancel(attempt, now_or_never) is not False
        except Exception:
            say("defect", True, what="cancel")
        if over or now_or_never:
            self.ended(now, attempt, outcome)

    def _probe(self, now: int, action: api.Probe) -> None:
        req = self.reqs.get(action.request)
        probe = Probe(action.worker, req)
        if not self.may_probe(probe) or not self._spend(now, "probes"):
            self.probed(now, probe, Outcome.MOOT)
            return
        if req is not None:
            req.probes.append(probe)
        try:
            self.backends.probe(probe)
        except Exception:
            say("defect", True, what="probe")
            self.probed(now, probe, Outcome.CONNECT_FAILED)  # or the brain would wait for ever

    def _spend(self, now: int, budget: str) -> bool:
        return self.may_spend is None or self.may_spend(now, budget)

    def may_connect(self, now: int) -> bool:
        """Whether a connection may be opened now, where a fleet has set a budget of them."""
        return self._spend(now, "connects")

    def may_list(self, now: int) -> bool:
        """Whether discovery may be called now, where a fleet has set a budget of calls."""
        return self._spend(now, "lists")

    def _subscribe(self, now: int, action: api.Subscribe) -> None:
        try:
            if not self.may_list(now):
                self.listed(now, api.WorkerList(api.ListKind.FAILED, []))  # it asks again, later each time
                return
            self.discovery.watch()  # from now on it asks by itself whenever the watch is lost
        except Exception:
            say("defect", True, what="watch")
            self.listed(now, api.WorkerList(api.ListKind.FAILED, []))  # or it would never ask again

    def _set_timer(self, now: int, action: api.SetTimer) -> None:
        token = action.token
        self.timers.add(now + action.delay_us, lambda at: self._tell(at, api.TimerFired(token)))

    # Answers.

    def _answer(self, now: int, number: int, kind: str, *details: Any) -> None:
        """The one place that gives a final answer: the first counts, later ones are passed over."""
        req = self.reqs.get(number)
        if req is None or req.answered:
            return
        self.budget.step(now, budgets.Answered(req.claim))
        self._close(req)
        if self.told is not None:
            self.told(kind, now > req.due - req.spec.deadline_us + req.spec.aim_us)
        try:
            getattr(req.client, kind)(*details)
        except Exception:
            say("defect", True, what="answer")

    def _close(self, req: Req) -> None:
        req.answered = True
        self.owed -= 1
        self._forget(req)

    def _forget(self, req: Req) -> None:
        """Let go of a req that is answered and has no attempt out."""
        if req.answered and all(attempt.outcome is not None for attempt in req.attempts):
            self.timers.cancel(req.deadline)
            self.reqs.pop(req.id, None)

    def _overdue(self, now: int, req: Req) -> None:
        """The budget is used up: attempts time out, and the brain answers, or else this does."""
        self.budget.step(now, budgets.RanOut(req.claim))
        for attempt in req.attempts:
            if attempt.outcome is None:
                self._give_up(now, attempt, Outcome.TIMEOUT, now_or_never=True)
        if not req.answered:
            say("overdue-unanswered")
            self._answer(now, req.id, "failed")
            self._tell(now, api.RequestWithdrawn(req.id), req)
