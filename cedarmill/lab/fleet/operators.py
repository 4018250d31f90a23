"""Operators as actors: each takes executors out, restarts them and puts them back, by doors or the fleet."""

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING

from cedarmill.lab.fleet.scenario import Happening

if TYPE_CHECKING:
    from cedarmill.lab.fleet.run import FleetRun

CALL_S = 2.0  # for a door to answer: the page owes it within 1 s
DRAIN_S = 1.6  # after the last door's yes: the rule on drains, and the call's own time
EMPTY_S = 6.0  # then for its jobs to end
STOPPED_S = 0.4  # between an executor's stop and its start
LOOK_S = 0.02


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

    def __init__(self, run: "FleetRun") -> None:
        self.run = run
        self._tasks: set[asyncio.Task] = set()
        self.failed: list[str] = []

    @property
    def busy(self) -> bool:
        return bool(self._tasks)

    def act(self, entry: Happening) -> None:
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

    async def _restart(self, who: str, target: str, words: dict[str, str]) -> None:
        """Drain, wait, stop, start, put back."""
        await self._restart_by_doors(who, target)

    async def _all_doors(self, what: str, target: str) -> list[tuple[int, str]]:
        """The same call at every door that answers."""
        calls = [door_call(port, "PUT", f"/api/{what}/{target}") for port in self.run.doors.values()]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        return [answer for answer in answers if not isinstance(answer, BaseException)]

    async def _restart_by_doors(self, who: str, target: str) -> None:
        """As without a fleet: by each node's own door, with nobody who counts over all of them."""
        history = self.run.history
        history.tell(who, "asked", target)
        answers = await self._all_doors("exclude", target)
        if not any(status < 300 for status, _ in answers):
            history.tell(who, "refused", target, note=answers[0][1] if answers else "no door answers")
            return
        history.tell(who, "taken", target, note=f"{len(answers)} doors said yes")
        await asyncio.sleep(DRAIN_S)
        await self.emptied(target)
        history.tell(who, "drained", target)
        await self.restarted(target)
        history.tell(who, "returning", target)
        await self._all_doors("include", target)
        history.tell(who, "back", target)

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
