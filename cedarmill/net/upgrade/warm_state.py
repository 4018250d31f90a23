"""Saves what the balancer has learned, and restores it in the node's next process.

The node uses it only where the platform holds the clients' listening socket: only then can a second process
start while the first still runs.
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

DOCUMENT_KIND = "memory"
SAVE_INTERVAL_US = 500_000  # what a replaced process leaves is at most this old
MAX_AGE_US = 30_000_000  # an older document is ignored: its executors may have been replaced since
LISTING_GRACE_US = 3_000_000  # time for discovery to list the executors of a restored document


class WarmState(Snapshot, omit_defaults=True):
    """The balancer's snapshot, and the start times of the executors known to this process.

    Start times are stored separately from the snapshot, so that the next process need not convert
    discovery's stamps again: a wall clock stepped in between would change the executors' ages. Older
    programs ignore both fields.
    """

    starts: dict[str, tuple[int, int]] = {}  # by executor name: discovery's stamp (Unix ms), age (us)
    list_age_us: int | None = None  # since discovery's list was last known to be current


_DECODER = msgspec.json.Decoder(WarmState)


class WarmStateSaver:
    """Restores the last process's warm state at the start, then saves this process's periodically."""

    def __init__(
        self,
        driver: EventLoopDriver,
        balancer: Balancer,
        discovery: DiscoveryClient,
        node: str,
        is_draining: Callable[[], bool],
    ) -> None:
        self.driver, self.balancer, self.discovery, self.node = driver, balancer, discovery, node
        self.is_draining = is_draining
        self.file = InPlaceStateFile(state_file_path(node, DOCUMENT_KIND))
        self.pending_snapshot: Snapshot | None = None  # holds the executors that are not listed yet
        self.pending_until_us = 0

    def start(self) -> None:
        """Restore the last process's warm state if there is any, and schedule the first save."""
        now = self.driver.now()
        try:
            if halves := self.file.read_halves():
                self._restore(halves, now)
        except (OSError, ValueError) as error:
            log_event("warm-state-unread", reason=error)
        self.driver.timers.add(now + SAVE_INTERVAL_US, self._save)

    def _restore(self, halves: list[bytes], now: int) -> None:
        """Restore the newest valid document; raise ValueError if none is valid, recent and compatible."""
        clock = clock_reading(now)
        written_at, body = sealed_document.unseal_newest(halves, DOCUMENT_KIND, self.node, clock)
        age_us = sealed_document.age_us(written_at, clock, MAX_AGE_US)
        try:
            state = _DECODER.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        saved_us = now - age_us
        if not restore(self.balancer, state, saved_us):
            raise ValueError("saved with different settings: classes or tenants differ")
        self.pending_snapshot, self.pending_until_us = state, now + LISTING_GRACE_US
        log_event("warm-state-restored", executors=len(state.executors), age_s=age_us / 1e6)
        self.discovery.restore_starts(
            {
                name: ExecutorStart(since_ms, saved_us - start_age_us)
                for name, (since_ms, start_age_us) in state.starts.items()
            },
            None if state.list_age_us is None else saved_us - state.list_age_us,
        )
        self.discovery.on_list_change = lambda: self._restore_listed_executors(saved_us)

    def _restore_listed_executors(self, saved_us: int) -> None:
        """Restore each pending executor that is listed now; stop after the grace period."""
        numbers, executors = self.discovery.reader.numbers_by_name, self.balancer.executors
        pending = self.pending_snapshot.executors if self.pending_snapshot is not None else {}
        for name in [name for name in pending if numbers.get(name) in executors]:
            restore_executor(executors[numbers[name]], pending.pop(name), saved_us)
        if not pending or self.driver.now() > self.pending_until_us:
            self.discovery.on_list_change = None

    def _save(self, now: int) -> None:
        """Save the warm state and schedule the next save; while draining, leave the file to the successor."""
        if self.is_draining():
            return
        self.driver.timers.add(now + SAVE_INTERVAL_US, self._save)
        try:
            self.file.write(
                sealed_document.seal(DOCUMENT_KIND, self.node, clock_reading(now), self._encode_state(now))
            )
        except OSError as error:
            log_event("warm-state-not-saved", reason=error)

    def _encode_state(self, now: int) -> bytes:
        """Return the warm state at `now` as JSON."""
        discovery = self.discovery
        snapshot = take_snapshot(self.balancer, discovery.reader.names_by_number, now)
        listed_names = (discovery.reader.names_by_number[number] for number in discovery.entries)
        known_starts = (
            (name, start) for name in listed_names if (start := discovery.reader.starts.get(name))
        )
        starts = {name: (start.since_ms, now - start.started_at_us) for name, start in known_starts}
        list_age_us = None if discovery.list_current_at is None else now - discovery.list_current_at
        fields = {name: getattr(snapshot, name) for name in Snapshot.__struct_fields__}
        return msgspec.json.encode(WarmState(**fields, starts=starts, list_age_us=list_age_us))
