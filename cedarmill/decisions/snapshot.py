"""What a balancer has learned, as plain values that outlive its process and are laid over a new balancer.

Nothing is decided here. Times are ages (us before the moment of taking out), so that a process on another
clock can lay them over; old reports then fade as they always do. Executors go by discovery's names, since
numbers are a process's own. Attempts in flight stay with the balancer that sent them; what they hold is
told apart (`held_now`), again and again while both processes live. The documents keep the keys of their
first form (`rename`).
"""

import math
from collections.abc import Mapping

import msgspec

from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.learned import ClassRunningTimes, TenantLoad
from cedarmill.decisions.state import Executor, WorkSent

START_TOLERANCE_US = (
    20_000  # two processes tell one start by so much apart: it is listed in whole milliseconds
)
_START_AGE_KEY = "since"  # the key of an executor's start among its ages
_AGE_FIELDS = {
    _START_AGE_KEY: "started_at",
    "heard_at": "heard_at",
    "lowered_at": "backed_off_at",
    "trial_at": "probation_at",
}


class ExecutorSnapshot(
    msgspec.Struct,
    rename={
        "queue_places": "waiting",
        "error_share": "errors",
        "reported_errors": "ill",
        "slowdown": "pace",
        "consecutive_failures": "strikes",
        "capacity": "base",
        "memory_capacity": "memory_base",
        "slow_start_sends": "cold_log",
    },
):
    """One executor, attempts in flight counted in `capacity` and `memory_capacity` (None: unbounded)."""

    slots: float
    queue_places: float
    error_share: float
    reported_errors: float
    slowdown: float
    health: float
    consecutive_failures: int
    capacity: float
    memory_capacity: float | None
    ages: dict[str, int]  # of _TIMES; a time to come has a negative age
    slow_start_sends: list[tuple[int, float]]  # age and work of what it was sent while it warmed up


class Snapshot(
    msgspec.Struct,
    rename={
        "executors": "workers",
        "class_times": "means",
        "tenant_loads": "loads",
        "slots_by_kind": "slots",
        "held_slots": "busy",
        "idle_by_zone": "zones",
        "error_share": "errors",
        "idle_slots": "idle",
        "mean_run_us": "run",
        "preemption_gain": "pays",
    },
):
    """All that is worth keeping of a balancer."""

    executors: dict[str, ExecutorSnapshot]
    class_times: list[tuple[float, float, int]]  # mean, mean log of the ratio to hints, count
    tenant_loads: list[tuple[float, int]]  # requests and age
    slots_by_kind: dict[int, float]
    held_slots: tuple[float, float]  # by own attempts, by all
    idle_by_zone: tuple[float, float]  # the own, the others
    error_share: float
    idle_slots: float
    mean_run_us: float
    preemption_gain: float


def take_snapshot(balancer: Balancer, names: Mapping[int, str], now: int) -> Snapshot:
    """What `balancer` has learned by `now` (us); `names` are discovery's, by the balancer's numbers."""
    learned = balancer.state.learned
    executors = (
        (names[number], executor) for number, executor in balancer.executors.items() if number in names
    )
    return Snapshot(
        executors={name: _snapshot_executor(executor, now) for name, executor in executors},
        class_times=[(times.mean_us, times.log_ratio, times.count) for times in learned.class_times],
        tenant_loads=[(load.requests, now - load.at) for load in learned.tenant_loads],
        slots_by_kind=dict(learned.slots_by_kind),
        held_slots=(learned.own_held_slots, learned.all_held_slots),
        idle_by_zone=(learned.idle_slots_local, learned.idle_slots_remote),
        error_share=learned.error_share,
        idle_slots=learned.idle_slots,
        mean_run_us=learned.mean_run_us,
        preemption_gain=learned.preemption_gain,
    )


def _snapshot_executor(executor: Executor, now: int) -> ExecutorSnapshot:
    memory = executor.memory_capacity
    return ExecutorSnapshot(
        slots=executor.slots,
        queue_places=executor.queue_places,
        error_share=executor.error_share,
        reported_errors=executor.reported_errors,
        slowdown=executor.slowdown,
        health=executor.health,
        consecutive_failures=executor.consecutive_failures,
        capacity=executor.capacity,
        memory_capacity=memory if memory < math.inf else None,
        ages={key: now - at for key, field in _AGE_FIELDS.items() if (at := getattr(executor, field))},
        slow_start_sends=[(now - sent.at, sent.work_us) for sent in executor.slow_start.sends],
    )


def restore(balancer: Balancer, snapshot: Snapshot, now: int) -> bool:
    """Lay what was learned of requests over a new balancer; False if it is of other settings."""
    learned, settings = balancer.state.learned, balancer.settings
    classes, tenants = len(learned.class_times), len(learned.tenant_loads)
    if len(snapshot.class_times) != classes or len(snapshot.tenant_loads) != tenants:
        return False
    learned.class_times = [ClassRunningTimes(*times) for times in snapshot.class_times]
    learned.tenant_loads = [TenantLoad(requests, now - age) for requests, age in snapshot.tenant_loads]
    named_kinds = range(len(settings.kinds))  # other kinds are numbered as each process meets them
    learned.slots_by_kind = {
        kind: slots for kind, slots in snapshot.slots_by_kind.items() if kind in named_kinds
    }
    learned.own_held_slots, learned.all_held_slots = snapshot.held_slots
    learned.idle_slots_local, learned.idle_slots_remote = snapshot.idle_by_zone
    learned.error_share, learned.idle_slots = snapshot.error_share, snapshot.idle_slots
    learned.mean_run_us, learned.preemption_gain = snapshot.mean_run_us, snapshot.preemption_gain
    balancer.state.is_successor = True
    return True


def restore_executor(executor: Executor, saved: ExecutorSnapshot, now: int) -> bool:
    """Lay what was learned of an executor over its record; False if that is of an earlier process of it.

    A start later than the listed one is of an executor put back by hand: it warms up from then on.
    """
    listed = executor.started_at
    started_at = now - saved.ages[_START_AGE_KEY] if _START_AGE_KEY in saved.ages else 0
    if executor.attempts or listed > started_at + START_TOLERANCE_US:
        return False
    executor.slots, executor.queue_places = saved.slots, saved.queue_places
    executor.error_share, executor.reported_errors = saved.error_share, saved.reported_errors
    executor.slowdown, executor.health = saved.slowdown, saved.health
    executor.consecutive_failures = saved.consecutive_failures
    for key, field in _AGE_FIELDS.items():
        setattr(executor, field, now - saved.ages[key] if key in saved.ages else 0)
    executor.started_at = listed if abs(started_at - listed) <= START_TOLERANCE_US else started_at
    executor.capacity = saved.capacity
    executor.memory_capacity = math.inf if saved.memory_capacity is None else saved.memory_capacity
    executor.slow_start.sends = [WorkSent(now - age, work_us) for age, work_us in saved.slow_start_sends]
    return True


def held_now(balancer: Balancer, names: Mapping[int, str]) -> dict[str, tuple[float, float]]:
    """Slots and memory that this balancer's own attempts hold, by discovery's names."""
    return {
        names[number]: (
            executor.held_slots - executor.sibling_slots,
            executor.held_memory - executor.sibling_memory,
        )
        for number, executor in balancer.executors.items()
        if number in names and executor.held_slots > executor.sibling_slots
    }
