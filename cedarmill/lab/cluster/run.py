"""Plays a scenario of many processes: executors, directors and clients here, all else real processes."""

import asyncio
import contextlib
import gc
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import numpy
import uvloop

from cedarmill.conf.document import ConfError
from cedarmill.lab.cluster.executors import WARM_S, Executor
from cedarmill.lab.cluster.faults import Faults
from cedarmill.lab.cluster.history import EventHistory
from cedarmill.lab.cluster.links import Links
from cedarmill.lab.cluster.operators import Operators
from cedarmill.lab.cluster.process_group import ProcessGroup
from cedarmill.lab.cluster.processes import Process, environment
from cedarmill.lab.cluster.record import Record
from cedarmill.lab.cluster.scenario import ClusterScenario
from cedarmill.lab.discovery import DiscoveryServer
from cedarmill.lab.history import History
from cedarmill.lab.load import Load
from cedarmill.lab.run import platform_settings

START_S = 30.0  # for a process to start, on a machine that starts thirty at once
END_S = 25.0  # for a process to end after SIGTERM
KNOWN_US = 8_000_000  # for nodes to try a lost executor, and an operator to hear of a grant
SETTLE_US = 40_000_000  # after the load, for operators to come to an end
REST_S = 3.0  # after the longest budget, for the last answers
LOOK_S = 0.05  # between two looks at whether all is done
KIND = "box"


def _work(body: bytes, job_class: str) -> float:
    """What a job needs, as its client wrote it (us at speed 1)."""
    return float(body)


class ClusterLoad(Load):
    """Each call on a connection of its own, node by node: one that has just started gets its part at once."""

    def _idle(self) -> None:
        while self.idle:
            self.idle.pop().transport.close()


class ClusterRun:
    """One scenario, one seed."""

    def __init__(self, scenario: ClusterScenario, seed: int, folder: Path,
                 told: Callable[[float], None] = lambda done: None) -> None:  # fmt: skip
        self.scenario, self.seed, self.folder, self.told = scenario, seed, folder, told
        self.began = time.monotonic_ns() // 1000
        seeds = numpy.random.SeedSequence(seed).spawn(6)  # fleet, boxes, clients, links, faults, operators
        self.seeds = seeds
        self.history = EventHistory(self.clock)
        self.links = Links(seeds[3])
        self.executors: dict[str, Executor] = {}
        self.directors: dict[str, DiscoveryServer] = {}
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}  # clients', by node
        self.doors: dict[str, int] = {}  # operators', by node
        self.entries: dict[int, str] = {}  # by clients' port: the zone to which calls come there
        self.visits: list = []
        self.spent: list[tuple[int, str]] = []  # at executors: when, of which budget
        self.load: Load | None = None
        self.crew = ProcessGroup(self)
        self.operators = Operators(self)
        self.faults = Faults(self)
        self.ending = False
        self.starting: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    def clock(self) -> int:
        """Microseconds since the run began."""
        return time.monotonic_ns() // 1000 - self.began

    @property
    def nodes(self) -> list[str]:
        return [f"node-{n}" for n in range(self.scenario.layout.nodes)]

    def zone_of(self, name: str) -> str:
        """Of a node or an executor: they are dealt out in turn."""
        return f"zone-{int(name.rpartition('-')[2]) % self.scenario.layout.zones}"

    @property
    def linked(self) -> set[str]:
        """The kinds of processes between which links are proxies: those that the timeline names."""
        kinds = set()
        for entry in self.scenario.timeline:
            for word in (entry.words.get("from", ""), entry.words.get("to", "")):
                kinds.add(word.partition("@")[0].partition("-")[0])
            if entry.what == "chance" and "zone-" in entry.words["faults"]:
                kinds.update(("node", "box"))
            if entry.what == "chance" and {"cut", "delay", "drop", "reset"} & set(
                entry.words["faults"].split()
            ):
                kinds.update(entry.words["on"].split())
        return kinds

    # Who is there.

    async def open(self) -> None:
        """Start all; raises ConfError where a process does not start."""
        self._make_executors()
        for box in self.executors.values():
            await box.open()
        await self.crew.start_keepers()
        await asyncio.gather(*(self._start_node(name, number) for number, name in enumerate(self.nodes)))

    def _make_executors(self) -> None:
        fleet, draw = self.scenario.layout, numpy.random.Generator(numpy.random.PCG64(self.seeds[0]))
        for number, seed in enumerate(self.seeds[1].spawn(fleet.executors)):
            speed = float(draw.uniform(fleet.slowest, fleet.fastest))
            dice = numpy.random.Generator(numpy.random.PCG64(seed))
            box = Executor(f"box-{number}", f"zone-{number % fleet.zones}", fleet.cores, fleet.slots, speed,
                           fleet.queue, False, _work, self.clock, self.visits, dice)  # fmt: skip
            box.history, box.on_up, box.spent = self.history, self._listed_anew, self.spent
            self.executors[box.name] = box

    def _listed_anew(self, name: str) -> None:
        """Discovery lists an executor that was started anew, for each node."""
        since_ms = time.time_ns() // 1_000_000
        for director in self.directors.values():
            director.restarted(name, since_ms)

    async def _director(self, node: str) -> DiscoveryServer:
        """The list as one node sees it: with its own links to the executors, where links are faulty."""
        director = self.directors[node] = DiscoveryServer(self.clock)
        await director.open()
        for box in self.executors.values():
            address = box.address
            if self.linked & {"box", "*"}:
                address = await self.links.address(node, box.name, box.address)
            director.enter(box.name, address, box.zone, KIND)
        return director

    async def _start_node(self, name: str, number: int) -> None:
        director = await self._director(name)
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        config = folder / "config.json"
        zones = self.scenario.layout.zones
        config.write_text(json.dumps({
            "name": name, "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": director.address,
            "seed": f"{self.seed * 1000 + number:x}", "limits": {"sockets": 1024, "memory_mb": 192},
            "known": director.listing(),
            "settings": {**platform_settings(self.scenario, zones, False), "zone": number % zones},
        }))  # fmt: skip
        words = []
        if self.scenario.layout.replicas:
            settings = await self.crew.node_settings(name, folder)
            words = ["-c", str(settings)]
            if self.scenario.layout.supervised:
                await self.crew.start_steward(number, name, config, settings)
                return
        env = environment(LB_CONFIG=str(config), TMPDIR=str(folder))
        command = [sys.executable, "-m", "cedarmill.cli", "node", *words]
        self.processes[name] = Process(name, command, env, self.process_told, self.crew.followed)
        await self.start(name)

    async def start(self, name: str) -> None:
        """Start a process, and learn where it serves."""
        process = self.processes[name]
        since = len(process.lines)
        await process.start()
        if name.startswith("node"):
            said = await process.said(" serves on ", START_S, since)
            self.ports[name] = int(said.split()[-1])
            self.entries[self.ports[name]] = self.zone_of(name)
            door = await process.said("operators' door on", START_S, since)
            self.doors[name] = int(door.split()[-1])
        elif name.startswith("keeper"):
            await process.said('"replica-serves"', START_S, since)
        elif name.startswith("steward"):
            await process.said('"supervisor-serves"', START_S, since)

    async def start_again(self, name: str, disk: str) -> None:
        """Start a process that has ended, with the disk that is asked for."""
        if self.processes[name].alive or name in self.starting:
            return
        self.starting.add(name)
        try:
            await self._start_again(name, disk)
        except ConfError:  # one that does not start, or is killed meanwhile, says so in its log
            pass
        finally:
            self.starting.discard(name)

    async def _start_again(self, name: str, disk: str) -> None:
        if name.startswith("keeper"):
            self.crew.well(name)
            self.crew.disk(name, disk)
        await self.start(name)

    def disk_fault(self, name: str, fault: str, lasts: int) -> None:
        """A fault of a keeper's disk; the keeper is started anew when it is over."""
        self.crew.fault(name, fault)
        loop = asyncio.get_running_loop()
        loop.call_later((lasts or 1_000_000) / 1e6, self._disk_well, name)

    def _disk_well(self, name: str) -> None:
        self.crew.well(name)
        if not self.processes[name].alive and not self.ending:
            task = asyncio.ensure_future(self.start_again(name, "own"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def leader(self) -> str:
        """The keeper that leads, where there is one."""
        return self.crew.leading

    def process_told(self, name: str, what: str, note: str) -> None:
        self.history.tell(name, what, name, note=note)
        if what == "ended":
            self.ports.pop(name, None)

    # The run.

    async def play(self) -> Record:
        """Start all, play the timeline, end all; what it left."""
        self.folder.mkdir(parents=True, exist_ok=True)
        current = asyncio.current_task()  # ended from outside, it ends all that it has started
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        story = History(self.scenario.name, "fleet", self.seed, self.scenario.length, self.scenario.rules)
        try:
            await self.open()
            gc.collect()
            gc.freeze()  # a collection in the midst of a run would show as lag
            began = self.clock()
            self.began += began
            for event in self.history.events:  # what happened before has negative times
                event.at -= began
            self.load = ClusterLoad(self.clock, self.seeds[2], self.scenario.habits, self.scenario.rate,
                             lambda: list(self.ports.values()), "close")  # fmt: skip
            self.load.start(self.scenario.length)
            self.faults.plan(self.scenario.timeline)
            await self._till_done()
            await self._settle()
        finally:
            await self.close()
        story.calls, story.visits = self.load.calls, self.visits
        story.kept_promise = False  # processes are paused here: an answer's lateness is measured, not judged
        return self._record(story)

    async def _till_done(self) -> None:
        length = self.scenario.length
        last = length + int((max(h.budget for h in self.scenario.habits) / 1e6 + REST_S) * 1e6)
        while self.clock() < last:
            await asyncio.sleep(LOOK_S)
            self.told(min(1.0, self.clock() / length))
            if self.clock() > length and not self.load.open:
                return

    async def _settle(self) -> None:
        """Operators that still wait get their time; then the keepers name what is out."""
        self.faults.heal()
        ours = [name for name in self.processes if not name.startswith("node")]
        await asyncio.gather(*(self.start_again(name, "own") for name in ours))
        until = self.clock() + SETTLE_US
        while self.operators.busy and self.clock() < until:
            await asyncio.sleep(LOOK_S)
        if self.scenario.layout.replicas:
            await self.operators.name_open()

    def _record(self, story: History) -> Record:
        places = {box.name: {"kind": "executor", "zone": box.zone, "type": KIND, "group": "0"}
                  for box in self.executors.values()}  # fmt: skip
        for number, name in enumerate(self.nodes):
            places[name] = {"kind": "node", "zone": f"zone-{number % self.scenario.layout.zones}"}
        regions = self.scenario.layout.laid() if self.scenario.layout.replicas else {}
        for region, zones in regions.items():
            places |= {zone: {"kind": "zone", "zone": zone, "group": region} for zone in zones}
        slots = {box.name: box.slots for box in self.executors.values()}
        events = sorted(self.history.events, key=lambda event: event.at)
        cold = int(WARM_S * 1e6) if self.scenario.layout.replicas else 0
        stays = self.scenario.stays if regions else {}
        return Record(events, self.visits, self.scenario.limits, places, slots, story, cold, KNOWN_US,
                      residency=stays, entry_zones=self.entries, executor_spending=sorted(self.spent),
                      budgets=self.scenario.budgets)  # fmt: skip

    async def close(self) -> None:
        """End what still runs, then all that it talked to; the logs go into the folder."""
        self.ending = True
        self.faults.end()
        await self.operators.end()
        for task in list(self._tasks):
            task.cancel()
        units = [pid for node in self.crew.listens for pid in self.crew.pids(node)]
        await asyncio.gather(*(process.end(END_S) for process in self.processes.values()))
        for pid in units:  # they outlive their stewards; each was started by one of ours
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        for process in self.processes.values():
            (self.folder / f"{process.name}.log").write_text("\n".join(process.lines) + "\n")
        for box in self.executors.values():
            if box.alive:
                box.close()
        for director in self.directors.values():
            director.close()
        self.links.close()


def play(scenario: ClusterScenario, seed: int, folder: Path | None = None,
         told: Callable[[float], None] = lambda done: None) -> Record:  # fmt: skip
    """Play a scenario with one seed; what it left goes to `folder` where one is given."""
    with tempfile.TemporaryDirectory(prefix="cedarmill-fleet-") as spare, asyncio.Runner(
            loop_factory=uvloop.new_event_loop) as runner:  # fmt: skip
        run = ClusterRun(scenario, seed, folder or Path(spare), told)
        record = runner.run(run.play())
        run.history.write(run.folder / "history.jsonl")
        return record
