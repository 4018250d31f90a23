"""Budgets of the whole fleet, leased to its nodes in slices: retries, probes, connects and the like; no I/O.

A budget is a rate. Part of it is leased by demand, the rest is cut into floors that a node may use without
a lease: all floors together stay within their part, whatever is cut off. A slice is good for as long as its
holder's session: it ends at the holder before it ends at the giver (`members.holders_end`), asked at the
moment of spending. A slice that was made smaller counts as it was till its holder has said that it follows
the newer word; one of a holder that fell silent counts till its lease has passed for certain. So at no moment
may more be spent than the budget, whatever is lost, late or standing still. Rates are thousandths a second.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cedarmill.fleet.state import ClusterState

LEASED = 800  # thousandths of a budget that are leased; the rest are floors
SAME = 100  # thousandths by which wants may differ and be the same
LEAST = 100  # thousandths a second below which a slice is not worth having


class Budget(msgspec.Struct, array_like=True, frozen=True):
    """What the fleet may spend of something: a rate, and how many nodes may hold a floor of it."""

    name: str
    rate: int
    nodes: int = 64

    @property
    def floor(self) -> int:
        """What one node may spend without a lease."""
        return self.rate * (1000 - LEASED) // 1000 // self.nodes

    @property
    def leased(self) -> int:
        """What may be leased in all."""
        return self.rate * LEASED // 1000


class Slice(msgspec.Struct, array_like=True):
    """What one life of a node may spend."""

    rate: int = 0
    before: int = 0  # what it may still be spending by an older word
    epoch: int = 0  # of the newest word
    want: int = 0

    @property
    def counts(self) -> int:
        """What is unknown counts as the worse case."""
        return max(self.rate, self.before)


Slices = dict[str, dict[str, Slice]]  # by budget, then by member


def divide(budget: Budget, wants: Mapping[str, int]) -> dict[str, int]:
    """Even parts for all, nobody more than it wants: what one leaves goes to the others."""
    left, found = budget.leased, {}
    waiting = sorted((want, key) for key, want in wants.items())
    for number, (want, key) in enumerate(waiting):
        part = min(want, left // (len(waiting) - number))
        found[key] = part if part >= LEAST else 0
        left -= found[key]
    return found


def held(slices: Mapping[str, Slice]) -> int:
    """What may be spent now by leases."""
    return sum(one.counts for one in slices.values())


def same_wants(slices: Slices, key: str, wants: Mapping[str, int]) -> bool:
    """Whether a member wants about what it was known to want."""
    for name, by in slices.items():
        old, new = by[key].want if key in by else 0, wants.get(name, 0)
        if abs(new - old) > max(old, new) * SAME // 1000 + LEAST:
            return False
    return True


def wanted(world: "ClusterState", key: str, wants: Mapping[str, int]) -> None:
    """A member tells what it wants of each budget."""
    for name in world.budgets:
        one = world.budget_grants.setdefault(name, {}).setdefault(key, Slice())
        one.want = max(0, wants.get(name, 0))
    deal(world)


def follows(world: "ClusterState", key: str, epoch: int) -> None:
    """A member says that it follows orders of that epoch: what it had by older ones it spends no longer."""
    for by in world.budget_grants.values():
        one = by.get(key)
        if one is not None and one.epoch <= epoch:
            one.before = one.rate
    deal(world)


def ended(world: "ClusterState", key: str) -> None:
    """Its lease has passed for certain, or its life has ended: it spends its floor at the most."""
    if any([by.pop(key, None) is not None for by in world.budget_grants.values()]):
        world.orders_epoch = world.epoch  # should it come back, it is told so before its lease holds again
        deal(world)


def deal(world: "ClusterState") -> None:
    """Give what is free, take back what others want more: a larger word once the smaller one is followed."""
    if world.clock < world.budgets_dealt_from:
        return
    changed = False
    for name, budget in world.budgets.items():
        by = world.budget_grants.setdefault(name, {})
        aim = divide(budget, {key: one.want for key, one in by.items()})
        for key, one in by.items():
            if aim[key] < one.rate:
                one.before = max(one.before, one.rate)
                one.rate, one.epoch, changed = aim[key], world.epoch, True
        free = budget.leased - held(by)
        for key in sorted(by):
            one = by[key]
            more = min(aim[key] - one.rate, free + one.counts - one.rate)
            if more >= LEAST:
                was = one.counts
                one.rate, one.epoch, changed = one.rate + more, world.epoch, True
                free -= one.counts - was
    if changed:
        world.orders_epoch = world.epoch


def word(world: "ClusterState", key: str) -> dict[str, tuple[int, int]]:
    """What a member is told: of each budget its slice, and its floor."""
    found = {}
    for name, budget in world.budgets.items():
        one = world.budget_grants.get(name, {}).get(key)
        found[name] = (one.rate if one is not None else 0, budget.floor)
    return found


def set_up(world: "ClusterState", budgets: list[Budget]) -> str:
    """Budgets as an operator sets them; why not, where that cannot be.

    A smaller rate takes slices back as their holders follow: till then what was leased is what may be spent.
    """
    names = [budget.name for budget in budgets]
    if len(set(names)) < len(names):
        return "a budget is named twice"
    if any(budget.rate < 0 or budget.nodes < 1 for budget in budgets):
        return "a rate is not below 0, and a floor is for one node at the least"
    world.budgets = {budget.name: budget for budget in budgets}
    world.budget_grants = {name: world.budget_grants.get(name, {}) for name in names}
    deal(world)
    world.orders_epoch = world.epoch
    return ""
