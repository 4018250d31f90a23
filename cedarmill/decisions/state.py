"""What a balancer remembers of executors, requests and attempts: typed records that all its decisions share.

Nothing is decided here. Times are whole microseconds of the caller's clock; 0 stands for never.
"""

import math
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from cedarmill.decisions import interface as api
from cedarmill.decisions.learned import ClassRunningTimes, Learned, TenantLoad, WorkEstimate


class WorkSent(NamedTuple):
    """One send to an executor that warms up: when (us), and the slot-time that it was taken for (us)."""

    at: int
    work_us: float


@dataclass(slots=True, eq=False)
class SlowStartUsage:
    """What an executor that warms up was sent, and the sample that decides on parts of a request."""

    sends: list[WorkSent] = field(default_factory=list)  # of the last overload window
    sampled_at: int = 0
    sample: float = 0.0  # uniform in 0 to 1, drawn anew for each window


@dataclass(slots=True, eq=False)
class Executor:
    """One executor process as this balancer knows it; slots and memory are in the units of its reports."""

    id: int
    zone: int
    cell: int
    kind: int
    started_at: int  # as listed, 0: long ago
    slots: float  # the most ever seen
    capacity: float  # slots that are this balancer's now
    queue_places: float  # requests that may wait there, learned
    size: float = 1.0  # as listed, against other executors
    memory_capacity: float = math.inf
    held_slots: float = 0.0  # of own attempts in flight, of stale reservations and of the sibling process
    held_memory: float = 0.0
    sibling_slots: float = 0.0  # of `held_slots`: those of the sibling process
    sibling_memory: float = 0.0
    listed: bool = True
    attempts: "dict[tuple[int, int], Attempt]" = field(default_factory=dict)  # own ones in flight
    stale_reservations: "list[Attempt]" = field(default_factory=list)  # given up, perhaps still running
    report: api.LoadReport | None = None
    heard_at: int = 0  # its last report or answer
    probing_request: "Request | None" = None  # waits for the answer to a probe of it
    slow_start: SlowStartUsage = field(default_factory=SlowStartUsage)
    backed_off_at: int = 0  # its queue places were lowered last
    probation_at: int = 0  # from then on a probation attempt or probe may go there
    error_share: float = 0.0  # of attempts that failed
    reported_errors: float = 0.0  # in a mean running time, as last reported: those of all balancers
    slowdown: float = 0.0  # log of its running times against those of its peers
    health: float = 1.0  # less for one that fails requests or is slower than its peers
    consecutive_failures: int = (
        0  # signs of a dead or unreachable one since an attempt started or ended there
    )

    def release_stale(self, before: int) -> None:
        """Release what attempts that were given up by then (us) still hold."""
        for attempt in [stale for stale in self.stale_reservations if stale.ended_at <= before]:
            self.stale_reservations.remove(attempt)
            attempt.release()


class ExecutorPools:
    """Listed executors of the own zone, of the others, of each zone and of each cell, in random order."""

    def __init__(self, zone: int) -> None:
        self.zone = zone
        self.local: list[Executor] = []
        self.remote: list[Executor] = []
        self.cells: dict[int, list[Executor]] = {}
        self.zones: dict[int, list[Executor]] = {}

    def pools_of(self, executor: Executor) -> tuple[list[Executor], ...]:
        """The pools of an executor: near or far, its cell's, its zone's."""
        zone_pool = self.local if executor.zone == self.zone else self.remote
        return zone_pool, self.cells.setdefault(executor.cell, []), self.zones.setdefault(executor.zone, [])

    def add(self, executor: Executor, sample: float) -> None:
        """Enter an executor at a random place; `sample` is uniform in 0 to 1."""
        executor.listed = True
        for pool in self.pools_of(executor):
            pool.insert(int(sample * (len(pool) + 1)), executor)

    def remove(self, executor: Executor | None) -> None:
        """Take an executor out, if it is in."""
        if executor is not None and executor.listed:
            executor.listed = False
            for pool in self.pools_of(executor):
                pool.remove(executor)

    @staticmethod
    def wrapping_slice(pool: list[Executor], size: int, count: int, sample: float) -> list[Executor]:
        """So many of the first `size` of a pool, from a random place on; `sample` is uniform in 0 to 1."""
        offset = int(sample * size)
        found = pool[offset : min(size, offset + count)]
        return found + pool[: min(offset, count - len(found))]


@dataclass(slots=True, eq=False)
class Request:
    """One request that this balancer has accepted."""

    id: int
    class_index: int
    slots: float
    memory: float
    hint_us: int  # how long it runs by its client's hint, 0: no hint
    request_class: api.RequestClass
    deadline: int
    priority: float  # its weight, after its tenant's quota
    allowed_zones: tuple[int, ...] = ()  # empty: all
    max_attempts: int = api.UNLIMITED_ATTEMPTS
    retry_after_factor: float = 0.0  # of its slack, after which its client may come back if it is refused
    attempts: "list[Attempt]" = field(default_factory=list)
    done: bool = False
    queued: bool = False
    probe_rounds: int = 0  # times that executors were probed for it since its last attempt
    probes_pending: int = 0  # answers that it still waits for

    @property
    def in_flight(self) -> bool:
        """Whether an attempt of it has not ended."""
        return any(attempt.in_flight for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; its zone and cell are those of the executor at the time of the send."""

    request: Request
    executor: Executor
    number: int
    sent_at: int
    zone: int
    cell: int
    after_preemption: bool = False  # sent in place of running work that was preempted
    started_at: int = 0
    ended_at: int = 0
    progress: float = 0.0
    in_flight: bool = True
    may_have_run: bool = True  # until an outcome proves that it did not
    not_preemptible: bool = False  # it is being cancelled, or its answer has begun

    def reserve(self) -> None:
        """Count what the attempt holds of its executor."""
        self.executor.held_slots += self.request.slots
        self.executor.held_memory += self.request.memory

    def release(self) -> None:
        """Give back what the attempt holds of its executor."""
        self.executor.held_slots -= self.request.slots
        self.executor.held_memory -= self.request.memory


# What a timer was set for.


class QueueTimeout(NamedTuple):
    """A queued request has to be answered."""

    request: Request


class ProbeTimeout(NamedTuple):
    """The time to answer a round of probes is over."""

    request: Request
    round: int


class SubscribeDue(NamedTuple):
    """The endpoint list is to be asked for."""


TimerPurpose = QueueTimeout | ProbeTimeout | SubscribeDue


class ReportColumns(NamedTuple):
    """Where in a load report each field stands; None: reports do not tell it."""

    free_slots: int | None
    free_memory: int | None
    errors_per_s: int | None
    queue: int | None


class BalancerState:
    """All that the decisions read and change: one object for each balancer."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[api.Action] = []
        self.executors: dict[int, Executor] = {}
        self.pools = ExecutorPools(settings.zone)
        self.requests: dict[int, Request] = {}
        self.queue: list[Request] = []  # preempted or lost requests that wait for room
        self.timers: dict[int, TimerPurpose] = {}
        self.last_token = 0
        self.list_failures = 0  # in a row
        self.is_successor = False  # of a process of this node that lives, not started with all the others
        self.zone_shares: dict[
            tuple[int, ...], dict[int, float]
        ] = {}  # by the zones in which requests may run
        self.recently_used: list[Executor] = []  # where own attempts ended last
        self.reinstated: list[Executor] = []  # by hand, a short while ago, and not sent anything yet
        self.preempting_attempt: Attempt | None = None  # the last one sent in place of running work
        self.highest_weight = max(request_class.worth for request_class in settings.classes) or 1.0
        columns = {name: place for place, name in enumerate(settings.report_fields)}
        self.report_columns = ReportColumns(*(columns.get(name) for name in ReportColumns._fields))
        initial_run_us = float(settings.classes[0].aim_us)
        self.learned = Learned(
            [ClassRunningTimes(float(c.aim_us), math.log(c.aim_us), 0) for c in settings.classes],
            [TenantLoad() for _ in settings.tenants],
            mean_run_us=initial_run_us,
            work_estimate=WorkEstimate(initial_run_us),
            own_held_slots=1.0 / settings.instances,
        )

    def class_times(self, request: Request) -> ClassRunningTimes:
        """Running times of the request's class."""
        return self.learned.class_times[request.class_index]

    def set_timer(self, delay_us: int, purpose: TimerPurpose) -> None:
        """Ask for a timer; when it fires, the balancer acts by its purpose."""
        self.last_token = (self.last_token + 1) & 0xFFFFFFFF  # the wire's tokens have 32 bits
        self.timers[self.last_token] = purpose
        self.actions.append(api.SetTimer(self.last_token, max(0, delay_us)))
