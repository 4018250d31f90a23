"""Operators as actors: each takes executors out, restarts them, puts them back, drives releases."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

from cedarmill.conf.document import parse_duration
from cedarmill.lab.cluster.executor_restarts import ExecutorRestart
from cedarmill.lab.cluster.operator_client import ASK_S, LabOperator
from cedarmill.lab.cluster.release_acts import control_newest, start_release
from cedarmill.lab.cluster.scenario import ScenarioEvent
from cedarmill.lab.cluster.zone_acts import control_plan, drain_zone, return_zone

if TYPE_CHECKING:
    from cedarmill.lab.cluster.run import ClusterRun

Attributes = Mapping[str, str]  # of an `<operator>` in a scenario
Act = Callable[[str, str, Attributes], Awaitable[None]]  # who, its target, all attributes

BY_REPLICAS, BY_ALL_NODES = "keepers", "doors"  # the ways to restart; any other names a node


class Operators:
    """All operators of a run."""

    def __init__(self, run: "ClusterRun") -> None:
        self.run = run
        self.failures: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._acts: dict[str, Act] = {
            "restart": self._restart,
            "release": self._release,
            "leave": self._drain_zone,
            "stay": self._return_zone,
            **{act: partial(self._control_newest, act) for act in ("halt", "resume", "back")},
            **{act: partial(self._control_plan, act) for act in ("freeze", "thaw")},
        }

    @property
    def busy(self) -> bool:
        """Whether any of them still acts."""
        return bool(self._tasks)

    def act(self, event: ScenarioEvent) -> None:
        """Let an operator do what an entry of the timeline says, for each of its targets."""
        attributes = event.attributes
        act = self._acts[attributes["act"]]
        for target in attributes.get("target", "").split() or [""]:
            task = asyncio.ensure_future(self._guard(act(attributes["name"], target, attributes)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _guard(self, act: Awaitable[None]) -> None:
        try:
            await act
        except (OSError, TimeoutError, ValueError) as error:
            self.failures.append(f"{type(error).__name__}: {error}")
            self.run.history.tell("lab", "operator-failed", note=self.failures[-1])

    def _operator(self, name: str) -> LabOperator:
        return LabOperator(name, self.run.processes, self.run.history)

    async def _restart(self, who: str, target: str, attributes: Attributes) -> None:
        """Drain an executor, wait, stop it, start it, put it back."""
        agreed = self.run.scenario.layout.replicas
        via = attributes.get("via", BY_REPLICAS) if agreed else BY_ALL_NODES  # then nobody counts
        operator = self._operator(f"{who}:{target}")
        operator.tell("asked", target)
        restart = ExecutorRestart(operator, self.run.executors[target])
        if via == BY_ALL_NODES:
            await restart.by_all_nodes()
        elif via == BY_REPLICAS:
            await restart.by_replicas()
        else:
            await restart.by_one_node(via)

    async def _release(self, who: str, target: str, attributes: Attributes) -> None:
        if self.run.scenario.layout.replicas:  # without replicas there is nothing to plan with
            await start_release(self._operator(who), self.run.nodes, attributes["version"])

    async def _control_newest(self, act: str, who: str, target: str, attributes: Attributes) -> None:
        await control_newest(self._operator(who), act)

    async def _drain_zone(self, who: str, target: str, attributes: Attributes) -> None:
        await drain_zone(self._operator(who), target, parse_duration(attributes.get("over", "2s")))

    async def _return_zone(self, who: str, target: str, attributes: Attributes) -> None:
        await return_zone(self._operator(who), target)

    async def _control_plan(self, act: str, who: str, target: str, attributes: Attributes) -> None:
        await control_plan(self._operator(who), act)

    async def name_open_permits(self) -> None:
        """At the end: what the replicas still name as out."""
        try:
            rows = await asyncio.wait_for(self._operator("lab").view("permits"), 2 * ASK_S)
        except (OSError, TimeoutError):
            return
        for row in rows:
            if row["state"] in ("granted", "lost"):
                note, epoch = row["state"], row["epoch"]
                self.run.history.tell("keepers", "named", row["target"], epoch=epoch, note=note)

    async def end(self) -> None:
        """Nobody acts any longer."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
