"""Snapshot of what a balancer has learned, as plain values to restore into a new balancer.

This module makes no decisions. Times are stored as ages (us before the snapshot), so that a process with
another clock can restore them. Executors are identified by their names in discovery, because their numbers
differ between processes. Attempts in flight stay with the balancer that sent them, which reports separately
what they hold (`own_reservations`) while both processes run. `rename` keeps the keys of the stored format.
"""

import math
from collections.abc import Mapping

import msgspec

from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.learned import ClassRunningTimes, TenantLoad
from cedarmill.decisions.state import Executor, WorkSent

# Processes may differ by this much on a start, which is listed in whole milliseconds.
START_TOLERANCE_US = 20_000
_START_AGE_KEY = "since"  # key of an executor's start among its ages
_AGE_FIELDS = {
    _START_AGE_KEY: "started_at",
    "heard_at": "last_response_at",
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
    """Snapshot of an executor; its capacities include own attempts in flight (None: unbounded memory)."""

    slots: float
    queue_places: float
    error_share: float
    reported_errors: float
    slowdown: float
    health: float
    consecutive_failures: int
    capacity: float
    memory_capacity: float | None
    ages: dict[str, int]  # by the keys of _AGE_FIELDS; times in the future have a negative age
    slow_start_sends: list[tuple[int, float]]  # age and work of each send while warming up


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
    """Snapshot of a balancer."""

    executors: dict[str, ExecutorSnapshot]
    class_times: list[tuple[float, float, int]]  # mean, mean log ratio to hints, number of samples
    tenant_loads: list[tuple[float, int]]  # requests and age
    slots_by_kind: dict[int, float]
    held_slots: tuple[float, float]  # by own attempts, by all
    idle_by_zone: tuple[float, float]  # local zone, remote zones
    error_share: float
    idle_slots: float
    mean_run_us: float
    preemption_gain: float


def take_snapshot(balancer: Balancer, names: Mapping[int, str], now: int) -> Snapshot:
    """Return what `balancer` has learned by `now` (us); `names` are the executors' names in discovery."""
    learned = balancer.state.learned
    executors = ((names[number], record) for number, record in balancer.executors.items() if number in names)
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
    """Restore everything but executors; return False if the snapshot has other classes or tenants."""
    learned, settings = balancer.state.learned, balancer.settings
    classes, tenants = len(learned.class_times), len(learned.tenant_loads)
    if len(snapshot.class_times) != classes or len(snapshot.tenant_loads) != tenants:
        return False
    learned.class_times = [ClassRunningTimes(*times) for times in snapshot.class_times]
    learned.tenant_loads = [TenantLoad(requests, now - age) for requests, age in snapshot.tenant_loads]
    named_kinds = range(len(settings.kinds))  # numbers of other kinds differ between processes
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
    """Restore an executor; return False if the snapshot is of an earlier process or the executor is in use.

    A snapshot start later than the listed one belongs to a reinstated executor, which warms up from then on.
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


def own_reservations(balancer: Balancer, names: Mapping[int, str]) -> dict[str, tuple[float, float]]:
    """Return the slots and memory that this balancer's own attempts hold, by discovery's names."""
    return {
        names[number]: (
            executor.held_slots - executor.sibling_slots,
            executor.held_memory - executor.sibling_memory,
        )
        for number, executor in balancer.executors.items()
        if number in names and executor.held_slots > executor.sibling_slots
    }
