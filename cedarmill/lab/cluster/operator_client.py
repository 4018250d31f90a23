"""How an operator of the laboratory asks the replicas, and calls the admin API of one node."""

import asyncio
import json
from typing import Any, NamedTuple

from cedarmill.cluster.messages import (
    ClientReply,
    ClientRequest,
    ReadReply,
    ReadRequest,
    SubmitReply,
    SubmitRequest,
)
from cedarmill.cluster.state_machine.commands import AnyRequest
from cedarmill.lab.cluster.history import EventHistory
from cedarmill.lab.cluster.process_group import ProcessGroup
from cedarmill.lab.cluster.settings_files import CLUSTER
from cedarmill.lab.listener import LOOPBACK
from cedarmill.net.cluster.operator import OperatorClient

ADMIN_CALL_S = 2.0  # for the admin API to answer: the page owes it within 1 s
ASK_S = 3.0  # for any replica to answer, before the operator presses the key again
TRIES = 40  # times that an operator presses it
LOOK_S = 0.1  # between two tries, or two looks
UNAVAILABLE = 503
OPEN_STATES = ("waiting", "granted", "lost")  # of a permit

View = dict[str, Any]  # one row of a view of the replicas


class AdminAnswer(NamedTuple):
    """Of an admin API: the HTTP status, and the text."""

    status: int
    text: str


async def call_admin(port: int, method: str, path: str) -> AdminAnswer:
    """One call at an admin API; raises OSError or TimeoutError where it does not answer."""
    async with asyncio.timeout(ADMIN_CALL_S):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
            text = await reader.read()
        finally:
            writer.close()
    head, _, body = text.partition(b"\r\n\r\n")
    if not head:
        raise ConnectionResetError("the door closed without an answer")
    return AdminAnswer(int(head.split()[1]), body.decode().strip())


async def call_admin_once(port: int, method: str, path: str) -> AdminAnswer:
    """The same, with an admin API that does not answer as one that is unavailable."""
    try:
        return await call_admin(port, method, path)
    except (OSError, TimeoutError):
        return AdminAnswer(UNAVAILABLE, "")


class LabOperator:
    """One who acts: asks the replicas, and enters what it saw in the history."""

    def __init__(self, name: str, processes: ProcessGroup, history: EventHistory) -> None:
        self.name, self.processes, self.history = name, processes, history

    def tell(
        self, what: str, target: str = "", *, epoch: int = 0, note: str = "", number: float = 0.0
    ) -> None:
        """Enter an event of its own."""
        self.history.tell(self.name, what, target, epoch=epoch, note=note, number=number)

    async def ask(self, request: ClientRequest) -> ClientReply:
        """Ask the replicas until one answers; the same request each time. Raises TimeoutError."""
        client = OperatorClient(CLUSTER, self.processes.replica_addresses, self.name)
        for _ in range(TRIES):
            try:
                return await asyncio.to_thread(client.send, request, ASK_S)
            except OSError:
                await asyncio.sleep(LOOK_S)
        raise TimeoutError(f"{self.name}: no keeper answered")

    async def submit(self, command: AnyRequest) -> SubmitReply:
        """Submit a command; its outcome. Raises TimeoutError, or ValueError for any other answer."""
        reply = await self.ask(SubmitRequest(command))
        if not isinstance(reply, SubmitReply):
            raise ValueError(f"{self.name}: {reply}")
        return reply

    async def view(self, view: str, *names: object) -> list[View]:
        """A view of what is agreed. Raises TimeoutError, or ValueError for any other answer."""
        reply = await self.ask(ReadRequest(view, names=[str(name) for name in names]))
        if not isinstance(reply, ReadReply):
            raise ValueError(f"{self.name}: {reply}")
        rows: list[View] = json.loads(reply.body)
        return rows

    async def wait_until_drained(self, target: str, permit: int) -> bool:
        """Wait until the permit's target is drained; whether it came to that."""
        taken = False
        while True:
            rows = await self.view("permits", permit)
            row: View = rows[0] if rows else {"state": "ended", "epoch": 0, "drained": 0, "notes": []}
            if row["state"] not in OPEN_STATES:
                self.tell("refused", target, note=row["state"])
                return False
            if row["state"] != "waiting" and not taken:
                taken = True
                self.tell("taken", target, epoch=row["epoch"])
            if row["drained"]:
                self.tell("drained", target, epoch=row["epoch"])
                return True
            await asyncio.sleep(LOOK_S)
