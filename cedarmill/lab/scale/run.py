"""Runs a real node with emulated executors through one scenario and measures its resource usage."""

import asyncio
import json
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

import numpy

from cedarmill.lab.scale.bounds import NodeMeasurements
from cedarmill.lab.scale.clients import ScaleClients
from cedarmill.lab.scale.configuration import node_configuration
from cedarmill.lab.scale.discovery import ScaleDiscovery
from cedarmill.lab.scale.executors import ExecutorCluster, ExecutorProfile, ScaleExecutor
from cedarmill.lab.scale.node_process import NodeLimits, NodeProcess
from cedarmill.lab.scale.scenarios import SCENARIOS

SAMPLE_INTERVAL_S = 0.1  # between two samples of the node's open file descriptors
ZONES = ["zone-0", "zone-1", "zone-2", "zone-3"]


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """Parameters of one run."""

    executor_count: int
    scenario: str
    seed: int
    duration_s: float = 15.0
    requests_per_second: float = 30.0
    profile: ExecutorProfile = ExecutorProfile()
    limits: NodeLimits = NodeLimits()


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """Measurements, response counts, exit code and log of one run."""

    plan: ScalePlan
    measurements: NodeMeasurements
    status_counts: dict[int, int]  # responses by status; 0 counts requests without a response
    exit_code: int
    log: list[str]


class ScaleRun:
    """One run: owns the node, the executors and discovery, and offers the operations that scenarios use."""

    node: NodeProcess

    def __init__(self, plan: ScalePlan, directory: Path) -> None:
        self.plan, self.directory, self.zones = plan, directory, ZONES
        cluster_seed, client_seed, scenario_seed = numpy.random.SeedSequence(plan.seed).spawn(3)
        self.cluster = ExecutorCluster(plan.profile, numpy.random.default_rng(cluster_seed))
        self.scenario_generator = numpy.random.default_rng(scenario_seed)
        self._client_generator = numpy.random.default_rng(client_seed)
        self.discovery = ScaleDiscovery()
        self._previous_discoveries: list[ScaleDiscovery] = []
        self._is_node_started = False
        self._started_executors = 0

    async def execute(self) -> ScaleResult:
        """Start everything, play the scenario under traffic, and stop everything."""
        try:
            await self._start()
            sampler = asyncio.ensure_future(self._sample_descriptors())
            scenario = asyncio.ensure_future(SCENARIOS[self.plan.scenario](self))
            clients = ScaleClients(
                self.node.port.result(), self.plan.requests_per_second, self._client_generator
            )
            await clients.send_requests(self.plan.duration_s)
            sampler.cancel()
            await scenario
            measurements = self._collect_measurements(clients)
            return ScaleResult(
                self.plan, measurements, clients.status_counts, await self.node.stop(), self.node.log
            )
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self.discovery.listen()
        for _ in range(self.plan.executor_count):
            self.discovery.add_entry(await self._start_executor())
        configuration = node_configuration(
            self.discovery.snapshot(),
            self.discovery.address,
            self.zones,
            self.plan.profile,
            self.plan.limits,
            self.plan.seed,
        )
        self.node = await NodeProcess.start(configuration, self.directory)
        self._is_node_started = True

    async def _stop(self) -> None:
        if self._is_node_started:
            await self.node.stop()
        for discovery in (self.discovery, *self._previous_discoveries):
            discovery.close()
        self.cluster.stop_all()

    async def _sample_descriptors(self) -> None:
        while True:
            self.node.sample_descriptors()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _collect_measurements(self, clients: ScaleClients) -> NodeMeasurements:
        written = sum(discovery.bytes_written for discovery in (self.discovery, *self._previous_discoveries))
        return NodeMeasurements(
            cpu_s=self.node.cpu_seconds(),
            peak_memory_mb=self.node.peak_memory_mb(),
            descriptors=self.node.peak_descriptors,
            connections=self.cluster.connections_made,
            list_kb=written / 1000,
            share_served=clients.served / max(1, clients.sent),
        )

    # Operations for scenarios.

    def sample_executors(self, share: float) -> list[str]:
        """Return the names of a random share of the executors, at least one, drawn by the seed of the run."""
        names = list(self.cluster.executors)
        count = max(1, round(share * len(names)))
        return [
            names[int(index)] for index in self.scenario_generator.choice(len(names), count, replace=False)
        ]

    async def _start_executor(self, name: str = "", zone: str = "", *, cold: bool = False) -> ScaleExecutor:
        executor_number = self._started_executors
        self._started_executors += 1
        zone = zone or self.zones[executor_number % len(self.zones)]
        return await self.cluster.start(name or f"executor-{executor_number}", zone, cold=cold)

    async def replace_executors(self, names: list[str]) -> None:
        """Replace the named executors by new, cold ones in the same zones."""
        changed_entries = []
        for name in names:
            zone = self.cluster.executors[name].zone
            changed_entries.append(self.discovery.remove_entry(name))
            self.cluster.stop(name)
            changed_entries.append(
                self.discovery.add_entry(await self._start_executor(zone=zone, cold=True), cold=True)
            )
        self.discovery.publish_changes(changed_entries)

    async def restart_executors(self, names: list[str]) -> None:
        """Restart the named executors, which come back cold under the same names."""
        changed_entries = []
        for name in names:
            zone = self.cluster.executors[name].zone
            self.cluster.stop(name)
            changed_entries.append(
                self.discovery.add_entry(await self._start_executor(name, zone, cold=True), cold=True)
            )
        self.discovery.publish_changes(changed_entries)

    async def move_discovery_address(self) -> None:
        """Move discovery to a new address and make the node reload its configuration."""
        previous = self.discovery
        replacement = ScaleDiscovery()
        replacement.entries, replacement.index = previous.entries, previous.index
        await replacement.listen()
        path = self.directory / "node.json"
        configuration = json.loads(path.read_text())
        configuration["discovery"] = replacement.address
        temporary_path = path.with_suffix(".new")
        temporary_path.write_text(json.dumps(configuration))
        os.replace(temporary_path, path)
        self.discovery = replacement
        self._previous_discoveries.append(previous)
        self.node.reload()


def execute_run(plan: ScalePlan) -> ScaleResult:
    """Execute one run in this process and return its result."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(ScaleRun(plan, Path(directory)).execute())
