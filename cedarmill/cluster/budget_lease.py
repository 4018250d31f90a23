"""The node's side of cluster-wide budgets: token buckets refilled at leased rates, and the node's demand.

The lease is checked at each spending, by a clock that keeps running while the process is suspended. Tokens
accumulated under a lease are capped when it expires. Tokens are thousandths of one operation, rates are
thousandths of an operation per second, and times are microseconds. This module performs no I/O.
"""

from collections.abc import Mapping

from cedarmill.cluster.observations.digest import WHOLE

BURST_US = 200_000  # burst capacity, as time at the current rate
QUOTA_PREFIX = "tenant:"  # of the names of tenants' request quotas
MIN_QUOTA_CAPACITY = 4_000  # thousandths of a request; leaves a reserve for higher priority weights
RETRY_SHARE = 100  # thousandths of first attempts
RETRY_CAPACITY = 10_000  # thousandths of a retry
DEMAND_WINDOW_US = 2_000_000  # minimum interval between two measurements of demand


class BudgetLease:
    """One budget of a node: a token bucket whose refill rate depends on the lease."""

    def __init__(self, now: int, min_capacity: int = WHOLE) -> None:
        self.granted_rate = self.floor_rate = 0
        self.min_capacity = min_capacity  # of the bucket, for any rate above 0
        self.tokens = 0
        self.refilled_at = now
        self.is_lease_valid = False  # at the last check
        self.requested_operations = 0  # since `demand_counted_from`
        self.demand_counted_from = now
        self._last_demand = 0

    def set_rates(self, now: int, lease_holds: bool, granted_rate: int, floor_rate: int) -> None:
        """Set newly received rates."""
        self._refill(now, lease_holds)
        self.granted_rate, self.floor_rate = granted_rate, floor_rate
        self.tokens = min(self.tokens, self._capacity())

    def rate(self) -> int:
        """Return the current refill rate per second."""
        return max(self.granted_rate, self.floor_rate) if self.is_lease_valid else self.floor_rate

    def spend(self, now: int, lease_holds: bool, reserve: int = 0) -> bool:
        """Take one token and return True if the budget allows one more operation now.

        Each call counts as demand. `reserve` is the share of the capacity, in thousandths, that is left to
        operations of higher priority weight.
        """
        self.requested_operations += 1
        self._refill(now, lease_holds)
        if self.tokens < WHOLE + reserve * max(0, self._capacity() - WHOLE) // WHOLE:
            return False
        self.tokens -= WHOLE
        return True

    def demand(self, now: int) -> int:
        """Return the recently requested operations per second plus a fifth, so that growing demand shows."""
        if now - self.demand_counted_from >= DEMAND_WINDOW_US:
            rate = self.requested_operations * WHOLE * 1_000_000 // max(1, now - self.demand_counted_from)
            self._last_demand, self.requested_operations, self.demand_counted_from = rate + rate // 5, 0, now
        return self._last_demand

    def _capacity(self) -> int:
        """Return the current capacity of the bucket."""
        return max(self.min_capacity if self.rate() else 0, self.rate() * BURST_US // 1_000_000)

    def _refill(self, now: int, lease_holds: bool) -> None:
        if lease_holds != self.is_lease_valid:
            self.is_lease_valid = lease_holds
            self.tokens = min(self.tokens, self._capacity())
        rate, capacity = self.rate(), self._capacity()
        added_tokens = rate * max(0, now - self.refilled_at) // 1_000_000
        if not rate or self.tokens + added_tokens >= capacity:
            self.tokens, self.refilled_at = capacity, now
        else:  # Advance only by the time accounted for, so that small rates are not lost to rounding.
            self.tokens += added_tokens
            self.refilled_at += added_tokens * 1_000_000 // rate


class RetryBudget:
    """Limits retries to a share of first attempts.

    The limits of all nodes add up to the same share of the cluster's first attempts, without coordination.
    """

    def __init__(self) -> None:
        self.tokens = RETRY_CAPACITY
        self.first_attempts = 0  # accounted for so far

    def spend(self, first_attempts: int) -> bool:
        """Take one token and return True if a retry is allowed after that many first attempts in total."""
        added_tokens = max(0, first_attempts - self.first_attempts) * RETRY_SHARE
        self.tokens = min(RETRY_CAPACITY, self.tokens + added_tokens)
        self.first_attempts = max(self.first_attempts, first_attempts)
        if self.tokens < WHOLE:
            return False
        self.tokens -= WHOLE
        return True


class BudgetLeases:
    """All budgets of a node.

    No operation is allowed until the budgets are known. Then a budget that is not set imposes no limit.
    """

    def __init__(self, known: bool = False) -> None:
        self.by_name: dict[str, BudgetLease] = {}
        self.known = known  # whether the set of budgets has been received

    def set_rates(self, now: int, lease_holds: bool, rates: Mapping[str, tuple[int, int]]) -> None:
        """Set the granted and the floor rates of all budgets, and drop budgets that are not listed."""
        self.known = True
        for name in [name for name in self.by_name if name not in rates]:
            del self.by_name[name]
        for name, (granted_rate, floor_rate) in rates.items():
            min_capacity = MIN_QUOTA_CAPACITY if name.startswith(QUOTA_PREFIX) else WHOLE
            lease = self.by_name.setdefault(name, BudgetLease(now, min_capacity))
            lease.set_rates(now, lease_holds, granted_rate, floor_rate)

    def spend(self, now: int, lease_holds: bool, name: str, reserve: int = 0) -> bool:
        """Spend from the named budget and return whether one more operation is allowed."""
        lease = self.by_name.get(name)
        return self.known if lease is None else lease.spend(now, lease_holds, reserve)

    def demands(self, now: int) -> dict[str, int]:
        """Return the recent demand per second, by budget."""
        return {name: lease.demand(now) for name, lease in self.by_name.items()}
