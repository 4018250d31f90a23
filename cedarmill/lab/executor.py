"""Emulated executors on sockets: cores that jobs share, slots, an in-order queue, and faults by script."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import numpy

from cedarmill.lab.executor_connection import ExecutorConnection, ExecutorJob
from cedarmill.lab.executor_options import ExecutorOptions
from cedarmill.lab.history import Visit
from cedarmill.lab.listener import LOOPBACK, listen_on_loopback, port_of

RESET_MEAN_S = 0.2  # mean time into a request at which a reset comes, where that is the fault
NEARLY_DONE_US = 1  # of work that may be left of a job when it counts as done


class Spending(NamedTuple):
    """Something that a budget of the cluster counts, seen at an executor."""

    at: int
    budget: str  # probes or connects


class EmulatedExecutor:
    """One executor: the running jobs share its cores evenly, the rest waits in order."""

    def __init__(
        self,
        options: ExecutorOptions,
        clock: Callable[[], int],
        visits: list[Visit],
        random: numpy.random.Generator,
    ) -> None:
        self.options, self.clock, self.visits, self.random = options, clock, visits, random
        self.name, self.zone = options.name, options.zone
        self.spending: list[Spending] = []
        self.running: list[ExecutorJob] = []
        self.waiting: deque[ExecutorJob] = deque()
        self.connections: set[ExecutorConnection] = set()
        self.faults: dict[str, float] = {}  # kind to share or factor, while it lasts
        self.port = 0
        self._counted_at = 0
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{LOOPBACK}:{self.port}"

    async def open(self) -> None:
        """Listen: on a free loopback port at first, on the same one in later lives; raises OSError."""
        self._server = await listen_on_loopback(lambda: ExecutorConnection(self), self.port)
        self.port = port_of(self._server)

    def close(self) -> None:
        """End the executor, and all connections to it."""
        if self._server is not None:
            self._server.close()
        if self._timer is not None:
            self._timer.cancel()
        for connection in list(self.connections):
            connection.transport.abort()

    def free_slots(self) -> int:
        """As it reports them."""
        return max(0, self.options.slots - len(self.running) - len(self.waiting))

    def note_spending(self, budget: str) -> None:
        """Note a probe or a connection that came."""
        self.spending.append(Spending(self.clock(), budget))

    # Faults.

    def begin_fault(self, kind: str, size: float) -> None:
        """Begin a fault; `end_fault` ends it."""
        self._advance()
        self.faults[kind] = size
        self._schedule()

    def end_fault(self, kind: str) -> None:
        """End a fault, if it lasts."""
        self._advance()
        self.faults.pop(kind, None)
        self._start_waiting()

    def _rate(self) -> float:
        """What each running job gets of a core, times its speed."""
        if not self.running or "stall" in self.faults:
            return 0.0
        share = min(1.0, self.options.cores / len(self.running))
        return self.options.speed * self.faults.get("slow", 1.0) * share

    # Jobs.

    def on_request(self, connection: ExecutorConnection) -> None:
        """A request is whole: from now on it counts."""
        now, faults = self.clock(), self.faults
        job_class = connection.headers.get(b"x-call-class", b"").decode()
        call_id = connection.headers[b"x-call-id"].decode()
        visit = Visit(self.name, self.zone, call_id, job_class, now)
        self.visits.append(visit)
        refused = self.random.random() < faults.get("refuse", 0.0)
        if refused or len(self.waiting) >= self.options.queue_limit:
            visit.outcome, visit.ended = "rejected", now
            connection.reject()
            return
        if self.random.random() < faults.get("reset", 0.0):
            after_s = float(self.random.exponential(RESET_MEAN_S))
            asyncio.get_running_loop().call_later(after_s, self._reset, connection, visit)
        connection.job = ExecutorJob(visit, float(connection.body), connection)  # clients send the work (us)
        if "hang" not in faults:  # one that hangs takes work and says nothing
            self.waiting.append(connection.job)
            self._advance()
            self._start_waiting()

    def on_abandoned(self, connection: ExecutorConnection) -> None:
        """The node has closed: an executor that honours it stops, any other goes on for nobody."""
        job, connection.job = connection.job, None
        if job is None or job.visit.ended is not None or not self.options.honours_cancellation:
            return
        self._drop(job, "stopped")
        self._start_waiting()

    def _reset(self, connection: ExecutorConnection, visit: Visit) -> None:
        """The connection breaks under its request, and the job dies with it."""
        job = connection.job
        if job is None or job.visit is not visit or visit.ended is not None:
            return
        self._drop(job, "lost")
        connection.job = None
        connection.transport.abort()
        self._start_waiting()

    def _drop(self, job: ExecutorJob, outcome: str) -> None:
        self._advance()
        if job in self.running:
            self.running.remove(job)
        if job in self.waiting:
            self.waiting.remove(job)
        self._end(job, outcome)

    def _end(self, job: ExecutorJob, outcome: str) -> None:
        visit = job.visit
        visit.ended, visit.outcome = self.clock(), outcome
        visit.slot_time = visit.ended - visit.began if visit.began is not None else 0

    def _advance(self) -> None:
        """Count the work done since the last call."""
        now, rate = self.clock(), self._rate()
        for job in self.running:
            job.remaining_us -= rate * (now - self._counted_at)
        self._counted_at = now

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.options.slots:
            job = self.waiting.popleft()
            job.visit.began = self.clock()
            self.running.append(job)
        self._schedule()

    def _schedule(self) -> None:
        """Set the timer to when the next job is done."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer, rate = None, self._rate()
        if rate > 0:
            wait_us = max(0.0, min(job.remaining_us for job in self.running)) / rate
            self._timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self._on_due)

    def _on_due(self) -> None:
        self._advance()
        for job in [job for job in self.running if job.remaining_us <= NEARLY_DONE_US]:
            self.running.remove(job)
            self._end(job, "done")
            if job.awaited and not job.connection.transport.is_closing():
                job.connection.job = None
                job.connection.send_result(job.visit)
        self._start_waiting()
