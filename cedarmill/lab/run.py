"""Plays one side of a scenario: boxes, a director and clients in this process, the nodes as real ones."""

import asyncio
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
from cedarmill.conf.settings import Settings
from cedarmill.lab.discovery import DiscoveryServer
from cedarmill.lab.executor import EmulatedExecutor
from cedarmill.lab.history import History
from cedarmill.lab.load import Load
from cedarmill.lab.scenario import Fault, Scenario, Side

START_S = 20.0  # for a node to start
END_S = 20.0  # for a node to end after SIGTERM
TICK_S = 0.005  # between two looks at how late this process's own loop is
LATE_US = 20_000  # a loop later than that measures itself
REST_US = 2_000_000  # after the longest budget, for the last answers
NODE_KIND = "node"


class NodeProcess(asyncio.SubprocessProtocol):
    """One real node; its log is kept."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.port: asyncio.Future[int] = loop.create_future()
        self.gone: asyncio.Future[int] = loop.create_future()
        self.lines: list[str] = []
        self._rest = ""
        self.transport: asyncio.SubprocessTransport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def pipe_data_received(self, fd: int, data: bytes) -> None:
        *lines, self._rest = (self._rest + data.decode("utf-8", "replace")).split("\n")
        for line in lines:
            self.lines.append(line)
            if " serves on " in line and not self.port.done():
                self.port.set_result(int(line.split()[-1]))

    def process_exited(self) -> None:
        if not self.port.done():
            self.port.set_exception(ConfError(f"a node did not start: {' '.join(self.lines[-1:])}"))
        if not self.gone.done():
            self.gone.set_result(self.transport.get_returncode())


def platform_settings(scenario: Scenario, zones: int, front: bool) -> dict:
    """The operator's settings (JSON) for a node of the scenario; a front's backends send no reports."""
    repeats = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
    classes = [
        {
            "name": habits.job_class,
            "value": scenario.worths[habits.job_class],
            "aim": habits.budget // 4,
            "hard_limit": habits.budget,
            "repeat_window": scenario.rules[habits.job_class].window,
            "group": "zone",
            "repeat": repeats[scenario.rules[habits.job_class].effect],
        }
        for habits in scenario.habits
    ]
    report = {"names": [], "via": "silent"} if front else {"names": ["x0", "x1"], "via": "pull"}
    return {
        "instances": 1, "zone": 0, "localities": [f"zone-{n}" for n in range(zones)],
        "kinds": ["box", NODE_KIND], "quantum": 2000, "registry_mode": "on_request", "value_by": "request",
        "over_share_worth": 1.0, "tenants": [{"name": "lab", "quota_per_s": 1e6, "share": 1.0}],
        "report": report,
        "rules": {"ask_within": 4_000_000, "cold": 0, "cold_share": 1.0, "fall_multiple": 2.5,
                  "overload_for": 1_500_000},
        "caps": {"cancelling": True, "conn_idle": 10_000_000, "connect_timeout": 250_000, "try_limit": 5,
                 "may_duplicate": True, "probes": not front, "retry_after": True,
                 "max_retry_after": 2_000_000},
        "family_info": {"report_x0": "free slots", "report_x1": "free memory"},
        "request_classes": classes,
    }  # fmt: skip


class Run:
    """One side, one seed."""

    def __init__(self, scenario: Scenario, side: Side, seed: int, told: Callable[[float], None],
                 sockets: int = 1024) -> None:  # fmt: skip
        self.scenario, self.side, self.seed, self.told = scenario, side, seed, told
        self.sockets = sockets  # descriptors that each node may hold
        self.began = 0
        seeds = numpy.random.SeedSequence(seed).spawn(4)  # the fleet's, the boxes', the clients', the faults'
        self.seeds = seeds
        self.history = History(scenario.name, side.name, seed, scenario.length, scenario.rules,
                           honours=side.honours, nodes=scenario.nodes)  # fmt: skip
        self.boxes: list[EmulatedExecutor] = []
        self.directors: list[DiscoveryServer] = []
        self.nodes: list[NodeProcess] = []
        self._settings: Path | None = None

    def clock(self) -> int:
        """Microseconds since the run began."""
        return time.monotonic_ns() // 1000 - self.began

    def load(self) -> Load:
        """The clients of the run: they reach the front."""
        scenario = self.scenario
        return Load(
            self.clock,
            self.seeds[2],
            scenario.habits,
            scenario.rate,
            lambda: [self.nodes[0].port.result()],
            scenario.leave_by,
            scenario.trace,
        )

    async def play(self, folder: Path) -> History:
        """Start all, play the timeline, end all; the story of it."""
        self.began = time.monotonic_ns() // 1000
        load = self.load()
        try:
            await self.open(folder)
            gc.collect()
            gc.freeze()  # a collection in the midst of a run would show as lag
            self.began = time.monotonic_ns() // 1000
            await self._timeline(load)
        finally:
            await self.close()
        self.history.calls = load.calls
        if load.stray:
            self.history.log.append(f"lab: {len(load.stray)} answers that nobody waited for")
        return self.history

    async def open(self, folder: Path) -> None:
        """Start the boxes, the directors, and the nodes from the boxes on to the front."""
        if self.side.settings:
            self._settings = folder / f"{self.side.name}.xml"
            self._settings.write_bytes(self.side.settings)
            self.history.stops = Settings(self._settings).options.deadlines.on_leave == "stop"
        fleet, draw = self.scenario.pool, numpy.random.Generator(numpy.random.PCG64(self.seeds[0]))
        director = DiscoveryServer(self.clock)
        self.directors.append(director)
        await director.open()
        for number, seed in enumerate(self.seeds[1].spawn(fleet.executors)):
            speed = float(draw.uniform(fleet.slowest, fleet.fastest))
            zone = f"zone-{number % fleet.zones}"
            dice = numpy.random.Generator(numpy.random.PCG64(seed))
            box = EmulatedExecutor(
                f"box-{number}",
                zone,
                fleet.cores,
                fleet.slots,
                speed,
                fleet.queue,
                self.side.honours,
                lambda body, _: float(body),
                self.clock,
                self.history.visits,
                dice,
            )
            await box.open()
            director.enter(box.name, box.address, zone, "box")
            self.boxes.append(box)
        for number in reversed(range(self.scenario.nodes)):  # from the boxes on to the front
            front = number < self.scenario.nodes - 1
            node = await self._start(folder, number, front, self.directors[-1])
            self.nodes.insert(0, node)
            port = await asyncio.wait_for(node.port, START_S)
            if number:
                before = DiscoveryServer(self.clock)
                await before.open()
                before.enter(f"node-{number}", f"127.0.0.1:{port}", "zone-0", NODE_KIND)
                self.directors.append(before)

    async def _start(self, folder: Path, number: int, front: bool, director: DiscoveryServer) -> NodeProcess:
        config = folder / f"{self.side.name}-node-{number}.json"
        config.write_text(json.dumps({
            "name": f"node-{number}", "listen": "127.0.0.1:0", "discovery": director.address,
            "seed": f"{self.seed:x}", "limits": {"sockets": self.sockets, "memory_mb": 192},
            "known": director.listing(),
            "settings": platform_settings(self.scenario, self.scenario.pool.zones, front)}))  # fmt: skip
        command = [sys.executable, "-m", "cedarmill.cli", "node"]
        command += ["-c", str(self._settings)] if self._settings else []
        env = {**os.environ, "LB_CONFIG": str(config)}
        loop = asyncio.get_running_loop()
        _, node = await loop.subprocess_exec(NodeProcess, *command, env=env, stdin=None, stdout=None)
        return node

    async def _timeline(self, load: Load) -> None:
        loop, over = asyncio.get_running_loop(), asyncio.Event()
        dice = numpy.random.Generator(numpy.random.PCG64(self.seeds[3]))
        for fault in self.scenario.faults:
            loop.call_later(fault.at / 1e6, self._begin, fault, dice)
        load.start(self.scenario.length)
        last = self.scenario.length + max(habits.budget for habits in self.scenario.habits) + REST_US
        expected = time.monotonic() + TICK_S

        def tick() -> None:
            nonlocal expected
            now = time.monotonic()
            self.history.lag = max(self.history.lag, int((now - expected) * 1e6))
            expected = now + TICK_S
            self.told(min(1.0, self.clock() / self.scenario.length))
            if self.clock() > last or (self.clock() > self.scenario.length and not load.open):
                over.set()
            else:
                loop.call_later(TICK_S, tick)

        loop.call_later(TICK_S, tick)
        await over.wait()
        self.history.kept_promise = self.history.lag <= LATE_US

    def _begin(self, fault: Fault, dice: numpy.random.Generator) -> None:
        """Let a fault come over its share of the boxes, and come again where it is set to."""
        loop = asyncio.get_running_loop()
        if fault.kind == "kill-node":
            self.nodes[fault.node].transport.kill()
            return
        count = max(1, round(fault.boxes * len(self.boxes)))
        for number in dice.choice(len(self.boxes), count, replace=False):
            box = self.boxes[int(number)]
            if fault.kind == "drain":
                self.directors[0].drain(box.name)
                continue
            box.fault(fault.kind, fault.size)
            if fault.lasts:
                loop.call_later(fault.lasts / 1e6, box.lift, fault.kind)
        if fault.every and self.clock() + fault.every < self.scenario.length:
            loop.call_later(fault.every / 1e6, self._begin, fault, dice)

    async def close(self) -> None:
        """End the nodes, then all that they talked to."""
        for node in self.nodes:
            if not node.gone.done():
                node.transport.send_signal(signal.SIGTERM)
        for node in self.nodes:
            try:
                await asyncio.wait_for(node.gone, END_S)
            except TimeoutError:
                node.transport.kill()
                self.history.log.append("lab: a node did not end and was killed")
            self.history.log += node.lines
        self.history.drains = [drain for director in self.directors for drain in director.drains]
        for actor in (*self.boxes, *self.directors):
            actor.close()


def play(
    scenario: Scenario, side: Side, seed: int, told: Callable[[float], None] = lambda done: None
) -> History:
    """Play one side with one seed; raises ConfError where a node does not start."""
    with tempfile.TemporaryDirectory(prefix="cedarmill-lab-") as folder, asyncio.Runner(
            loop_factory=uvloop.new_event_loop) as runner:  # fmt: skip
        return runner.run(Run(scenario, side, seed, told).play(Path(folder)))
