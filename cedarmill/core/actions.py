"""Carries out the balancer's actions on the ports of the dispatch; a port that fails costs its action only.

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
    """Turns each action into calls on the ports, and reports what could not be done as its outcome."""

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
        """Carry out one action."""
        try:
            self._handlers[type(action)](now, action)
        except Exception:
            log_event("defect", True, what=f"action {type(action).__name__}")

    def send(self, now: int, action: api.Send) -> None:
        """Start the next attempt of a request, if it may still be sent."""
        dispatch = self.dispatch
        request = dispatch.requests[action.request]
        attempt = Attempt(request, len(request.attempts), action.executor, now)
        request.attempts.append(attempt)
        too_many = attempt.number >= dispatch.balancer.settings.max_attempts
        if too_many or not dispatch.deadline_tracker.may_start(now, request.claim):
            dispatch.attempt_ended(now, attempt, Outcome.MOOT)
            return
        if not dispatch.deadline_tracker.worth_starting(now, request.claim):
            ran = any(a.outcome not in api.NEVER_RAN for a in request.attempts if a is not attempt)
            dispatch.give_final_answer(now, request.id, Failed() if ran else Refused())
            dispatch.attempt_ended(now, attempt, Outcome.MOOT)
            return
        if (blocked := dispatch.blocking_outcome(now, attempt)) is not None:
            dispatch.attempt_ended(now, attempt, blocked)
            return
        try:
            dispatch.executors.send(attempt)
        except Exception:
            log_event("defect", True, what="send")
            dispatch.attempt_ended(now, attempt, Outcome.RESET)  # how far it came is not known

    def cancel(self, now: int, action: api.Cancel) -> None:
        """Stop waiting for an attempt."""
        request = self.dispatch.requests.get(action.request)
        if request is None or (attempt := request.attempts[action.attempt]).outcome is not None:
            return
        self.dispatch.deadline_tracker.step(now, propagation.AttemptAbandoned(request.claim, attempt.number))
        never_ran = request.claim.state is propagation.ClaimState.CLIENT_LEFT and not attempt.written
        self.give_up(now, attempt, Outcome.MOOT if never_ran else Outcome.CANCELLED)

    def give_up(self, now: int, attempt: Attempt, outcome: Outcome, now_or_never: bool = False) -> None:
        """End an attempt here, unless its executor cannot stop it: then its slots stay taken till it ends."""
        over = True
        try:
            over = self.dispatch.executors.cancel(attempt, now_or_never) is not False
        except Exception:
            log_event("defect", True, what="cancel")
        if over or now_or_never:
            self.dispatch.attempt_ended(now, attempt, outcome)

    def refuse(self, now: int, action: api.Refuse) -> None:
        """Refuse a request."""
        self.dispatch.give_final_answer(now, action.request, Refused(action.retry_after_us))

    def fail(self, now: int, action: api.Fail) -> None:
        """Fail a request."""
        self.dispatch.give_final_answer(now, action.request, Failed())

    def probe(self, now: int, action: api.Probe) -> None:
        """Probe an executor, for the sake of a request or of none."""
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
            dispatch.probe_ended(now, probe, Outcome.CONNECT_FAILED)  # or the balancer would wait for ever

    def recall(self, now: int, probe: Probe) -> None:
        """Take back a probe that has not been written."""
        try:
            self.dispatch.executors.recall(probe)
        except Exception:
            log_event("defect", True, what="recall")
        self.dispatch.probe_ended(now, probe, Outcome.MOOT)

    def subscribe(self, now: int, action: api.Subscribe) -> None:
        """Begin to watch the endpoint list; from then on the port asks by itself when the watch is lost."""
        try:
            if self.dispatch.may_call_discovery(now):
                self.dispatch.discovery.watch()
                return
        except Exception:
            log_event("defect", True, what="watch")
        failed = api.EndpointList(api.EndpointListKind.FAILED, [])  # the balancer asks again, later each time
        self.dispatch.on_endpoint_list(now, failed)

    def set_timer(self, now: int, action: api.SetTimer) -> None:
        """Tell the balancer when a span has passed."""
        fired = api.TimerFired(action.token)
        self.dispatch.timers.add(now + action.delay_us, lambda at: self.dispatch.deliver(at, fired))
