"""The discovery watch as a state machine without I/O: when to connect, to call, to give up and to ask again.

`DiscoveryWatch.step(now, event)` returns the actions in order; TRANSITIONS names all that changes the state.
All times are whole microseconds.

A change of the list must be known CHANGE_KNOWN_WITHIN_US after discovery had it and could be reached,
whatever became of the calls. So the longest that a good call can take from a retry wait on, which is
LONGEST_RETRY_US + CONNECT_TIMEOUT_US + CALL_TIMEOUT_US, stays below it, and a wait that follows a call which
hung is shorter by the time that the call took.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

CHANGE_KNOWN_WITHIN_US = 6_000_000
CONNECT_TIMEOUT_US = 600_000
CALL_TIMEOUT_US = 3_100_000  # till the answer begins: discovery itself gives a call up after 3 s in its queue
LONGEST_RETRY_US = 2_000_000  # the longest wait after a failure
SHORTEST_RETRY_US = 250_000  # the shortest, where many processes share one discovery service
AGENT_SHORTEST_RETRY_US = 100_000  # the shortest, where an agent of this machine's own pushes the list
AGENT_LONGEST_RETRY_US = 400_000
SILENCE_TIMEOUT_US = 3_000_000  # without a byte: an empty line comes every 2 s
LIST_TIMEOUT_US = 3_000_000  # for a list that has begun to come to its end
NEXT_CALL_RESERVE_US = 800_000  # kept back of CHANGE_KNOWN_WITHIN_US for the next call, after one that hung
NEW_ADDRESS_SPREAD_US = 1_000_000  # over which all ask a new address, which counts as heard after 4 s
SPREAD_PER_PROCESS_US = 50_000  # for each process of the fleet: the span over which all ask


class WatchState(Enum):
    """What the watch is doing."""

    IDLE = auto()  # not asked for yet
    WAITING = auto()  # to ask again
    CONNECTING = auto()
    CALLING = auto()  # the call is written, nothing of the answer has come
    WATCHING = auto()  # the answer has begun


class WatchEvent(Enum):
    """What can happen to it."""

    LIST_WANTED = auto()
    ADDRESS_CHANGED = auto()  # discovery is elsewhere now
    CONNECTED = auto()
    DATA_RECEIVED = auto()  # bytes have come, and no list is left half
    PARTIAL_LIST_RECEIVED = auto()  # bytes have come, the last of them belong to a list that is not whole yet
    CALL_FAILED = auto()  # refused, reset, ended, an error status, or an answer that cannot be read
    TIMER_FIRED = auto()  # the deadline has passed


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to discovery; `requested`: the list was wanted, no watch was lost."""

    requested: bool = False


@dataclass(frozen=True, slots=True)
class SendCall:
    """Write the call for changes on the connection that is up."""


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, or give up opening it."""


@dataclass(frozen=True, slots=True)
class ReportLoss:
    """Tell that the watch is lost, and how it ended where the time was up."""

    reason: str = ""


Action = Connect | SendCall | CloseConnection | ReportLoss


class DiscoveryWatch:
    """One process's watch; `deadline` is when WatchEvent.TIMER_FIRED has to come, None for never."""

    def __init__(self, processes: int, pushed: bool, random: Random) -> None:
        self.state = WatchState.IDLE
        self.deadline: int | None = None
        self.failures = 0  # in a row, since a list came
        self._span = SPREAD_PER_PROCESS_US * processes
        self._pushed = pushed
        self._random = random
        self._since = 0  # the call began, or the watch last brought a byte
        self._part_since: int | None = None  # the list that is not whole yet began to come

    def step(self, now: int, event: WatchEvent) -> list[Action]:
        """Take one event at its time and return the actions in order."""
        handler = TRANSITIONS.get((self.state, event))
        return handler(self, now) if handler else []

    def list_received(self) -> None:
        """A whole list has come: the next failure is the first one."""
        self.failures = 0

    def _connect(self, now: int) -> list[Action]:
        self.state = WatchState.CONNECTING
        self._since, self.deadline = now, now + CONNECT_TIMEOUT_US
        return [Connect()]

    def _connect_first(self, now: int) -> list[Action]:
        self._connect(now)
        return [Connect(requested=True)]

    def _call(self, now: int) -> list[Action]:
        self.state, self.deadline = WatchState.CALLING, now + CALL_TIMEOUT_US
        return [SendCall()]

    def _data_received(self, now: int) -> list[Action]:
        self.state, self._part_since = WatchState.WATCHING, None
        self._since, self.deadline = now, now + SILENCE_TIMEOUT_US
        return []

    def _partial_list_received(self, now: int) -> list[Action]:
        self.state = WatchState.WATCHING
        if self._part_since is None:
            self._part_since = now
        self._since = now
        self.deadline = min(now + SILENCE_TIMEOUT_US, self._part_since + LIST_TIMEOUT_US)
        return []

    def _no_connection(self, now: int) -> list[Action]:
        return self._fail(now, "no connection")

    def _fall_silent(self, now: int) -> list[Action]:
        return self._fail(now, "silence")

    def _fail(self, now: int, reason: str = "") -> list[Action]:
        self.failures += 1
        self._wait(now, self._retry_wait(now))
        return [CloseConnection(), ReportLoss(reason)]

    def _move(self, now: int) -> list[Action]:
        connected = self.state not in (WatchState.IDLE, WatchState.WAITING)
        self.failures = 0
        self._wait(now, 0 if self._pushed else self._random_wait(min(self._span, NEW_ADDRESS_SPREAD_US)))
        return [CloseConnection()] if connected else []

    def _wait(self, now: int, wait: int) -> None:
        self.state, self._part_since = WatchState.WAITING, None
        self.deadline = now + wait

    def _retry_wait(self, now: int) -> int:
        """By chance within a span that doubles: the watches of all processes are lost at once."""
        if self._pushed:
            least, most, span = AGENT_SHORTEST_RETRY_US, AGENT_LONGEST_RETRY_US, AGENT_SHORTEST_RETRY_US
        else:
            least, most, span = SHORTEST_RETRY_US, LONGEST_RETRY_US, self._span
        doubled = min(self.failures, LONGEST_RETRY_US.bit_length())
        hung = now - self._since
        most = max(least, min(most, CHANGE_KNOWN_WITHIN_US - NEXT_CALL_RESERVE_US - hung))
        return least + self._random_wait(min(span * 2**doubled, most - least))

    def _random_wait(self, span: int) -> int:
        return int(self._random.random() * span)


# What is not named changes nothing: a wait paces the calls, whoever else asks.
TRANSITIONS: dict[tuple[WatchState, WatchEvent], Callable[[DiscoveryWatch, int], list[Action]]] = {
    (WatchState.IDLE, WatchEvent.LIST_WANTED): DiscoveryWatch._connect_first,
    (WatchState.WAITING, WatchEvent.TIMER_FIRED): DiscoveryWatch._connect,
    (WatchState.CONNECTING, WatchEvent.CONNECTED): DiscoveryWatch._call,
    (WatchState.CONNECTING, WatchEvent.CALL_FAILED): DiscoveryWatch._fail,
    (WatchState.CONNECTING, WatchEvent.TIMER_FIRED): DiscoveryWatch._no_connection,
    (WatchState.CALLING, WatchEvent.DATA_RECEIVED): DiscoveryWatch._data_received,
    (WatchState.CALLING, WatchEvent.PARTIAL_LIST_RECEIVED): DiscoveryWatch._partial_list_received,
    (WatchState.CALLING, WatchEvent.CALL_FAILED): DiscoveryWatch._fail,
    (WatchState.CALLING, WatchEvent.TIMER_FIRED): DiscoveryWatch._fall_silent,
    (WatchState.WATCHING, WatchEvent.DATA_RECEIVED): DiscoveryWatch._data_received,
    (WatchState.WATCHING, WatchEvent.PARTIAL_LIST_RECEIVED): DiscoveryWatch._partial_list_received,
    (WatchState.WATCHING, WatchEvent.CALL_FAILED): DiscoveryWatch._fail,
    (WatchState.WATCHING, WatchEvent.TIMER_FIRED): DiscoveryWatch._fall_silent,
    (WatchState.IDLE, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._move,
    (WatchState.WAITING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._move,
    (WatchState.CONNECTING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._move,
    (WatchState.CALLING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._move,
    (WatchState.WATCHING, WatchEvent.ADDRESS_CHANGED): DiscoveryWatch._move,
}
