"""Simulated operators: some drain an executor and restart it, one leads a release through the cluster."""

from typing import Any

import msgspec

from cedarmill.cluster.messages import (
    ClientRequest,
    ReadReply,
    ReadRequest,
    SubmitReply,
    SubmitRequest,
)
from cedarmill.cluster.state import ReleasePlan
from cedarmill.cluster.state_machine import commands
from cedarmill.lab.simulation.clock import MILLISECOND, SECOND
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.executor import ExecutorPool
from cedarmill.lab.simulation.seeds import text_generator

ASK_AGAIN = (200, 700)  # ms till an operator asks again
REPEAT_SHARE = 0.3  # of operators that press twice
RESTART_WAITS = (200 * MILLISECOND, 3 * SECOND)  # us from drained till the restart
RESTART_TIME = 400 * MILLISECOND  # us that an executor is down then
RELEASE_BEGINS = 5 * SECOND  # us
RELEASE_LOOK_PERIOD = 500 * MILLISECOND  # us


class DrainOperator:
    """Drains one executor, restarts it, puts it back; asks again, with the same id, till it has an answer."""

    def __init__(
        self, environment: ClusterEnvironment, executors: ExecutorPool, number: int, target: str
    ) -> None:
        self.environment, self.executors = environment, executors
        self.name, self.target = f"operator-{number}", target
        self.generator = text_generator(environment.seed, self.name)
        self.permit = 0
        self.step = "ask"
        self.epoch = 0
        self.tries = 0
        self._tell("asked")
        self._go_on()

    def _tell(self, what: str, **details: Any) -> None:
        self.environment.history.tell(self.name, what, self.target, **details)

    def _request(self, step: str) -> ClientRequest:
        if step == "ask":
            permits = commands.RequestPermits(0, self.name, "1", "executor", (self.target,))
            return SubmitRequest(permits)
        if step == "wait":
            return ReadRequest("permits", names=[str(self.permit)])
        return SubmitRequest(commands.ReturnPermit(0, self.name, "2", "executor", self.target))

    def _go_on(self) -> None:
        """Ask what the step needs, at a replica chosen at random; again later if no answer comes."""
        if self.step in ("restart", "end"):
            return
        replica = self.generator.choice(list(self.environment.replicas))
        self.tries += 1
        step = self.step

        def on_reply(answer: object) -> None:
            self.environment.network.send(replica, self.name, lambda: self._on_reply(answer, step))

        self.environment.submit(self.name, replica, self._request(step), on_reply)
        if step == "ask" and self.tries == 1 and self.generator.random() < REPEAT_SHARE:
            other = self.generator.choice(list(self.environment.replicas))
            self.environment.submit(self.name, other, self._request("ask"), on_reply)
        self.environment.scheduler.after(self.generator.randrange(*ASK_AGAIN) * MILLISECOND, self._go_on)

    def _on_reply(self, answer: object, step: str) -> None:
        if isinstance(answer, SubmitReply):
            self._on_submitted(answer, step)
        elif isinstance(answer, ReadReply) and self.step == "wait":
            rows = msgspec.json.decode(answer.body)
            if rows:
                self._note_permit(rows[0]["state"], rows[0]["epoch"], rows[0]["drained"])

    def _on_submitted(self, answer: SubmitReply, step: str) -> None:
        if step == "ask":
            self._tell("answer", number=answer.summaries()[0].id)
        if self.step == "ask":
            permit = answer.summaries()[0]
            self.permit = permit.id
            self._note_permit(permit.state, permit.epoch, permit.drained_at)
        elif self.step == "give":
            self.step = "end"
            self._tell("given")

    def _note_permit(self, state: str, epoch: int, drained_at: int) -> None:
        if state in ("refused", "expired", "withdrawn", "returned"):
            self._tell(state)
            self.step = "end"
            return
        if self.step == "ask":
            self.step = "wait"
        if state in ("granted", "lost") and not self.epoch:
            self.epoch = epoch
            self._tell("taken", epoch=epoch)
        if drained_at and self.step == "wait":
            self.step = "restart"
            self._tell("drained", epoch=epoch)
            self.environment.resume_paused_nodes()
            self.environment.scheduler.after(self.generator.randrange(*RESTART_WAITS), self._restart)

    def _restart(self) -> None:
        executor = self.executors.by_name[self.target]
        self.environment.history.tell(
            self.target, "down", self.target, note="planned", number=executor.running
        )
        executor.up = False
        self.environment.scheduler.after(RESTART_TIME, self._put_back)

    def _put_back(self) -> None:
        self.executors.by_name[self.target].up = True
        self.environment.history.tell(self.target, "up", self.target, note="planned")
        for what in ("returning", "back", "giving"):
            self._tell(what)
        self.step = "give"
        self._go_on()


class ReleaseOperator:
    """Plans and starts a release, watches it, and takes it back where it is halted (odd seeds: or done)."""

    NAME = "driver"  # in the history

    def __init__(self, environment: ClusterEnvironment, version: str) -> None:
        self.environment, self.version = environment, version
        self.generator = text_generator(environment.seed, "release")
        self.release_id = 0
        self.step = "plan"
        self.state = ""
        environment.scheduler.after(RELEASE_BEGINS, self._go_on)

    def _plan(self) -> ReleasePlan:
        units = [f"node-{number}" for number in range(self.environment.setup.nodes)]
        return ReleasePlan(self.version, ((units[0],), tuple(units[1:])), 2, 0, 3 * SECOND, 4 * SECOND, 20)

    def _request(self, step: str) -> ClientRequest:
        if step == "plan":
            return SubmitRequest(commands.PlanRelease(0, self.NAME, "1", self._plan()))
        if step == "start":
            return SubmitRequest(commands.ControlRelease(0, self.NAME, "2", self.release_id, "start"))
        if step == "watch":
            return ReadRequest("releases")
        return SubmitRequest(commands.ControlRelease(0, self.NAME, "3", self.release_id, "back"))

    def _go_on(self) -> None:
        replica, step = self.generator.choice(list(self.environment.replicas)), self.step

        def on_reply(answer: object) -> None:
            self.environment.network.send(replica, self.NAME, lambda: self._on_reply(step, answer))

        self.environment.submit(self.NAME, replica, self._request(step), on_reply)
        self.environment.scheduler.after(RELEASE_LOOK_PERIOD, self._go_on)

    def _on_reply(self, step: str, answer: object) -> None:
        if step != self.step:
            return
        if isinstance(answer, ReadReply):
            self._note_releases(msgspec.json.decode(answer.body))
        elif isinstance(answer, SubmitReply):
            if step == "plan" and answer.ok:
                self.release_id, self.step = answer.release_id, "start"
            elif step in ("start", "back"):
                self.step = "watch"

    def _note_releases(self, rows: list[dict[str, Any]]) -> None:
        row = next((row for row in rows if row["id"] == self.release_id), None)
        if row is None:
            return
        if row["state"] != self.state:
            self.state = row["state"]
            note = "; ".join(row["why"][-1:])
            self.environment.history.tell(self.NAME, f"release {self.state}", note=note)
        if self.state == "halted" or (self.state == "done" and self.environment.seed % 2):
            self.step = "back"
