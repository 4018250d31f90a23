"""An operator that restarts an executor: drains it, stops it, starts it, puts it back."""

import asyncio

from cedarmill.cluster.state_machine import commands
from cedarmill.lab.cluster.executors import RestartableExecutor
from cedarmill.lab.cluster.operator_client import (
    LOOK_S,
    OPEN_STATES,
    TRIES,
    UNAVAILABLE,
    AdminAnswer,
    LabOperator,
    call_admin,
    call_admin_once,
)
from cedarmill.net.cluster.operator import new_request_id

DRAIN_S = 1.6  # after the last node's yes: the rule on drains, and the call's own time
EMPTY_S = 6.0  # then for its jobs to end
STOPPED_S = 0.4  # between an executor's stop and its start
FIRST_ERROR = 300  # statuses from here on refuse


class ExecutorRestart:
    """One restart of one executor by one operator."""

    def __init__(self, operator: LabOperator, executor: RestartableExecutor) -> None:
        self.operator, self.executor, self.target = operator, executor, executor.name

    async def by_replicas(self) -> None:
        """By a permit that the replicas are asked for."""
        operator, target = self.operator, self.target
        request = commands.RequestPermits(
            0, operator.name, new_request_id(), "executor", (target,), "a restart"
        )
        permit = (await operator.submit(request)).summaries()[0]
        operator.tell("answer", target, number=permit.id)
        if permit.state == "refused":
            operator.tell("refused", target, note="; ".join(permit.notes))
            return
        if await operator.wait_until_drained(target, permit.id):
            await self._restart()
            await operator.submit(
                commands.ReturnPermit(0, operator.name, new_request_id(), "executor", target)
            )
            operator.tell("given", target)

    async def by_one_node(self, node: str) -> None:
        """At the admin API of one node, as before there was a cluster; the cluster decides all the same."""
        answer = await self._call_until_available("exclude", node)
        if answer.status >= FIRST_ERROR:
            self.operator.tell("refused", self.target, note=answer.text)
            return
        rows = await self.operator.view("permits")
        permits = [row for row in rows if row["target"] == self.target and row["state"] in OPEN_STATES]
        if not permits or permits[-1]["holder"] != f"door:{node}":
            return
        if await self.operator.wait_until_drained(self.target, permits[-1]["id"]):
            await self._restart()
            if await self._include(node):
                self.operator.tell("given", self.target)

    async def by_all_nodes(self) -> None:
        """As without a cluster: at each node's admin API, with nobody who counts over all of them."""
        operator, target = self.operator, self.target
        answers = await self._call_all("exclude")
        if not any(answer.status < FIRST_ERROR for answer in answers):
            operator.tell("refused", target, note=answers[0].text if answers else "no door answers")
            return
        operator.tell("taken", target, note=f"{len(answers)} doors said yes")
        await asyncio.sleep(DRAIN_S)
        await self._wait_until_empty()
        operator.tell("drained", target)
        await self._restart()
        await self._call_all("include")
        operator.tell("given", target)

    async def _call_until_available(self, act: str, node: str) -> AdminAnswer:
        answer = AdminAnswer(UNAVAILABLE, "")
        for _ in range(TRIES):
            answer = await self._call(act, node)
            if answer.status != UNAVAILABLE:
                break
            await asyncio.sleep(LOOK_S)
        return answer

    async def _include(self, node: str) -> bool:
        for _ in range(TRIES):
            if (await self._call("include", node)).status == 200:
                return True
            await asyncio.sleep(LOOK_S)
        return False

    async def _call(self, act: str, node: str) -> AdminAnswer:
        port = self.operator.processes.admin_port(node)
        return await call_admin_once(port, "PUT", f"/api/{act}/{self.target}")

    async def _call_all(self, act: str) -> list[AdminAnswer]:
        """The same call at every admin API; the answers of those that do answer."""
        ports = self.operator.processes.admin_ports.values()
        calls = [call_admin(port, "PUT", f"/api/{act}/{self.target}") for port in ports]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        return [answer for answer in answers if not isinstance(answer, BaseException)]

    async def _wait_until_empty(self) -> None:
        """Until its jobs have ended, or for long enough."""
        for _ in range(int(EMPTY_S / LOOK_S)):
            if not self.executor.awaited_jobs:
                return
            await asyncio.sleep(LOOK_S)

    async def _restart(self) -> None:
        """Stop it and start it anew; then it is on its way back."""
        self.executor.stop(planned=True)
        await asyncio.sleep(STOPPED_S)
        await self.executor.start()
        for event in ("returning", "back", "giving"):
            self.operator.tell(event, self.target)
