"""How an exchange on a connection to an executor ends: outcome, reason of a break, result and load report."""

from enum import Enum
from typing import NamedTuple

from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome


class BreakReason(Enum):
    """Why a connection broke under an exchange, in the words of the log."""

    CLOSED_BY_EXECUTOR = "closed by the executor"
    CONNECTION_FAILED = "reset or failed"
    INTERNAL_ERROR = "closed by the node: a callback failed"
    SEND_TIMED_OUT = "closed by the node: the request did not leave in time"
    ANSWER_END_TIMED_OUT = "closed by the node: an answer did not end in time"
    IDLE_TIMED_OUT = "closed by the node: idle for too long"
    ANSWER_MALFORMED = "closed by the node: the answer is malformed"
    LINE_TOO_LONG = "closed by the node: a line of the answer is too long"
    MEMORY_FULL = "closed by the node: messages are at their bound of memory, and this one costs most"
    RESULT_MISSING = "closed by the node: the last line of the answer has no result"
    ID_MISSING = "closed by the node: a line of the answer names no request"
    REJECTION_AMBIGUOUS = "closed by the node: a rejection may belong to the request before"
    ANSWER_INCOMPLETE = "the answer ended without a final state"
    CONNECT_TIMED_OUT = "not opened in time"
    CONNECT_FAILED = "not opened"


class ExchangeEnd(NamedTuple):
    """The outcome of an exchange, with the executor's load report and an attempt's result if any.

    `reason` is set if the connection broke before the answer was complete.
    """

    outcome: Outcome
    report: api.LoadReport | None = None
    result: bytes | None = None
    reason: BreakReason | None = None


AMBIGUOUS_REJECTION = ExchangeEnd(Outcome.AMBIGUOUS_FULL, reason=BreakReason.REJECTION_AMBIGUOUS)
INCOMPLETE_ANSWER = ExchangeEnd(Outcome.RESET, reason=BreakReason.ANSWER_INCOMPLETE)
MALFORMED_ANSWER = ExchangeEnd(Outcome.RESET, reason=BreakReason.ANSWER_MALFORMED)


class MalformedAnswer(ValueError):
    """Raised for an answer that cannot be used; `end` is that of its exchange, which may have run."""

    def __init__(self, reason: BreakReason) -> None:
        super().__init__(reason.value)
        self.end = ExchangeEnd(Outcome.RESET, reason=reason)
