"""Stand-in discovery of a soak run: a watch that writes changes in pieces, falls silent, or is down."""

import asyncio
import json
import random
import time

from tests.soak.executors import Executor, cut
from tests.soak.history import DiscoveryReachable, History, ListingWritten, StatusChanged, now
from tests.soak.listening import ListeningStandIn

HEARTBEAT_S = 1.0  # the protocol's limit is 2 s
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Discovery(ListeningStandIn):
    """The list of executors, and the watches on it."""

    def __init__(self, executors: list[Executor], history: History, source: random.Random) -> None:
        super().__init__()
        self.executors, self.history, self.source = executors, history, source
        self.index = 1
        self.statuses = ["SERVING"] * len(executors)
        self.changed_at = [0.0] * len(executors)  # time of the last change
        self.changed_in = [0] * len(executors)  # index of the last change
        self._is_down = False
        self._silent: set[asyncio.StreamWriter] = set()
        self._watches: dict[asyncio.StreamWriter, int] = {}  # the index that each watch has been sent

    def set_status(self, number: int, status: str) -> None:
        """Change an executor's status, and write it to the watches."""
        self.index += 1
        self.statuses[number], self.changed_in[number] = status, self.index
        self.changed_at[number] = now()
        if status == "SERVING":
            self.executors[number].started_at_ms = int(time.time() * 1000)
        self.history.add(StatusChanged(now(), number, status))
        for writer in list(self._watches):
            self._write_changes(writer)

    def set_down(self, is_down: bool) -> None:
        """Take discovery down, or up again."""
        self._is_down = is_down
        self.history.add(DiscoveryReachable(now(), not is_down))
        if is_down:
            self.reset_watches()

    def reset_watches(self) -> None:
        """End all watches."""
        for writer in list(self._watches):
            writer.transport.abort()
        self._watches.clear()

    def _abort_connections(self) -> None:
        self.reset_watches()

    def silence_watches(self) -> None:
        """Let all open watches fall silent; new ones work."""
        self._silent |= self._watches.keys()

    def listing(self, after: int = 0) -> dict[str, object]:
        """Return the entries that changed after an index; all of them, as a snapshot, for 0."""
        numbers = [n for n, index in enumerate(self.changed_in) if index > after or not after]
        entries = [self._entry(n) for n in numbers if after or self.statuses[n] != "DELETED"]
        return {"index": self.index, "snapshot": not after, "endpoints": entries}

    def _entry(self, number: int) -> dict[str, object]:
        executor = self.executors[number]
        return {
            "name": executor.plan.name,
            "address": f"127.0.0.1:{executor.port}",
            "zone": "here",
            "type": "box",
            "group": 0,
            "status": self.statuses[number],
            "weight": 1.0,
            "since_ms": executor.started_at_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if self._is_down:
                writer.transport.abort()
                return
            first = int(head.split(b"from=")[1].split()[0]) if b"from=" in head else 0
            writer.write(HEAD)
            self._watches[writer] = first
            self._write_changes(writer, always=True)
            while writer in self._watches and not reader.at_eof():
                await asyncio.sleep(HEARTBEAT_S)
                if writer not in self._silent:
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the watch or the run is over
        finally:
            self._watches.pop(writer, None)
            self._silent.discard(writer)
            writer.close()

    def _write_changes(self, writer: asyncio.StreamWriter, always: bool = False) -> None:
        after = self._watches[writer]
        if writer in self._silent or (after == self.index and not always):
            return
        text = json.dumps(self.listing(after)).encode() + b"\n"
        for piece in cut(text, self.source):
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        self._watches[writer] = self.index
        for number, index in enumerate(self.changed_in):
            if index > after or not after:
                record = ListingWritten(now(), number, self.statuses[number], self.changed_at[number])
                self.history.add(record)
