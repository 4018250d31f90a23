"""Budgets of the whole cluster, granted to its nodes under leases: retries, probes, connects and the like.

A budget is a rate. Part of it is granted by demand, the rest is divided into floors that a node may use
without a lease: all floors together stay within their part, however nodes are cut off. A grant holds as long
as its holder's session: it ends at the holder before it ends at the leader (`members.holders_end`), which is
checked at the moment of spending. A grant that was lowered counts as it was until its holder has acknowledged
the newer one; that of a silent holder counts until its lease has run out for certain. So at no moment may
more be spent than the budget, whatever is lost, late or suspended. Rates are thousandths a second; no I/O.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cedarmill.cluster.state import ClusterState

GRANTED_SHARE = 800  # thousandths of a budget that are granted; the rest are floors
DEMAND_TOLERANCE = 100  # thousandths by which demand may differ and count as the same
MIN_GRANT = 100  # thousandths a second, below which a grant is not worth having


class InvalidBudgetError(ValueError):
    """Budgets that contradict themselves; the text says how."""


class Budget(msgspec.Struct, array_like=True, frozen=True):
    """What the cluster may spend of something: a rate, and how many nodes may hold a floor of it."""

    name: str
    rate: int
    nodes: int = 64

    @property
    def floor(self) -> int:
        """What one node may spend without a lease."""
        return self.rate * (1000 - GRANTED_SHARE) // 1000 // self.nodes

    @property
    def grantable(self) -> int:
        """What may be granted in all."""
        return self.rate * GRANTED_SHARE // 1000


class BudgetGrant(msgspec.Struct, array_like=True):
    """What one incarnation of a node may spend of a budget."""

    rate: int = 0
    previous_rate: int = 0  # what it may still be spending by an older grant
    epoch: int = 0  # of the newest grant
    demand: int = 0

    @property
    def counted_rate(self) -> int:
        """What counts as granted: while it is unknown which grant the node follows, the larger."""
        return max(self.rate, self.previous_rate)


Grants = dict[str, dict[str, BudgetGrant]]  # by budget, then by member


def divide(budget: Budget, demands: Mapping[str, int]) -> dict[str, int]:
    """Equal parts for all members, none more than it wants: what one leaves goes to the others."""
    left, parts = budget.grantable, {}
    waiting = sorted((demand, member) for member, demand in demands.items())
    for number, (demand, member) in enumerate(waiting):
        part = min(demand, left // (len(waiting) - number))
        parts[member] = part if part >= MIN_GRANT else 0
        left -= parts[member]
    return parts


def granted_rate(grants: Mapping[str, BudgetGrant]) -> int:
    """What may be spent now by leases."""
    return sum(grant.counted_rate for grant in grants.values())


def is_demand_similar(grants: Grants, member: str, demands: Mapping[str, int]) -> bool:
    """Whether a member wants about what it was known to want."""
    for name, by_member in grants.items():
        known = by_member[member].demand if member in by_member else 0
        demand = demands.get(name, 0)
        if abs(demand - known) > max(known, demand) * DEMAND_TOLERANCE // 1000 + MIN_GRANT:
            return False
    return True


def set_demand(state: "ClusterState", member: str, demands: Mapping[str, int]) -> None:
    """A member reports what it wants of each budget."""
    for name in state.budgets:
        grant = state.budget_grants.setdefault(name, {}).setdefault(member, BudgetGrant())
        grant.demand = max(0, demands.get(name, 0))
    deal(state)


def acknowledge(state: "ClusterState", member: str, epoch: int) -> None:
    """A member follows orders of that epoch: what older ones granted it spends no longer."""
    for by_member in state.budget_grants.values():
        grant = by_member.get(member)
        if grant is not None and grant.epoch <= epoch:
            grant.previous_rate = grant.rate
    deal(state)


def release(state: "ClusterState", member: str) -> None:
    """Its lease has run out for certain, or its incarnation has ended: it spends its floor at most."""
    removed = [by_member.pop(member, None) for by_member in state.budget_grants.values()]
    if any(grant is not None for grant in removed):
        state.orders_epoch = state.epoch  # should it come back, it is told so before its lease holds again
        deal(state)


def deal(state: "ClusterState") -> None:
    """Grant what is free, and lower grants where others want more.

    A grant is raised only once the lowered ones are acknowledged.
    """
    if state.clock < state.budgets_dealt_from:
        return
    changed = False
    for name, budget in state.budgets.items():
        grants = state.budget_grants.setdefault(name, {})
        parts = divide(budget, {member: grant.demand for member, grant in grants.items()})
        changed |= _lower(grants, parts, state.epoch)
        changed |= _raise(grants, parts, state.epoch, budget.grantable)
    if changed:
        state.orders_epoch = state.epoch


def _lower(grants: Mapping[str, BudgetGrant], parts: Mapping[str, int], epoch: int) -> bool:
    changed = False
    for member, grant in grants.items():
        if parts[member] < grant.rate:
            grant.previous_rate = max(grant.previous_rate, grant.rate)
            grant.rate, grant.epoch, changed = parts[member], epoch, True
    return changed


def _raise(grants: Mapping[str, BudgetGrant], parts: Mapping[str, int], epoch: int, grantable: int) -> bool:
    changed = False
    free = grantable - granted_rate(grants)
    for member in sorted(grants):
        grant = grants[member]
        more = min(parts[member] - grant.rate, free + grant.counted_rate - grant.rate)
        if more >= MIN_GRANT:
            counted_before = grant.counted_rate
            grant.rate, grant.epoch, changed = grant.rate + more, epoch, True
            free -= grant.counted_rate - counted_before
    return changed


def rates_for(state: "ClusterState", member: str) -> dict[str, tuple[int, int]]:
    """What a member is told: the rates of its grant and of its floor, by budget."""
    rates = {}
    for name, budget in state.budgets.items():
        grant = state.budget_grants.get(name, {}).get(member)
        rates[name] = (grant.rate if grant is not None else 0, budget.floor)
    return rates


def set_budgets(state: "ClusterState", budgets: list[Budget]) -> None:
    """Replace the budgets; raises InvalidBudgetError.

    A smaller rate lowers grants as their holders acknowledge it: until then what was granted may be spent.
    """
    names = [budget.name for budget in budgets]
    if len(set(names)) < len(names):
        raise InvalidBudgetError("a budget is named twice")
    if any(budget.rate < 0 or budget.nodes < 1 for budget in budgets):
        raise InvalidBudgetError("a rate is not below 0, and a floor is for one node at the least")
    state.budgets = {budget.name: budget for budget in budgets}
    state.budget_grants = {name: state.budget_grants.get(name, {}) for name in names}
    deal(state)
    state.orders_epoch = state.epoch
