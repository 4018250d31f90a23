"""Plays one side of a scenario: executors, discovery and clients in this process, the nodes as real ones."""

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import numpy

from cedarmill.conf.settings import Settings
from cedarmill.lab.discovery import DiscoveryServer
from cedarmill.lab.executor import EmulatedExecutor
from cedarmill.lab.executor_options import EXECUTOR_KIND, draw_executors
from cedarmill.lab.experiment import (
    Progress,
    RunClock,
    freeze_garbage,
    ignore_progress,
    random_generator,
    run_in_folder,
)
from cedarmill.lab.history import History
from cedarmill.lab.listener import LOOPBACK
from cedarmill.lab.load import Load, LoadOptions, last_answer_due
from cedarmill.lab.node_settings import NODE_KIND, SOCKETS, NodeSettings, platform_settings
from cedarmill.lab.processes import SERVES, Process, ProcessOptions, environment, trailing_port
from cedarmill.lab.scenario import Fault, Scenario, Side

START_S = 20.0  # for a node to start
END_S = 20.0  # for a node to end after SIGTERM
TICK_S = 0.005  # between two looks at how late this process's own loop is
LATE_US = 20_000  # a loop later than that measures itself
REST_US = 2_000_000  # after the longest budget, for the last answers


@dataclass(frozen=True, slots=True)
class RunSeeds:
    """One seed for each part of a run."""

    pool: numpy.random.SeedSequence
    executors: numpy.random.SeedSequence
    clients: numpy.random.SeedSequence
    faults: numpy.random.SeedSequence


@dataclass(frozen=True, slots=True)
class RunningNode:
    """A node that serves."""

    process: Process
    port: int  # clients'


class Run:
    """One side, one seed."""

    def __init__(
        self,
        scenario: Scenario,
        side: Side,
        seed: int,
        on_progress: Progress = ignore_progress,
        sockets: int = SOCKETS,
    ) -> None:
        """`sockets`: descriptors that each node may hold."""
        self.scenario, self.side, self.seed, self.on_progress = scenario, side, seed, on_progress
        self.sockets = sockets
        self.clock = RunClock()
        self.seeds = RunSeeds(*numpy.random.SeedSequence(seed).spawn(4))
        self.history = History(
            scenario.name,
            side.name,
            seed,
            scenario.length,
            scenario.rules,
            honours=side.honours,
            nodes=scenario.nodes,
        )
        self.executors: list[EmulatedExecutor] = []
        self.discovery: list[DiscoveryServer] = []  # first the executors', then one before each node
        self.nodes: list[RunningNode] = []  # from the front on
        self._processes: list[Process] = []
        self._settings: Path | None = None

    def load(self) -> Load:
        """The clients of the run: they reach the front."""
        scenario = self.scenario
        options = LoadOptions(scenario.habits, scenario.rate, scenario.leave_by, scenario.trace)
        return Load(options, self.clock, self.seeds.clients, lambda: [self.nodes[0].port])

    async def play(self, folder: Path) -> History:
        """Start all, play the timeline, end all; the history of it. Raises ConfError."""
        self.clock.restart()
        load = self.load()
        try:
            await self.open(folder)
            freeze_garbage()
            self.clock.restart()
            await self._timeline(load)
        finally:
            await self.close()
        self.history.calls = load.calls
        if load.stray:
            self.history.log.append(f"lab: {len(load.stray)} answers that nobody waited for")
        return self.history

    async def open(self, folder: Path) -> None:
        """Start the executors, discovery, and the nodes from the executors on to the front."""
        if self.side.settings:
            self._settings = folder / f"{self.side.name}.xml"
            self._settings.write_bytes(self.side.settings)
            self.history.stops = Settings(self._settings).options.deadlines.on_leave == "stop"
        await self._start_executors(await self._add_discovery())
        for number in reversed(range(self.scenario.nodes)):
            node = await self._start_node(folder, number, self.discovery[-1])
            self.nodes.insert(0, node)
            if number:
                before = await self._add_discovery()
                before.enter(f"node-{number}", f"{LOOPBACK}:{node.port}", "zone-0", NODE_KIND)

    async def _add_discovery(self) -> DiscoveryServer:
        server = DiscoveryServer(self.clock)
        self.discovery.append(server)
        await server.open()
        return server

    async def _start_executors(self, discovery: DiscoveryServer) -> None:
        drawn = draw_executors(self.scenario.pool, self.seeds.pool, self.seeds.executors, self.side.honours)
        for options, random in drawn:
            executor = EmulatedExecutor(options, self.clock, self.history.visits, random)
            await executor.open()
            discovery.enter(executor.name, executor.address, executor.zone, EXECUTOR_KIND)
            self.executors.append(executor)

    async def _start_node(self, folder: Path, number: int, discovery: DiscoveryServer) -> RunningNode:
        is_front = number < self.scenario.nodes - 1
        platform = platform_settings(self.scenario, self.scenario.pool.zones, is_front=is_front)
        name = f"node-{number}"
        config = folder / f"{self.side.name}-{name}.json"
        NodeSettings(name, discovery, self.seed, platform, self.sockets).write(config)
        command = [sys.executable, "-m", "cedarmill.cli", "node"]
        command += ["-c", str(self._settings)] if self._settings else []
        process = Process(ProcessOptions(name, command, environment(LB_CONFIG=str(config))))
        self._processes.append(process)
        await process.start()
        return RunningNode(process, trailing_port(await process.wait_for_line(SERVES, START_S)))

    async def _timeline(self, load: Load) -> None:
        loop = asyncio.get_running_loop()
        random = random_generator(self.seeds.faults)
        for fault in self.scenario.faults:
            loop.call_later(fault.at / 1e6, self._begin, fault, random)
        load.start(self.scenario.length)
        last = last_answer_due(self.scenario.length, self.scenario.habits, REST_US)
        expected, over = time.monotonic() + TICK_S, asyncio.Event()

        def tick() -> None:
            nonlocal expected
            monotonic_s, now = time.monotonic(), self.clock()
            self.history.lag = max(self.history.lag, int((monotonic_s - expected) * 1e6))
            expected = monotonic_s + TICK_S
            self.on_progress(min(1.0, now / self.scenario.length))
            if now > last or (now > self.scenario.length and not load.open):
                over.set()
            else:
                loop.call_later(TICK_S, tick)

        loop.call_later(TICK_S, tick)
        await over.wait()
        self.history.kept_promise = self.history.lag <= LATE_US

    def _begin(self, fault: Fault, random: numpy.random.Generator) -> None:
        """Let a fault come over its share of the executors, and come again where it is set to."""
        if fault.kind == "kill-node":
            self.nodes[fault.node].process.kill()
            return
        loop = asyncio.get_running_loop()
        count = max(1, round(fault.executors * len(self.executors)))
        for number in random.choice(len(self.executors), count, replace=False):
            executor = self.executors[int(number)]
            if fault.kind == "drain":
                self.discovery[0].drain(executor.name)
                continue
            executor.begin_fault(fault.kind, fault.size)
            if fault.lasts:
                loop.call_later(fault.lasts / 1e6, executor.end_fault, fault.kind)
        if fault.every and self.clock() + fault.every < self.scenario.length:
            loop.call_later(fault.every / 1e6, self._begin, fault, random)

    async def close(self) -> None:
        """End the nodes, then all that they talked to."""
        for process in self._processes:
            process.terminate()
        for process in reversed(self._processes):  # from the front on
            if not await process.wait_ended(END_S):
                process.kill()
                self.history.log.append("lab: a node did not end and was killed")
            self.history.log += process.lines
        self.history.drains = [drain for server in self.discovery for drain in server.drains]
        for executor in self.executors:
            executor.close()
        for discovery in self.discovery:
            discovery.close()


def play(scenario: Scenario, side: Side, seed: int, on_progress: Progress = ignore_progress) -> History:
    """Play one side with one seed; raises ConfError where a node does not start."""
    return run_in_folder(Run(scenario, side, seed, on_progress).play, "cedarmill-lab-")
