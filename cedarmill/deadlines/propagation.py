"""The state of each req's claim on the fleet: `Budget.step(now, event) -> actions`.

Whatever changes a claim's state stands in TRANSITIONS; what may start in a state stands in STARTS.
"""

from dataclasses import dataclass
from enum import IntEnum

from cedarmill.deadlines.margins import Margins
from cedarmill.deadlines.waste_ledger import Cause, Ledger
from cedarmill.deadlines.worth_starting import Quantile
from cedarmill.decisions.interface import NEVER_RAN, Outcome
from cedarmill.values import DeadlineOptions

USUAL_GAIN = 1 / 16  # of a class's mean running time: it follows a load that changes within some tens


class State(IntEnum):
    """Whose the work for a req is."""

    OPEN = 0  # the client waits
    LEFT = 1  # it has gone
    OVERDUE = 2  # its time is up
    ANSWERED = 3  # it has its final answer


class Turn(IntEnum):
    """What can befall a claim as a whole."""

    LEAVE = 0
    RUN_OUT = 1
    ANSWER = 2


# A claim leaves OPEN once, and the first reason stays: it is the cause of all that is spent from then on.
TRANSITIONS = {
    (State.OPEN, Turn.LEAVE): State.LEFT,
    (State.OPEN, Turn.RUN_OUT): State.OVERDUE,
    (State.OPEN, Turn.ANSWER): State.ANSWERED,
}
STARTS = frozenset((State.OPEN,))  # the states in which an attempt, a last byte or a probe may go out
CAUSES = {State.LEFT: Cause.LEFT, State.OVERDUE: Cause.OVERDUE, State.ANSWERED: Cause.LOST_RACE}


class Claim:
    """One req's claim; `out` holds its attempts whose last byte has left, and when (us)."""

    __slots__ = ("job_class", "slots", "due", "state", "since", "out", "cut")

    def __init__(self, job_class: int, slots: float, due: int) -> None:
        self.job_class, self.slots, self.due = job_class, slots, due
        self.state, self.since = State.OPEN, 0
        self.out: dict[int, int] = {}
        self.cut: dict[int, int] | None = None  # attempts that the module gave up, and when


# Events.


@dataclass(slots=True)
class Arrived:
    """A req has come."""

    claim: Claim


@dataclass(slots=True)
class Written:
    """An attempt's last byte has left: it may run from now on."""

    claim: Claim
    number: int


@dataclass(slots=True)
class Ended:
    """An attempt's one outcome; `blind`: the backend's own end of it is not seen."""

    claim: Claim
    number: int
    outcome: Outcome
    blind: bool = False


@dataclass(slots=True)
class Left:
    """The client has gone; `unwritten` are the numbers of its attempts whose last byte is still here."""

    claim: Claim
    unwritten: tuple[int, ...] = ()


@dataclass(slots=True)
class RanOut:
    """Its time is up."""

    claim: Claim


@dataclass(slots=True)
class Answered:
    """It has its final answer."""

    claim: Claim


@dataclass(slots=True)
class Cut:
    """The module gives an attempt up, to make room or because another has answered."""

    claim: Claim
    number: int


Event = Arrived | Written | Ended | Left | RanOut | Answered | Cut


# Actions.


@dataclass(slots=True)
class Deny:
    """Say no at once: what is left is less than such a req usually runs, or nothing."""

    usual_us: int


@dataclass(slots=True)
class Recall:
    """Take an attempt back that has not gone out whole: it never ran."""

    number: int


Action = Deny | Recall


class Budget:
    """The claims of a node's reqs, its margins, and the ledger of what was spent for nobody."""

    def __init__(self, options: DeadlineOptions, classes: int) -> None:
        self.options = options
        self.margins = Margins(options)
        self.ledger = Ledger()
        self.usual = [0.0] * classes  # mean running times (us), for what cannot be seen to end
        self.worth = [Quantile(options.worth_quantile) for _ in range(classes)]
        self._handlers = {
            Arrived: self._arrived, Written: self._written, Ended: self._ended, Left: self._left,
            RanOut: self._ran_out, Answered: self._answered, Cut: self._cut,
        }  # fmt: skip

    def step(self, now: int, event: Event) -> list[Action]:
        """Take one event at its time (us) and return the actions in order."""
        return self._handlers[type(event)](now, event) or []

    def may_start(self, now: int, claim: Claim) -> bool:
        """Whether anything new may go out for it: a retry, a second copy, a held byte, a probe."""
        return claim.state in STARTS and now < claim.due

    def worth_starting(self, now: int, claim: Claim) -> bool:
        """Whether what is left is as long as its class usually runs, by the quantile of the settings."""
        if not self.options.worth_quantile:
            return True
        return claim.due - now >= self.worth[claim.job_class].value()

    def _arrived(self, now: int, event: Arrived) -> list[Action]:
        claim = event.claim
        if self.worth_starting(now, claim):
            return []
        return [Deny(self.worth[claim.job_class].value())]

    def _written(self, now: int, event: Written) -> None:
        event.claim.out[event.number] = now

    def _ended(self, now: int, event: Ended) -> None:
        claim, number = event.claim, event.number
        since, cut = claim.out.pop(number, None), claim.cut and claim.cut.get(number)
        if event.outcome == Outcome.OK and since is not None:
            self._learn(claim.job_class, now - since)
        if since is None or event.outcome in NEVER_RAN:
            return  # it cost no slot
        if claim.state in CAUSES:
            cause, wanted_till = CAUSES[claim.state], max(since, claim.since)
        elif cut is not None and event.outcome != Outcome.OK:  # one that could not be cut may still answer
            cause, wanted_till = Cause.CUT, max(since, cut)
        else:
            return
        guessed = max(0.0, since + self.usual[claim.job_class] - now) if event.blind else 0
        slots = claim.slots
        self.ledger.charge(claim.job_class, cause, slots * (wanted_till - since),
                           slots * (now - wanted_till), slots * guessed)  # fmt: skip

    def _learn(self, job_class: int, ran: int) -> None:
        usual = self.usual[job_class]
        self.usual[job_class] = usual + (ran - usual) * USUAL_GAIN if usual else float(ran)
        if self.options.worth_quantile:
            self.worth[job_class].learn(ran)

    def _turn(self, now: int, claim: Claim, turn: Turn) -> bool:
        state = TRANSITIONS.get((claim.state, turn))
        if state is None:
            return False
        claim.state, claim.since = state, now
        return True

    def _left(self, now: int, event: Left) -> list[Action]:
        if not self._turn(now, event.claim, Turn.LEAVE):
            return []
        return [Recall(number) for number in event.unwritten]

    def _ran_out(self, now: int, event: RanOut) -> None:
        self.margins.late(now - event.claim.due)
        self._turn(now, event.claim, Turn.RUN_OUT)

    def _answered(self, now: int, event: Answered) -> None:
        self._turn(now, event.claim, Turn.ANSWER)

    def _cut(self, now: int, event: Cut) -> None:
        if event.claim.state is State.OPEN:
            event.claim.cut = {**(event.claim.cut or {}), event.number: now}
