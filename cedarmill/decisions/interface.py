"""Interface of the balancer: its settings, the events it handles and the actions it returns.

Times are whole microseconds. A load report is a tuple of floats in the order of `Settings.report_fields`, or
None if there is none. The balancer reads only the fields free_slots, free_memory, errors_per_s and queue.
"""

from dataclasses import dataclass
from enum import IntEnum

from cedarmill.decisions.outcomes import NEVER_RAN as NEVER_RAN
from cedarmill.decisions.outcomes import REJECTIONS as REJECTIONS
from cedarmill.decisions.outcomes import Outcome as Outcome
from cedarmill.decisions.settings_types import DeduplicationScope as DeduplicationScope
from cedarmill.decisions.settings_types import Effect as Effect
from cedarmill.decisions.settings_types import RequestClass as RequestClass
from cedarmill.decisions.settings_types import Settings as Settings
from cedarmill.decisions.settings_types import Tenant as Tenant

LoadReport = tuple[float, ...]
UNLIMITED_ATTEMPTS = 1 << 30


class ExecutorState(IntEnum):
    """State of an executor in the endpoint list."""

    DRAINING = 1
    READY = 2
    GONE = 3


class EndpointListKind(IntEnum):
    """Kind of an endpoint list message; FAILED has no entries and leaves the previous list in force."""

    FAILED = 0
    FULL = 2
    DELTA = 3
    CACHED = 4


# Events.


@dataclass(slots=True)
class EndpointEntry:
    """Entry of the endpoint list; `started_at` 0 means long ago, `size` is relative to other executors.

    `is_reinstated` marks an executor that operators have just reinstated and expect to receive requests.
    """

    executor: int
    state: ExecutorState
    zone: int = 0
    cell: int = 0
    started_at: int = 0
    size: float = 1.0
    kind: int = 0
    is_reinstated: bool = False


@dataclass(slots=True)
class EndpointList:
    """Full endpoint list or its changes; an executor that is missing from a full list is gone."""

    kind: EndpointListKind
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """A request to serve, refuse or fail within `time_left_us`; `hint_us` 0 means no hint.

    `allowed_zones`: where the request may run; empty means all zones. A `retry_after_factor` above 0 means
    that the cluster sheds this priority: it is refused, with a Retry-After of so many times its slack.
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
    allowed_zones: tuple[int, ...] = ()
    retry_after_factor: float = 0.0


@dataclass(slots=True)
class RequestWithdrawn:
    """The client has disconnected and expects no answer."""

    request: int


@dataclass(slots=True)
class AttemptStarted:
    """An executor has started to run an attempt."""

    request: int
    attempt: int
    executor: int


@dataclass(slots=True)
class AttemptProgress:
    """Completed share of a running attempt."""

    request: int
    attempt: int
    executor: int
    done: float


@dataclass(slots=True)
class StreamStarted:
    """The response has begun; the attempt has no deadline and can no longer be preempted."""

    request: int
    attempt: int
    executor: int


@dataclass(slots=True)
class AttemptEnded:
    """The only outcome of an attempt; `final` means that the request is finished.

    `max_attempts` is the total that the request may have; the cluster may forbid further attempts.
    """

    request: int
    attempt: int
    executor: int
    outcome: Outcome
    final: bool
    report: LoadReport | None = None
    max_attempts: int = UNLIMITED_ATTEMPTS


@dataclass(slots=True)
class ProbeEnded:
    """Result of a probe, or the observation of an executor by another balancer `age` microseconds ago."""

    executor: int
    outcome: Outcome
    report: LoadReport | None = None
    age: int = 0


@dataclass(slots=True)
class TimerFired:
    """A timer has expired; the balancer ignores unknown tokens."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer; this implementation ignores it."""

    sender: int
    data: bytes


@dataclass(slots=True)
class SiblingLoad:
    """Slots and memory that the sibling process of the same node uses at an executor during an upgrade."""

    executor: int
    slots: float
    memory: float


@dataclass(slots=True)
class ZoneShares:
    """Share of requests for each zone, by `allowed_zones`; without a row the balancer chooses freely."""

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
    """Send the next attempt of a request; attempts are numbered from 0 and have no time-out of their own."""

    request: int
    executor: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, and a retry is harmless; `retry_after_us` is 0 without a Retry-After."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed and its effect is unknown."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired event after `delay_us`."""

    token: int
    delay_us: int


@dataclass(slots=True)
class Probe:
    """Probe an executor for its health and load report; `request` is the waiting request, or 0."""

    executor: int
    request: int = 0


@dataclass(slots=True)
class Subscribe:
    """Request future changes of the endpoint list."""


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | Subscribe
