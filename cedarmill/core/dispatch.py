"""Connects the balancer to the ports: passes events to it, and owns the requests and their attempts.

Every request gets exactly one final answer, even if the balancer or a port fails. The module is independent
of the clients' protocol. Times are whole microseconds of the caller's monotonic clock.
"""

from collections import deque
from functools import partial
from typing import Any

from cedarmill.core.actions import ActionRunner
from cedarmill.core.observer import DispatchObserver
from cedarmill.core.ports import AbsentClient, ClientPort, DiscoveryPort, ExecutorPort
from cedarmill.core.requests import Attempt, Failed, FinalAnswer, Probe, Refused, Request, Served
from cedarmill.core.timers import SingleTimer, Timers
from cedarmill.deadlines import propagation
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event
from cedarmill.values import DeadlineOptions

MAX_WRITE_DELAY_US = 150_000  # assumed maximum delay between reading the clock and writing
TRANSIT_TICKS = 2  # assumed maximum network transit time, in ticks of the settings


class Dispatch:
    """Owns the requests of a node, and passes events to the balancer and its actions to the ports."""

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
        self.unanswered = 0  # number of requests without a final answer
        self.ready_executors: set[int] = set()  # according to the endpoint list
        self.actions = ActionRunner(self)
        self._last_request_id = 0
        self._events: deque[tuple[api.Event, Request | None]] = deque()
        self._delivering = False

    # Events from clients.

    def arrive(
        self, now: int, client: ClientPort, payload: Any, due: int, arrival: api.RequestArrived
    ) -> Request:
        """Accept the request that `arrival` describes, and assign its number."""
        self._last_request_id += 1
        arrival.request = self._last_request_id
        self.observer.constrain_request(arrival)
        claim = propagation.Claim(arrival.job_class, arrival.slots, due)
        spec = self.balancer.settings.classes[arrival.job_class]
        timer = SingleTimer(self.timers)
        request = Request(self._last_request_id, client, payload, spec, claim, timer)
        self.requests[request.id] = request
        self.unanswered += 1
        timer.start(due, partial(self._on_deadline, request=request))
        if self.deadline_tracker.step(now, propagation.RequestArrived(claim)):  # rejected
            self.give_final_answer(now, request.id, Refused())
        else:
            self.deliver(now, arrival, request)
        return request

    def withdraw(self, now: int, request: Request) -> None:
        """Close the request of a client that has left: send no answer, and start no more work."""
        if request.answered:
            return
        if self.deadline_tracker.options.on_leave == "ignore":
            request.client = AbsentClient()
            return
        unwritten = tuple(a.number for a in request.attempts if a.outcome is None and not a.written)
        client_left = propagation.ClientLeft(request.claim, unwritten)
        recalls = self.deadline_tracker.step(now, client_left)
        self._close(request)
        # The balancer is informed first, so that it does not retry the attempts that end below.
        self.deliver(now, api.RequestWithdrawn(request.id), request)
        for recall in recalls:
            if not isinstance(recall, propagation.RecallAttempt):
                continue
            if (attempt := request.attempts[recall.number]).outcome is None:
                self.actions.cancel_attempt(now, attempt, Outcome.MOOT)
        for probe in [probe for probe in request.probes if not probe.written]:
            self.actions.withdraw_probe(now, probe)

    def limit_deadlines(self, until: int) -> None:
        """Shorten the deadlines of open requests to `until` (us), before the process may be killed."""
        for request in list(self.requests.values()):
            if not request.answered and request.due > until:
                request.due = request.claim.due = until
                request.timer.start(until, partial(self._on_deadline, request=request))

    # Events from executors.

    def attempt_written(self, now: int, attempt: Attempt) -> None:
        """Record that the last byte of an attempt was written, so that the executor may run it."""
        if not attempt.written and attempt.outcome is None:
            attempt.written = True
            self.deadline_tracker.step(now, propagation.AttemptWritten(attempt.request.claim, attempt.number))

    def attempt_started(self, now: int, attempt: Attempt) -> None:
        """Report to the balancer that an executor has started an attempt."""
        request = attempt.request
        self.deliver(now, api.AttemptStarted(request.id, attempt.number, attempt.executor), request)

    def attempt_progressed(self, now: int, attempt: Attempt, done: float) -> None:
        """Report an attempt's progress, a share from 0 to 1, to the balancer."""
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
        """Record the outcome of an attempt; later outcomes of the same attempt are ignored."""
        if attempt.outcome is not None:
            return
        attempt.outcome, request = outcome, attempt.request
        unobserved = attempt.end_unobserved and outcome in (Outcome.CANCELLED, Outcome.TIMEOUT)
        ended = propagation.AttemptEnded(request.claim, attempt.number, outcome, unobserved)
        self.deadline_tracker.step(now, ended)
        if outcome == Outcome.OK:
            self.give_final_answer(now, request.id, Served(result))
        # An attempt that no retry can follow does not use the cluster's retry budget.
        is_final = request.answered or outcome == Outcome.MOOT or now >= request.due
        may_retry = is_final or self.observer.may_retry(now)
        max_attempts = api.UNLIMITED_ATTEMPTS if may_retry else len(request.attempts)
        event = api.AttemptEnded(
            request.id, attempt.number, attempt.executor, outcome, request.answered, report, max_attempts
        )
        self.observer.on_attempt_ended(now, attempt)
        if report:
            self.observer.on_report(now, attempt.executor, report)
        self.deliver(now, event, request)
        self._forget_if_finished(request)

    def probe_ended(
        self, now: int, probe: Probe, outcome: Outcome, report: api.LoadReport | None = None
    ) -> None:
        """Report the result of a probe to the balancer."""
        if probe.request is not None and probe in probe.request.probes:
            probe.request.probes.remove(probe)
        if report:
            self.observer.on_report(now, probe.executor, report)
        self.deliver(now, api.ProbeEnded(probe.executor, outcome, report))

    def on_peer_report(self, now: int, executor: int, report: api.LoadReport, age: int) -> None:
        """Report to the balancer a load report that another node received at most `age` ago (us)."""
        self.deliver(now, api.ProbeEnded(executor, Outcome.OK, report, age))

    def set_sibling_usage(self, now: int, executor: int, slots: float, memory: float) -> None:
        """Report to the balancer the usage of an executor by a sibling process of this node."""
        self.deliver(now, api.SiblingLoad(executor, slots, memory))

    # Events from discovery and from the cluster.

    def on_endpoint_list(self, now: int, change: api.EndpointList) -> None:
        """Apply a full endpoint list or a change of the list."""
        ready = {entry.executor for entry in change.entries if entry.state == api.ExecutorState.READY}
        if change.kind in (api.EndpointListKind.FULL, api.EndpointListKind.CACHED):
            self.ready_executors = ready
        else:
            self.ready_executors -= {entry.executor for entry in change.entries}
            self.ready_executors |= ready
        self.deliver(now, change)

    def set_zone_shares(self, now: int, shares: dict[tuple[int, ...], dict[int, float]]) -> None:
        """Set the share of requests for each zone, by the zones in which the requests may run."""
        self.deliver(now, api.ZoneShares(shares))

    # Queries by the adapters.

    def may_write(self, now: int, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent, for example after it waited for a connection."""
        return self.blocking_outcome(now, attempt) is None

    def blocking_outcome(self, now: int, attempt: Attempt) -> Outcome | None:
        """Return the outcome of an attempt that may no longer be sent, or None if it may.

        MOOT means that the request may have no further attempt, so it is answered at once. DROPPED means that
        another executor may be tried, and that the chosen one is not at fault.
        """
        request = attempt.request
        if attempt.outcome is not None or not self.deadline_tracker.may_start(now, request.claim):
            return Outcome.MOOT
        if not request.client.is_connected():  # the event loop may not have read its close yet
            return Outcome.MOOT
        max_delay_us = MAX_WRITE_DELAY_US + TRANSIT_TICKS * self.balancer.settings.tick_us
        if not attempt.arrives_within_repeat_window(now + max_delay_us):
            return Outcome.MOOT
        if not self.observer.may_send(now):
            return Outcome.DROPPED
        if attempt.executor not in self.ready_executors:  # draining or removed since its selection
            return Outcome.DROPPED
        return None

    def may_have_run(self, request: Request) -> bool:
        """Return whether an attempt of a request may run now or may have run."""
        return any(
            not self.executors.is_unsent(attempt)
            if attempt.outcome is None
            else attempt.outcome not in api.NEVER_RAN
            for attempt in request.attempts
        )

    def may_probe(self, probe: Probe) -> bool:
        """Return whether a probe may still be written; one for a client that has left may not."""
        return probe.request is None or probe.request.claim.state is not propagation.ClaimState.CLIENT_LEFT

    def may_connect(self, now: int) -> bool:
        """Return whether a cluster's budget allows another connection now."""
        return self.observer.may_spend(now, "connects")

    def may_call_discovery(self, now: int) -> bool:
        """Return whether a cluster's budget allows another call to discovery now."""
        return self.observer.may_spend(now, "lists")

    # Events to the balancer.

    def deliver(self, now: int, event: api.Event, request: Request | None = None) -> None:
        """Pass an event to the balancer, after earlier events and before those its actions cause."""
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
            if request is not None and not request.answered:  # no other event may follow for it
                self.give_final_answer(now, request.id, Failed())
                self._events.append((api.RequestWithdrawn(request.id), request))
        for action in actions:
            self.actions.run(now, action)

    # Final answers.

    def give_final_answer(self, now: int, number: int, answer: FinalAnswer) -> None:
        """Send the final answer of a request; further answers are ignored."""
        request = self.requests.get(number)
        if request is None or request.answered:
            return
        self.deadline_tracker.step(now, propagation.RequestAnswered(request.claim))
        self._close(request)
        self.observer.on_final_answer(now, request, answer)
        try:
            answer.deliver_to(request.client)
        except Exception:
            log_event("defect", True, what="answer")

    def _close(self, request: Request) -> None:
        request.answered = True
        request.payload = None  # no attempt begins any more, but those in flight may take long
        self.unanswered -= 1
        self._forget_if_finished(request)

    def _forget_if_finished(self, request: Request) -> None:
        if request.is_finished:
            request.timer.cancel()
            self.requests.pop(request.id, None)

    def _on_deadline(self, now: int, request: Request) -> None:
        """Time out the attempts of a request, and fail it unless the balancer answers it."""
        self.deadline_tracker.step(now, propagation.DeadlinePassed(request.claim))
        for attempt in request.attempts:
            if attempt.outcome is None:
                self.actions.cancel_attempt(now, attempt, Outcome.TIMEOUT, force=True)
        if not request.answered:
            log_event("overdue-unanswered")
            self.give_final_answer(now, request.id, Failed())
            self.deliver(now, api.RequestWithdrawn(request.id), request)
