"""Former names of `fleet/budget_lease.py`, for modules that still use them."""

from cedarmill.fleet.budget_lease import QUOTA_PREFIX as QUOTA
from cedarmill.fleet.budget_lease import BudgetLease as Purse
from cedarmill.fleet.budget_lease import BudgetLeases as Purses
from cedarmill.fleet.budget_lease import RetryBudget as Tries

__all__ = [
    "Purse",
    "Purses",
    "QUOTA",
    "Tries",
]
