"""Connects the dispatch of a node to the node's role in the cluster."""

from typing import TYPE_CHECKING

from cedarmill.core.observer import DispatchObserver
from cedarmill.core.requests import Attempt, FinalAnswer, Request
from cedarmill.decisions import interface as api

if TYPE_CHECKING:
    from cedarmill.net.cluster.node_role import NodeRole


class ClusterObserver(DispatchObserver):
    """Forwards events and permission checks of the dispatch to the node's cluster role; times in us."""

    def __init__(self, role: "NodeRole") -> None:
        self._role, self._routing, self._gossip = role, role.routing, role.gossip

    def constrain_request(self, arrival: api.RequestArrived) -> None:
        """Restrict an arriving request to the zones that the traffic plan allows."""
        if self._routing is not None:
            self._routing.constrain_request(arrival)

    def on_report(self, now: int, executor: int, report: api.LoadReport) -> None:
        """Share a load report with the peers that use the same executor."""
        self._gossip.on_report(now, executor, report)

    def on_final_answer(self, now: int, request: Request, answer: FinalAnswer) -> None:
        """Count a final answer in the node's request counts."""
        self._role.on_final_answer(now, request, answer)

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Record the outcome of an attempt as an observation of its executor's zone."""
        if self._routing is not None:
            self._routing.on_attempt_ended(now, attempt)

    def may_send(self, now: int) -> bool:
        """Return whether the lease, or the settings without a lease, allow sending."""
        return self._role.may_send(now)

    def may_spend(self, now: int, budget: str) -> bool:
        """Spend one unit of the node's share of a cluster budget; return False if none is left."""
        return self._role.may_spend(now, budget)

    def may_retry(self, now: int) -> bool:
        """Spend one retry of the retry budget; return False if none is left."""
        return self._role.may_retry(now)
