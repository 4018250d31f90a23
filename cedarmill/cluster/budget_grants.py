"""Cluster-wide budgets for retries, probes, connects and the like, granted to nodes under leases.

A budget is a rate. A part of it is granted by demand; the rest is divided into floor rates that nodes may use
without a lease, so that partitioned nodes stay within the budget. A grant is valid as long as its holder's
lease, which expires at the holder before it expires at the leader and is checked at each spending. A lowered
grant counts at its previous rate until its holder acknowledges the new one, and the grant of a silent holder
counts until its lease has certainly expired. The total spent therefore never exceeds the budget, whatever
messages are lost or late and whichever processes are suspended. Rates are in thousandths of an operation per
second. This module performs no I/O.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

GRANTED_SHARE = 800  # thousandths of a budget available for grants; the rest is for floor rates
DEMAND_TOLERANCE = 100  # thousandths by which similar demands may differ
MIN_GRANT = 100  # thousandths per second; smaller grants are not made


class InvalidBudgetError(ValueError):
    """Raised for inconsistent budgets; the message names the inconsistency."""


class Budget(msgspec.Struct, array_like=True, frozen=True):
    """A cluster-wide rate limit, and the number of nodes among which its floor rates are divided."""

    name: str
    rate: int
    nodes: int = 64

    @property
    def floor(self) -> int:
        """Return the rate that one node may use without a lease."""
        return self.rate * (1000 - GRANTED_SHARE) // 1000 // self.nodes

    @property
    def grantable(self) -> int:
        """Return the total rate available for grants."""
        return self.rate * GRANTED_SHARE // 1000


class BudgetGrant(msgspec.Struct, array_like=True):
    """The rate of one budget granted to one incarnation of a node."""

    rate: int = 0
    previous_rate: int = 0  # of an older grant that may still be in use
    epoch: int = 0  # of the newest grant
    demand: int = 0

    @property
    def counted_rate(self) -> int:
        """Return the larger of both rates while the node may use either grant."""
        return max(self.rate, self.previous_rate)


Grants = dict[str, dict[str, BudgetGrant]]  # by budget, then by member


def max_min_fair_rates(budget: Budget, demands: Mapping[str, int]) -> dict[str, int]:
    """Return the max-min fair rate of each member; rates below MIN_GRANT become 0."""
    remaining_rate, fair_rates = budget.grantable, {}
    ascending = sorted((demand, member) for member, demand in demands.items())
    for position, (demand, member) in enumerate(ascending):
        fair_rate = min(demand, remaining_rate // (len(ascending) - position))
        fair_rates[member] = fair_rate if fair_rate >= MIN_GRANT else 0
        remaining_rate -= fair_rates[member]
    return fair_rates


def granted_rate(grants: Mapping[str, BudgetGrant]) -> int:
    """Return the total rate that counts as granted."""
    return sum(grant.counted_rate for grant in grants.values())


def is_demand_similar(grants: Grants, member: str, demands: Mapping[str, int]) -> bool:
    """Return whether a member's demands are similar to those recorded before."""
    for name, by_member in grants.items():
        previous_demand = by_member[member].demand if member in by_member else 0
        demand = demands.get(name, 0)
        if (
            abs(demand - previous_demand)
            > max(previous_demand, demand) * DEMAND_TOLERANCE // 1000 + MIN_GRANT
        ):
            return False
    return True


def set_demand(state: "ClusterState", member: str, demands: Mapping[str, int]) -> None:
    """Record a member's demand for each budget, and redistribute the grants."""
    for name in state.budgets:
        grant = state.budget_grants.setdefault(name, {}).setdefault(member, BudgetGrant())
        grant.demand = max(0, demands.get(name, 0))
    redistribute(state)


def acknowledge(state: "ClusterState", member: str, epoch: int) -> None:
    """Record that a member follows the orders of an epoch and no longer uses older grants."""
    for by_member in state.budget_grants.values():
        grant = by_member.get(member)
        if grant is not None and grant.epoch <= epoch:
            grant.previous_rate = grant.rate
    redistribute(state)


def release(state: "ClusterState", member: str) -> None:
    """Release the grants of a member whose lease has certainly expired or whose incarnation has ended."""
    removed_grants = [by_member.pop(member, None) for by_member in state.budget_grants.values()]
    if any(grant is not None for grant in removed_grants):
        # A returning member receives the new rates before its lease is valid again.
        state.orders_epoch = state.epoch
        redistribute(state)


def redistribute(state: "ClusterState") -> None:
    """Redistribute all budgets by demand.

    Grants are lowered at once. They are raised only from the free rate, which grows as lowered grants are
    acknowledged.
    """
    if state.clock < state.budgets_leased_from:
        return
    changed = False
    for name, budget in state.budgets.items():
        grants = state.budget_grants.setdefault(name, {})
        fair_rates = max_min_fair_rates(budget, {member: grant.demand for member, grant in grants.items()})
        changed |= _lower_grants(grants, fair_rates, state.epoch)
        changed |= _raise_grants(grants, fair_rates, state.epoch, budget.grantable)
    if changed:
        state.orders_epoch = state.epoch


def _lower_grants(grants: Mapping[str, BudgetGrant], fair_rates: Mapping[str, int], epoch: int) -> bool:
    changed = False
    for member, grant in grants.items():
        if fair_rates[member] < grant.rate:
            grant.previous_rate = max(grant.previous_rate, grant.rate)
            grant.rate, grant.epoch, changed = fair_rates[member], epoch, True
    return changed


def _raise_grants(
    grants: Mapping[str, BudgetGrant], fair_rates: Mapping[str, int], epoch: int, grantable: int
) -> bool:
    changed = False
    free_rate = grantable - granted_rate(grants)
    for member in sorted(grants):
        grant = grants[member]
        increase = min(fair_rates[member] - grant.rate, free_rate + grant.counted_rate - grant.rate)
        if increase >= MIN_GRANT:
            previous_counted_rate = grant.counted_rate
            grant.rate, grant.epoch, changed = grant.rate + increase, epoch, True
            free_rate -= grant.counted_rate - previous_counted_rate
    return changed


def rates_of(state: "ClusterState", member: str) -> dict[str, tuple[int, int]]:
    """Return the granted rate and the floor rate of a member, by budget."""
    rates = {}
    for name, budget in state.budgets.items():
        grant = state.budget_grants.get(name, {}).get(member)
        rates[name] = (grant.rate if grant is not None else 0, budget.floor)
    return rates


def set_budgets(state: "ClusterState", budgets: list[Budget]) -> None:
    """Replace the budgets, or raise InvalidBudgetError.

    If a budget shrinks, its holders may use their previous grants until they acknowledge the lowered ones.
    """
    names = [budget.name for budget in budgets]
    if len(set(names)) < len(names):
        raise InvalidBudgetError("two budgets have the same name")
    if any(budget.rate < 0 or budget.nodes < 1 for budget in budgets):
        raise InvalidBudgetError("a budget needs a rate of at least 0 and at least 1 node")
    state.budgets = {budget.name: budget for budget in budgets}
    state.budget_grants = {name: state.budget_grants.get(name, {}) for name in names}
    redistribute(state)
    state.orders_epoch = state.epoch
