"""A node's side of the cluster's budgets: what it may spend at this moment, and what it wants.

Whether the lease holds is checked at each spending, by a clock that goes on while the process is suspended;
what was saved before a lease has lapsed is not spent after it. Amounts are thousandths of one operation,
rates thousandths a second, times us; no I/O.
"""

from collections.abc import Mapping

from cedarmill.cluster.observations.digest import WHOLE

BURST_US = 200_000  # of its rate that may be spent at once
QUOTA_PREFIX = "tenant:"  # of budgets that are requests of a tenant
MIN_QUOTA_SAVED = 4_000  # thousandths of requests: something is kept for those with more priority weight
RETRY_SHARE = 100  # thousandths of first attempts that may be retried
MAX_RETRIES_SAVED = 10_000  # thousandths of retries that a quiet node may have saved
DEMAND_WINDOW_US = 2_000_000  # over which demand is counted


class BudgetLease:
    """One budget, as one node may use it: a token bucket whose rate depends on the lease."""

    def __init__(self, now: int, min_capacity: int = WHOLE) -> None:
        self.granted_rate = self.floor_rate = 0
        self.min_capacity = min_capacity  # that may be saved, however low the rate
        self.saved = 0
        self.filled_at = now
        self.lease_held = False  # when it was checked last
        self.asked = 0  # operations since `counted_from`
        self.counted_from = now
        self._demand = 0

    def set_rates(self, now: int, lease_holds: bool, granted_rate: int, floor_rate: int) -> None:
        """Take over newer rates."""
        self._fill(now, lease_holds)
        self.granted_rate, self.floor_rate = granted_rate, floor_rate
        self.saved = min(self.saved, self._capacity())

    def rate(self) -> int:
        """What may be spent a second now."""
        return max(self.granted_rate, self.floor_rate) if self.lease_held else self.floor_rate

    def spend(self, now: int, lease_holds: bool, reserve: int = 0) -> bool:
        """Whether one more operation may be done now; it counts as demand either way.

        `reserve`: thousandths of the capacity that are left to operations of more priority weight.
        """
        self.asked += 1
        self._fill(now, lease_holds)
        if self.saved < WHOLE + reserve * max(0, self._capacity() - WHOLE) // WHOLE:
            return False
        self.saved -= WHOLE
        return True

    def demand(self, now: int) -> int:
        """What was asked for a second lately, and a fifth more: so that growing demand is seen."""
        if now - self.counted_from >= DEMAND_WINDOW_US:
            rate = self.asked * WHOLE * 1_000_000 // max(1, now - self.counted_from)
            self._demand, self.asked, self.counted_from = rate + rate // 5, 0, now
        return self._demand

    def _capacity(self) -> int:
        """What may be saved."""
        return max(self.min_capacity if self.rate() else 0, self.rate() * BURST_US // 1_000_000)

    def _fill(self, now: int, lease_holds: bool) -> None:
        if lease_holds != self.lease_held:
            self.lease_held = lease_holds
            self.saved = min(self.saved, self._capacity())
        rate, capacity = self.rate(), self._capacity()
        gained = rate * max(0, now - self.filled_at) // 1_000_000
        if not rate or self.saved + gained >= capacity:
            self.saved, self.filled_at = capacity, now
        else:  # what is left of the time counts on: small rates are not lost to rounding
            self.saved += gained
            self.filled_at += gained * 1_000_000 // rate


class RetryBudget:
    """Retries as a share of first attempts.

    Such shares add up over any number of nodes to the same share of the cluster's first attempts, with no
    message between them.
    """

    def __init__(self) -> None:
        self.saved = MAX_RETRIES_SAVED
        self.first_attempts = 0  # counted so far

    def spend(self, first_attempts: int) -> bool:
        """Whether one more retry may be made, with so many first attempts since the process began."""
        gained = max(0, first_attempts - self.first_attempts) * RETRY_SHARE
        self.saved = min(MAX_RETRIES_SAVED, self.saved + gained)
        self.first_attempts = max(self.first_attempts, first_attempts)
        if self.saved < WHOLE:
            return False
        self.saved -= WHOLE
        return True


class BudgetLeases:
    """All budgets of a node.

    Before it has heard of any it spends nothing; one that is not set binds nobody.
    """

    def __init__(self, known: bool = False) -> None:
        self.by_name: dict[str, BudgetLease] = {}
        self.known = known  # whether the node has heard which budgets there are

    def set_rates(self, now: int, lease_holds: bool, rates: Mapping[str, tuple[int, int]]) -> None:
        """Take over the granted and floor rates of all budgets there are."""
        self.known = True
        for name in [name for name in self.by_name if name not in rates]:
            del self.by_name[name]
        for name, (granted_rate, floor_rate) in rates.items():
            min_capacity = MIN_QUOTA_SAVED if name.startswith(QUOTA_PREFIX) else WHOLE
            lease = self.by_name.setdefault(name, BudgetLease(now, min_capacity))
            lease.set_rates(now, lease_holds, granted_rate, floor_rate)

    def spend(self, now: int, lease_holds: bool, name: str, reserve: int = 0) -> bool:
        """Whether one more operation of that budget may be done."""
        lease = self.by_name.get(name)
        return self.known if lease is None else lease.spend(now, lease_holds, reserve)

    def demands(self, now: int) -> dict[str, int]:
        """What was asked for a second lately, by budget."""
        return {name: lease.demand(now) for name, lease in self.by_name.items()}
