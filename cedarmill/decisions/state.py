"""State of a balancer: records of executors, requests and attempts that all decision modules share.

This module makes no decisions. Times are whole microseconds of the caller's clock; 0 means never.
"""

import math
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from cedarmill.decisions import interface as api
from cedarmill.decisions.learned import ClassRunningTimes, Learned, TenantLoad, WorkEstimate


class WorkSent(NamedTuple):
    """A send to an executor that is warming up: its time (us) and the expected slot-time (us)."""

    at: int
    work_us: float


@dataclass(slots=True, eq=False)
class SlowStartUsage:
    """Work sent to an executor that is warming up, and the random sample that rounds fractional requests."""

    sends: list[WorkSent] = field(default_factory=list)  # within the last overload window
    sampled_at: int = 0
    rounding_sample: float = 0.0  # uniform in [0, 1), redrawn in each window


@dataclass(slots=True, eq=False)
class Executor:
    """State of one executor process; slots and memory are in the units of its load reports."""

    id: int
    zone: int
    cell: int
    kind: int
    started_at: int  # from the endpoint list; 0: long ago
    slots: float  # most slots ever observed
    capacity: float  # slots available to this balancer now
    queue_places: float  # learned number of requests that may queue there
    size: float = 1.0  # from the endpoint list, relative to other executors
    memory_capacity: float = math.inf
    held_slots: float = 0.0  # held by own in-flight attempts, stale reservations and the sibling process
    held_memory: float = 0.0
    sibling_slots: float = 0.0  # part of `held_slots` that belongs to the sibling process
    sibling_memory: float = 0.0
    listed: bool = True
    attempts: "dict[tuple[int, int], Attempt]" = field(default_factory=dict)  # own attempts in flight
    stale_reservations: "list[Attempt]" = field(default_factory=list)  # abandoned attempts that may still run
    report: api.LoadReport | None = None
    last_response_at: int = 0  # time of the last report or response
    reported_at: int = 0  # time of `report`
    probing_request: "Request | None" = None  # waits for the answer to a probe of this executor
    slow_start: SlowStartUsage = field(default_factory=SlowStartUsage)
    backed_off_at: int = 0  # last decrease of `queue_places`
    rejected_at: int = 0  # last rejection of an own attempt
    probation_at: int = 0  # earliest time of the next probation attempt or probe
    error_share: float = 0.0  # share of attempts that failed
    reported_errors: float = 0.0  # errors of all balancers per mean running time, from the last report
    slowdown: float = 0.0  # log of the ratio of its running times to those of its peers
    health: float = 1.0  # reduced by failures and by slowness relative to its peers
    consecutive_failures: int = 0  # connection failures since the last sign that an attempt ran there

    def release_stale_reservations(self, before: int) -> None:
        """Release the stale reservations of attempts that ended at or before `before` (us)."""
        for attempt in [stale for stale in self.stale_reservations if stale.ended_at <= before]:
            self.stale_reservations.remove(attempt)
            attempt.release()


class ExecutorPools:
    """Listed executors in random order, pooled by local zone, remote zones, zone and cell."""

    def __init__(self, zone: int) -> None:
        self.zone = zone
        self.local: list[Executor] = []
        self.remote: list[Executor] = []
        self.cells: dict[int, list[Executor]] = {}
        self.zones: dict[int, list[Executor]] = {}

    def pools_of(self, executor: Executor) -> tuple[list[Executor], ...]:
        """Return the pools that contain an executor: local or remote, its cell and its zone."""
        zone_pool = self.local if executor.zone == self.zone else self.remote
        return zone_pool, self.cells.setdefault(executor.cell, []), self.zones.setdefault(executor.zone, [])

    def add(self, executor: Executor, sample: float) -> None:
        """Insert an executor at a random position of its pools; `sample` is uniform in [0, 1)."""
        executor.listed = True
        for pool in self.pools_of(executor):
            pool.insert(int(sample * (len(pool) + 1)), executor)

    def remove(self, executor: Executor | None) -> None:
        """Remove an executor from its pools if it is listed."""
        if executor is not None and executor.listed:
            executor.listed = False
            for pool in self.pools_of(executor):
                pool.remove(executor)

    @staticmethod
    def wrapping_slice(pool: list[Executor], size: int, count: int, sample: float) -> list[Executor]:
        """Return up to `count` of the first `size` executors from a random offset, wrapping around.

        `sample` is uniform in [0, 1) and selects the offset.
        """
        offset = int(sample * size)
        found = pool[offset : min(size, offset + count)]
        return found + pool[: min(offset, count - len(found))]


@dataclass(slots=True, eq=False)
class Request:
    """An unfinished request of this balancer."""

    id: int
    class_index: int
    slots: float
    memory: float
    hint_us: int  # running time by the client's hint; 0: no hint
    request_class: api.RequestClass
    deadline: int
    priority: float  # priority weight, reduced when the tenant exceeds its share
    allowed_zones: tuple[int, ...] = ()  # empty: all zones
    max_attempts: int = api.UNLIMITED_ATTEMPTS
    retry_after_factor: float = 0.0  # Retry-After of a refusal, as a multiple of the slack
    attempts: "list[Attempt]" = field(default_factory=list)
    done: bool = False
    queued: bool = False
    has_retry_timer: bool = False  # whether a QueueRetryDue is pending
    probe_rounds: int = 0  # rounds of probes since the last attempt
    probes_pending: int = 0  # probe answers that the request still waits for

    @property
    def in_flight(self) -> bool:
        """Whether the request has an attempt that has not ended."""
        return any(attempt.in_flight for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; its zone and cell are those of the executor when the attempt was sent."""

    request: Request
    executor: Executor
    number: int
    sent_at: int
    zone: int
    cell: int
    after_preemption: bool = False  # sent in place of a preempted running attempt
    started_at: int = 0
    ended_at: int = 0
    progress: float = 0.0
    in_flight: bool = True
    may_have_run: bool = True  # False once the outcome proves that it did not run
    was_rejected: bool = False  # the executor had no room for it
    not_preemptible: bool = False  # being cancelled, or its response has begun

    def reserve(self) -> None:
        """Reserve the request's slots and memory at the executor."""
        self.executor.held_slots += self.request.slots
        self.executor.held_memory += self.request.memory

    def release(self) -> None:
        """Release the request's slots and memory at the executor."""
        self.executor.held_slots -= self.request.slots
        self.executor.held_memory -= self.request.memory


# Purposes of timers.


class QueueTimeout(NamedTuple):
    """The time of a queued request has run out."""

    request: Request


class QueueRetryDue(NamedTuple):
    """A queued request is to be tried again, since nothing may tell that capacity has become free."""

    request: Request


class ProbeTimeout(NamedTuple):
    """The time to answer a round of probes has run out."""

    request: Request
    round: int


class SubscribeDue(NamedTuple):
    """The endpoint list must be requested."""


TimerPurpose = QueueTimeout | QueueRetryDue | ProbeTimeout | SubscribeDue


class ReportColumns(NamedTuple):
    """Position of each field in a load report; None if reports lack the field."""

    free_slots: int | None
    free_memory: int | None
    errors_per_s: int | None
    queue: int | None


class BalancerState:
    """Mutable state of one balancer, which the decision modules read and update."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[api.Action] = []
        self.executors: dict[int, Executor] = {}
        self.pools = ExecutorPools(settings.zone)
        self.requests: dict[int, Request] = {}
        self.queue: list[Request] = []  # preempted or lost requests that wait for capacity
        self.timers: dict[int, TimerPurpose] = {}
        self.last_token = 0
        self.list_failures = 0  # consecutive failed calls to discovery
        self.is_successor = False  # replaces a running process of this node
        self.zone_shares: dict[
            tuple[int, ...], dict[int, float]
        ] = {}  # by the zones in which requests may run
        self.recently_used: list[Executor] = []  # executors of the last attempts that ended
        self.reinstated: list[Executor] = []  # recently reinstated by operators, with nothing sent since
        self.preempting_attempt: Attempt | None = None  # last one sent in place of a preempted running one
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
        """Return the running times of a request's class."""
        return self.learned.class_times[request.class_index]

    def set_timer(self, delay_us: int, purpose: TimerPurpose) -> None:
        """Set a timer and remember its purpose."""
        self.last_token = (self.last_token + 1) & 0xFFFFFFFF  # tokens have 32 bits on the wire
        self.timers[self.last_token] = purpose
        self.actions.append(api.SetTimer(self.last_token, max(0, delay_us)))
