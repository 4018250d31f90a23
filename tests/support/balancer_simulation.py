"""Discrete-event simulation of a cluster: balancers, executors that queue requests, and clients that retry.

The simulation tracks the true state of every executor. Times are microseconds since its start.
"""

import heapq
import math
from collections import defaultdict, deque
from dataclasses import dataclass, field
from random import Random

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import Outcome

SECOND_US = 1_000_000
CLASSES = (
    api.RequestClass(
        "pin-confirm",
        5.0,
        250_000,
        6 * SECOND_US,
        api.Effect.KEYED,
        api.DeduplicationScope.ZONE,
        10 * SECOND_US,
        2.5,
    ),
    api.RequestClass("code-issue", 3.0, 500_000, 12 * SECOND_US, api.Effect.UNSAFE, aim_stretch=1.75),
)
MEAN_WORK_US = (450_000, 950_000)  # by class
REPORT_FIELDS = ("free_slots", "errors_per_s", "queue", "free_memory")
SLOTS, QUEUE_PLACES = 2, 14  # of each executor
SLOW_START_US, INITIAL_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US = 9 * SECOND_US, 0.3, 2.5, 1_500_000
ROUND_TRIP_US = 600
CONNECT_TIMEOUT_US = 250_000
FAST_ERROR_US = 5_000
TRAFFIC_BY_ZONE = (0.5, 0.27, 0.13, 0.1)  # shares
BALANCER_CLOCK_START_US = 1_000 * SECOND_US  # time of the balancers' clock at the start of the simulation
REPORT_NOISE = 1e-6  # makes reports differ, as measurement noise does


@dataclass(eq=False)
class SimulatedExecutor:
    """True state of one executor."""

    number: int
    zone: int
    kind: int
    speed: float
    report_period_us: int
    report_delay_us: int
    started_at: int = 0  # 0: long ago
    warm_up_us: int = 6 * SECOND_US
    initial_share: float = 0.4  # share of full capacity at the start
    error_share: float = 0.0  # share of attempts that fail at once
    running: int = 0
    queue: deque = field(default_factory=deque)
    reports: deque = field(default_factory=deque)  # time from which a report can be read, and the report
    received_work: list = field(default_factory=list)  # time and work of every attempt that arrived
    errors: float = 0.0
    is_lost: bool = False  # sends no more answers and accepts no connections

    def capacity_share(self, now: int) -> float:
        """Return the share of its full capacity that the executor has at time `now`."""
        if not self.started_at:
            return 1.0
        return min(
            1.0, self.initial_share + (1 - self.initial_share) * (now - self.started_at) / self.warm_up_us
        )

    def overload_ratio(self, now: int) -> float:
        """Return the received work of the last window over the sustainable work; executors fail above 1."""
        received = sum(work for at, work in self.received_work if now - OVERLOAD_WINDOW_US < at <= now)
        return received / (
            OVERLOAD_MULTIPLE * SLOTS * self.speed * self.capacity_share(now) * OVERLOAD_WINDOW_US
        )


class SimulatedRequest:
    """A client's request, which is sent again after a refusal."""

    def __init__(self, now: int, class_index: int, work_us: float, hint_us: int, tenant: int) -> None:
        self.class_index, self.work_us, self.hint_us, self.tenant = class_index, work_us, hint_us, tenant
        self.times_sent, self.sent_at, self.created_at = 0, 0, now

    @property
    def objective_us(self) -> float:
        """Latency objective of the request."""
        request_class = CLASSES[self.class_index]
        return request_class.aim_us + request_class.aim_stretch * self.work_us


def balancer_settings(nodes: int, zone: int, **more) -> api.Settings:
    """Return the settings of one balancer of a large cluster."""
    return api.Settings(
        instances=nodes,
        zone=zone,
        classes=CLASSES,
        cold_us=SLOW_START_US,
        cold_share=INITIAL_SHARE,
        fall_multiple=OVERLOAD_MULTIPLE,
        overload_window_us=OVERLOAD_WINDOW_US,
        max_attempts=5,
        over_share_worth=0.2,
        worth_by_work=True,
        on_request_discovery=True,
        report_fields=REPORT_FIELDS,
        report_by_probe=True,
        may_duplicate=True,
        can_cancel=True,
        can_probe=True,
        max_retry_after_us=2 * SECOND_US,
        tick_us=2_000,
        cross_zone_price=0.027,
        probe_price=0.0047,
        **more,
    )


class SimulatedCluster:
    """Cluster of balancers and executors; `run` advances the simulation and the counters show its results."""

    def __init__(
        self,
        node_count: int = 40,
        executor_count: int = 60,
        load: float = 0.65,
        seed: int = 1,
        zone_count: int = 4,
        traffic_by_zone: tuple[float, ...] = TRAFFIC_BY_ZONE,
    ) -> None:
        self.random, self.now, self.scheduled_count, self.zone_count = Random(seed), 0, 0, zone_count
        self.schedule_heap: list = []
        self.executors: dict[int, SimulatedExecutor] = {}
        for _ in range(executor_count):
            self.add_executor()
        # Initial executors from which tests select those that fail or are replaced.
        self.fault_candidates = list(self.executors.values())
        capacity = sum(SLOTS * executor.speed for executor in self.executors.values())
        self.requests_per_us = load * capacity / (0.52 * MEAN_WORK_US[0] + 0.48 * MEAN_WORK_US[1])
        # Time, node, executor and request of each attempt.
        self.sent: list[tuple[int, int, SimulatedExecutor, SimulatedRequest]] = []
        self.unanswered_count = 0  # attempts and probes that reached a lost executor
        self.probe_count = self.refused_count = self.failed_count = 0
        # Work that was served in time, and work that was requested, by second of the request.
        self.work_by_second = defaultdict(lambda: [0.0, 0.0])
        total_quota = self.requests_per_us * SECOND_US / 0.9
        tenants = api.Tenant("a", total_quota * 0.63), api.Tenant("b", total_quota * 0.37)
        self.settings = [
            balancer_settings(node_count, n % zone_count, tenants=tenants) for n in range(node_count)
        ]
        # The zones' traffic differs from their capacity, and some nodes get far more than others.
        self.traffic_by_node = [
            traffic_by_zone[n % zone_count] * self.random.paretovariate(1.3) for n in range(node_count)
        ]
        self.balancers = [Balancer(s, seed * 1000 + n) for n, s in enumerate(self.settings)]
        self.open_requests: dict[tuple[int, int], SimulatedRequest] = {}
        # Executors of the attempts of each request, by node and request number.
        self.attempt_executors: dict[tuple[int, int], list[SimulatedExecutor]] = {}
        self.ended_attempts: set[tuple[int, int, int]] = set()
        self.last_request_numbers = [0] * node_count
        for node in range(node_count):
            self.deliver(
                node,
                api.EndpointList(
                    api.EndpointListKind.CACHED, [self.list_entry(b) for b in self.executors.values()]
                ),
            )
        self.schedule(0, self._create_request)

    def add_executor(self, kind: int | None = None, zone: int | None = None, **more) -> SimulatedExecutor:
        """Add an executor; one with `started_at` is warming up."""
        r, number = self.random, len(self.executors) + 1
        kind = int(r.random() < 0.55) if kind is None else kind
        speed = r.uniform(0.77, 1.0) if kind else r.uniform(1.5, 2.1)
        executor = SimulatedExecutor(
            number,
            number % self.zone_count if zone is None else zone,
            kind,
            speed,
            r.randrange(580_000, 1_500_000),
            r.randrange(120_000, 490_000),
            **more,
        )
        self.executors[number] = executor
        self.schedule(r.randrange(executor.report_period_us), lambda: self._measure_load(executor))
        return executor

    def list_entry(
        self, executor: SimulatedExecutor, state: api.ExecutorState = api.ExecutorState.READY
    ) -> api.EndpointEntry:
        """Return the entry of an executor in the endpoint list."""
        listed_start = executor.started_at + BALANCER_CLOCK_START_US if executor.started_at else 0
        return api.EndpointEntry(
            executor.number,
            state,
            executor.zone,
            executor.number // 4,
            listed_start,
            (3.5, 2.0)[executor.kind],
            executor.kind,
        )

    def send_list_changes(
        self, *executors: SimulatedExecutor, state: api.ExecutorState = api.ExecutorState.READY
    ) -> None:
        """Send the new state of some executors to all nodes."""
        for node in range(len(self.balancers)):
            self.deliver(
                node,
                api.EndpointList(
                    api.EndpointListKind.DELTA, [self.list_entry(executor, state) for executor in executors]
                ),
            )

    # The clock.

    def schedule(self, when: int, callback) -> None:
        """Call `callback` at time `when` (us)."""
        self.scheduled_count += 1
        heapq.heappush(self.schedule_heap, (int(when), self.scheduled_count, callback))

    def share_in_time(self, since: float, until: float) -> float:
        """Return the share of work requested between two times (s) that was served within its objective."""
        rows = [row for second, row in self.work_by_second.items() if since <= second < until]
        return sum(row[0] for row in rows) / sum(row[1] for row in rows)

    def run(self, seconds: float) -> None:
        """Run the simulation up to a time in seconds."""
        while self.schedule_heap and self.schedule_heap[0][0] <= seconds * SECOND_US:
            self.now, _, callback = heapq.heappop(self.schedule_heap)
            callback()

    # Clients.

    def _create_request(self) -> None:
        r = self.random
        self.schedule(self.now + r.expovariate(self.requests_per_us), self._create_request)
        class_index = int(r.random() >= 0.52)
        mean, sigma = MEAN_WORK_US[class_index], math.sqrt(math.log(1 + 1.9**2))
        work_us = min(12 * mean, math.exp(r.gauss(math.log(mean) - sigma**2 / 2, sigma)))
        request = SimulatedRequest(
            self.now,
            class_index,
            work_us,
            int(work_us * math.exp(r.gauss(0, 0.4))) + 1,
            int(r.random() < 0.37),
        )
        self.work_by_second[self.now // SECOND_US][1] += work_us
        self._send_request(r.choices(range(len(self.balancers)), self.traffic_by_node)[0], request)

    def _send_request(self, node: int, request: SimulatedRequest) -> None:
        request.times_sent += 1
        request.sent_at = self.now
        self.last_request_numbers[node] += 1
        number = self.last_request_numbers[node]
        self.open_requests[node, number], self.attempt_executors[node, number] = request, []
        time_left_us = CLASSES[request.class_index].deadline_us
        self.schedule(self.now + time_left_us, lambda: self._on_deadline(node, number))
        self.deliver(
            node,
            api.RequestArrived(
                number, request.class_index, time_left_us, hint_us=request.hint_us, tenant=request.tenant
            ),
        )

    def _on_deadline(self, node: int, number: int) -> None:
        for n in range(len(self.attempt_executors[node, number])):
            self._end_attempt(node, number, n, Outcome.TIMEOUT)
        if self.open_requests.pop((node, number), None):
            self.failed_count += 1

    # Nodes. `deliver` calls the method that is named after the type of each action.

    def deliver(self, node: int, event) -> None:
        """Deliver an event to a node's balancer, and execute the returned actions."""
        for action in self.balancers[node].handle(self.now + BALANCER_CLOCK_START_US, event):
            getattr(self, "_" + type(action).__name__.lower())(node, action)

    def _send(self, node: int, action: api.Send) -> None:
        executor, request = self.executors[action.executor], self.open_requests[node, action.request]
        attempt_executors = self.attempt_executors[node, action.request]
        attempt = len(attempt_executors)
        attempt_executors.append(executor)
        self.sent.append((self.now, node, executor, request))
        self.schedule(
            self.now + ROUND_TRIP_US,
            lambda: self._receive_attempt(executor, request, node, action.request, attempt),
        )

    def _cancel(self, node: int, action: api.Cancel) -> None:
        self.schedule(
            self.now, lambda: self._end_attempt(node, action.request, action.attempt, Outcome.CANCELLED)
        )

    def _refuse(self, node: int, action: api.Refuse) -> None:
        request = self.open_requests.pop((node, action.request))
        self.refused_count += 1
        if request.times_sent < 3:
            self.schedule(
                self.now + max(action.retry_after_us, 30_000), lambda: self._send_request(node, request)
            )

    def _fail(self, node: int, action: api.Fail) -> None:
        if self.open_requests.pop((node, action.request), None):
            self.failed_count += 1

    def _settimer(self, node: int, action: api.SetTimer) -> None:
        self.schedule(self.now + action.delay_us, lambda: self.deliver(node, api.TimerFired(action.token)))

    def _subscribe(self, node: int, action: api.Subscribe) -> None:
        self.schedule(
            self.now + ROUND_TRIP_US,
            lambda: self.deliver(node, api.EndpointList(api.EndpointListKind.DELTA, [])),
        )

    def _probe(self, node: int, action: api.Probe) -> None:
        self.probe_count += 1
        executor = self.executors[action.executor]
        while len(executor.reports) > 1 and executor.reports[1][0] <= self.now:
            executor.reports.popleft()
        has_report = executor.reports and executor.reports[0][0] <= self.now
        report = executor.reports[0][1] if has_report and not executor.is_lost else None
        result = api.ProbeEnded(
            executor.number, Outcome.CONNECT_FAILED if executor.is_lost else Outcome.OK, report
        )
        self.unanswered_count += executor.is_lost
        self.schedule(
            self.now + (CONNECT_TIMEOUT_US if executor.is_lost else ROUND_TRIP_US),
            lambda: self.deliver(node, result),
        )

    def _end_attempt(self, node: int, number: int, attempt: int, outcome: Outcome) -> None:
        if (node, number, attempt) in self.ended_attempts:
            return
        self.ended_attempts.add((node, number, attempt))
        executor, request = (
            self.attempt_executors[node, number][attempt],
            self.open_requests.get((node, number)),
        )
        if outcome == Outcome.OK and request is not None:
            del self.open_requests[node, number]
            if self.now - request.sent_at <= request.objective_us:
                self.work_by_second[request.created_at // SECOND_US][0] += request.work_us
        is_final = (node, number) not in self.open_requests
        self.deliver(node, api.AttemptEnded(number, attempt, executor.number, outcome, is_final))

    # Executors.

    def _measure_load(self, executor: SimulatedExecutor) -> None:
        free_slots, noise = SLOTS - executor.running, self.random.random() * REPORT_NOISE
        report = (free_slots + noise, executor.errors, float(len(executor.queue)), 10.0)
        executor.reports.append((self.now + executor.report_delay_us, report))
        executor.errors *= 0.25
        self.schedule(self.now + executor.report_period_us, lambda: self._measure_load(executor))

    def _receive_attempt(
        self, executor: SimulatedExecutor, request: SimulatedRequest, node: int, number: int, attempt: int
    ) -> None:
        if executor.is_lost:
            self.unanswered_count += 1
            self.schedule(
                self.now + CONNECT_TIMEOUT_US,
                lambda: self._end_attempt(node, number, attempt, Outcome.CONNECT_FAILED),
            )
            return
        executor.received_work.append((self.now, request.work_us))
        if self.random.random() < executor.error_share:
            executor.errors += 1.0
            self.schedule(
                self.now + FAST_ERROR_US, lambda: self._end_attempt(node, number, attempt, Outcome.ERROR)
            )
        elif executor.running < SLOTS:
            self._start_attempt(executor, request, node, number, attempt)
        elif len(executor.queue) < QUEUE_PLACES:
            executor.queue.append((request, node, number, attempt))
        else:
            self._end_attempt(node, number, attempt, Outcome.FULL)

    def _start_attempt(
        self, executor: SimulatedExecutor, request: SimulatedRequest, node: int, number: int, attempt: int
    ) -> None:
        executor.running += 1
        run_us = (
            request.work_us
            / (executor.speed * executor.capacity_share(self.now))
            * math.exp(self.random.gauss(0, 0.25))
        )
        self.schedule(self.now + run_us, lambda: self._complete_attempt(executor, node, number, attempt))

    def _complete_attempt(self, executor: SimulatedExecutor, node: int, number: int, attempt: int) -> None:
        if executor.is_lost:
            return  # a lost executor sends no answers
        executor.running -= 1
        if executor.queue:
            self._start_attempt(executor, *executor.queue.popleft())
        self._end_attempt(node, number, attempt, Outcome.OK)
