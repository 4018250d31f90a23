"""Tracks per request whether work is still wanted, as a state machine: `DeadlineTracker.step(now, event)`.

TRANSITIONS lists all state changes of a claim, and STARTABLE_STATES the states in which new work may start.
All times are whole microseconds of the node's monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from cedarmill.deadlines.margins import Margins
from cedarmill.deadlines.waste_ledger import Cause, WasteLedger
from cedarmill.deadlines.worth_starting import RunningTimeQuantile
from cedarmill.decisions.interface import NEVER_RAN, Outcome
from cedarmill.values import DeadlineOptions

RUN_TIME_GAIN = 1 / 16  # weight of a new running time; the mean follows a changed load within some tens


class ClaimState(IntEnum):
    """Whether the work for a request is still wanted, and why not."""

    OPEN = 0  # The client waits for the answer.
    CLIENT_LEFT = 1
    EXPIRED = 2  # The deadline has passed.
    ANSWERED = 3  # The request has its final answer.


class ClaimEvent(IntEnum):
    """Events that change the state of a claim."""

    LEAVE = 0
    EXPIRE = 1
    ANSWER = 2


# A claim leaves OPEN only once, and the first reason is the cause to which later waste is charged.
TRANSITIONS = {
    (ClaimState.OPEN, ClaimEvent.LEAVE): ClaimState.CLIENT_LEFT,
    (ClaimState.OPEN, ClaimEvent.EXPIRE): ClaimState.EXPIRED,
    (ClaimState.OPEN, ClaimEvent.ANSWER): ClaimState.ANSWERED,
}
STARTABLE_STATES = frozenset((ClaimState.OPEN,))  # states in which attempts and probes may start or complete
WASTE_CAUSES = {
    ClaimState.CLIENT_LEFT: Cause.CLIENT_LEFT,
    ClaimState.EXPIRED: Cause.DEADLINE_PASSED,
    ClaimState.ANSWERED: Cause.LOST_RACE,
}


class Claim:
    """Deadline state of one request; `due` and `since`, when the state was entered, are in us."""

    __slots__ = ("abandoned_at", "due", "job_class", "since", "slots", "state", "written_at")

    def __init__(self, job_class: int, slots: float, due: int) -> None:
        self.job_class, self.slots, self.due = job_class, slots, due
        self.state, self.since = ClaimState.OPEN, 0
        self.written_at: dict[int, int] = {}  # time of the last byte (us), by attempt in flight
        self.abandoned_at: dict[int, int] | None = None  # time of the cancel (us), by attempt


# Events.


@dataclass(slots=True)
class RequestArrived:
    """A request has arrived."""

    claim: Claim


@dataclass(slots=True)
class AttemptWritten:
    """An attempt was written completely, so the executor may run it from now on."""

    claim: Claim
    number: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has its outcome; `unobserved` means that its end at the executor cannot be seen."""

    claim: Claim
    number: int
    outcome: Outcome
    unobserved: bool = False


@dataclass(slots=True)
class ClientLeft:
    """The client has disconnected; `unwritten` numbers the attempts that are not completely written."""

    claim: Claim
    unwritten: tuple[int, ...] = ()


@dataclass(slots=True)
class DeadlinePassed:
    """The request's deadline has passed."""

    claim: Claim


@dataclass(slots=True)
class RequestAnswered:
    """The request has received its final answer."""

    claim: Claim


@dataclass(slots=True)
class AttemptAbandoned:
    """The balancer has cancelled an attempt, to preempt it or because another attempt has answered."""

    claim: Claim
    number: int


Event = (
    RequestArrived
    | AttemptWritten
    | AttemptEnded
    | ClientLeft
    | DeadlinePassed
    | RequestAnswered
    | AttemptAbandoned
)


# Actions.


@dataclass(slots=True)
class RejectRequest:
    """Refuse the request at once: less time remains than such a request typically runs (us)."""

    typical_us: int


@dataclass(slots=True)
class RecallAttempt:
    """Cancel an attempt that was not completely written and therefore never ran."""

    number: int


Action = RejectRequest | RecallAttempt


class DeadlineTracker:
    """Applies deadline events to the claims of a node's requests, and owns its margins and waste ledger."""

    def __init__(self, options: DeadlineOptions, classes: int) -> None:
        self.options = options
        self.margins = Margins(options)
        self.ledger = WasteLedger()
        self.mean_running_us = [0.0] * classes  # by class; stands in for unobserved running times
        self.quantiles = [RunningTimeQuantile(options.worth_quantile) for _ in range(classes)]
        self._handlers: dict[type, Callable[[int, Any], list[Action]]] = {
            RequestArrived: self._request_arrived,
            AttemptWritten: self._attempt_written,
            AttemptEnded: self._attempt_ended,
            ClientLeft: self._client_left,
            DeadlinePassed: self._deadline_passed,
            RequestAnswered: self._request_answered,
            AttemptAbandoned: self._attempt_abandoned,
        }

    def step(self, now: int, event: Event) -> list[Action]:
        """Handle an event that happened at `now` (us) and return the resulting actions in order."""
        return self._handlers[type(event)](now, event)

    def may_start(self, now: int, claim: Claim) -> bool:
        """Return whether new work may start for a claim: an attempt, its last byte or a probe."""
        return claim.state in STARTABLE_STATES and now < claim.due

    def worth_starting(self, now: int, claim: Claim) -> bool:
        """Return whether the remaining time covers the configured quantile of the class's running times."""
        if not self.options.worth_quantile:
            return True
        return claim.due - now >= self.quantiles[claim.job_class].value()

    def _request_arrived(self, now: int, event: RequestArrived) -> list[Action]:
        claim = event.claim
        if self.worth_starting(now, claim):
            return []
        return [RejectRequest(self.quantiles[claim.job_class].value())]

    def _attempt_written(self, now: int, event: AttemptWritten) -> list[Action]:
        event.claim.written_at[event.number] = now
        return []

    def _attempt_ended(self, now: int, event: AttemptEnded) -> list[Action]:
        claim = event.claim
        written_at = claim.written_at.pop(event.number, None)
        if written_at is None:
            return []
        if event.outcome == Outcome.OK:
            self._record_running_time(claim.job_class, now - written_at)
        if event.outcome not in NEVER_RAN:  # an attempt that never ran used no slot
            self._charge_if_wasted(now, event, written_at)
        return []

    def _charge_if_wasted(self, now: int, event: AttemptEnded, written_at: int) -> None:
        claim = event.claim
        abandoned_at = claim.abandoned_at.get(event.number) if claim.abandoned_at else None
        if claim.state in WASTE_CAUSES:
            cause, wanted_until = WASTE_CAUSES[claim.state], max(written_at, claim.since)
        elif abandoned_at is not None and event.outcome != Outcome.OK:  # a success is no waste
            cause, wanted_until = Cause.ABANDONED, max(written_at, abandoned_at)
        else:
            return
        guessed = written_at + self.mean_running_us[claim.job_class] - now if event.unobserved else 0.0
        slots = claim.slots
        before, after = slots * (wanted_until - written_at), slots * (now - wanted_until)
        self.ledger.charge(claim.job_class, cause, before, after, slots * max(0.0, guessed))

    def _record_running_time(self, job_class: int, ran_us: int) -> None:
        mean = self.mean_running_us[job_class]
        self.mean_running_us[job_class] = mean + (ran_us - mean) * RUN_TIME_GAIN if mean else float(ran_us)
        if self.options.worth_quantile:
            self.quantiles[job_class].add_sample(ran_us)

    def _change_state(self, now: int, claim: Claim, event: ClaimEvent) -> bool:
        state = TRANSITIONS.get((claim.state, event))
        if state is None:
            return False
        claim.state, claim.since = state, now
        return True

    def _client_left(self, now: int, event: ClientLeft) -> list[Action]:
        if not self._change_state(now, event.claim, ClaimEvent.LEAVE):
            return []
        return [RecallAttempt(number) for number in event.unwritten]

    def _deadline_passed(self, now: int, event: DeadlinePassed) -> list[Action]:
        self.margins.record_lag(now - event.claim.due)
        self._change_state(now, event.claim, ClaimEvent.EXPIRE)
        return []

    def _request_answered(self, now: int, event: RequestAnswered) -> list[Action]:
        self._change_state(now, event.claim, ClaimEvent.ANSWER)
        return []

    def _attempt_abandoned(self, now: int, event: AttemptAbandoned) -> list[Action]:
        claim = event.claim
        if claim.state is ClaimState.OPEN:
            claim.abandoned_at = {**(claim.abandoned_at or {}), event.number: now}
        return []
