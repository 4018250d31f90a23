"""The discovery watch as a state machine without I/O: when to connect, to call, to give up and to ask again.

`ListWatch.step(now, event)` returns the actions in order; TRANSITIONS names all that changes the state. All
times are whole microseconds.

A change of the list counts as told TOLD_US after discovery had it and could be reached, whatever befell the
calls. So CONNECT_US + CALL_US + RETRY_US, the longest that a good call can take from a retry wait on, stays
below it, and a wait that follows a call which hung is shorter by the time that the call took.
"""

from dataclasses import dataclass
from enum import Enum, auto
from random import Random

TOLD_US = 6_000_000
CONNECT_US = 600_000
CALL_US = 3_100_000  # from the call to its answer: discovery itself gives a call up after 3 s in its queue
RETRY_US = 2_000_000  # the longest wait after a failure
RETRY_LEAST_US = 250_000  # the shortest, where many processes share one discovery service
AGENT_RETRY_US = 100_000  # the shortest, where an agent of this machine's own pushes the list
AGENT_RETRY_MOST_US = 400_000
SILENCE_US = 3_000_000  # without a byte: an empty line comes every 2 s
DOCUMENT_US = 3_000_000  # for a list that has begun to come to its end
SERVICE_US = 800_000  # kept back of TOLD_US for the next call, after one that hung
MOVED_US = 1_000_000  # over which all processes ask a new address, which counts as heard after 4 s
PART_US = 50_000  # for each process of the fleet: the span over which all ask


class State(Enum):
    """Where the watch stands."""

    IDLE = auto()  # not asked for yet
    WAITING = auto()  # to ask again
    CONNECTING = auto()
    CALLING = auto()  # the call is written, nothing of the answer has come
    WATCHING = auto()  # the answer has begun


class Event(Enum):
    """What can befall it."""

    ASKED = auto()  # the list is wanted
    MOVED = auto()  # discovery is elsewhere now
    CONNECTED = auto()
    HEARD = auto()  # bytes have come, and no list is left half
    HEARD_PART = auto()  # bytes have come, the last of them belong to a list that is not whole yet
    BROKEN = auto()  # refused, reset, ended, an error status, or an answer that cannot be read
    DUE = auto()  # the deadline has passed


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to discovery; `asked`: for who wanted the list, and not for a watch that was lost."""

    asked: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """Write the call for changes on the connection that is up."""


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection, or give up opening it."""


@dataclass(frozen=True, slots=True)
class Lost:
    """Tell that the watch is lost, and how it ended where the time was up."""

    reason: str = ""


Action = Connect | Call | Close | Lost

TRANSITIONS = {
    (State.IDLE, Event.ASKED): "_connect_first",
    (State.WAITING, Event.DUE): "_connect",
    (State.CONNECTING, Event.CONNECTED): "_call",
    (State.CONNECTING, Event.BROKEN): "_fail",
    (State.CONNECTING, Event.DUE): "_no_connection",
    (State.CALLING, Event.HEARD): "_heard",
    (State.CALLING, Event.HEARD_PART): "_heard_part",
    (State.CALLING, Event.BROKEN): "_fail",
    (State.CALLING, Event.DUE): "_silent",
    (State.WATCHING, Event.HEARD): "_heard",
    (State.WATCHING, Event.HEARD_PART): "_heard_part",
    (State.WATCHING, Event.BROKEN): "_fail",
    (State.WATCHING, Event.DUE): "_silent",
    (State.IDLE, Event.MOVED): "_move",
    (State.WAITING, Event.MOVED): "_move",
    (State.CONNECTING, Event.MOVED): "_move",
    (State.CALLING, Event.MOVED): "_move",
    (State.WATCHING, Event.MOVED): "_move",
}  # what is not named changes nothing: a wait paces the calls, whoever else asks


class ListWatch:
    """One process's watch; `deadline` is when Event.DUE has to come, None for never."""

    def __init__(self, processes: int, pushed: bool, random: Random) -> None:
        self.state = State.IDLE
        self.deadline: int | None = None
        self.failures = 0  # in a row, since a list came
        self._span = PART_US * processes
        self._pushed = pushed
        self._random = random
        self._since = 0  # the call began, or the watch last brought a byte
        self._part_since: int | None = None  # the list that is not whole yet began to come

    def step(self, now: int, event: Event) -> list[Action]:
        """Take one event at its time and return the actions in order."""
        handler = TRANSITIONS.get((self.state, event))
        return getattr(self, handler)(now) if handler else []

    def listed(self) -> None:
        """A whole list has come: the next failure is the first one."""
        self.failures = 0

    def _connect(self, now: int) -> list[Action]:
        self.state = State.CONNECTING
        self._since, self.deadline = now, now + CONNECT_US
        return [Connect()]

    def _connect_first(self, now: int) -> list[Action]:
        self._connect(now)
        return [Connect(asked=True)]

    def _call(self, now: int) -> list[Action]:
        self.state, self.deadline = State.CALLING, now + CALL_US
        return [Call()]

    def _heard(self, now: int) -> list[Action]:
        self.state, self._part_since = State.WATCHING, None
        self._since, self.deadline = now, now + SILENCE_US
        return []

    def _heard_part(self, now: int) -> list[Action]:
        self.state = State.WATCHING
        if self._part_since is None:
            self._part_since = now
        self._since = now
        self.deadline = min(now + SILENCE_US, self._part_since + DOCUMENT_US)
        return []

    def _no_connection(self, now: int) -> list[Action]:
        return self._fail(now, "no connection")

    def _silent(self, now: int) -> list[Action]:
        return self._fail(now, "silence")

    def _fail(self, now: int, reason: str = "") -> list[Action]:
        self.failures += 1
        self._wait(now, self._retry_wait(now))
        return [Close(), Lost(reason)]

    def _move(self, now: int) -> list[Action]:
        closing = [] if self.state in (State.IDLE, State.WAITING) else [Close()]
        self.failures = 0
        self._wait(now, 0 if self._pushed else int(self._random.random() * min(self._span, MOVED_US)))
        return closing

    def _wait(self, now: int, wait: int) -> None:
        self.state, self._part_since = State.WAITING, None
        self.deadline = now + wait

    def _retry_wait(self, now: int) -> int:
        """By chance within a span that doubles: the watches of all processes are lost at once."""
        if self._pushed:
            least, most, span = AGENT_RETRY_US, AGENT_RETRY_MOST_US, AGENT_RETRY_US
        else:
            least, most, span = RETRY_LEAST_US, RETRY_US, self._span
        doubled = min(self.failures, RETRY_US.bit_length())
        hung = now - self._since
        most = max(least, min(most, TOLD_US - SERVICE_US - hung))
        return least + int(self._random.random() * min(span * 2**doubled, most - least))
