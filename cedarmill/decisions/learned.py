"""Statistics over all executors that a balancer learns from reports and outcomes.

This module makes no decisions. Times are whole microseconds of the caller's clock; 0 means never.
"""

from dataclasses import dataclass, field

INITIAL_PREEMPTION_GAIN = 0.65  # assumed share of preempted attempts whose slot is free at once


@dataclass(slots=True)
class ClassRunningTimes:
    """Running times of a class: mean (us), mean log ratio to the hints, and number of samples."""

    mean_us: float
    log_ratio: float
    count: int


@dataclass(slots=True)
class TenantLoad:
    """Decayed number of requests from a tenant, as of `at` (us)."""

    requests: float = 0.0
    at: int = 0


@dataclass(slots=True)
class ServedLoad:
    """Decayed number of served requests as of `at` (us), counted from `since` (us)."""

    requests: float = 0.0
    at: int = 0
    since: int = 0


@dataclass(slots=True)
class WorkEstimate:
    """Mean slot-time of requests by their hints (us), and its variance that the hints do not explain."""

    mean_us: float
    count: int = 0  # samples in the mean
    relative_variance: float = 1.0  # unexplained variance of one request, in squares of the mean
    variance_samples: int = 12  # samples in `relative_variance`, starting with a prior weight


@dataclass(slots=True)
class Learned:
    """Statistics over all executors; each mean decays at the rate of the module that updates it."""

    class_times: list[ClassRunningTimes]
    tenant_loads: list[TenantLoad]
    mean_run_us: float
    work_estimate: WorkEstimate
    own_held_slots: float  # mean at one executor
    served: ServedLoad = field(default_factory=ServedLoad)
    all_held_slots: float = 1.0
    error_share: float = 0.0
    idle_slots: float = 1.0  # mean at one executor, relative to its size
    idle_slots_local: float = 1.0  # `idle_slots` in the local zone
    idle_slots_remote: float = 1.0
    # Share of preempted attempts whose slot was free at once.
    preemption_gain: float = INITIAL_PREEMPTION_GAIN
    slots_by_kind: dict[int, float] = field(default_factory=dict)  # most slots ever free at one executor
    size_by_kind: dict[int, float] = field(default_factory=dict)  # listed size of that executor
