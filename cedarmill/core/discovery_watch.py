"""State machine without I/O for the discovery watch: connecting, calling, time-outs and retries.

`DiscoveryWatch.step(now, event)` returns the actions in order, and TRANSITIONS lists all handled events. All
times are whole microseconds.

A change of the endpoint list must arrive within MAX_CHANGE_DELAY_US of the time when discovery had the change
and was reachable, even after failed calls. Therefore the longest time that a retry and a successful call can
take, MAX_RETRY_US + CONNECT_TIMEOUT_US + CALL_TIMEOUT_US, stays below that limit, and the wait after a
call that hung is shortened by the time that the call took.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

MAX_CHANGE_DELAY_US = 6_000_000
CONNECT_TIMEOUT_US = 600_000
CALL_TIMEOUT_US = 3_100_000  # until the answer begins; discovery drops calls after 3 s in its queue
MAX_RETRY_US = 2_000_000
MIN_RETRY_US = 250_000  # for a discovery service that many processes share
AGENT_MIN_RETRY_US = 100_000  # for an agent on the same machine that pushes the list
AGENT_MAX_RETRY_US = 400_000
SILENCE_TIMEOUT_US = 3_000_000  # without a byte; discovery sends an empty line every 2 s
LIST_TIMEOUT_US = 3_000_000  # from the beginning of a list to its end
NEXT_CALL_RESERVE_US = 800_000  # share of MAX_CHANGE_DELAY_US reserved for the call after one that hung
NEW_ADDRESS_JITTER_US = 1_000_000  # maximum delay before calling a new address, which must respond within 4 s
JITTER_PER_PROCESS_US = 50_000  # retry jitter for each process that shares the discovery service


class WatchState(Enum):
    """State of the watch."""

    IDLE = auto()  # not started
    WAITING = auto()  # waiting to connect again
    CONNECTING = auto()
    CALLING = auto()  # the call was written and no byte of the answer has arrived
    WATCHING = auto()  # the answer has begun


class WatchEvent(Enum):
    """Event that the adapter reports to the watch."""

    LIST_WANTED = auto()
    ADDRESS_CHANGED = auto()  # the configuration names a new discovery address
    CONNECTED = auto()
    DATA_RECEIVED = auto()  # bytes have arrived, and no list is incomplete
    PARTIAL_LIST_RECEIVED = auto()  # bytes have arrived, and the last list is incomplete
    CALL_FAILED = auto()  # refused, reset, ended, error status or malformed answer
    TIMER_FIRED = auto()  # the time `deadline` is reached


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to discovery; `requested` is true for the first one, after LIST_WANTED."""

    requested: bool = False


@dataclass(frozen=True, slots=True)
class SendCall:
    """Write the call for changes on the open connection."""


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, or stop opening it."""


@dataclass(frozen=True, slots=True)
class ReportLoss:
    """Report that the watch is lost, with a reason if it timed out."""

    reason: str = ""


Action = Connect | SendCall | CloseConnection | ReportLoss


class DiscoveryWatch:
    """Watch of one process; the adapter raises TIMER_FIRED at `deadline`, unless it is None."""

    def __init__(self, processes: int, pushed: bool, random: Random) -> None:
        self.state = WatchState.IDLE
        self.deadline: int | None = None
        self.failures = 0  # consecutive failures since the last list
        self._retry_jitter = JITTER_PER_PROCESS_US * processes
        self._is_pushed = pushed
        self._random = random
        self._last_activity_at = 0  # start of the call, or the last byte received
        self._partial_list_since: int | None = None  # start of the incomplete list

    def step(self, now: int, event: WatchEvent) -> list[Action]:
        """Handle an event and return the resulting actions in order."""
        handler = TRANSITIONS.get((self.state, event))
        return handler(self, now) if handler else []

    def list_received(self) -> None:
        """Reset the failure count after a complete list."""
        self.failures = 0

    def _connect(self, now: int) -> list[Action]:
        self.state = WatchState.CONNECTING
        self._last_activity_at, self.deadline = now, now + CONNECT_TIMEOUT_US
        return [Connect()]

    def _connect_first(self, now: int) -> list[Action]:
        self._connect(now)
        return [Connect(requested=True)]

    def _send_call(self, now: int) -> list[Action]:
        self.state, self.deadline = WatchState.CALLING, now + CALL_TIMEOUT_US
        return [SendCall()]

    def _data_received(self, now: int) -> list[Action]:
        self.state, self._partial_list_since = WatchState.WATCHING, None
        self._last_activity_at, self.deadline = now, now + SILENCE_TIMEOUT_US
        return []

    def _partial_list_received(self, now: int) -> list[Action]:
        self.state = WatchState.WATCHING
        if self._partial_list_since is None:
            self._partial_list_since = now
        self._last_activity_at = now
        self.deadline = min(now + SILENCE_TIMEOUT_US, self._partial_list_since + LIST_TIMEOUT_US)
        return []

    def _connect_timed_out(self, now: int) -> list[Action]:
        return self._fail(now, "no connection")

    def _silence_timed_out(self, now: int) -> list[Action]:
        return self._fail(now, "silence")

    def _fail(self, now: int, reason: str = "") -> list[Action]:
        self.failures += 1
        self._schedule_connect(now, self._retry_wait(now))
        return [CloseConnection(), ReportLoss(reason)]

    def _address_changed(self, now: int) -> list[Action]:
        connected = self.state not in (WatchState.IDLE, WatchState.WAITING)
        self.failures = 0
        self._schedule_connect(
            now, 0 if self._is_pushed else self._random_delay(min(self._retry_jitter, NEW_ADDRESS_JITTER_US))
        )
        return [CloseConnection()] if connected else []

    def _schedule_connect(self, now: int, delay: int) -> None:
        self.state, self._partial_list_since = WatchState.WAITING, None
        self.deadline = now + delay

    def _retry_wait(self, now: int) -> int:
        """Return a random wait with exponential backoff, because all processes lose their watches at once."""
        if self._is_pushed:
            shortest, longest, jitter = AGENT_MIN_RETRY_US, AGENT_MAX_RETRY_US, AGENT_MIN_RETRY_US
        else:
            shortest, longest, jitter = MIN_RETRY_US, MAX_RETRY_US, self._retry_jitter
        doublings = min(self.failures, MAX_RETRY_US.bit_length())
        inactive = now - self._last_activity_at
        longest = max(shortest, min(longest, MAX_CHANGE_DELAY_US - NEXT_CALL_RESERVE_US - inactive))
        return shortest + self._random_delay(min(jitter * 2**doublings, longest - shortest))

    def _random_delay(self, maximum: int) -> int:
        return int(self._random.random() * maximum)


# Events without an entry for the current state are ignored, so that a wait is not cut short by LIST_WANTED.
TRANSITIONS: dict[tuple[WatchState, WatchEvent], Callable[[DiscoveryWatch, int], list[Action]]] = {
    (WatchState.IDLE, WatchEvent.LIST_WANTED): DiscoveryWatch._connect_first,
    (WatchState.WAITING, WatchEvent.TIMER_FIRED): DiscoveryWatch._connect,
    (WatchState.CONNECTING, WatchEvent.CONNECTED): DiscoveryWatch._send_call,
    (WatchState.CONNECTING, WatchEvent.CALL_FAILED): DiscoveryWatch._fail,
    (WatchState.CONNECTING, WatchEvent.TIMER_FIRED): DiscoveryWatch._connect_timed_out,
    (WatchState.CALLING, WatchEvent.DATA_RECEIVED): DiscoveryWatch._data_received,
    (WatchState.CALLING, WatchEvent.PARTIAL_LIST_RECEIVED): DiscoveryWatch._partial_list_received,
    (WatchState.CALLING, WatchEvent.CALL_FAILED): DiscoveryWatch._fail,
    (WatchState.CALLING, WatchEvent.TIMER_FIRED): DiscoveryWatch._silence_timed_out,
    (WatchState.WATCHING, WatchEvent.DATA_RECEIVED): DiscoveryWatch._data_received,
    (WatchState.WATCHING, WatchEvent.PARTIAL_LIST_RECEIVED): DiscoveryWatch._partial_list_received,
    (WatchState.WATCHING, WatchEvent.CALL_FAILED): DiscoveryWatch._fail,
    (WatchState.WATCHING, WatchEvent.TIMER_FIRED): DiscoveryWatch._silence_timed_out,
    (WatchState.IDLE, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._address_changed,
    (WatchState.WAITING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._address_changed,
    (WatchState.CONNECTING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._address_changed,
    (WatchState.CALLING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._address_changed,
    (WatchState.WATCHING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._address_changed,
}
