"""Former names of `fleet/budget_grants.py`, for modules that still use them."""

from typing import TYPE_CHECKING

from cedarmill.fleet import budget_grants
from cedarmill.fleet.budget_grants import GRANTED_SHARE as LEASED
from cedarmill.fleet.budget_grants import Budget, deal
from cedarmill.fleet.budget_grants import BudgetGrant as Slice
from cedarmill.fleet.budget_grants import acknowledge as follows
from cedarmill.fleet.budget_grants import granted_rate as held
from cedarmill.fleet.budget_grants import is_demand_similar as same_wants
from cedarmill.fleet.budget_grants import rates_for as word
from cedarmill.fleet.budget_grants import release as ended
from cedarmill.fleet.budget_grants import set_demand as wanted

if TYPE_CHECKING:
    from cedarmill.fleet.state import ClusterState

__all__ = [
    "LEASED",
    "Budget",
    "Slice",
    "deal",
    "ended",
    "follows",
    "held",
    "same_wants",
    "set_up",
    "wanted",
    "word",
]


def set_up(world: "ClusterState", budgets: list[Budget]) -> str:
    """`set_budgets`; why not, where that cannot be."""
    try:
        budget_grants.set_budgets(world, budgets)
    except budget_grants.InvalidBudgetError as error:
        return str(error)
    return ""
