"""The balancer's interface: settings at its start, events in, actions out.

Times are whole microseconds. A load report is a tuple of floats in the order of `Settings.report_fields`;
None means that no report came. The balancer reads the fields free_slots, free_memory, errors_per_s and
queue; others are passed over.
"""

from dataclasses import dataclass
from enum import IntEnum

from cedarmill.decisions.settings_types import DeduplicationScope as DeduplicationScope
from cedarmill.decisions.settings_types import Effect as Effect
from cedarmill.decisions.settings_types import RequestClass as RequestClass
from cedarmill.decisions.settings_types import Settings as Settings
from cedarmill.decisions.settings_types import Tenant as Tenant

LoadReport = tuple[float, ...]


class Outcome(IntEnum):
    """How an attempt ended; those of NEVER_RAN prove that it never ran."""

    OK = 10
    ERROR = 20  # the executor ran it, and it failed
    FULL = 30  # the executor turned it away
    TIMEOUT = 40
    CONNECT_FAILED = 50
    DROPPED = 55  # a connection that came up, and broke before the whole request had left
    RESET = 60  # a connection that broke after it
    CANCELLED = 70
    MOOT = 80  # given up before it was sent
    UNUSABLE = 90  # blames the request, not the executor: no other would take it


UNLIMITED_ATTEMPTS = 1 << 30
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DROPPED, Outcome.MOOT))


class ExecutorState(IntEnum):
    """What the endpoint list says of an executor."""

    DRAINING = 1
    READY = 2
    GONE = 3


class EndpointListKind(IntEnum):
    """What an endpoint list message is; FAILED carries no entries, the old list still holds."""

    FAILED = 0
    FULL = 2
    DELTA = 3
    CACHED = 4


# Events.


@dataclass(slots=True)
class EndpointEntry:
    """One line of the endpoint list; `started_at` 0 means long ago, `size` compares executors.

    `by_hand`: operators have just put it back, and will look whether it serves.
    """

    executor: int
    state: ExecutorState
    zone: int = 0
    cell: int = 0
    started_at: int = 0
    size: float = 1.0
    kind: int = 0
    by_hand: bool = False


@dataclass(slots=True)
class EndpointList:
    """The endpoint list or what changed in it; an executor that a whole list does not name has gone."""

    kind: EndpointListKind
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """A request to be served, refused or failed within `time_left_us`; `hint_us` 0: no hint.

    `homes` are the zones in which it may run, none: all. Where the cluster admits nothing of its priority
    now, `cut` is above 0: so many times its slack later may its client come back.
    """

    request: int
    job_class: int
    time_left_us: int
    slots: float = 1.0
    memory: float = 0.0
    hint_us: int = 0
    tenant: int = 0
    key: int = 0
    repeated: bool = False
    homes: tuple[int, ...] = ()
    cut: float = 0.0


@dataclass(slots=True)
class RequestWithdrawn:
    """The client left; nothing is owed any longer."""

    request: int


@dataclass(slots=True)
class AttemptStarted:
    """The executor began to run an attempt."""

    request: int
    attempt: int
    executor: int


@dataclass(slots=True)
class AttemptProgress:
    """Share done of an attempt that runs."""

    request: int
    attempt: int
    executor: int
    done: float


@dataclass(slots=True)
class StreamStarted:
    """The answer has begun; the attempt belongs to the client and has no deadline now."""

    request: int
    attempt: int
    executor: int


@dataclass(slots=True)
class AttemptEnded:
    """The one outcome of an attempt; `final` says that the request is finished.

    `tries` are the attempts in all that the request may still have: a cluster may say no to more.
    """

    request: int
    attempt: int
    executor: int
    outcome: Outcome
    final: bool
    report: LoadReport | None = None
    tries: int = UNLIMITED_ATTEMPTS


@dataclass(slots=True)
class ProbeEnded:
    """The result of one probe, or what another balancer was told of an executor `age` us ago."""

    executor: int
    outcome: Outcome
    report: LoadReport | None = None
    age: int = 0


@dataclass(slots=True)
class TimerFired:
    """A timer came due; tokens that the balancer does not know are ignored."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message of another balancer; this one shares nothing and ignores it."""

    sender: int
    data: bytes


@dataclass(slots=True)
class SiblingLoad:
    """Slots and memory that the sibling process of the same node holds at an executor, during an upgrade."""

    executor: int
    slots: float
    memory: float


@dataclass(slots=True)
class ZoneShares:
    """Which part of requests is to run in each zone, by their `homes`; none: as the balancer sees fit."""

    rows: dict[tuple[int, ...], dict[int, float]]


Event = (
    EndpointList
    | RequestArrived
    | RequestWithdrawn
    | AttemptStarted
    | AttemptProgress
    | StreamStarted
    | AttemptEnded
    | ProbeEnded
    | TimerFired
    | PeerMessage
    | SiblingLoad
    | ZoneShares
)


# Actions.


@dataclass(slots=True)
class Send:
    """Start the request's next attempt (numbered from 0 in order of sending); no own time-out."""

    request: int
    executor: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: a retry does no harm. `retry_after_us` 0: no advice."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, effect unknown."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired after `delay_us`."""

    token: int
    delay_us: int


@dataclass(slots=True)
class Probe:
    """Ask an executor for a sign of life and its load report, for the sake of a request (0: of none)."""

    executor: int
    request: int = 0


@dataclass(slots=True)
class Subscribe:
    """Ask for the changes of the endpoint list from now on."""


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Subscribe
