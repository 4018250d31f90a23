"""Events and actions of `Verdicts` and `ProbeBudget`.

Executors are identified by their numbers in the endpoint list. All times are in microseconds on the caller's
clock.
"""

from dataclasses import dataclass

from cedarmill.health.codecs.agent import AgentReply

# Events of both classes.


@dataclass(slots=True)
class ExecutorRemoved:
    """An executor was removed from the endpoint list."""

    executor: int


@dataclass(slots=True)
class TimeAdvanced:
    """Time has passed without another event."""


# Events of `Verdicts`.


@dataclass(slots=True)
class ExecutorListed:
    """An executor was added to the endpoint list."""

    executor: int


@dataclass(slots=True)
class CheckEnded:
    """A health check of an executor ended."""

    executor: int
    passed: bool


@dataclass(slots=True)
class AgentReplied:
    """An executor's agent replied."""

    executor: int
    reply: AgentReply


@dataclass(slots=True)
class AttemptEnded:
    """An attempt at an executor was answered, or failed by a time-out, a reset or no connection."""

    executor: int
    answered: bool


VerdictEvent = ExecutorListed | ExecutorRemoved | CheckEnded | AgentReplied | AttemptEnded | TimeAdvanced


# Events of `ProbeBudget`.


@dataclass(slots=True)
class ProbeRequested:
    """A source requests a probe of an executor unless the last evidence is at most `max_age_us` old."""

    executor: int
    source: str
    max_age_us: int


@dataclass(slots=True)
class EvidenceReceived:
    """Traffic or a probe showed the health of an executor, which answers all waiting sources."""

    executor: int
    from_probe: bool = False


@dataclass(slots=True)
class ProbeFailed:
    """A probe ended without an answer; the waiting sources must request it again."""

    executor: int


ProbeEvent = ProbeRequested | EvidenceReceived | ProbeFailed | ExecutorRemoved | TimeAdvanced


# Actions.


@dataclass(slots=True)
class WakeAt:
    """Call `step` again at this time, even without another event."""

    at_us: int


@dataclass(slots=True, frozen=True)
class VerdictChanged:
    """Whether an executor may get new requests, and with which weight (1.0 is its full weight)."""

    executor: int
    is_eligible: bool
    weight: float
    reason: str


VerdictAction = VerdictChanged | WakeAt


@dataclass(slots=True)
class SendProbe:
    """Send one probe on behalf of these sources."""

    executor: int
    sources: tuple[str, ...]


ProbeAction = SendProbe | WakeAt
