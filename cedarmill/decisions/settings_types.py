"""Settings of a balancer as typed values, validated by their constructors.

Times are whole microseconds. `settings.py` converts the operators' JSON to these types. Validation errors
name the fields, so the field names are visible to operators and must not change.
"""

import math
from dataclasses import dataclass
from enum import StrEnum


class Effect(StrEnum):
    """Effect of running a request twice."""

    SAFE = "safe"  # none: it may run again anywhere
    KEYED = "keyed"  # none where its idempotency key is known, within a window and a scope
    UNSAFE = "unsafe"  # harmful: it must not run twice


class DeduplicationScope(StrEnum):
    """Executors that know the idempotency key of an attempt and discard a repetition."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _check(is_valid: bool, field: str, value: object) -> None:
    """Raise ValueError naming the field unless its value is valid."""
    if not is_valid:
        raise ValueError(f"{field}: {value!r} is not valid")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; raises ValueError naming an invalid field.

    `worth` is the priority weight. `aim_us` is the latency objective, to which `aim_stretch` times the
    request's own work is added. Executors know an idempotency key for `repeat_window_us`, within `group`.
    """

    name: str
    worth: float
    aim_us: int
    deadline_us: int
    effect: Effect
    group: DeduplicationScope = DeduplicationScope.ALL
    repeat_window_us: int = 0
    aim_stretch: float = 0.0
    late_worth: float = 0.0
    worker_kind: int = -1  # required kind of executor; -1: any

    def __post_init__(self) -> None:
        _check(math.isfinite(self.worth) and self.worth >= 0, "worth", self.worth)
        _check(self.aim_us > 0, "aim_us", self.aim_us)
        _check(self.deadline_us > 0, "deadline_us", self.deadline_us)
        _check(self.effect in list(Effect), "effect", self.effect)
        _check(self.group in list(DeduplicationScope), "group", self.group)
        _check(self.repeat_window_us >= 0, "repeat_window_us", self.repeat_window_us)
        _check(math.isfinite(self.aim_stretch) and self.aim_stretch >= 0, "aim_stretch", self.aim_stretch)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; `quota_per_s` is the request rate of its share, over all balancers."""

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _check(math.isfinite(self.quota_per_s) and self.quota_per_s >= 0, "quota_per_s", self.quota_per_s)


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer; raises ValueError naming an invalid field."""

    instances: int  # balancers of the deployment, including this one
    zone: int  # zone of this balancer
    classes: tuple[RequestClass, ...]
    cold_us: int  # duration of slow start; 0 disables it
    cold_share: float  # share of full capacity at the start
    fall_multiple: float  # multiple of its capacity that an executor sustains for `overload_window_us`
    overload_window_us: int
    max_attempts: int
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # factor on the weight of a tenant's requests beyond its share
    worth_by_work: bool = False
    on_request_discovery: bool = False  # the endpoint list must be requested
    ask_within_us: int = 10_000_000
    report_fields: tuple[str, ...] = ()
    report_by_probe: bool = False
    may_duplicate: bool = False  # a second attempt may run concurrently with the first
    can_cancel: bool = False
    can_probe: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    tells_start: bool = False  # executors report the start of an attempt
    progress_us: int = 0
    tick_us: int = 1_000
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    # Not read by the balancer: names and limits for adapters.
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    report_names: tuple[str, ...] = ()
    conn_idle_us: int = 10_000_000

    def __post_init__(self) -> None:
        _check(self.instances >= 1, "instances", self.instances)
        _check(len(self.classes) >= 1, "classes", self.classes)
        _check(self.cold_us >= 0, "cold_us", self.cold_us)
        _check(0 < self.cold_share <= 1, "cold_share", self.cold_share)
        _check(self.fall_multiple > 0, "fall_multiple", self.fall_multiple)
        _check(self.overload_window_us >= 0, "overload_window_us", self.overload_window_us)
        _check(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        _check(0 <= self.over_share_worth <= 1, "over_share_worth", self.over_share_worth)
        _check(self.ask_within_us > 0, "ask_within_us", self.ask_within_us)
        _check(self.max_retry_after_us >= 0, "max_retry_after_us", self.max_retry_after_us)
        _check(self.connect_timeout_us > 0, "connect_timeout_us", self.connect_timeout_us)
        _check(self.progress_us >= 0, "progress_us", self.progress_us)
        _check(self.tick_us > 0, "tick_us", self.tick_us)
        _check(self.conn_idle_us > 0, "conn_idle_us", self.conn_idle_us)
