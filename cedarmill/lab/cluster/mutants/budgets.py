"""Mutants of budgets: when a grant may be spent, and how grants and floors add up."""

from cedarmill.cluster import budget_grants
from cedarmill.cluster.budget_grants import GRANTED_SHARE, Budget, BudgetGrant
from cedarmill.cluster.budget_lease import BudgetLease, BudgetLeases
from cedarmill.cluster.state import PER_MILLE, ClusterState
from cedarmill.lab.cluster.mutants.patches import Patch


def slice_spent_after_a_pause() -> list[Patch]:
    """Whether the lease holds is not asked when something is spent."""
    original = BudgetLease.spend

    def spend(self: BudgetLease, now: int, lease_holds: bool, reserve: int = 0) -> bool:
        return original(self, now, True, reserve)

    return [(BudgetLease, "spend", spend)]


def smaller_slice_counts_at_once() -> list[Patch]:
    """What a holder may still spend by an older grant is given to others."""
    return [(BudgetGrant, "counted_rate", property(lambda self: self.rate))]


def floors_add_up() -> list[Patch]:
    """Each node's floor is the whole of what all floors may be."""
    return [(Budget, "floor", property(lambda self: self.rate // 5))]


def spends_before_it_was_told() -> list[Patch]:
    """An incarnation that has heard of no budget is bound by none."""
    original = BudgetLeases.__init__

    def init(self: BudgetLeases, known: bool = True) -> None:
        original(self, True)

    return [(BudgetLeases, "__init__", init)]


def returned_twice() -> list[Patch]:
    """A grant that is made smaller is free at once, and once more when its holder follows."""

    def acknowledge(state: ClusterState, member: str, epoch: int) -> None:
        for name, grants in state.budget_grants.items():
            grant = grants.get(member)
            if grant is not None and grant.epoch <= epoch and grant.previous_rate > grant.rate:
                budget = state.budgets[name]
                freed = (grant.previous_rate - grant.rate) * PER_MILLE // GRANTED_SHARE
                state.budgets[name] = Budget(name, budget.rate + freed, budget.nodes)
                grant.previous_rate = grant.rate
        budget_grants.redistribute(state)

    return [(budget_grants, "acknowledge", acknowledge)]
