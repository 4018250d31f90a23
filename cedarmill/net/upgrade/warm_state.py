"""Keeps what the module learned where the node's next process finds it, and takes it up at the start.

Only where the platform holds the clients' socket: there a second process can be started beside this one.
"""

from collections.abc import Callable

import msgspec

from cedarmill.admin import sealed_document
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.snapshot import Snapshot, restore, restore_executor, take_snapshot
from cedarmill.log import log_event
from cedarmill.net.config import Start
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver, clock_reading
from cedarmill.net.upgrade.state_file import InPlaceStateFile, state_file_path

KIND = "memory"
KEEP_US = 500_000  # between two writings: a replaced process hands over news that are at most that old
MOST_US = 30_000_000  # an older document is not believed: in that time a fleet can be another one
LATE_US = 3_000_000  # for the first lists to name the executors that the document tells of


class _Kept(Snapshot, omit_defaults=True):
    """The module's memory, and what this process knows of the executors' starts.

    Kept apart from the module's: a stamp of discovery that the next process reads by a wall clock stepped
    meanwhile would make an executor younger or older. Older programs pass over these fields.
    """

    starts: dict[str, tuple[int, int]] = {}  # discovery's stamp (Unix ms) and the start's age, by name
    list_age_us: int | None = None  # since discovery's list was last known to be the newest


_DECODE = msgspec.json.Decoder(_Kept)


class WarmStateSaver:
    """Writes the document again and again, and lays one found at the start over a new brain."""

    def __init__(
        self,
        driver: EventLoopDriver,
        brain: Balancer,
        discovery: DiscoveryClient,
        node: str,
        ending: Callable[[], bool],
    ) -> None:
        self.driver, self.brain, self.discovery, self.node, self.ending = (
            driver,
            brain,
            discovery,
            node,
            ending,
        )
        self.kept = InPlaceStateFile(state_file_path(node, KIND))
        self.pending: Snapshot | None = None  # what of a document still waits for its executors to be listed
        self.pending_until = 0

    def start(self) -> None:
        """Take up what the process before this one left; from then on keep one's own."""
        now = self.driver.now()
        try:
            if texts := self.kept.texts():
                self._take_up(texts, now)
        except (OSError, ValueError) as error:
            log_event("warm-state-unread", reason=error)
        self.driver.timers.add(now + KEEP_US, self._keep)

    def _take_up(self, texts: list[bytes], now: int) -> None:
        here = clock_reading(now)
        written_at, body = sealed_document.unseal_newest(texts, KIND, self.node, here)
        age = sealed_document.age_us(written_at, here, MOST_US)
        try:
            memory = _DECODE.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        written = now - age
        if not restore(self.brain, memory, written):
            raise ValueError("of other settings: classes or tenants differ")
        self.pending, self.pending_until = memory, now + LATE_US
        log_event("warm-state-restored", executors=len(memory.executors), age_s=age / 1e6)
        self.discovery.inherit(
            {name: Start(stamp, written - ago) for name, (stamp, ago) in memory.starts.items()},
            None if memory.list_age_us is None else written - memory.list_age_us,
        )
        self.discovery.heard = lambda: self._lay(written)

    def _lay(self, written: int) -> None:
        """Lay over each executor that is listed by now; the rest waits a little for the next list."""
        numbers, workers = self.discovery.reader.numbers, self.brain.executors
        for name in [name for name in self.pending.executors if numbers.get(name) in workers]:
            restore_executor(workers[numbers[name]], self.pending.executors.pop(name), written)
        if not self.pending.executors or self.driver.now() > self.pending_until:
            self.discovery.heard = None

    def _keep(self, now: int) -> None:
        """The one chain of writings; a process that ends leaves the file to the one that replaces it."""
        if self.ending():
            return
        self.driver.timers.add(now + KEEP_US, self._keep)
        try:
            self.kept.write(sealed_document.seal(KIND, self.node, clock_reading(now), self._body(now)))
        except OSError as error:
            log_event("warm-state-not-saved", reason=error)

    def _body(self, now: int) -> bytes:
        discovery = self.discovery
        memory = take_snapshot(self.brain, discovery.reader.names, now)
        listed = (discovery.reader.names[number] for number in discovery.entries)
        known = ((name, start) for name in listed if (start := discovery.reader.starts.get(name)))
        starts = {name: (start.since_ms, now - start.at_us) for name, start in known}
        list_age = None if discovery.current_at is None else now - discovery.current_at
        fields = {name: getattr(memory, name) for name in Snapshot.__struct_fields__}
        return msgspec.json.encode(_Kept(**fields, starts=starts, list_age_us=list_age))
