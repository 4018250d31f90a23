"""Lets what the timeline says happen to a run: faults on processes, links, disks and executors."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import TYPE_CHECKING, Any

from cedarmill.conf.document import parse_duration, parse_percent
from cedarmill.lab.cluster.fault_schedule import FaultSchedule
from cedarmill.lab.cluster.links import ANY, LinkFault
from cedarmill.lab.cluster.partitions import PARTITIONS, Replicas
from cedarmill.lab.cluster.scenario import ScenarioEvent
from cedarmill.lab.experiment import random_generator

if TYPE_CHECKING:
    from cedarmill.lab.cluster.run import ClusterRun

UNIT_SIGNALS = {"kill": signal.SIGKILL, "term": signal.SIGTERM, "pause": signal.SIGSTOP}
LEADER = "leader"  # in a pattern: the replica that leads now


class Faults:
    """All faults of a run, from when they begin until they end."""

    def __init__(self, run: "ClusterRun") -> None:
        self.run = run
        self.random = random_generator(run.seeds.faults)
        self._handlers: dict[str, Callable[[ScenarioEvent], None]] = {
            "process": self._on_process_event,
            "link": self._on_link_event,
            "partition": self._on_partition,
            "disk": self._on_disk_event,
            "executor": self._on_executor_event,
            "operator": run.operators.act,
        }
        self._timers: list[asyncio.TimerHandle] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._endings: dict[object, Callable[[], None]] = {}  # of faults that have begun and not ended
        self._paused_pids: set[int] = set()  # processes of units that stand still

    def plan(self, timeline: Iterable[ScenarioEvent]) -> None:
        """Enter all of it."""
        schedule = FaultSchedule(self.random, self._names(), self.run.scenario.layout.zone_names)
        for entry in timeline:
            for event in schedule.expand(entry):
                self._call_at(event.at, partial(self._handlers[event.kind], event))

    def _call_at(self, at: int, call: Callable[[], None]) -> None:
        wait_s = max(0.0, (at - self.run.clock()) / 1e6)
        self._timers.append(asyncio.get_running_loop().call_later(wait_s, call))

    def _end_after(self, event: ScenarioEvent, end: Callable[[], None]) -> None:
        """What ends a fault: at its time, or when the run's faults are over, whichever comes first."""
        key = object()
        self._endings[key] = end
        self._call_at(event.at + event.duration, partial(self._end_one, key))

    def _end_one(self, key: object) -> None:
        if (end := self._endings.pop(key, None)) is not None:
            end()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tell(self, event: ScenarioEvent, fault: str, target: str) -> None:
        self.run.history.tell("lab", fault, target, number=event.duration / 1e6)

    # Whom a fault befalls.

    def _names(self) -> list[str]:
        """All that may meet a fault, in an order that does not hang on when each started."""
        group = self.run.processes
        return sorted({*group.by_name, *self.run.executors, *group.unit_ports})

    def _matching(self, pattern: str) -> list[str]:
        """A name, several with blanks between them, or a kind with `-*` or `@` and its zone."""
        return [name for word in pattern.split() for name in self._matching_word(word)]

    def _matching_word(self, word: str) -> list[str]:
        if word == LEADER:
            leader = self.run.processes.leader
            return [leader] if leader else []
        if "@" in word:
            kind, _, zone = word.partition("@")
            named = [name for name in self._names() if name.startswith(f"{kind}-")]
            return [name for name in named if self.run.zone_of(name) == zone]
        if word.endswith("*"):
            return [name for name in self._names() if name.startswith(word[:-1])]
        return [word]

    # Processes.

    def _on_process_event(self, event: ScenarioEvent) -> None:
        for name in self._matching(event.attributes["name"]):
            if name in self.run.processes.by_name:
                self._on_process(name, event)
            else:
                self._on_unit(name, event)

    def _on_process(self, name: str, event: ScenarioEvent) -> None:
        process, fault = self.run.processes.by_name[name], event.attributes["fault"]
        disk = event.attributes.get("disk", "own")
        self._tell(event, fault, name)
        if fault == "start":
            self._start_again(name, disk)
        elif fault in ("kill", "term"):
            (process.kill if fault == "kill" else process.terminate)()
            if event.duration:
                self._end_after(event, partial(self._start_again, name, disk))
        elif fault == "pause":
            process.pause()
            self._end_after(event, process.resume)
        elif fault == "slow":
            process.slow(parse_percent(event.attributes["size"]))
            self._end_after(event, process.full_speed)

    def _start_again(self, name: str, disk: str) -> None:
        self._start_task(self.run.processes.start_again(name, disk))

    def _on_unit(self, name: str, event: ScenarioEvent) -> None:
        """A node that its supervisor has started: its processes are known by their ids."""
        fault = event.attributes["fault"]
        if name not in self.run.processes.unit_ports or fault not in UNIT_SIGNALS:
            return
        self._tell(event, fault, name)
        for pid in self.run.processes.unit_pids(name):
            self._signal(pid, UNIT_SIGNALS[fault])
            if fault == "pause":
                self._paused_pids.add(pid)
                self._end_after(event, partial(self._resume_unit, pid))

    def _resume_unit(self, pid: int) -> None:
        self._paused_pids.discard(pid)
        self._signal(pid, signal.SIGCONT)

    @staticmethod
    def _signal(pid: int, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)

    # Links.

    def _on_link_event(self, event: ScenarioEvent) -> None:
        fault = link_fault(event.attributes)
        for source in self._link_ends(event.attributes["from"]):
            for target in self._link_ends(event.attributes["to"]):
                self._on_link(source, target, fault, event)

    def _link_ends(self, pattern: str) -> list[str]:
        return [ANY] if pattern == ANY else self._matching(pattern)

    def _on_link(self, source: str, target: str, fault: LinkFault, event: ScenarioEvent) -> None:
        self._tell(event, f"link {fault.kind}", f"{source}>{target}")
        for direction in self.run.links.directions(source, target):
            direction.begin(fault)
            if event.duration:
                self._end_after(event, partial(direction.lift, fault.kind))

    def _on_partition(self, event: ScenarioEvent) -> None:
        """Among the replicas, with the members on either side."""
        names = sorted(name for name in self.run.processes.by_name if name.startswith("keeper"))
        replicas = Replicas(names, self.run.processes.leader or names[0])
        for source, target in PARTITIONS[event.attributes["kind"]](replicas):
            self._on_link(source, target, LinkFault("cut"), event)

    # Disks and executors.

    def _on_disk_event(self, event: ScenarioEvent) -> None:
        fault = event.attributes["fault"]
        for name in self._matching(event.attributes["name"]):
            self.run.history.tell("lab", f"disk {fault}", name)
            self.run.processes.begin_disk_fault(name, fault, event.duration)

    def _on_executor_event(self, event: ScenarioEvent) -> None:
        for name in self._matching(event.attributes["name"]):
            executor, fault = self.run.executors[name], event.attributes["fault"]
            if fault == "kill":
                executor.stop(planned=False)
                if event.duration:
                    self._end_after(event, partial(self._start_executor, name))
                continue
            self.run.history.tell(name, "lost" if fault == "hang" else fault, name, note="fault")
            executor.begin_fault(fault, parse_percent(event.attributes.get("size", "100%")))
            if event.duration:
                self._end_after(event, partial(self._recover_executor, name, fault))

    def _start_executor(self, name: str) -> None:
        self._start_task(self.run.executors[name].start())

    def _recover_executor(self, name: str, fault: str) -> None:
        self.run.executors[name].end_fault(fault)
        self.run.history.tell(name, "found", name, note="fault")

    def heal(self) -> None:
        """No more faults: those that have begun end now."""
        for timer in self._timers:
            timer.cancel()
        for key in list(self._endings):
            self._end_one(key)

    def end(self) -> None:
        """Nothing more happens."""
        self.heal()
        for process in self.run.processes.by_name.values():
            process.full_speed()
        for pid in list(self._paused_pids):
            self._resume_unit(pid)
        for task in self._tasks:
            task.cancel()


def link_fault(attributes: dict[str, str]) -> LinkFault:
    """The fault that an entry of the timeline names."""
    kind, size = attributes["fault"], 0.0
    if kind == "drop":
        size = parse_percent(attributes["share"])
    elif kind == "delay":
        size = parse_duration(attributes["delay"]) / 1e6
    elif kind == "trickle":
        size = float(attributes["bytes-per-s"])
    return LinkFault(kind, size, parse_duration(attributes.get("jitter", "0s")) / 1e6)
