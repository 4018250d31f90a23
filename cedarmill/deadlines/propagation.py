"""The state of each request's claim on executors: `DeadlineTracker.step(now, event) -> actions`.

Whatever changes a claim's state stands in TRANSITIONS; what may start in a state stands in STARTS. All times
are whole microseconds of the node's monotonic clock.
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

MEAN_GAIN = 1 / 16  # of a class's mean running time: it follows a load that changes within some tens


class ClaimState(IntEnum):
    """Who still wants the work for a request."""

    OPEN = 0  # the client waits
    CLIENT_LEFT = 1
    EXPIRED = 2  # its time is up
    ANSWERED = 3  # it has its final answer


class ClaimEvent(IntEnum):
    """What can happen to a claim as a whole."""

    LEAVE = 0
    EXPIRE = 1
    ANSWER = 2


# A claim leaves OPEN once, and the first reason stays: it is the cause of all that is spent from then on.
TRANSITIONS = {
    (ClaimState.OPEN, ClaimEvent.LEAVE): ClaimState.CLIENT_LEFT,
    (ClaimState.OPEN, ClaimEvent.EXPIRE): ClaimState.EXPIRED,
    (ClaimState.OPEN, ClaimEvent.ANSWER): ClaimState.ANSWERED,
}
STARTS = frozenset((ClaimState.OPEN,))  # the states in which an attempt, a last byte or a probe may go out
CAUSES = {
    ClaimState.CLIENT_LEFT: Cause.CLIENT_LEFT,
    ClaimState.EXPIRED: Cause.DEADLINE_PASSED,
    ClaimState.ANSWERED: Cause.LOST_RACE,
}


class Claim:
    """One request's claim; `due` and `since` (of its state) are in us."""

    __slots__ = ("abandoned_at", "due", "job_class", "since", "slots", "state", "written_at")

    def __init__(self, job_class: int, slots: float, due: int) -> None:
        self.job_class, self.slots, self.due = job_class, slots, due
        self.state, self.since = ClaimState.OPEN, 0
        self.written_at: dict[int, int] = {}  # by attempt in flight: when its last byte left (us)
        self.abandoned_at: dict[int, int] | None = None  # by attempt that the balancer gave up: when (us)


# Events.


@dataclass(slots=True)
class RequestArrived:
    """A request has come."""

    claim: Claim


@dataclass(slots=True)
class AttemptWritten:
    """An attempt's last byte has left: it may run from now on."""

    claim: Claim
    number: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has its one outcome; `unobserved`: the executor's own end of it is not seen."""

    claim: Claim
    number: int
    outcome: Outcome
    unobserved: bool = False


@dataclass(slots=True)
class ClientLeft:
    """The client has gone; `unwritten` are the numbers of its attempts whose last byte is still here."""

    claim: Claim
    unwritten: tuple[int, ...] = ()


@dataclass(slots=True)
class DeadlinePassed:
    """The request's time is up."""

    claim: Claim


@dataclass(slots=True)
class RequestAnswered:
    """The request has its final answer."""

    claim: Claim


@dataclass(slots=True)
class AttemptAbandoned:
    """The balancer gives an attempt up, to make room or because another has answered."""

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
    """Refuse at once: what is left is less than such a request usually runs (us), or nothing."""

    usual_us: int


@dataclass(slots=True)
class RecallAttempt:
    """Take an attempt back that has not gone out whole: it never ran."""

    number: int


Action = RejectRequest | RecallAttempt


class DeadlineTracker:
    """The claims of a node's requests, its margins, and the ledger of what was spent for nobody."""

    def __init__(self, options: DeadlineOptions, classes: int) -> None:
        self.options = options
        self.margins = Margins(options)
        self.ledger = WasteLedger()
        self.mean_running_us = [0.0] * classes  # for attempts whose end cannot be seen
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
        """Take one event at its time (us) and return the actions in order."""
        return self._handlers[type(event)](now, event)

    def may_start(self, now: int, claim: Claim) -> bool:
        """Whether anything new may go out for it: a retry, a second copy, a held byte, a probe."""
        return claim.state in STARTS and now < claim.due

    def worth_starting(self, now: int, claim: Claim) -> bool:
        """Whether what is left is as long as its class usually runs, by the quantile of the settings."""
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
            self._learn(claim.job_class, now - written_at)
        if event.outcome not in NEVER_RAN:  # else it cost no slot
            self._charge_if_wasted(now, event, written_at)
        return []

    def _charge_if_wasted(self, now: int, event: AttemptEnded, written_at: int) -> None:
        claim = event.claim
        abandoned_at = claim.abandoned_at.get(event.number) if claim.abandoned_at else None
        if claim.state in CAUSES:
            cause, wanted_till = CAUSES[claim.state], max(written_at, claim.since)
        elif abandoned_at is not None and event.outcome != Outcome.OK:  # one that goes on may still answer
            cause, wanted_till = Cause.ABANDONED, max(written_at, abandoned_at)
        else:
            return
        unseen = written_at + self.mean_running_us[claim.job_class] - now if event.unobserved else 0.0
        slots = claim.slots
        before, after = slots * (wanted_till - written_at), slots * (now - wanted_till)
        self.ledger.charge(claim.job_class, cause, before, after, slots * max(0.0, unseen))

    def _learn(self, job_class: int, ran_us: int) -> None:
        mean = self.mean_running_us[job_class]
        self.mean_running_us[job_class] = mean + (ran_us - mean) * MEAN_GAIN if mean else float(ran_us)
        if self.options.worth_quantile:
            self.quantiles[job_class].learn(ran_us)

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
