"""Operators as actors: each takes executors out, restarts them, puts them back, drives releases."""

import asyncio
import json
from collections.abc import Coroutine
from typing import TYPE_CHECKING

from cedarmill.cluster.messages import ClientReply, ClientRequest, ReadRequest, SubmitReply, SubmitRequest
from cedarmill.cluster.state import ReleasePlan
from cedarmill.cluster.state_machine import commands
from cedarmill.conf.document import microseconds
from cedarmill.lab.cluster.scenario import ScenarioEvent
from cedarmill.net.cluster.operator import OperatorClient, new_id

if TYPE_CHECKING:
    from cedarmill.lab.cluster.run import ClusterRun

CALL_S = 2.0  # for a door to answer: the page owes it within 1 s
DRAIN_S = 1.6  # after the last door's yes: the rule on drains, and the call's own time
EMPTY_S = 6.0  # then for its jobs to end
STOPPED_S = 0.4  # between an executor's stop and its start
LOOK_S = 0.1
ASK_S = 3.0  # for any keeper to answer, before the operator presses the key again
PATIENCE = 40  # times that it does
PLAN = {"max_concurrent": 2, "bake_us": 3_000_000, "ready_timeout_us": 8_000_000, "min_sample": 30}


async def door_call(port: int, method: str, path: str) -> tuple[int, str]:
    """One call at a door; raises OSError or TimeoutError where it does not answer."""
    async with asyncio.timeout(CALL_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
            text = await reader.read()
        finally:
            writer.close()
    head, _, body = text.partition(b"\r\n\r\n")
    if not head:
        raise ConnectionResetError("the door closed without an answer")
    return int(head.split()[1]), body.decode().strip()


class Operators:
    """All operators of a run."""

    def __init__(self, run: "ClusterRun") -> None:
        self.run = run
        self._tasks: set[asyncio.Task] = set()
        self.failed: list[str] = []
        self.releases: dict[str, int] = {}  # by the version: the number of the newest

    @property
    def busy(self) -> bool:
        return bool(self._tasks)

    def act(self, entry: ScenarioEvent) -> None:
        """Let an operator do what an entry of the timeline says."""
        words = entry.words
        act = getattr(self, f"_{words['act']}")
        for target in words.get("target", "").split() or [""]:
            self._start(act(words["name"], target, words))

    def _start(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(self._guarded(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, coroutine: Coroutine) -> None:
        try:
            await coroutine
        except (OSError, TimeoutError, ValueError) as error:
            self.failed.append(f"{type(error).__name__}: {error}")
            self.run.history.tell("lab", "operator-failed", note=self.failed[-1])

    # By the fleet.

    async def ask(self, who: str, ask: ClientRequest) -> ClientReply:
        """Ask the keepers till one answers; the same request each time."""
        operator = OperatorClient("lab", self.run.crew.addresses, who)
        for _ in range(PATIENCE):
            try:
                return await asyncio.to_thread(operator.ask, ask, ASK_S)
            except OSError:
                await asyncio.sleep(LOOK_S)
        raise TimeoutError(f"{who}: no keeper answered")

    async def look(self, who: str, what: str, *names: object) -> list:
        """A part of what is agreed."""
        answer = await self.ask(who, ReadRequest(what, names=[str(name) for name in names]))
        return json.loads(answer.body)

    async def _restart(self, who: str, target: str, words: dict[str, str]) -> None:
        """Drain, wait, stop, start, put back."""
        via = words.get("via", "keepers") if self.run.scenario.layout.replicas else "doors"  # nobody counts
        self.run.history.tell(f"{who}:{target}", "asked", target)
        if via == "doors":
            await self._restart_by_doors(who, target)
        elif via == "keepers":
            await self._restart_by_keepers(who, target)
        else:
            await self._restart_by_one_door(who, target, via)

    async def _restart_by_keepers(self, who: str, target: str) -> None:
        name = f"{who}:{target}"
        did = await self.ask(
            name,
            SubmitRequest(commands.RequestPermits(0, name, new_id(), "executor", (target,), "a restart")),
        )
        permit, _, state, notes = did.permits[0][:4]
        self.run.history.tell(name, "answer", target, number=permit)
        if state == "refused":
            self.run.history.tell(name, "refused", target, note="; ".join(notes))
            return
        if await self._drained(name, target, permit):
            await self._take_down(name, target)
            await self.ask(name, SubmitRequest(commands.ReturnPermit(0, name, new_id(), "executor", target)))
            self.run.history.tell(name, "given", target)

    async def _drained(self, name: str, target: str, permit: int) -> bool:
        """Wait till the permit's target is drained; whether it came to that."""
        taken = False
        while True:
            rows = await self.look(name, "permits", permit)
            row = rows[0] if rows else {"state": "ended", "epoch": 0, "drained": 0, "notes": []}
            if row["state"] not in ("waiting", "granted", "lost"):
                self.run.history.tell(name, "refused", target, note=row["state"])
                return False
            if row["state"] != "waiting" and not taken:
                taken = True
                self.run.history.tell(name, "taken", target, epoch=row["epoch"])
            if row["drained"]:
                self.run.history.tell(name, "drained", target, epoch=row["epoch"])
                return True
            await asyncio.sleep(LOOK_S)

    async def _take_down(self, name: str, target: str) -> None:
        await self.restarted(target)
        self.run.history.tell(name, "returning", target)
        self.run.history.tell(name, "back", target)
        self.run.history.tell(name, "giving", target)

    async def _restart_by_one_door(self, who: str, target: str, node: str) -> None:
        """As before the fleet, at one door; the fleet decides all the same."""
        name = f"{who}:{target}"
        status, text = 503, ""
        for _ in range(PATIENCE):
            port = self.run.crew.door(node)
            try:
                status, text = await door_call(port, "PUT", f"/api/exclude/{target}")
            except (OSError, TimeoutError):
                status = 503
            if status != 503:
                break
            await asyncio.sleep(LOOK_S)
        if status >= 300:
            self.run.history.tell(name, "refused", target, note=text)
            return
        rows = [row for row in await self.look(name, "permits")
                if row["target"] == target and row["state"] in ("waiting", "granted", "lost")]  # fmt: skip
        if (
            rows
            and rows[-1]["holder"] == f"door:{node}"
            and await self._drained(name, target, rows[-1]["id"])
        ):
            await self._take_down(name, target)
            await self._include(name, target, node)

    async def _include(self, name: str, target: str, node: str) -> None:
        for _ in range(PATIENCE):
            try:
                status, _ = await door_call(self.run.crew.door(node), "PUT", f"/api/include/{target}")
            except (OSError, TimeoutError):
                status = 503
            if status == 200:
                self.run.history.tell(name, "given", target)
                return
            await asyncio.sleep(LOOK_S)

    # Releases.

    async def _release(self, who: str, target: str, words: dict[str, str]) -> None:
        """Plan and start: one canary, then all the rest. Without keepers there is nothing to plan with."""
        if not self.run.scenario.layout.replicas:
            return
        units, version = self.run.nodes, words["version"]
        plan = ReleasePlan(version, ((units[0],), tuple(units[1:])), **PLAN)
        did = await self.ask(who, SubmitRequest(commands.PlanRelease(0, who, new_id(), plan)))
        for _ in range(PATIENCE):  # units are known once their stewards have told of them
            if did.ok:
                break
            await asyncio.sleep(LOOK_S)
            did = await self.ask(who, SubmitRequest(commands.PlanRelease(0, who, new_id(), plan)))
        if not did.ok:
            self.run.history.tell(who, "release-refused", note=did.text)
            return
        self.releases[version] = did.release_id
        await self._act(who, "start", did.release_id)
        await self._watch(who, did.release_id)

    async def _act(self, who: str, act: str, number: int) -> SubmitReply:
        did = await self.ask(
            who, SubmitRequest(commands.ControlRelease(0, who, new_id(), number, act, "the scenario"))
        )
        self.run.history.tell(who, f"release-{act}", note=did.text, number=number)
        return did

    async def _watch(self, who: str, number: int) -> None:
        """Till it has ended or halted."""
        state = ""
        while state not in ("done", "backed", "halted", "back-halted"):
            row = next(row for row in await self.look(who, "releases") if row["id"] == number)
            if row["state"] != state:
                state = row["state"]
                self.run.history.tell(who, f"release {state}", note="; ".join(row["why"][-1:]), number=number)
            await asyncio.sleep(LOOK_S)

    async def _on_newest(self, who: str, act: str) -> None:
        numbers = [row["id"] for row in await self.look(who, "releases")]
        if numbers:
            await self._act(who, act, max(numbers))
            await self._watch(who, max(numbers))

    async def _halt(self, who: str, target: str, words: dict[str, str]) -> None:
        await self._on_newest(who, "halt")

    async def _resume(self, who: str, target: str, words: dict[str, str]) -> None:
        await self._on_newest(who, "resume")

    async def _back(self, who: str, target: str, words: dict[str, str]) -> None:
        await self._on_newest(who, "back")

    # Zones.

    async def _leave(self, who: str, target: str, words: dict[str, str]) -> None:
        """Evacuate a zone, and wait till every node has said that it has nothing there."""
        over = microseconds(words.get("over", "2s"))
        act = commands.ControlZone(0, who, new_id(), "leave", target, over, "the scenario")
        did = await self.ask(who, SubmitRequest(act))
        self.run.history.tell(who, "asked", target)
        if not did.ok or not did.permits:
            self.run.history.tell(who, "refused", target, note=did.text)
            return
        await self._drained(who, target, did.permits[0][0])

    async def _stay(self, who: str, target: str, words: dict[str, str]) -> None:
        """Let a zone come back."""
        self.run.history.tell(who, "returning", target)
        did = await self.ask(
            who, SubmitRequest(commands.ControlZone(0, who, new_id(), "stay", target, 0, "done"))
        )
        self.run.history.tell(who, "back", target, note=did.text)

    async def _freeze(self, who: str, target: str, words: dict[str, str]) -> None:
        await self._on_plan(who, "freeze")

    async def _thaw(self, who: str, target: str, words: dict[str, str]) -> None:
        await self._on_plan(who, "thaw")

    async def _on_plan(self, who: str, act: str) -> None:
        did = await self.ask(
            who, SubmitRequest(commands.ControlZone(0, who, new_id(), act, "", 0, "the scenario"))
        )
        self.run.history.tell(who, act, note=did.text)

    async def name_open(self) -> None:
        """At the end: what the keepers still name as out."""
        try:
            rows = await asyncio.wait_for(self.look("lab", "permits"), 2 * ASK_S)
        except (OSError, TimeoutError):
            return
        for row in rows:
            if row["state"] in ("granted", "lost"):
                self.run.history.tell(
                    "keepers", "named", row["target"], epoch=row["epoch"], note=row["state"]
                )

    # Without a fleet.

    async def _all_doors(self, what: str, target: str) -> list[tuple[int, str]]:
        """The same call at every door that answers."""
        calls = [door_call(port, "PUT", f"/api/{what}/{target}") for port in self.run.doors.values()]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        return [answer for answer in answers if not isinstance(answer, BaseException)]

    async def _restart_by_doors(self, who: str, target: str) -> None:
        """As without a fleet: by each node's own door, with nobody who counts over all of them."""
        history, name = self.run.history, f"{who}:{target}"
        answers = await self._all_doors("exclude", target)
        if not any(status < 300 for status, _ in answers):
            history.tell(name, "refused", target, note=answers[0][1] if answers else "no door answers")
            return
        history.tell(name, "taken", target, note=f"{len(answers)} doors said yes")
        await asyncio.sleep(DRAIN_S)
        await self.emptied(target)
        history.tell(name, "drained", target)
        await self._take_down(name, target)
        await self._all_doors("include", target)
        history.tell(name, "given", target)

    async def emptied(self, target: str) -> None:
        """Wait till an executor's jobs have ended, or for long enough."""
        box = self.run.executors[target]
        for _ in range(int(EMPTY_S / LOOK_S)):
            if not box.held:
                return
            await asyncio.sleep(LOOK_S)

    async def restarted(self, target: str) -> None:
        """Stop an executor, and start it anew."""
        box = self.run.executors[target]
        box.down(planned=True)
        await asyncio.sleep(STOPPED_S)
        await box.up()

    async def end(self) -> None:
        """Nobody acts any longer."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
