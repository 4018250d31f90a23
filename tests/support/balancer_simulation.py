"""A fleet on one seeded clock: many modules side by side, executors that queue, clients that come again.

It knows what no module knows: the true state of each executor. Times are microseconds from the start.
"""

import heapq
import math
from collections import defaultdict, deque
from dataclasses import dataclass, field
from random import Random

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import Outcome

S = 1_000_000
CLASSES = (
    api.RequestClass(
        "pin-confirm", 5.0, 250_000, 6 * S, api.Effect.KEYED, api.DeduplicationScope.ZONE, 10 * S, 2.5
    ),
    api.RequestClass("code-issue", 3.0, 500_000, 12 * S, api.Effect.UNSAFE, aim_stretch=1.75),
)
WORK_US = (450_000, 950_000)  # mean of each class
FIELDS = ("free_slots", "errors_per_s", "queue", "free_memory")
SLOTS, PLACES = 2, 14  # of a executor: jobs that run, jobs that wait
COLD_US, COLD_SHARE, FALL, WINDOW_US = 9 * S, 0.3, 2.5, 1_500_000
TRIP_US = 600  # there and back
CONNECT_US = 250_000  # after which a connect has failed
FAST_ERROR_US = 5_000
SKEW = (0.5, 0.27, 0.13, 0.1)  # of the traffic, by zone
OFFSET = 1_000 * S  # of the modules' clock
DISTINCT = 1e-6  # reports differ, as noise makes them


@dataclass(eq=False)
class SimulatedExecutor:
    """One executor as it is."""

    number: int
    zone: int
    kind: int
    speed: float
    period: int
    lag: int
    since: int = 0  # its start; 0: long ago
    warm_us: int = 6 * S
    cold_from: float = 0.4
    error_share: float = 0.0  # of jobs that fail at once
    running: int = 0
    queue: deque = field(default_factory=deque)
    reports: deque = field(default_factory=deque)  # when it can be read, what it says
    taken: list = field(default_factory=list)  # time, work: all that has reached it
    errors: float = 0.0
    gone: bool = False  # vanished: it says nothing, connects to it never come up

    def share(self, now: int) -> float:
        """Of its capacity, what it has at that time."""
        if not self.since:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * (now - self.since) / self.warm_us)

    def pressure(self, now: int) -> float:
        """Work that came in the last window, over what it stands there: above 1 it falls over."""
        came = sum(work for at, work in self.taken if now - WINDOW_US < at <= now)
        return came / (FALL * SLOTS * self.speed * self.share(now) * WINDOW_US)


class Job:
    """A client's job, over all its tries."""

    def __init__(self, now: int, index: int, work: float, hint: int, tenant: int) -> None:
        self.index, self.work, self.hint, self.tenant = index, work, hint, tenant
        self.tries, self.at, self.came = 0, 0, now

    @property
    def aim(self) -> float:
        spec = CLASSES[self.index]
        return spec.aim_us + spec.aim_stretch * self.work


def node_settings(nodes: int, zone: int, **more) -> api.Settings:
    """What a node of a large fleet is told."""
    return api.Settings(
        instances=nodes,
        zone=zone,
        classes=CLASSES,
        cold_us=COLD_US,
        cold_share=COLD_SHARE,
        fall_multiple=FALL,
        overload_window_us=WINDOW_US,
        max_attempts=5,
        over_share_worth=0.2,
        worth_by_work=True,
        on_request_discovery=True,
        report_fields=FIELDS,
        report_by_probe=True,
        may_duplicate=True,
        can_cancel=True,
        can_probe=True,
        max_retry_after_us=2 * S,
        tick_us=2_000,
        cross_zone_price=0.027,
        probe_price=0.0047,
        **more,
    )


class Fleet:
    """Nodes and executors; `run` plays on, `executors` and `sent` show what happened."""

    def __init__(
        self,
        nodes: int = 40,
        executors: int = 60,
        load: float = 0.65,
        seed: int = 1,
        zones: int = 4,
        skew: tuple[float, ...] = SKEW,
    ) -> None:
        self.random, self.now, self.count, self.zones = Random(seed), 0, 0, zones
        self.heap: list = []
        self.executors: dict[int, SimulatedExecutor] = {}
        for _ in range(executors):
            self.add_executor()
        self.untouched = list(self.executors.values())  # those there from the start, for faults to pick from
        capacity = sum(SLOTS * executor.speed for executor in self.executors.values())
        self.rate = load * capacity / (0.52 * WORK_US[0] + 0.48 * WORK_US[1])  # jobs in a microsecond
        self.sent: list[tuple[int, int, SimulatedExecutor, Job]] = []  # time, node, where, what
        self.unanswered = 0  # attempts and probes that met a executor that had vanished
        self.probes = self.refused = self.failed = 0
        self.worth = defaultdict(lambda: [0.0, 0.0])  # work served in time and asked for, by second
        quota = self.rate * S / 0.9
        tenants = api.Tenant("a", quota * 0.63), api.Tenant("b", quota * 0.37)
        self.settings = [node_settings(nodes, n % zones, tenants=tenants) for n in range(nodes)]
        # traffic is not where the executors are, and some nodes carry far more than others
        self.parts = [skew[n % zones] * self.random.paretovariate(1.3) for n in range(nodes)]
        self.balancers = [Balancer(s, seed * 1000 + n) for n, s in enumerate(self.settings)]
        self.open: dict[tuple[int, int], Job] = {}
        self.where: dict[tuple[int, int], list[SimulatedExecutor]] = {}  # attempts, by number
        self.ended: set[tuple[int, int, int]] = set()
        self.numbers = [0] * nodes
        for node in range(nodes):
            self.tell(
                node,
                api.EndpointList(
                    api.EndpointListKind.CACHED, [self.entry(b) for b in self.executors.values()]
                ),
            )
        self.at(0, self._arrive)

    def add_executor(self, kind: int | None = None, zone: int | None = None, **more) -> SimulatedExecutor:
        """One more executor; a new one (`since`) is cold."""
        r, number = self.random, len(self.executors) + 1
        kind = int(r.random() < 0.55) if kind is None else kind
        speed = r.uniform(0.77, 1.0) if kind else r.uniform(1.5, 2.1)
        executor = SimulatedExecutor(
            number,
            number % self.zones if zone is None else zone,
            kind,
            speed,
            r.randrange(580_000, 1_500_000),
            r.randrange(120_000, 490_000),
            **more,
        )
        self.executors[number] = executor
        self.at(r.randrange(executor.period), lambda: self._measure(executor))
        return executor

    def entry(
        self, executor: SimulatedExecutor, state: api.ExecutorState = api.ExecutorState.READY
    ) -> api.EndpointEntry:
        started = executor.since + OFFSET if executor.since else 0
        return api.EndpointEntry(
            executor.number,
            state,
            executor.zone,
            executor.number // 4,
            started,
            (3.5, 2.0)[executor.kind],
            executor.kind,
        )

    def news(self, *executors: SimulatedExecutor, state: api.ExecutorState = api.ExecutorState.READY) -> None:
        """The list's changes, to all nodes."""
        for node in range(len(self.balancers)):
            self.tell(
                node,
                api.EndpointList(
                    api.EndpointListKind.DELTA, [self.entry(executor, state) for executor in executors]
                ),
            )

    # The clock.

    def at(self, when: int, what) -> None:
        self.count += 1
        heapq.heappush(self.heap, (int(when), self.count, what))

    def in_time(self, since: float, until: float) -> float:
        """Share of the work of jobs that came between those seconds that was served in time."""
        rows = [row for second, row in self.worth.items() if since <= second < until]
        return sum(row[0] for row in rows) / sum(row[1] for row in rows)

    def run(self, seconds: float) -> None:
        """Play up to that time."""
        while self.heap and self.heap[0][0] <= seconds * S:
            self.now, _, what = heapq.heappop(self.heap)
            what()

    # Clients.

    def _arrive(self) -> None:
        r = self.random
        self.at(self.now + r.expovariate(self.rate), self._arrive)
        index = int(r.random() >= 0.52)
        mean, spread = WORK_US[index], math.sqrt(math.log(1 + 1.9**2))
        work = min(12 * mean, math.exp(r.gauss(math.log(mean) - spread**2 / 2, spread)))
        job = Job(self.now, index, work, int(work * math.exp(r.gauss(0, 0.4))) + 1, int(r.random() < 0.37))
        self.worth[self.now // S][1] += work
        self._try(r.choices(range(len(self.balancers)), self.parts)[0], job)

    def _try(self, node: int, job: Job) -> None:
        job.tries += 1
        job.at = self.now
        self.numbers[node] += 1
        number = self.numbers[node]
        self.open[node, number], self.where[node, number] = job, []
        left = CLASSES[job.index].deadline_us
        self.at(self.now + left, lambda: self._overdue(node, number))
        self.tell(node, api.RequestArrived(number, job.index, left, hint_us=job.hint, tenant=job.tenant))

    def _overdue(self, node: int, number: int) -> None:
        for n in range(len(self.where[node, number])):
            self._end(node, number, n, Outcome.TIMEOUT)
        if self.open.pop((node, number), None):
            self.failed += 1

    # Nodes.

    def tell(self, node: int, event) -> None:
        for action in self.balancers[node].handle(self.now + OFFSET, event):
            getattr(self, "_" + type(action).__name__.lower())(node, action)

    def _send(self, node: int, action: api.Send) -> None:
        executor, job = self.executors[action.executor], self.open[node, action.request]
        attempts = self.where[node, action.request]
        number = len(attempts)
        attempts.append(executor)
        self.sent.append((self.now, node, executor, job))
        self.at(self.now + TRIP_US, lambda: self._reach(executor, job, node, action.request, number))

    def _cancel(self, node: int, action: api.Cancel) -> None:
        self.at(self.now, lambda: self._end(node, action.request, action.attempt, Outcome.CANCELLED))

    def _refuse(self, node: int, action: api.Refuse) -> None:
        job = self.open.pop((node, action.request))
        self.refused += 1
        if job.tries < 3:
            self.at(self.now + max(action.retry_after_us, 30_000), lambda: self._try(node, job))

    def _fail(self, node: int, action: api.Fail) -> None:
        if self.open.pop((node, action.request), None):
            self.failed += 1

    def _settimer(self, node: int, action: api.SetTimer) -> None:
        self.at(self.now + action.delay_us, lambda: self.tell(node, api.TimerFired(action.token)))

    def _subscribe(self, node: int, action: api.Subscribe) -> None:
        self.at(self.now + TRIP_US, lambda: self.tell(node, api.EndpointList(api.EndpointListKind.DELTA, [])))

    def _probe(self, node: int, action: api.Probe) -> None:
        self.probes += 1
        executor = self.executors[action.executor]
        while len(executor.reports) > 1 and executor.reports[1][0] <= self.now:
            executor.reports.popleft()
        ready = executor.reports and executor.reports[0][0] <= self.now
        report = executor.reports[0][1] if ready and not executor.gone else None
        answer = api.ProbeEnded(
            executor.number, Outcome.CONNECT_FAILED if executor.gone else Outcome.OK, report
        )
        self.unanswered += executor.gone
        self.at(self.now + (CONNECT_US if executor.gone else TRIP_US), lambda: self.tell(node, answer))

    def _end(self, node: int, number: int, attempt: int, outcome: Outcome) -> None:
        if (node, number, attempt) in self.ended:
            return
        self.ended.add((node, number, attempt))
        executor, job = self.where[node, number][attempt], self.open.get((node, number))
        if outcome == Outcome.OK and job is not None:
            del self.open[node, number]
            if self.now - job.at <= job.aim:
                self.worth[job.came // S][0] += job.work
        final = (node, number) not in self.open
        self.tell(node, api.AttemptEnded(number, attempt, executor.number, outcome, final))

    # Boxes.

    def _measure(self, executor: SimulatedExecutor) -> None:
        free, distinct = SLOTS - executor.running, self.random.random() * DISTINCT
        report = (free + distinct, executor.errors, float(len(executor.queue)), 10.0)
        executor.reports.append((self.now + executor.lag, report))
        executor.errors *= 0.25
        self.at(self.now + executor.period, lambda: self._measure(executor))

    def _reach(self, executor: SimulatedExecutor, job: Job, node: int, number: int, attempt: int) -> None:
        if executor.gone:
            self.unanswered += 1
            self.at(self.now + CONNECT_US, lambda: self._end(node, number, attempt, Outcome.CONNECT_FAILED))
            return
        executor.taken.append((self.now, job.work))
        if self.random.random() < executor.error_share:
            executor.errors += 1.0
            self.at(self.now + FAST_ERROR_US, lambda: self._end(node, number, attempt, Outcome.ERROR))
        elif executor.running < SLOTS:
            self._start(executor, job, node, number, attempt)
        elif len(executor.queue) < PLACES:
            executor.queue.append((job, node, number, attempt))
        else:
            self._end(node, number, attempt, Outcome.FULL)

    def _start(self, executor: SimulatedExecutor, job: Job, node: int, number: int, attempt: int) -> None:
        executor.running += 1
        took = job.work / (executor.speed * executor.share(self.now)) * math.exp(self.random.gauss(0, 0.25))
        self.at(self.now + took, lambda: self._done(executor, node, number, attempt))

    def _done(self, executor: SimulatedExecutor, node: int, number: int, attempt: int) -> None:
        if executor.gone:
            return  # it says nothing more
        executor.running -= 1
        if executor.queue:
            self._start(executor, *executor.queue.popleft())
        self._end(node, number, attempt, Outcome.OK)
