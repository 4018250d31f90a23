"""What a run of the overload simulation came to, and the invariants of its incidents."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy

from cedarmill.lab.simulation.overload.setup import REQUEST_CLASSES, TENANTS, OverloadSetup

RECOVERED_SHARE, RECOVERED_SECONDS = 0.95, 3  # of first tries served, for so long
NEVER = -1.0
TINY = 1e-9  # so that nothing is divided by zero


@dataclass(slots=True)
class OverloadResult:
    """Shares of 1; times in s. The order of the fields enters the timeline's hash."""

    value: float = 0.0  # served in time during and after the peak, of an all-knowing admission's
    attempts: float = 0.0  # at executors, for each first try of a client
    offered: float = 0.0  # requests at nodes, for each first try
    rejected_in_calm: float = 0.0  # of what came before the peak, by nodes' own estimates
    shed_in_calm: float = 0.0  # the same, by the cluster's threshold
    recovery: float = NEVER  # after the peak's end, till 95 % of first tries are served for 3 s; -1: never
    wasted: float = 0.0  # share of the executors' work that was for nobody
    response_times: dict[int, tuple[float, float]] = field(default_factory=dict)  # p50, p99, by weight
    probes: float = 0.0  # a second at one executor
    connects: float = 0.0
    jain: float = 0.0  # fairness index of what tenants had served against what they were entitled to
    top_weight_served: float = 1.0  # of what has the highest weight and came in the peak, in time
    most_probes: float = 0.0  # at one executor in any second
    queue_spread: float = 0.0  # the fullest executor's queue against the mean's, in the peak
    by_second: list[float] = field(default_factory=list)  # share of first tries served in time


class Figures:
    """Counts of a run that goes on."""

    def __init__(self, setup: OverloadSetup) -> None:
        self._setup = setup
        self.first_tries = self.offered = self.attempts = self.probes = self.connects = 0
        self.calm_tries = self.rejected_in_calm = self.shed_in_calm = 0
        self.work = self.wasted_work = 0.0  # slot-seconds
        self.value = self.best_value = 0.0  # slot-seconds by their priority weight
        self.response_times: dict[int, list[float]] = {one.weight: [] for one in REQUEST_CLASSES}
        self.came_by_second = [0] * (int(setup.length) + 2)
        self.served_by_second = [0] * (int(setup.length) + 2)
        self.served_by_tenant = [0.0] * len(TENANTS)  # slot-seconds, in the peak
        self.wanted_by_tenant = [0.0] * len(TENANTS)
        self.queue_spreads: list[float] = []
        self.top_weight_came = self.top_weight_served = 0  # in the peak
        self.probes_by_second: dict[tuple[int, int], int] = {}  # by executor and second

    def result(self) -> OverloadResult:
        """What the run came to."""
        setup, first = self._setup, max(1, self.first_tries)
        shares = self._shares_by_second()
        executor_seconds = setup.executors * setup.length
        return OverloadResult(
            value=self.value / max(TINY, self.best_value),
            attempts=self.attempts / first,
            offered=self.offered / first,
            rejected_in_calm=self.rejected_in_calm / max(1, self.calm_tries),
            shed_in_calm=self.shed_in_calm / max(1, self.calm_tries),
            recovery=self._recovery(shares),
            wasted=self.wasted_work / max(TINY, self.work),
            response_times=self._response_times(),
            probes=self.probes / executor_seconds,
            connects=self.connects / executor_seconds,
            jain=self._jain_index(),
            top_weight_served=self.top_weight_served / max(1, self.top_weight_came),
            most_probes=float(max(self.probes_by_second.values(), default=0)),
            queue_spread=float(numpy.mean(self.queue_spreads)) if self.queue_spreads else 0.0,
            by_second=shares,
        )

    def _shares_by_second(self) -> list[float]:
        last = int(self._setup.length) - 2
        counts = zip(self.came_by_second[:last], self.served_by_second[:last], strict=True)
        return [served / came if came else 1.0 for came, served in counts]

    def _recovery(self, shares: list[float]) -> float:
        end = int(self._setup.ends)
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
        """Jain's fairness index (Jain, Chiu and Hawe, 1984): 1 where all tenants have what they may."""
        entitled = self._entitled()
        got = [served / max(TINY, due) for served, due in zip(self.served_by_tenant, entitled, strict=True)]
        return sum(got) ** 2 / max(TINY, len(got) * sum(share * share for share in got))

    def _entitled(self) -> list[float]:
        """Slot-seconds that each tenant was to have in the peak: its quota, and what others leave."""
        left = self._setup.all_slots * self._setup.lasts
        wants = self.wanted_by_tenant
        quotas = [min(want, left * one.share) for want, one in zip(wants, TENANTS, strict=True)]
        missing = [want - quota for want, quota in zip(wants, quotas, strict=True)]
        part = min(1.0, (left - sum(quotas)) / max(TINY, sum(missing)))
        return [quota + part * want for quota, want in zip(quotas, missing, strict=True)]


# by incident: what has to hold where the cluster acts as one, by bounds beyond what seeds differ by
INVARIANTS: dict[str, dict[str, Callable[[OverloadResult], bool]]] = {
    "calm": {
        "nothing is cut in calm": lambda one: one.shed_in_calm == 0,
        "probes do not grow": lambda one: one.probes <= 1.5,
        "served in calm": lambda one: one.value >= 0.95 and one.rejected_in_calm <= 0.005,
    },
    "month-end": {
        "what is worth most is served": lambda one: one.value >= 0.85,
        "attempts are few": lambda one: one.attempts <= 1.1,
    },
    "burst": {"back after a storm": lambda one: 0 <= one.recovery <= 6},
    "flood": {"each tenant has its part": lambda one: one.jain >= 0.94},
    "liar": {"one that lies cuts nobody for long": lambda one: one.value >= 0.75},
    "two-epochs": {
        "what is worth most suffers little by two epochs": lambda one: one.top_weight_served >= 0.75,
        "back after two epochs": lambda one: 0 <= one.recovery <= 6,
    },
    "outlives": {"a storm ends": lambda one: 0 <= one.recovery <= 25},
}


def violations(result: OverloadResult, incident: str) -> list[str]:
    """The invariants that a run of the policy `fleet` broke."""
    return [name for name, holds in INVARIANTS.get(incident, {}).items() if not holds(result)]
