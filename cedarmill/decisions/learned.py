"""What a balancer has learned over all executors, as typed records; the means fade as their modules say.

Nothing is decided here. Times are whole microseconds of the caller's clock; 0 stands for never.
"""

from dataclasses import dataclass, field

INITIAL_PREEMPTION_GAIN = 0.65  # share of preempted attempts whose slot is free at once, as taken at first


@dataclass(slots=True)
class ClassRunningTimes:
    """Running times of a class: their mean (us), the mean log of their ratio to hints, how many were seen."""

    mean_us: float
    log_ratio: float
    count: int


@dataclass(slots=True)
class TenantLoad:
    """Requests of a tenant that came here, decayed to that time (us)."""

    requests: float = 0.0
    at: int = 0


@dataclass(slots=True)
class ServedLoad:
    """Requests that were served here, decayed to that time (us), and when counting began (us)."""

    requests: float = 0.0
    at: int = 0
    since: int = 0


@dataclass(slots=True)
class WorkEstimate:
    """The mean slot-time of requests by their hints (us), and how far running times stray beyond them."""

    mean_us: float
    count: int = 0  # samples that the mean holds
    relative_variance: float = (
        1.0  # unforeseen variance of one request's work, in squares of the mean; as if at random
    )
    variance_samples: int = 12  # samples that the variation holds, as if so many had been seen


@dataclass(slots=True)
class Learned:
    """What the balancer has learned over all executors; means fade as their modules say."""

    class_times: list[ClassRunningTimes]
    tenant_loads: list[TenantLoad]
    mean_run_us: float
    work_estimate: WorkEstimate
    own_held_slots: float  # at an executor, in the mean
    served: ServedLoad = field(default_factory=ServedLoad)
    all_held_slots: float = 1.0
    error_share: float = 0.0
    idle_slots: float = 1.0  # by the executor's size
    idle_slots_local: float = 1.0  # the same in the own zone
    idle_slots_remote: float = 1.0
    preemption_gain: float = (
        INITIAL_PREEMPTION_GAIN  # share of preempted attempts whose slot was free at once
    )
    slots_by_kind: dict[int, float] = field(default_factory=dict)  # most ever seen free at one executor
    size_by_kind: dict[int, float] = field(default_factory=dict)  # the listed size of that executor
