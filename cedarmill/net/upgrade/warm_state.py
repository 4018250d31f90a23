"""Saves what the balancer learned where the node's next process finds it, and takes it up at the start.

Only where the platform holds the clients' socket: a second process can be started there next to the first.
"""

from collections.abc import Callable

import msgspec

from cedarmill.admin import sealed_document
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.snapshot import Snapshot, restore, restore_executor, take_snapshot
from cedarmill.log import log_event
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.discovery.endpoints import ExecutorStart
from cedarmill.net.loop import EventLoopDriver, clock_reading
from cedarmill.net.upgrade.state_file import InPlaceStateFile, state_file_path

KIND = "memory"
SAVE_INTERVAL_US = 500_000  # what a replaced process leaves is at most that old
MAX_AGE_US = 30_000_000  # an older document is not believed: executors may all be others by then
LISTING_GRACE_US = 3_000_000  # for the first lists to name the executors that the document tells of


class WarmState(Snapshot, omit_defaults=True):
    """What the balancer learned, and what this process knows of the executors' starts.

    The starts stand apart from the balancer's: a stamp of discovery that the next process reads by a wall
    clock stepped meanwhile would make an executor younger or older. Older programs pass over these fields.
    """

    starts: dict[str, tuple[int, int]] = {}  # discovery's stamp (Unix ms) and the start's age, by name
    list_age_us: int | None = None  # since discovery's list was last known to be the newest


_DECODER = msgspec.json.Decoder(WarmState)


class WarmStateSaver:
    """Writes the document again and again, and lays one found at the start over a new balancer."""

    def __init__(
        self,
        driver: EventLoopDriver,
        balancer: Balancer,
        discovery: DiscoveryClient,
        node: str,
        is_ending: Callable[[], bool],
    ) -> None:
        self.driver, self.balancer, self.discovery, self.node = driver, balancer, discovery, node
        self.is_ending = is_ending
        self.file = InPlaceStateFile(state_file_path(node, KIND))
        self.pending: Snapshot | None = None  # what still waits for its executors to be listed
        self.pending_until = 0

    def start(self) -> None:
        """Take up what the process before this one left; from then on save one's own."""
        now = self.driver.now()
        try:
            if texts := self.file.texts():
                self._take_up(texts, now)
        except (OSError, ValueError) as error:
            log_event("warm-state-unread", reason=error)
        self.driver.timers.add(now + SAVE_INTERVAL_US, self._save)

    def _take_up(self, texts: list[bytes], now: int) -> None:
        clock = clock_reading(now)
        written_at, body = sealed_document.unseal_newest(texts, KIND, self.node, clock)
        age = sealed_document.age_us(written_at, clock, MAX_AGE_US)
        try:
            state = _DECODER.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        written = now - age
        if not restore(self.balancer, state, written):
            raise ValueError("of other settings: classes or tenants differ")
        self.pending, self.pending_until = state, now + LISTING_GRACE_US
        log_event("warm-state-restored", executors=len(state.executors), age_s=age / 1e6)
        self.discovery.inherit(
            {name: ExecutorStart(stamp, written - ago) for name, (stamp, ago) in state.starts.items()},
            None if state.list_age_us is None else written - state.list_age_us,
        )
        self.discovery.on_change = lambda: self._restore_listed(written)

    def _restore_listed(self, written: int) -> None:
        """Lay over each executor that is listed by now; the rest waits a little for the next list."""
        numbers, executors = self.discovery.reader.numbers, self.balancer.executors
        pending = self.pending.executors if self.pending is not None else {}
        for name in [name for name in pending if numbers.get(name) in executors]:
            restore_executor(executors[numbers[name]], pending.pop(name), written)
        if not pending or self.driver.now() > self.pending_until:
            self.discovery.on_change = None

    def _save(self, now: int) -> None:
        """The one chain of writings; a process that ends leaves the file to the one that replaces it."""
        if self.is_ending():
            return
        self.driver.timers.add(now + SAVE_INTERVAL_US, self._save)
        try:
            self.file.write(sealed_document.seal(KIND, self.node, clock_reading(now), self._body(now)))
        except OSError as error:
            log_event("warm-state-not-saved", reason=error)

    def _body(self, now: int) -> bytes:
        discovery = self.discovery
        snapshot = take_snapshot(self.balancer, discovery.reader.names, now)
        listed = (discovery.reader.names[number] for number in discovery.entries)
        known = ((name, start) for name in listed if (start := discovery.reader.starts.get(name)))
        starts = {name: (start.since_ms, now - start.at_us) for name, start in known}
        list_age = None if discovery.current_at is None else now - discovery.current_at
        fields = {name: getattr(snapshot, name) for name in Snapshot.__struct_fields__}
        return msgspec.json.encode(WarmState(**fields, starts=starts, list_age_us=list_age))
