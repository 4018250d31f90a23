"""Keeps what the module learned where the node's next process finds it, and takes it up at the start.

Only where the platform holds the clients' socket: there a second process can be started beside this one.
"""

from collections.abc import Callable

import msgspec

from cedarmill.decisions.brain import Brain
from cedarmill.decisions.memory import Memory, recall, recall_worker, remember
from cedarmill.log import say
from cedarmill.net.discovery import DiscoveryClient
from cedarmill.net.kept import KeptInPlace, kept_path
from cedarmill.net.turn import Turn, unix_us
from cedarmill.ops import document

KIND = "memory"
KEEP_US = 500_000  # between two writings: a replaced process hands over news that are at most that old
MOST_US = 30_000_000  # an older document is not believed: in that time a fleet can be another one
LATE_US = 3_000_000  # for the first lists to name the executors that the document tells of
_DECODE = msgspec.json.Decoder(Memory)


class Keeper:
    """Writes the document again and again, and lays one found at the start over a new brain."""

    def __init__(self, turn: Turn, brain: Brain, discovery: DiscoveryClient, node: str,
                 ending: Callable[[], bool]) -> None:  # fmt: skip
        self.turn, self.brain, self.discovery, self.node, self.ending = turn, brain, discovery, node, ending
        self.kept = KeptInPlace(kept_path(node, KIND))
        self.pending: Memory | None = None  # what of a document still waits for its executors to be listed
        self.pending_until = 0

    def start(self) -> None:
        """Take up what the process before this one left; from then on keep one's own."""
        now = self.turn.now()
        try:
            if texts := self.kept.texts():
                self._take_up(texts, now)
        except (OSError, ValueError) as error:
            say("memory-unread", reason=error)
        self.turn.deadlines.add(now + KEEP_US, self._keep)

    def _take_up(self, texts: list[bytes], now: int) -> None:
        at_us, body = document.newest(texts, KIND, self.node)
        age = document.age_us(at_us, unix_us(), MOST_US)
        try:
            memory = _DECODE.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        written = now - age
        if not recall(self.brain, memory, written):
            raise ValueError("of other settings: classes or tenants differ")
        self.pending, self.pending_until = memory, now + LATE_US
        say("recalled", workers=len(memory.workers), age=age / 1e6)
        self.discovery.heard = lambda: self._lay(written)

    def _lay(self, written: int) -> None:
        """Lay over each executor that is listed by now; the rest waits a little for the next list."""
        numbers, workers = self.discovery.reader.numbers, self.brain.workers
        for name in [name for name in self.pending.workers if numbers.get(name) in workers]:
            recall_worker(workers[numbers[name]], self.pending.workers.pop(name), written)
        if not self.pending.workers or self.turn.now() > self.pending_until:
            self.discovery.heard = None

    def _keep(self, now: int) -> None:
        """The one chain of writings; a process that ends leaves the file to the one that replaces it."""
        if self.ending():
            return
        self.turn.deadlines.add(now + KEEP_US, self._keep)
        body = msgspec.json.encode(remember(self.brain, self.discovery.reader.names, now))
        try:
            self.kept.write(document.seal(KIND, self.node, unix_us(), body))
        except OSError as error:
            say("memory-unkept", reason=error)
