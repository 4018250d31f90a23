"""Owns reqs and attempts: happenings become events of the brain, its actions calls on ports.

Every req gets exactly one final answer here, whatever the brain or a port does. All times are whole
microseconds of the caller's clock; no protocol is known here, so any can be put in front.
"""

import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from cedarmill.core.deadlines import Deadline, Deadlines
from cedarmill.decisions import interface as api
from cedarmill.decisions.brain import Brain
from cedarmill.decisions.interface import Outcome

log = logging.getLogger("cedarmill")


class ClientPort(Protocol):
    """Takes the one final answer of a req."""

    def served(self, result: Any) -> None: ...
    def refused(self, retry_after_us: int) -> None: ...
    def failed(self) -> None: ...


class BackendPort(Protocol):
    """Carries attempts and probes; each comes back once through `ended` or `probed`."""

    def send(self, attempt: "Attempt") -> None: ...
    def cancel(self, attempt: "Attempt") -> None: ...
    def probe(self, worker: int) -> None: ...


class DirectorPort(Protocol):
    """Asks for the changes of the list; comes back through `listed`."""

    def watch(self) -> None: ...


class Req:
    """One req that the node has taken."""

    __slots__ = ("id", "client", "payload", "due", "spec", "attempts", "answered", "deadline")

    def __init__(self, number: int, client: ClientPort, payload: Any, due: int, spec: api.JobClass) -> None:
        self.id, self.client, self.payload, self.due, self.spec = number, client, payload, due, spec
        self.attempts: list[Attempt] = []
        self.answered = False
        self.deadline: Deadline | None = None


class Attempt:
    """One attempt of a req; `link` belongs to the backend port."""

    __slots__ = ("req", "number", "worker", "sent_at", "outcome", "link")

    def __init__(self, req: Req, number: int, worker: int, now: int) -> None:
        self.req, self.number, self.worker, self.sent_at = req, number, worker, now
        self.outcome: Outcome | None = None
        self.link: Any = None


class Dispatch:
    """The reqs of a node, between the brain and the ports."""

    def __init__(self, brain: Brain, deadlines: Deadlines, backends: BackendPort,
                 director: DirectorPort) -> None:  # fmt: skip
        self.brain, self.deadlines = brain, deadlines
        self.backends, self.director = backends, director
        self.reqs: dict[int, Req] = {}
        self.owed = 0  # reqs without their final answer
        self.listed_ready: set[int] = set()
        self._count = 0
        self._events: deque[tuple[api.Event, Req | None]] = deque()
        self._busy = False
        self._actions: dict[type, Callable[[int, Any], None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: lambda now, a: self._answer(a.request, "refused", a.retry_after_us),
            api.Fail: lambda now, a: self._answer(a.request, "failed"),
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.Subscribe: self._subscribe,
        }

    # Happenings.

    def arrive(self, now: int, client: ClientPort, payload: Any, due: int, job: api.RequestArrived) -> Req:
        """Take a req; `job` describes it, its number is given here."""
        self._count += 1
        job.request = self._count
        req = Req(self._count, client, payload, due, self.brain.settings.classes[job.job_class])
        self.reqs[req.id] = req
        self.owed += 1
        req.deadline = self.deadlines.add(due, lambda at: self._overdue(at, req))
        self._tell(now, job, req)
        return req

    def withdraw(self, now: int, req: Req) -> None:
        """The client has gone: nothing is owed any longer."""
        if not req.answered:
            self._close(req)
            self._tell(now, api.RequestWithdrawn(req.id), req)

    def ended(self, now: int, attempt: Attempt, outcome: Outcome, report: api.LoadReport | None = None,
              result: Any = None) -> None:  # fmt: skip
        """The one outcome of an attempt; a later one is passed over."""
        if attempt.outcome is not None:
            return
        attempt.outcome, req = outcome, attempt.req
        if outcome == Outcome.OK:
            self._answer(req.id, "served", result)
        event = api.AttemptEnded(req.id, attempt.number, attempt.worker, outcome, req.answered, report)
        self._tell(now, event, req)
        self._forget(req)

    def started(self, now: int, attempt: Attempt) -> None:
        """The backend began to run it."""
        self._tell(now, api.AttemptStarted(attempt.req.id, attempt.number, attempt.worker), attempt.req)

    def progress(self, now: int, attempt: Attempt, done: float) -> None:
        """Share done of it."""
        event = api.AttemptProgress(attempt.req.id, attempt.number, attempt.worker, done)
        self._tell(now, event, attempt.req)

    def probed(self, now: int, worker: int, outcome: Outcome, report: api.LoadReport | None = None) -> None:
        """The result of one probe."""
        self._tell(now, api.ProbeEnded(worker, outcome, report))

    def listed(self, now: int, news: api.WorkerList) -> None:
        """News of the director's list."""
        ready = {entry.worker for entry in news.entries if entry.state == api.WorkerState.READY}
        if news.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            self.listed_ready = ready
        else:
            self.listed_ready -= {entry.worker for entry in news.entries}
            self.listed_ready |= ready
        self._tell(now, news)

    def may_write(self, now: int, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent: it can outlive its right while it waits to connect."""
        req = attempt.req
        if attempt.outcome is not None or req.answered or now >= req.due:
            return False
        if attempt.worker not in self.listed_ready:  # drains or is gone since the brain chose it
            return False
        ran = [a for a in req.attempts if a is not attempt and a.outcome not in api.NEVER_RAN]
        guarded = req.spec.effect == api.Effect.KEYED
        return not guarded or all(now < a.sent_at + req.spec.repeat_window_us for a in ran)

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
            log.exception("brain failed on %s", type(event).__name__)
            actions = []
            if req is not None and not req.answered:  # it may never hear of this req again
                self._answer(req.id, "failed")
                self._events.append((api.RequestWithdrawn(req.id), req))
        for action in actions:
            try:
                self._actions[type(action)](now, action)
            except Exception:
                log.exception("action %s failed", type(action).__name__)

    def _send(self, now: int, action: api.Send) -> None:
        req = self.reqs[action.request]
        attempt = Attempt(req, len(req.attempts), action.worker, now)
        req.attempts.append(attempt)
        if req.answered or now >= req.due or attempt.number >= self.brain.settings.max_attempts:
            self.ended(now, attempt, Outcome.MOOT)
            return
        try:
            self.backends.send(attempt)
        except Exception:
            log.exception("send failed")
            self.ended(now, attempt, Outcome.RESET)  # how far it came is not known

    def _cancel(self, now: int, action: api.Cancel) -> None:
        req = self.reqs.get(action.request)
        if req is not None and req.attempts[action.attempt].outcome is None:
            self._give_up(now, req.attempts[action.attempt], Outcome.CANCELLED)

    def _give_up(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        try:
            self.backends.cancel(attempt)
        except Exception:
            log.exception("cancel failed")
        self.ended(now, attempt, outcome)

    def _probe(self, now: int, action: api.Probe) -> None:
        try:
            self.backends.probe(action.worker)
        except Exception:
            log.exception("probe failed")
            self.probed(now, action.worker, Outcome.CONNECT_FAILED)  # or the brain would wait for ever

    def _subscribe(self, now: int, action: api.Subscribe) -> None:
        try:
            self.director.watch()
        except Exception:
            log.exception("watch failed")
            self.listed(now, api.WorkerList(api.ListKind.FAILED, []))  # or it would never ask again

    def _set_timer(self, now: int, action: api.SetTimer) -> None:
        token = action.token
        self.deadlines.add(now + action.delay_us, lambda at: self._tell(at, api.TimerFired(token)))

    # Answers.

    def _answer(self, number: int, kind: str, *details: Any) -> None:
        """The one place that gives a final answer: the first counts, later ones are passed over."""
        req = self.reqs.get(number)
        if req is None or req.answered:
            return
        self._close(req)
        try:
            getattr(req.client, kind)(*details)
        except Exception:
            log.exception("answer failed")

    def _close(self, req: Req) -> None:
        req.answered = True
        self.owed -= 1
        self._forget(req)

    def _forget(self, req: Req) -> None:
        """Let go of a req that is answered and has no attempt out."""
        if req.answered and all(attempt.outcome is not None for attempt in req.attempts):
            self.deadlines.cancel(req.deadline)
            self.reqs.pop(req.id, None)

    def _overdue(self, now: int, req: Req) -> None:
        """The budget is used up: attempts time out, and the brain answers, or else this does."""
        for attempt in req.attempts:
            if attempt.outcome is None:
                self._give_up(now, attempt, Outcome.TIMEOUT)
        if not req.answered:
            log.error("req overdue without an answer from the brain")
            self._answer(req.id, "failed")
            self._tell(now, api.RequestWithdrawn(req.id), req)
