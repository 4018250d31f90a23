"""One run: a real node, so many emulated executors, one scenario, one seed; what the node needed."""

import asyncio
import json
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

import numpy

from cedarmill.lab.scale.bounds import Needs
from cedarmill.lab.scale.clients import ScaleClients
from cedarmill.lab.scale.configuration import node_configuration
from cedarmill.lab.scale.discovery import ScaleDiscovery
from cedarmill.lab.scale.executors import ExecutorFleet, ExecutorProfile, ScaleExecutor
from cedarmill.lab.scale.node_process import NodeLimits, NodeProcess
from cedarmill.lab.scale.scenarios import SCENARIOS

SAMPLE_S = 0.1  # between two looks at the node's descriptors
ZONES = ["zone-0", "zone-1", "zone-2", "zone-3"]


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """What is played."""

    executors: int
    scenario: str
    seed: int
    seconds: float = 15.0
    rate: float = 30.0  # requests a second that the node gets
    profile: ExecutorProfile = ExecutorProfile()
    limits: NodeLimits = NodeLimits()


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """What came of it."""

    plan: ScalePlan
    needs: Needs
    statuses: dict[int, int]  # answers by status; 0: none
    exit_code: int
    log: list[str]


class ScaleRun:
    """All actors of one run."""

    node: NodeProcess

    def __init__(self, plan: ScalePlan, folder: Path) -> None:
        self.plan, self.folder, self.zones = plan, folder, ZONES
        fleet, clients, choices = numpy.random.SeedSequence(plan.seed).spawn(3)
        self.executors = ExecutorFleet(plan.profile, numpy.random.default_rng(fleet))
        self.generator = numpy.random.default_rng(choices)
        self._client_generator = numpy.random.default_rng(clients)
        self.discovery = ScaleDiscovery()
        self._earlier: list[ScaleDiscovery] = []
        self._opened = False
        self._started = 0

    async def play(self) -> ScaleResult:
        """Start all, play, end all."""
        try:
            await self._open()
            sampler = asyncio.ensure_future(self._sample())
            scenario = asyncio.ensure_future(SCENARIOS[self.plan.scenario](self))
            clients = ScaleClients(self.node.port.result(), self.plan.rate, self._client_generator)
            await clients.play(self.plan.seconds)
            sampler.cancel()
            await scenario
            needs = self._needs(clients)
            return ScaleResult(self.plan, needs, clients.statuses, await self.node.stop(), self.node.log)
        finally:
            await self._close()

    async def _open(self) -> None:
        await self.discovery.open()
        for _ in range(self.plan.executors):
            self.discovery.enter(await self._start_executor())
        configuration = node_configuration(
            self.discovery.listing(),
            self.discovery.address,
            self.zones,
            self.plan.profile,
            self.plan.limits,
            self.plan.seed,
        )
        self.node = await NodeProcess.start(configuration, self.folder)
        self._opened = True

    async def _close(self) -> None:
        if self._opened:
            await self.node.stop()
        for discovery in (self.discovery, *self._earlier):
            discovery.close()
        self.executors.stop_all()

    async def _sample(self) -> None:
        while True:
            self.node.sample()
            await asyncio.sleep(SAMPLE_S)

    def _needs(self, clients: ScaleClients) -> Needs:
        written = sum(discovery.bytes_written for discovery in (self.discovery, *self._earlier))
        return Needs(
            cpu_s=self.node.cpu_s(),
            peak_memory_mb=self.node.peak_memory_mb(),
            descriptors=self.node.most_descriptors,
            connections=self.executors.connections_made,
            list_kb=written / 1000,
            share_served=clients.served / max(1, clients.sent),
        )

    # What scenarios do.

    def sample(self, share: float) -> list[str]:
        """Names of that share of the executors, drawn by the run's seed; one at least."""
        names = list(self.executors.members)
        count = max(1, round(share * len(names)))
        return [names[int(number)] for number in self.generator.choice(len(names), count, replace=False)]

    async def _start_executor(self, name: str = "", zone: str = "", *, cold: bool = False) -> ScaleExecutor:
        number = self._started
        self._started += 1
        zone = zone or self.zones[number % len(self.zones)]
        return await self.executors.start(name or f"executor-{number}", zone, cold=cold)

    async def replace(self, names: list[str]) -> None:
        """End these executors; others come, cold, in their zones."""
        changed = []
        for name in names:
            zone = self.executors.members[name].zone
            changed.append(self.discovery.remove(name))
            self.executors.stop(name)
            changed.append(self.discovery.enter(await self._start_executor(zone=zone, cold=True), cold=True))
        self.discovery.announce(changed)

    async def restart(self, names: list[str]) -> None:
        """These executors end and come back, cold, under the same names."""
        changed = []
        for name in names:
            zone = self.executors.members[name].zone
            self.executors.stop(name)
            changed.append(self.discovery.enter(await self._start_executor(name, zone, cold=True), cold=True))
        self.discovery.announce(changed)

    async def move_discovery(self) -> None:
        """Another discovery process, told to the node by SIGHUP."""
        before = self.discovery
        after = ScaleDiscovery()
        after.entries, after.index = before.entries, before.index
        await after.open()
        path = self.folder / "node.json"
        configuration = json.loads(path.read_text())
        configuration["discovery"] = after.address
        new = path.with_suffix(".new")
        new.write_text(json.dumps(configuration))
        os.replace(new, path)
        self.discovery = after
        self._earlier.append(before)
        self.node.reload()


def play(plan: ScalePlan) -> ScaleResult:
    """Play one run in this process."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(ScaleRun(plan, Path(folder)).play())
