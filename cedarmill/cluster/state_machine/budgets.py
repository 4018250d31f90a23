"""Commands for the cluster's budgets: demand of members, acknowledged orders, and budget settings."""

from cedarmill.cluster import budget_grants
from cedarmill.cluster.budget_grants import Budget, InvalidBudgetError
from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine.command import Command, Handlers, OperatorRequest, accepted
from cedarmill.cluster.states import MemberState


class SetBudgetDemand(Command, tag="wants", frozen=True):
    """Record a member's changed demand for each budget, in thousandths per second."""

    member_key: str
    demand: dict[str, int]


class AcknowledgeOrders(Command, tag="follows", frozen=True):
    """Record that a member follows the orders of an epoch and no longer spends grants of earlier orders."""

    member_key: str
    epoch: int


class SetBudgets(OperatorRequest, tag="budgets", frozen=True):
    """Replace all budgets of the cluster."""

    budgets: tuple[Budget, ...]


def set_demand(state: ClusterState, command: SetBudgetDemand) -> None:
    """Store a member's demand and redistribute the budgets; ignore members without a live session."""
    member = state.members.get(command.member_key)
    if member is not None and member.state == MemberState.LIVE:
        budget_grants.set_demand(state, command.member_key, command.demand)


def acknowledge_orders(state: ClusterState, command: AcknowledgeOrders) -> None:
    """Release the part of each budget that the member held only under earlier orders."""
    budget_grants.acknowledge(state, command.member_key, command.epoch)


def set_budgets(state: ClusterState, request: SetBudgets) -> RequestOutcome:
    """Replace all budgets; raise RequestRejected with the reason if they are invalid."""
    try:
        budget_grants.set_budgets(state, list(request.budgets))
    except InvalidBudgetError as error:
        raise RequestRejected(str(error)) from None
    state.log_for_operators(f"budgets set by {request.requester}: {', '.join(state.budgets) or 'none'}")
    return accepted(state, f"{len(request.budgets)} budgets hold")


HANDLERS: Handlers = {
    SetBudgetDemand: set_demand,
    AcknowledgeOrders: acknowledge_orders,
    SetBudgets: set_budgets,
}
