"""What a fleet may see of the dispatch's work, and what it may forbid.

`DispatchObserver` does nothing and allows everything: it is what a node without a fleet uses. Times are whole
microseconds of the node's monotonic clock.
"""

from cedarmill.core.requests import Attempt, FinalAnswer, Request
from cedarmill.decisions import interface as api


class DispatchObserver:
    """Is notified of events, and asked before something is sent or spent."""

    def place_request(self, arrival: api.RequestArrived) -> None:
        """Set on a request that arrives where it may run, and whether it is shed."""

    def on_report(self, now: int, executor: int, report: api.LoadReport) -> None:
        """An executor has sent a load report."""

    def on_final_answer(self, now: int, request: Request, answer: FinalAnswer) -> None:
        """A request has its final answer."""

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """An attempt has its outcome."""

    def may_send(self, now: int) -> bool:
        """Whether this node may send anything to executors."""
        return True

    def may_spend(self, now: int, budget: str) -> bool:
        """Whether one more may be spent of a budget of the fleet (probes, lists, connects)."""
        return True

    def may_retry(self, now: int) -> bool:
        """Whether one more attempt may follow a failed one."""
        return True
