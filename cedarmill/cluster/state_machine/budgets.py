"""Budgets of the cluster, leased to nodes: demand, acknowledgement of smaller leases, and settings."""

from cedarmill.cluster import budget_grants
from cedarmill.cluster.budget_grants import Budget, InvalidBudgetError
from cedarmill.cluster.errors import RequestRejected
from cedarmill.cluster.state import ClusterState, RequestOutcome
from cedarmill.cluster.state_machine.command import Command, Handlers, OperatorRequest, accepted
from cedarmill.cluster.states import MemberState


class SetBudgetDemand(Command, tag="wants", frozen=True):
    """A member's demand of each budget, in thousandths a second, has changed."""

    member_key: str
    demand: dict[str, int]


class AcknowledgeOrders(Command, tag="follows", frozen=True):
    """A member follows orders of that epoch, and spends no longer by older ones."""

    member_key: str
    epoch: int


class SetBudgets(OperatorRequest, tag="budgets", frozen=True):
    """Replace the budgets."""

    budgets: tuple[Budget, ...]


def set_demand(state: ClusterState, command: SetBudgetDemand) -> None:
    """Deal the budgets anew; the demand of a member without a session is passed over."""
    member = state.members.get(command.member_key)
    if member is not None and member.state == MemberState.LIVE:
        budget_grants.set_demand(state, command.member_key, command.demand)


def acknowledge_orders(state: ClusterState, command: AcknowledgeOrders) -> None:
    """What the member could spend by older orders is free."""
    budget_grants.acknowledge(state, command.member_key, command.epoch)


def set_budgets(state: ClusterState, request: SetBudgets) -> RequestOutcome:
    """Replace the budgets; raises RequestRejected naming what is wrong with them."""
    try:
        budget_grants.set_budgets(state, list(request.budgets))
    except InvalidBudgetError as error:
        raise RequestRejected(str(error)) from None
    state.note(f"budgets set by {request.requester}: {', '.join(state.budgets) or 'none'}")
    return accepted(state, f"{len(request.budgets)} budgets hold")


HANDLERS: Handlers = {
    SetBudgetDemand: set_demand,
    AcknowledgeOrders: acknowledge_orders,
    SetBudgets: set_budgets,
}
