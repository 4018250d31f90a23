"""Measurements of an overload simulation, and the invariants of its incidents."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy

from cedarmill.lab.simulation.overload.setup import REQUEST_CLASSES, TENANTS, OverloadSetup

# Recovery requires this share of first tries served in time, for this number of seconds.
RECOVERED_SHARE, RECOVERED_SECONDS = 0.95, 3
NEVER = -1.0
MIN_DIVISOR = 1e-9  # lower bound of divisors


@dataclass(slots=True)
class OverloadResult:
    """The measurements of one run, as ratios and seconds; the field order enters the timeline's hash."""

    value: float = 0.0  # served in time from the peak on, relative to an ideal admission
    attempts: float = 0.0  # at executors, per first try
    offered: float = 0.0  # requests at nodes, per first try
    rejected_in_calm: float = 0.0  # by nodes' own estimates, per first try before the peak
    shed_in_calm: float = 0.0  # by the shedding threshold, per first try before the peak
    recovery: float = NEVER  # seconds from the end of the peak, or NEVER
    wasted: float = 0.0  # share of the executors' work that served no client
    response_times: dict[int, tuple[float, float]] = field(default_factory=dict)  # p50 and p99 by weight
    probes: float = 0.0  # per second and executor
    connects: float = 0.0  # per second and executor
    jain: float = 0.0  # fairness index of the tenants' served shares of their entitlements
    top_weight_served: float = 1.0  # share served in time of the top weight during the peak
    most_probes: float = 0.0  # highest number at one executor in one second
    queue_spread: float = 0.0  # mean ratio of the longest queue to the mean queue, in the peak
    by_second: list[float] = field(default_factory=list)  # share of first tries served in time, by second


class Figures:
    """Accumulates the measurements of a running simulation."""

    def __init__(self, setup: OverloadSetup) -> None:
        self._setup = setup
        self.first_tries = self.offered = self.attempts = self.probes = self.connects = 0
        self.first_tries_before_peak = self.rejected_in_calm = self.shed_in_calm = 0
        self.work = self.wasted_work = 0.0  # slot-seconds
        self.value = self.ideal_value = 0.0  # slot-seconds times priority weight
        self.response_times: dict[int, list[float]] = {
            request_class.weight: [] for request_class in REQUEST_CLASSES
        }
        self.first_tries_by_second = [0] * (int(setup.length) + 2)
        self.served_by_second = [0] * (int(setup.length) + 2)
        self.served_by_tenant = [0.0] * len(TENANTS)  # slot-seconds, in the peak
        self.demand_by_tenant = [0.0] * len(TENANTS)
        self.queue_spreads: list[float] = []
        self.top_weight_offered = self.top_weight_served = 0  # in the peak
        self.probes_by_second: dict[tuple[int, int], int] = {}  # by executor number and second

    def result(self) -> OverloadResult:
        """Return the measurements of the finished run."""
        setup, first = self._setup, max(1, self.first_tries)
        shares = self._shares_by_second()
        executor_seconds = setup.executors * setup.length
        return OverloadResult(
            value=self.value / max(MIN_DIVISOR, self.ideal_value),
            attempts=self.attempts / first,
            offered=self.offered / first,
            rejected_in_calm=self.rejected_in_calm / max(1, self.first_tries_before_peak),
            shed_in_calm=self.shed_in_calm / max(1, self.first_tries_before_peak),
            recovery=self._recovery(shares),
            wasted=self.wasted_work / max(MIN_DIVISOR, self.work),
            response_times=self._response_times(),
            probes=self.probes / executor_seconds,
            connects=self.connects / executor_seconds,
            jain=self._jain_index(),
            top_weight_served=self.top_weight_served / max(1, self.top_weight_offered),
            most_probes=float(max(self.probes_by_second.values(), default=0)),
            queue_spread=float(numpy.mean(self.queue_spreads)) if self.queue_spreads else 0.0,
            by_second=shares,
        )

    def _shares_by_second(self) -> list[float]:
        last = int(self._setup.length) - 2
        counts = zip(self.first_tries_by_second[:last], self.served_by_second[:last], strict=True)
        return [served / sent if sent else 1.0 for sent, served in counts]

    def _recovery(self, shares: list[float]) -> float:
        end = int(self._setup.peak_end)
        for second in range(end, len(shares) - 2):
            if min(shares[second : second + RECOVERED_SECONDS]) >= RECOVERED_SHARE:
                return second - end
        return NEVER

    def _response_times(self) -> dict[int, tuple[float, float]]:
        return {
            weight: (float(numpy.percentile(times, 50)), float(numpy.percentile(times, 99)))
            for weight, times in self.response_times.items()
            if times
        }

    def _jain_index(self) -> float:
        """Return Jain's fairness index (Jain, Chiu and Hawe, 1984) of the tenants' served shares.

        The index is 1 if all tenants are served the same share of their entitlements.
        """
        entitlements = self._entitlements()
        ratios = [
            served / max(MIN_DIVISOR, entitlement)
            for served, entitlement in zip(self.served_by_tenant, entitlements, strict=True)
        ]
        return sum(ratios) ** 2 / max(MIN_DIVISOR, len(ratios) * sum(ratio * ratio for ratio in ratios))

    def _entitlements(self) -> list[float]:
        """Return each tenant's quota plus its share of unused capacity in the peak, in slot-seconds."""
        capacity = self._setup.all_slots * self._setup.lasts
        demands = self.demand_by_tenant
        quotas = [
            min(demand, capacity * tenant.share) for demand, tenant in zip(demands, TENANTS, strict=True)
        ]
        excess = [demand - quota for demand, quota in zip(demands, quotas, strict=True)]
        share = min(1.0, (capacity - sum(quotas)) / max(MIN_DIVISOR, sum(excess)))
        return [quota + share * demand for quota, demand in zip(quotas, excess, strict=True)]


# Invariants of the cluster policy by incident; the bounds allow for the differences between seeds.
INVARIANTS: dict[str, dict[str, Callable[[OverloadResult], bool]]] = {
    "calm": {
        "nothing is cut in calm": lambda result: result.shed_in_calm == 0,
        "probes do not grow": lambda result: result.probes <= 1.5,
        "served in calm": lambda result: result.value >= 0.95 and result.rejected_in_calm <= 0.005,
    },
    "month-end": {
        "what is worth most is served": lambda result: result.value >= 0.85,
        "attempts are few": lambda result: result.attempts <= 1.1,
    },
    "burst": {"back after a storm": lambda result: 0 <= result.recovery <= 6},
    "flood": {"each tenant has its part": lambda result: result.jain >= 0.94},
    "liar": {"one that lies cuts nobody for long": lambda result: result.value >= 0.75},
    "two-epochs": {
        "what is worth most suffers little by two epochs": lambda result: result.top_weight_served >= 0.75,
        "back after two epochs": lambda result: 0 <= result.recovery <= 6,
    },
    "outlives": {"a storm ends": lambda result: 0 <= result.recovery <= 25},
}


def violations(result: OverloadResult, incident: str) -> list[str]:
    """Return the names of the invariants that a run of the policy `fleet` violates."""
    return [name for name, holds in INVARIANTS.get(incident, {}).items() if not holds(result)]
