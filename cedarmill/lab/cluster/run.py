"""Plays a scenario of many processes: executors, discovery and clients here, all else real processes."""

import asyncio
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import numpy

from cedarmill.lab.cluster.executors import WARM_UP_S, ExecutorSinks, RestartableExecutor
from cedarmill.lab.cluster.faults import Faults
from cedarmill.lab.cluster.history import EventHistory
from cedarmill.lab.cluster.links import ANY, Links
from cedarmill.lab.cluster.operators import Operators
from cedarmill.lab.cluster.process_group import ProcessGroup
from cedarmill.lab.cluster.record import Record
from cedarmill.lab.cluster.scenario import ClusterScenario, ScenarioEvent
from cedarmill.lab.discovery import DiscoveryServer
from cedarmill.lab.executor import Spending
from cedarmill.lab.executor_options import EXECUTOR_KIND, draw_executors
from cedarmill.lab.experiment import Progress, RunClock, freeze_garbage, ignore_progress, run_in_folder
from cedarmill.lab.history import History, Visit
from cedarmill.lab.load import Load, LoadOptions, last_answer_due
from cedarmill.lab.node_settings import NodeSettings, platform_settings

DETECTION_US = 8_000_000  # for nodes to try a lost executor, and an operator to hear of a grant
SETTLE_US = 40_000_000  # after the load, for operators to come to an end
REST_US = 3_000_000  # after the longest budget, for the last answers
LOOK_S = 0.05  # between two looks at whether all is done
NODE_SEEDS = 1000  # of one run's seed: a node's is its number further on
LINK_FAULTS_BY_CHANCE = {"cut", "delay", "drop", "reset"}


@dataclass(frozen=True, slots=True)
class ClusterSeeds:
    """One seed for each part of a run."""

    speeds: numpy.random.SeedSequence
    executors: numpy.random.SeedSequence
    clients: numpy.random.SeedSequence
    links: numpy.random.SeedSequence
    faults: numpy.random.SeedSequence
    operators: numpy.random.SeedSequence


class ClusterRun:
    """One scenario, one seed."""

    def __init__(
        self, scenario: ClusterScenario, seed: int, folder: Path, on_progress: Progress = ignore_progress
    ) -> None:
        self.scenario, self.seed, self.folder, self.on_progress = scenario, seed, folder, on_progress
        self.clock = RunClock()
        self.seeds = ClusterSeeds(*numpy.random.SeedSequence(seed).spawn(6))
        self.history = EventHistory(self.clock)
        self.visits: list[Visit] = []
        self.spending: list[Spending] = []  # at executors
        self.links = Links(self.seeds.links)
        self.executors: dict[str, RestartableExecutor] = {}
        self.discovery: dict[str, DiscoveryServer] = {}  # by node
        self.processes = ProcessGroup(self)
        self.operators = Operators(self)
        self.faults = Faults(self)
        options = LoadOptions(scenario.habits, scenario.rate, reuse_connections=False)
        ports = self.processes.client_ports
        self.load = Load(options, self.clock, self.seeds.clients, lambda: list(ports.values()))
        self._linked = linked_kinds(scenario.timeline)

    @property
    def nodes(self) -> list[str]:
        """Their names."""
        return [f"node-{number}" for number in range(self.scenario.layout.nodes)]

    def zone_of(self, name: str) -> str:
        """Of a node or an executor: they are dealt out in turn."""
        return f"zone-{int(name.rpartition('-')[2]) % self.scenario.layout.zones}"

    async def address_from(self, source: str, target: str, kind: str, address: str) -> str:
        """At which `source` reaches a target of that kind: by a link, where such links are faulty."""
        if self._linked & {kind, ANY}:
            return await self.links.address(source, target, address)
        return address

    # Who is there.

    async def _open(self) -> None:
        """Start all; raises ConfError where a process does not start."""
        await self._start_executors()
        await self.processes.start_replicas()
        await asyncio.gather(*(self._start_node(name, number) for number, name in enumerate(self.nodes)))

    async def _start_executors(self) -> None:
        sinks = ExecutorSinks(self.clock, self.history, self.visits, self.spending, self._on_executor_started)
        layout, seeds = self.scenario.layout, self.seeds
        for options, random in draw_executors(layout, seeds.speeds, seeds.executors, False):
            executor = self.executors[options.name] = RestartableExecutor(options, sinks, random)
            await executor.open()

    def _on_executor_started(self, name: str) -> None:
        """Discovery lists an executor that was started anew, for each node."""
        since_ms = time.time_ns() // 1_000_000
        for discovery in self.discovery.values():
            discovery.restarted(name, since_ms)

    async def _start_node(self, name: str, number: int) -> None:
        zones = self.scenario.layout.zones
        platform = platform_settings(self.scenario, zones, number % zones)
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        config = folder / "config.json"
        seed = self.seed * NODE_SEEDS + number
        NodeSettings(name, await self._start_discovery(name), seed, platform, admin=True).write(config)
        await self.processes.start_node(name, config)

    async def _start_discovery(self, node: str) -> DiscoveryServer:
        """The list as one node sees it: with its own links to the executors, where links are faulty."""
        discovery = self.discovery[node] = DiscoveryServer(self.clock)
        await discovery.open()
        for executor in self.executors.values():
            address = await self.address_from(node, executor.name, EXECUTOR_KIND, executor.address)
            discovery.enter(executor.name, address, executor.zone, EXECUTOR_KIND)
        return discovery

    # The run.

    async def play(self) -> Record:
        """Start all, play the timeline, end all; what it left. Raises ConfError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        current = asyncio.current_task()  # ended from outside, it ends all that it has started
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        try:
            await self._open()
            freeze_garbage()
            before = self.clock.restart()
            for event in self.history.events:  # what happened before has negative times
                event.at -= before
            self.load.start(self.scenario.length)
            self.faults.plan(self.scenario.timeline)
            await self._wait_until_done()
            await self._settle()
        finally:
            await self._close()
        self.history.write(self.folder / "history.jsonl")
        return self._record()

    async def _wait_until_done(self) -> None:
        length = self.scenario.length
        last = last_answer_due(length, self.scenario.habits, REST_US)
        while self.clock() < last:
            await asyncio.sleep(LOOK_S)
            self.on_progress(min(1.0, self.clock() / length))
            if self.clock() > length and not self.load.open:
                return

    async def _settle(self) -> None:
        """Operators that still wait get their time; then the replicas name what is out."""
        self.faults.heal()
        await self.processes.start_all_again()
        until = self.clock() + SETTLE_US
        while self.operators.busy and self.clock() < until:
            await asyncio.sleep(LOOK_S)
        if self.scenario.layout.replicas:
            await self.operators.name_open_permits()

    def _record(self) -> Record:
        scenario, agreed = self.scenario, bool(self.scenario.layout.replicas)
        return Record(
            sorted(self.history.events, key=lambda event: event.at),
            self.visits,
            scenario.limits,
            self._targets(),
            {executor.name: executor.options.slots for executor in self.executors.values()},
            self._call_history(),
            slow_start_us=int(WARM_UP_S * 1e6) if agreed else 0,
            detection_us=DETECTION_US,
            residency=scenario.residency if agreed and scenario.layout.regions else {},
            entry_zones=self.processes.entry_zones,
            executor_spending=sorted((spent.at, spent.budget) for spent in self.spending),
            budgets=scenario.budgets,
        )

    def _call_history(self) -> History:
        scenario = self.scenario
        history = History(scenario.name, "fleet", self.seed, scenario.length, scenario.rules)
        history.calls, history.visits = self.load.calls, self.visits
        history.kept_promise = False  # processes are paused here: how late an answer is decides nothing
        return history

    def _targets(self) -> dict[str, dict[str, str]]:
        """What may be out, with the scopes in which it is counted."""
        targets = {
            executor.name: {"kind": "executor", "zone": executor.zone, "type": EXECUTOR_KIND, "group": "0"}
            for executor in self.executors.values()
        }
        targets |= {name: {"kind": "node", "zone": self.zone_of(name)} for name in self.nodes}
        layout = self.scenario.layout
        for region, zones in (layout.zones_by_region() if layout.replicas else {}).items():
            targets |= {zone: {"kind": "zone", "zone": zone, "group": region} for zone in zones}
        return targets

    async def _close(self) -> None:
        """End what still runs, then all that it talked to; the logs go into the folder."""
        self.processes.end_starts()
        self.faults.end()
        await self.operators.end()
        await self.processes.stop()
        for executor in self.executors.values():
            if executor.alive:
                executor.close()
        for discovery in self.discovery.values():
            discovery.close()
        self.links.close()


def linked_kinds(timeline: tuple[ScenarioEvent, ...]) -> set[str]:
    """The kinds of processes between which links are proxies: those that the timeline names."""
    kinds: set[str] = set()
    for event in timeline:
        for end in ("from", "to"):
            kinds.add(event.attributes.get(end, "").partition("@")[0].partition("-")[0])
        if event.kind == "chance":
            faults = event.attributes["faults"]
            if "zone-" in faults:
                kinds.update(("node", EXECUTOR_KIND))
            if LINK_FAULTS_BY_CHANCE & set(faults.split()):
                kinds.update(event.attributes["on"].split())
    return kinds


def play(
    scenario: ClusterScenario,
    seed: int,
    folder: Path | None = None,
    on_progress: Progress = ignore_progress,
) -> Record:
    """Play a scenario with one seed; what it left goes to `folder` where one is given. Raises ConfError."""

    async def main(used: Path) -> Record:
        return await ClusterRun(scenario, seed, used, on_progress).play()

    return run_in_folder(main, "cedarmill-fleet-", folder)
