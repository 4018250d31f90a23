"""The balancer of one node, which dispatches each event to the decision modules.

Events, actions and settings are defined in cedarmill/decisions/interface.py. The balancer does no I/O and has
no clock of its own.
"""

import math
from collections.abc import Callable
from typing import Any

from cedarmill.decisions import (
    admission,
    discovery_calls,
    learning,
    outliers,
    quotas,
    rejections,
    retries,
    selection,
    slow_start,
)
from cedarmill.decisions import (
    interface as api,
)
from cedarmill.decisions.interface import Outcome
from cedarmill.decisions.state import (
    Attempt,
    BalancerState,
    Executor,
    ProbeTimeout,
    QueueRetryDue,
    QueueTimeout,
    Request,
    SubscribeDue,
)

RETRY_AFTER_SLACK_FACTOR = 0.25  # Retry-After of a refused request, as a share of its slack


class Balancer:
    """Turns events into actions: `handle` takes an event and its time and returns the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.state = BalancerState(settings, seed)
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            api.RequestArrived: self._on_request_arrived,
            api.RequestWithdrawn: self._on_request_withdrawn,
            api.AttemptStarted: self._on_attempt_started,
            api.AttemptProgress: self._on_attempt_progress,
            api.StreamStarted: self._on_stream_started,
            api.AttemptEnded: self._on_attempt_ended,
            api.ProbeEnded: self._on_probe_ended,
            api.TimerFired: self._on_timer_fired,
            api.EndpointList: self._on_endpoint_list,
            api.PeerMessage: self._on_peer_message,
            api.SiblingLoad: self._on_sibling_load,
            api.ZoneShares: self._on_zone_shares,
        }

    @property
    def settings(self) -> api.Settings:
        """Settings given to the constructor."""
        return self.state.settings

    @property
    def executors(self) -> dict[int, Executor]:
        """Every executor that the endpoint list has named, by executor number."""
        return self.state.executors

    @property
    def requests(self) -> dict[int, Request]:
        """Unfinished requests, by request number."""
        return self.state.requests

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle an event at time `now` (us) and return the resulting actions in order."""
        self.state.now = now
        self.state.actions = []
        self._handlers[type(event)](event)
        return self.state.actions

    # Requests.

    def _on_request_arrived(self, event: api.RequestArrived) -> None:
        state = self.state
        request = Request(
            event.request,
            event.job_class,
            event.slots,
            event.memory,
            event.hint_us,
            state.settings.classes[event.job_class],
            deadline=state.now + event.time_left_us,
            priority=quotas.record_and_prioritize(state, event),
            allowed_zones=event.allowed_zones,
            max_attempts=state.settings.max_attempts,
            retry_after_factor=event.retry_after_factor or RETRY_AFTER_SLACK_FACTOR,
        )
        state.requests[event.request] = request
        slow_start.record_arrival(state, request)
        if event.retry_after_factor:  # the cluster sheds requests of this priority
            admission.reject_or_queue(state, request)
        else:
            admission.admit(state, request)

    def _on_request_withdrawn(self, event: api.RequestWithdrawn) -> None:
        if (request := self.state.requests.get(event.request)) is not None:
            retries.finish(self.state, request)

    # Attempts.

    def _find_attempt(
        self, event: api.AttemptStarted | api.AttemptProgress | api.StreamStarted | api.AttemptEnded
    ) -> Attempt | None:
        """Return the in-flight attempt that an event refers to."""
        executor = self.state.executors.get(event.executor)
        return executor.attempts.get((event.request, event.attempt)) if executor is not None else None

    def _on_attempt_started(self, event: api.AttemptStarted) -> None:
        attempt = self._find_attempt(event)
        if attempt is None or attempt.started_at:
            return
        attempt.started_at = self.state.now
        attempt.executor.consecutive_failures = 0
        learning.record_start(self.state, attempt)

    def _on_attempt_progress(self, event: api.AttemptProgress) -> None:
        if (attempt := self._find_attempt(event)) is not None:
            self._mark_running(attempt)
            attempt.progress = event.done

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        if (attempt := self._find_attempt(event)) is not None:
            self._mark_running(attempt)
            attempt.progress = 0.0
            attempt.not_preemptible = True  # the response already goes to the client

    def _mark_running(self, attempt: Attempt) -> None:
        """Record evidence that an attempt is running."""
        attempt.started_at = attempt.started_at or self.state.now
        attempt.executor.consecutive_failures = 0

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        if (attempt := self._find_attempt(event)) is None:
            return
        state, request = self.state, attempt.request
        request.max_attempts = min(request.max_attempts, event.max_attempts)
        is_stale = self._close_attempt(attempt, event.outcome)
        self._record_outcome(attempt, event.outcome)
        learning.apply_report(state, attempt.executor, event.report, () if is_stale else (attempt,))
        if event.final or request.done:
            retries.finish(state, request)
        elif state.now >= request.deadline or event.outcome in (Outcome.MOOT, Outcome.UNUSABLE):
            retries.finish(state, request, api.Fail(request.id))
        elif not request.in_flight and not selection.select_and_send(state, request):
            admission.reject_or_queue(state, request)
        admission.retry_queued(state)

    def _close_attempt(self, attempt: Attempt, outcome: Outcome) -> bool:
        """End an attempt and return whether its reservation stays because it may still run."""
        attempt.in_flight, attempt.ended_at = False, self.state.now
        attempt.may_have_run = outcome not in api.NEVER_RAN
        attempt.was_rejected = outcome in api.REJECTIONS
        attempt.executor.attempts.pop((attempt.request.id, attempt.number), None)
        if attempt.after_preemption and not attempt.started_at:
            learning.record_preemption(self.state, is_prompt=False)
        is_stale = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and attempt.started_at > 0
        if is_stale:
            attempt.executor.stale_reservations.append(attempt)  # held until a report shows the slots free
        else:
            attempt.release()
        return is_stale

    def _record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Update what is known about an executor from the outcome of an attempt."""
        state, executor = self.state, attempt.executor
        if outcome in (Outcome.OK, Outcome.ERROR):
            executor.last_response_at = state.now
            state.recently_used = [*state.recently_used[-(selection.MAX_RECENTLY_USED - 1) :], executor]
        if outcome == Outcome.OK:
            slow_start.record_run(state, attempt)
            outliers.record_served(state, attempt)
        elif outcome == Outcome.ERROR:
            outliers.record_failed(state, attempt, outliers.ERROR_WEIGHT)
        elif outcome == Outcome.FULL:
            executor.capacity = min(executor.capacity, executor.held_slots)
            executor.rejected_at = state.now
            learning.adjust_queue_places(state, executor, math.inf, 0)
        elif outcome == Outcome.CONNECT_FAILED:
            outliers.record_connection_failure(state, executor)
        elif outcome in (Outcome.RESET, Outcome.AMBIGUOUS_FULL, Outcome.DROPPED):
            outliers.record_failed(state, attempt, outliers.BROKEN_CONNECTION_WEIGHT)

    # Executors.

    def _on_probe_ended(self, event: api.ProbeEnded) -> None:
        state = self.state
        if (executor := state.executors.get(event.executor)) is None:
            return
        request, executor.probing_request = executor.probing_request, None
        if event.outcome == Outcome.OK:
            executor.probation_at = min(executor.probation_at, state.now)
            executor.last_response_at = state.now - event.age
            learning.apply_report(state, executor, event.report)
        elif event.outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            outliers.record_connection_failure(state, executor)
        if request is not None and request.probes_pending and not request.done:
            self._on_awaited_probe_ended(request, executor)
        admission.retry_queued(state)

    def _on_awaited_probe_ended(self, request: Request, executor: Executor) -> None:
        """Send a waiting request to a probed executor with an idle slot, or admit it after the last probe."""
        state = self.state
        request.probes_pending -= 1
        has_idle_slot = (
            not outliers.reports_errors(state, executor)
            and rejections.available_capacity(state, executor, request).idle_slots
        )
        if has_idle_slot and selection.send(state, request, executor):
            request.probes_pending = 0
        elif not request.probes_pending:
            admission.admit(state, request)

    def _on_sibling_load(self, event: api.SiblingLoad) -> None:
        if (executor := self.state.executors.get(event.executor)) is not None:
            slow_start.record_sibling_sends(self.state, executor, event.slots - executor.sibling_slots)
            learning.set_sibling_load(executor, event.slots, event.memory)
            admission.retry_queued(self.state)

    def _on_endpoint_list(self, event: api.EndpointList) -> None:
        discovery_calls.apply_list(self.state, event)
        if event.kind != api.EndpointListKind.FAILED:
            admission.retry_queued(self.state)

    def _on_zone_shares(self, event: api.ZoneShares) -> None:
        self.state.zone_shares = event.rows

    def _on_peer_message(self, event: api.PeerMessage) -> None:
        """Ignore messages from other balancers."""

    # Timers.

    def _on_timer_fired(self, event: api.TimerFired) -> None:
        match self.state.timers.pop(event.token, None):
            case QueueTimeout(request):
                admission.reject_or_queue(self.state, request)
            case QueueRetryDue(request):
                admission.on_queue_retry_due(self.state, request)
            case ProbeTimeout(request, probe_round):
                if request.probes_pending and request.probe_rounds == probe_round and not request.done:
                    request.probes_pending = 0
                    admission.admit(self.state, request)  # uses the reports that have arrived
            case SubscribeDue():
                self.state.actions.append(api.Subscribe())
