"""The cluster's view of the dispatch: one observer that passes events and questions to the parts."""

from typing import TYPE_CHECKING

from cedarmill.core.observer import DispatchObserver
from cedarmill.core.requests import Attempt, FinalAnswer, Request
from cedarmill.decisions import interface as api

if TYPE_CHECKING:
    from cedarmill.net.cluster.node_role import NodeRole


class ClusterObserver(DispatchObserver):
    """Connects the dispatch to the node's session, traffic routing and gossip; times in us."""

    def __init__(self, role: "NodeRole") -> None:
        self._role, self._routing, self._gossip = role, role.routing, role.gossip

    def constrain_request(self, arrival: api.RequestArrived) -> None:
        """Let the routing plan say where it may run."""
        if self._routing is not None:
            self._routing.constrain_request(arrival)

    def on_report(self, now: int, executor: int, report: api.LoadReport) -> None:
        """Pass a load report on to the peers that use the same executor."""
        self._gossip.on_report(now, executor, report)

    def on_final_answer(self, now: int, request: Request, answer: FinalAnswer) -> None:
        """Count it among the node's results."""
        self._role.on_final_answer(now, request, answer)

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Count it as evidence of its executor's zone."""
        if self._routing is not None:
            self._routing.on_attempt_ended(now, attempt)

    def may_send(self, now: int) -> bool:
        """Whether the lease, or the settings without one, allow it."""
        return self._role.may_send(now)

    def may_spend(self, now: int, budget: str) -> bool:
        """Whether the node's part of the cluster's budget has one left."""
        return self._role.may_spend(now, budget)

    def may_retry(self, now: int) -> bool:
        """Whether the retry budget has one left."""
        return self._role.may_retry(now)
