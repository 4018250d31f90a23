"""Owns requests and attempts: what happens becomes events of the balancer, its actions calls on ports.

Every request gets exactly one final answer here, whatever the balancer or a port does. Times are whole
microseconds of the caller's monotonic clock; no protocol is known here, so any can be put in front.
"""

from collections import deque
from functools import partial
from typing import Any

from cedarmill.core.actions import ActionRunner
from cedarmill.core.observer import DispatchObserver
from cedarmill.core.ports import AbsentClient, ClientPort, DiscoveryPort, ExecutorPort
from cedarmill.core.requests import Attempt, Failed, FinalAnswer, Probe, Refused, Request, Served
from cedarmill.core.timers import Timers
from cedarmill.deadlines import propagation
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.values import DeadlineOptions

HOLD_UP_US = 150_000  # a node may be held up so long between its clock and its write (standing test)
WAY_TICKS = 2  # of the settings' clock: what is written arrives within them


class Dispatch:
    """The requests of a node, between the balancer and the ports."""

    def __init__(
        self,
        balancer: Balancer,
        timers: Timers,
        executors: ExecutorPort,
        discovery: DiscoveryPort,
        deadline_tracker: propagation.DeadlineTracker | None = None,
    ) -> None:
        self.balancer, self.timers = balancer, timers
        classes = len(balancer.settings.classes)
        self.deadline_tracker = deadline_tracker or propagation.DeadlineTracker(DeadlineOptions(), classes)
        self.executors, self.discovery = executors, discovery
        self.observer = DispatchObserver()
        self.requests: dict[int, Request] = {}
        self.unanswered = 0  # requests without their final answer
        self.ready_executors: set[int] = set()  # as discovery lists them
        self.actions = ActionRunner(self)
        self._count = 0
        self._events: deque[tuple[api.Event, Request | None]] = deque()
        self._delivering = False

    # Events of the client's side.

    def arrive(
        self, now: int, client: ClientPort, payload: Any, due: int, arrival: api.RequestArrived
    ) -> Request:
        """Take a request; `arrival` describes it, its number is given here."""
        self._count += 1
        arrival.request = self._count
        self.observer.place_request(arrival)
        claim = propagation.Claim(arrival.job_class, arrival.slots, due)
        spec = self.balancer.settings.classes[arrival.job_class]
        request = Request(self._count, client, payload, spec, claim)
        self.requests[request.id] = request
        self.unanswered += 1
        request.timer = self.timers.add(due, partial(self._on_deadline, request=request))
        if self.deadline_tracker.step(now, propagation.RequestArrived(claim)):  # hopeless, and nothing ran
            self.give_final_answer(now, request.id, Refused())
        else:
            self.deliver(now, arrival, request)
        return request

    def withdraw(self, now: int, request: Request) -> None:
        """The client has gone: it gets no answer, and nothing more starts for it."""
        if request.answered:
            return
        if self.deadline_tracker.options.on_leave == "ignore":
            request.client = AbsentClient()
            return
        unwritten = tuple(a.number for a in request.attempts if a.outcome is None and not a.written)
        left = propagation.ClientLeft(request.claim, unwritten)
        recalls = self.deadline_tracker.step(now, left)
        self._close(request)
        # first, or the balancer would place it once more
        self.deliver(now, api.RequestWithdrawn(request.id), request)
        for recall in recalls:
            if not isinstance(recall, propagation.RecallAttempt):
                continue
            if (attempt := request.attempts[recall.number]).outcome is None:
                self.actions.give_up(now, attempt, Outcome.MOOT)
        for probe in [probe for probe in request.probes if not probe.written]:
            self.actions.recall(now, probe)

    def answer_by(self, until: int) -> None:
        """Have each open request answered by then (us): the process may be killed soon after."""
        for request in list(self.requests.values()):
            if not request.answered and request.due > until:
                self.timers.cancel(request.timer)
                request.due = request.claim.due = until
                request.timer = self.timers.add(until, partial(self._on_deadline, request=request))

    # Events of the executors' side.

    def attempt_written(self, now: int, attempt: Attempt) -> None:
        """Its last byte has left: from now on it may run."""
        if not attempt.written and attempt.outcome is None:
            attempt.written = True
            self.deadline_tracker.step(now, propagation.AttemptWritten(attempt.request.claim, attempt.number))

    def attempt_started(self, now: int, attempt: Attempt) -> None:
        """The executor began to run it."""
        request = attempt.request
        self.deliver(now, api.AttemptStarted(request.id, attempt.number, attempt.executor), request)

    def attempt_progressed(self, now: int, attempt: Attempt, done: float) -> None:
        """The share `done` of it is done (0 to 1)."""
        request = attempt.request
        self.deliver(now, api.AttemptProgress(request.id, attempt.number, attempt.executor, done), request)

    def attempt_ended(
        self,
        now: int,
        attempt: Attempt,
        outcome: Outcome,
        report: api.LoadReport | None = None,
        result: Any = None,
    ) -> None:
        """Take the one outcome of an attempt; a later one is passed over."""
        if attempt.outcome is not None:
            return
        attempt.outcome, request = outcome, attempt.request
        unobserved = attempt.end_unobserved and outcome in (Outcome.CANCELLED, Outcome.TIMEOUT)
        ended = propagation.AttemptEnded(request.claim, attempt.number, outcome, unobserved)
        self.deadline_tracker.step(now, ended)
        if outcome == Outcome.OK:
            self.give_final_answer(now, request.id, Served(result))
        # where no attempt can follow, none is spent of the fleet's budget
        over = request.answered or outcome == Outcome.MOOT or now >= request.due
        more = over or self.observer.may_retry(now)
        tries = api.UNLIMITED_ATTEMPTS if more else len(request.attempts)
        event = api.AttemptEnded(
            request.id, attempt.number, attempt.executor, outcome, request.answered, report, tries
        )
        self.observer.on_attempt_ended(now, attempt)
        if report:
            self.observer.on_report(now, attempt.executor, report)
        self.deliver(now, event, request)
        self._forget_if_finished(request)

    def probe_ended(
        self, now: int, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None
    ) -> None:
        """Take the result of one probe."""
        if probe.request is not None and probe in probe.request.probes:
            probe.request.probes.remove(probe)
        if report:
            self.observer.on_report(now, probe.executor, report)
        self.deliver(now, api.ProbeEnded(probe.executor, outcome, report))

    def on_peer_report(self, now: int, executor: int, report: api.LoadReport, age: int) -> None:
        """Another node had this report from an executor itself, at most `age` ago (us)."""
        self.deliver(now, api.ProbeEnded(executor, Outcome.OK, report, age))

    def set_sibling_usage(self, now: int, executor: int, slots: float, memory: float) -> None:
        """Another process of this node has this much in flight at an executor now."""
        self.deliver(now, api.SiblingLoad(executor, slots, memory))

    # Events of discovery and of the fleet.

    def on_endpoint_list(self, now: int, change: api.EndpointList) -> None:
        """Take a whole list or a change of it."""
        ready = {entry.executor for entry in change.entries if entry.state == api.ExecutorState.READY}
        if change.kind in (api.EndpointListKind.FULL, api.EndpointListKind.CACHED):
            self.ready_executors = ready
        else:
            self.ready_executors -= {entry.executor for entry in change.entries}
            self.ready_executors |= ready
        self.deliver(now, change)

    def set_zone_shares(self, now: int, shares: dict[tuple[int, ...], dict[int, float]]) -> None:
        """Which part of all requests is to run in each zone, by the zones in which they may run."""
        self.deliver(now, api.ZoneShares(shares))

    # What the adapters ask.

    def may_write(self, now: int, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent: it can outlive its right while it waits to connect."""
        return self.blocking_outcome(now, attempt) is None

    def blocking_outcome(self, now: int, attempt: Attempt) -> Outcome | None:
        """The outcome of an attempt that may not be sent any longer, or None where it may.

        MOOT: no other attempt may be sent either, so that the request is answered at once. DROPPED: another
        executor may take it, and this one is not to blame.
        """
        request = attempt.request
        if attempt.outcome is not None or not self.deadline_tracker.may_start(now, request.claim):
            return Outcome.MOOT
        if not request.client.present():  # its close may wait unread where the loop was held up
            return Outcome.MOOT
        on_the_way = HOLD_UP_US + WAY_TICKS * self.balancer.settings.tick_us
        if not attempt.within_repeat_window(now + on_the_way):  # also if this node is held up at the write
            return Outcome.MOOT
        if not self.observer.may_send(now):
            return Outcome.DROPPED
        if attempt.executor not in self.ready_executors:  # drains or is gone since the balancer chose it
            return Outcome.DROPPED
        return None

    def busy_executors(self) -> set[int]:
        """Executors with attempts that have not ended."""
        attempts = [attempt for request in self.requests.values() for attempt in request.attempts]
        return {attempt.executor for attempt in attempts if attempt.outcome is None}

    def may_probe(self, probe: Probe) -> bool:
        """Whether a probe may still be written: not for the sake alone of a client that has left."""
        return probe.request is None or probe.request.claim.state is not propagation.ClaimState.CLIENT_LEFT

    def may_connect(self, now: int) -> bool:
        """Whether a connection may be opened now, where a fleet has set a budget of them."""
        return self.observer.may_spend(now, "connects")

    def may_call_discovery(self, now: int) -> bool:
        """Whether discovery may be called now, where a fleet has set a budget of calls."""
        return self.observer.may_spend(now, "lists")

    def free_share(self) -> float:
        """The share of all listed executors' slots that the balancer believes free of own work (0 to 1)."""
        listed = [executor for executor in self.balancer.executors.values() if executor.listed]
        slots = sum(executor.slots for executor in listed)
        free = sum(max(0.0, executor.slots - executor.held_slots) for executor in listed)
        return free / slots if slots else 0.0

    # The balancer.

    def deliver(self, now: int, event: api.Event, request: Request | None = None) -> None:
        """Give the balancer its events one after the other, also those that its own actions cause."""
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
            log_event("defect", True, what=f"balancer on {type(event).__name__}")
            actions = []
            if request is not None and not request.answered:  # it may never hear of this request again
                self.give_final_answer(now, request.id, Failed())
                self._events.append((api.RequestWithdrawn(request.id), request))
        for action in actions:
            self.actions.run(now, action)

    # Final answers.

    def give_final_answer(self, now: int, number: int, answer: FinalAnswer) -> None:
        """Answer a request: the one place that does; the first answer counts, later ones are passed over."""
        request = self.requests.get(number)
        if request is None or request.answered:
            return
        self.deadline_tracker.step(now, propagation.RequestAnswered(request.claim))
        self._close(request)
        self.observer.on_final_answer(now, request, answer)
        try:
            answer.give(request.client)
        except Exception:
            log_event("defect", True, what="answer")

    def _close(self, request: Request) -> None:
        request.answered = True
        self.unanswered -= 1
        self._forget_if_finished(request)

    def _forget_if_finished(self, request: Request) -> None:
        if request.finished:
            self.timers.cancel(request.timer)
            self.requests.pop(request.id, None)

    def _on_deadline(self, now: int, request: Request) -> None:
        """Time out the attempts, and fail the request unless the balancer answers it."""
        self.deadline_tracker.step(now, propagation.DeadlinePassed(request.claim))
        for attempt in request.attempts:
            if attempt.outcome is None:
                self.actions.give_up(now, attempt, Outcome.TIMEOUT, now_or_never=True)
        if not request.answered:
            log_event("overdue-unanswered")
            self.give_final_answer(now, request.id, Failed())
            self.deliver(now, api.RequestWithdrawn(request.id), request)
