"""Executes the balancer's actions on the ports of the dispatch; a failing port affects one action only.

Times are whole microseconds of the node's monotonic clock.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cedarmill.core.requests import Attempt, Failed, Probe, Refused
from cedarmill.deadlines import propagation
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome
from cedarmill.log import log_event

if TYPE_CHECKING:
    from cedarmill.core.dispatch import Dispatch


class ActionRunner:
    """Turns each action into calls on the ports, and reports failures as outcomes."""

    def __init__(self, dispatch: "Dispatch") -> None:
        self.dispatch = dispatch
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            api.Send: self.send,
            api.Cancel: self.cancel,
            api.Refuse: self.refuse,
            api.Fail: self.fail,
            api.SetTimer: self.set_timer,
            api.Probe: self.probe,
            api.Subscribe: self.subscribe,
        }

    def run(self, now: int, action: api.Action) -> None:
        """Execute one action."""
        try:
            self._handlers[type(action)](now, action)
        except Exception:
            log_event("defect", True, what=f"action {type(action).__name__}")

    def send(self, now: int, action: api.Send) -> None:
        """Start the next attempt of a request, unless it may no longer be sent."""
        dispatch = self.dispatch
        request = dispatch.requests[action.request]
        attempt = Attempt(request, len(request.attempts), action.executor, now)
        request.attempts.append(attempt)
        exceeds_limit = attempt.number >= dispatch.balancer.settings.max_attempts
        if exceeds_limit or not dispatch.deadline_tracker.may_start(now, request.claim):
            dispatch.attempt_ended(now, attempt, Outcome.MOOT)
            return
        if not dispatch.deadline_tracker.worth_starting(now, request.claim):
            may_have_run = any(a.outcome not in api.NEVER_RAN for a in request.attempts if a is not attempt)
            dispatch.give_final_answer(now, request.id, Failed() if may_have_run else Refused())
            dispatch.attempt_ended(now, attempt, Outcome.MOOT)
            return
        if (blocked := dispatch.blocking_outcome(now, attempt)) is not None:
            dispatch.attempt_ended(now, attempt, blocked)
            return
        try:
            dispatch.executors.send(attempt)
        except Exception:
            log_event("defect", True, what="send")
            dispatch.attempt_ended(now, attempt, Outcome.RESET)  # the executor may have received it

    def cancel(self, now: int, action: api.Cancel) -> None:
        """Cancel an attempt for the balancer, unless it has ended."""
        request = self.dispatch.requests.get(action.request)
        if request is None or (attempt := request.attempts[action.attempt]).outcome is not None:
            return
        self.dispatch.deadline_tracker.step(now, propagation.AttemptAbandoned(request.claim, attempt.number))
        self.cancel_attempt(now, attempt, self._outcome_of_cancel(attempt))

    def _outcome_of_cancel(self, attempt: Attempt) -> Outcome:
        """Return the outcome of a cancelled attempt; RECALLED and MOOT prove that it never ran."""
        has_left = attempt.request.claim.state is propagation.ClaimState.CLIENT_LEFT
        if has_left and not attempt.written:
            return Outcome.MOOT
        return Outcome.RECALLED if self.dispatch.executors.is_unsent(attempt) else Outcome.CANCELLED

    def cancel_attempt(self, now: int, attempt: Attempt, outcome: Outcome, force: bool = False) -> None:
        """Cancel an attempt; one that its executor cannot stop keeps its slots until it ends."""
        has_ended = True
        try:
            has_ended = self.dispatch.executors.cancel(attempt, force) is not False
        except Exception:
            log_event("defect", True, what="cancel")
        if has_ended or force:
            self.dispatch.attempt_ended(now, attempt, outcome)

    def refuse(self, now: int, action: api.Refuse) -> None:
        """Answer a request as refused."""
        self.dispatch.give_final_answer(now, action.request, Refused(action.retry_after_us))

    def fail(self, now: int, action: api.Fail) -> None:
        """Answer a request as failed."""
        self.dispatch.give_final_answer(now, action.request, Failed())

    def probe(self, now: int, action: api.Probe) -> None:
        """Send a probe to an executor, on behalf of a request if the action names one."""
        dispatch = self.dispatch
        request = dispatch.requests.get(action.request)
        probe = Probe(action.executor, request)
        if not dispatch.may_probe(probe) or not dispatch.observer.may_spend(now, "probes"):
            dispatch.probe_ended(now, probe, Outcome.MOOT)
            return
        if request is not None:
            request.probes.append(probe)
        try:
            dispatch.executors.probe(probe)
        except Exception:
            log_event("defect", True, what="probe")
            dispatch.probe_ended(now, probe, Outcome.CONNECT_FAILED)  # ends the balancer's wait for it

    def withdraw_probe(self, now: int, probe: Probe) -> None:
        """Cancel a probe that has not been written."""
        try:
            self.dispatch.executors.withdraw_probe(probe)
        except Exception:
            log_event("defect", True, what="recall")
        self.dispatch.probe_ended(now, probe, Outcome.MOOT)

    def subscribe(self, now: int, action: api.Subscribe) -> None:
        """Start to watch the endpoint list; the port restores a lost watch by itself."""
        try:
            if self.dispatch.may_call_discovery(now):
                self.dispatch.discovery.watch()
                return
        except Exception:
            log_event("defect", True, what="watch")
        failed = api.EndpointList(api.EndpointListKind.FAILED, [])  # the balancer retries with backoff
        self.dispatch.on_endpoint_list(now, failed)

    def set_timer(self, now: int, action: api.SetTimer) -> None:
        """Schedule a timer event for the balancer."""
        fired = api.TimerFired(action.token)
        self.dispatch.timers.add(now + action.delay_us, lambda at: self.dispatch.deliver(at, fired))
