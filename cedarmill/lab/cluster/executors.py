"""Emulated executors that can be stopped and started anew, cold, with a history of their own."""

import asyncio
from collections.abc import Callable

from cedarmill.lab.cluster.history import EventHistory
from cedarmill.lab.executor import EmulatedExecutor, ExecutorConnection

COLD_SHARE = 0.3  # of its speed that a started executor has at first (brief: 30 %)
WARM_S = 2.0  # till it has all: shorter than the brief's 8.9 s, so that a round of seconds sees the end of it
WARM_STEPS = 8  # in which it warms up


class Executor(EmulatedExecutor):
    """A box under one name and address over several lives."""

    history: EventHistory
    on_up: Callable[[str], None] = staticmethod(lambda name: None)  # told of each new life
    planned = False  # whether its being down was meant
    alive = True
    port = 0

    async def open(self) -> None:
        """Listen: on a free port at first, on the same one in later lives."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._wire, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def _wire(self) -> ExecutorConnection:
        return ExecutorConnection(self)

    def down(self, planned: bool) -> int:
        """It ends now; the number of jobs that were lost with it."""
        if not self.alive:
            return 0
        self.alive, self.planned = False, planned
        held = [*self.running, *self.waiting]
        lost = [job for job in held if job.wire.job is job]  # the others run on for nobody
        self._advance()
        for job in held:
            self._end(job, "lost")
            job.wire.job = None
        self.running.clear()
        self.waiting.clear()
        self.close()
        self.history.tell(
            self.name, "down", self.name, note="planned" if planned else "fault", number=len(lost)
        )
        return len(lost)

    async def up(self) -> None:
        """It starts anew, cold."""
        if self.alive:
            return
        await self.open()
        self.alive = True
        self.faults.clear()
        self._counted = self.clock()
        self.history.tell(self.name, "up", self.name, note="planned" if self.planned else "fault")
        self.on_up(self.name)
        self._warm(0)

    def _warm(self, step: int) -> None:
        """Gain speed step by step."""
        if not self.alive:
            return
        if step >= WARM_STEPS:
            self.lift("slow")
            self.history.tell(self.name, "warm", self.name)
            return
        self.fault("slow", COLD_SHARE + (1 - COLD_SHARE) * step / WARM_STEPS)
        asyncio.get_running_loop().call_later(WARM_S / WARM_STEPS, self._warm, step + 1)

    @property
    def held(self) -> int:
        """Jobs that it has and somebody waits for."""
        return sum(job.wire.job is job for job in (*self.running, *self.waiting))
