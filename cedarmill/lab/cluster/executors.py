"""Emulated executors that can be stopped and started anew, warming up, with a history of their own."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import numpy

from cedarmill.lab.cluster.history import EventHistory
from cedarmill.lab.executor import EmulatedExecutor, Spending
from cedarmill.lab.executor_options import ExecutorOptions
from cedarmill.lab.history import Visit

COLD_SPEED = 0.3  # share of its speed that a started executor has at first (brief: 30 %)
WARM_UP_S = 2.0  # till it has all: shorter than the brief's 8.9 s, so that a round of seconds sees its end
WARM_UP_STEPS = 8


@dataclass(frozen=True, slots=True)
class ExecutorSinks:
    """Where all executors of a run write what they saw."""

    clock: Callable[[], int]
    history: EventHistory
    visits: list[Visit]
    spending: list[Spending]
    on_started: Callable[[str], None]  # is told the name at each further start


class RestartableExecutor(EmulatedExecutor):
    """An executor under one name and address over several lives."""

    def __init__(
        self, options: ExecutorOptions, sinks: ExecutorSinks, random: numpy.random.Generator
    ) -> None:
        super().__init__(options, sinks.clock, sinks.visits, random)
        self.spending = sinks.spending
        self.history, self.on_started = sinks.history, sinks.on_started
        self.alive = True
        self.planned = False  # whether its being down was meant

    def stop(self, planned: bool) -> int:
        """It ends now; the number of jobs that were lost with it."""
        if not self.alive:
            return 0
        self.alive, self.planned = False, planned
        jobs = [*self.running, *self.waiting]
        lost = [job for job in jobs if job.awaited]  # the others run on for nobody
        self._advance()
        for job in jobs:
            self._end(job, "lost")
            job.connection.job = None
        self.running.clear()
        self.waiting.clear()
        self.close()
        self.history.tell(self.name, "down", self.name, note=self._reason(), number=len(lost))
        return len(lost)

    async def start(self) -> None:
        """It starts anew, cold; raises OSError."""
        if self.alive:
            return
        await self.open()
        self.alive = True
        self.faults.clear()
        self._counted_at = self.clock()
        self.history.tell(self.name, "up", self.name, note=self._reason())
        self.on_started(self.name)
        self._warm_up(0)

    def _reason(self) -> str:
        return "planned" if self.planned else "fault"

    def _warm_up(self, step: int) -> None:
        """Gain speed step by step."""
        if not self.alive:
            return
        if step >= WARM_UP_STEPS:
            self.end_fault("slow")
            self.history.tell(self.name, "warm", self.name)
            return
        self.begin_fault("slow", COLD_SPEED + (1 - COLD_SPEED) * step / WARM_UP_STEPS)
        asyncio.get_running_loop().call_later(WARM_UP_S / WARM_UP_STEPS, self._warm_up, step + 1)

    @property
    def awaited_jobs(self) -> int:
        """Jobs that it has and somebody waits for."""
        return sum(job.awaited for job in (*self.running, *self.waiting))
