"""Hooks by which a cluster member observes the dispatch and limits what it sends.

The base class DispatchObserver does nothing and allows everything, as a node without a cluster needs. Times
are whole microseconds of the node's monotonic clock.
"""

from cedarmill.core.requests import Attempt, FinalAnswer, Request
from cedarmill.decisions import interface as api


class DispatchObserver:
    """Receives the dispatch's events, and is asked for permission before anything is sent."""

    def constrain_request(self, arrival: api.RequestArrived) -> None:
        """Set on an arriving request the zones where it may run and whether it is shed."""

    def on_report(self, now: int, executor: int, report: api.LoadReport) -> None:
        """Handle a load report from an executor."""

    def on_final_answer(self, now: int, request: Request, answer: FinalAnswer) -> None:
        """Handle the final answer of a request."""

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Handle the end of an attempt."""

    def may_send(self, now: int) -> bool:
        """Return whether this node may send anything to executors."""
        return True

    def may_spend(self, now: int, budget: str) -> bool:
        """Return whether one unit of a cluster budget may be spent (`probes`, `lists` or `connects`)."""
        return True

    def may_retry(self, now: int) -> bool:
        """Return whether a failed attempt may be retried."""
        return True
