"""Events and actions of the two cores of this package: verdicts on executors, and the budget of probes.

Executors are numbered as in the endpoint list; all times are in microseconds, on the caller's clock.
"""

from dataclasses import dataclass

from cedarmill.health.codecs.agent import AgentReply

# Events of both cores.


@dataclass(slots=True)
class ExecutorRemoved:
    """An executor is on the endpoint list no longer."""

    executor: int


@dataclass(slots=True)
class TimeAdvanced:
    """Time has passed, and nothing else happened."""


# Events of the verdicts.


@dataclass(slots=True)
class ExecutorListed:
    """An executor is on the endpoint list."""

    executor: int


@dataclass(slots=True)
class CheckEnded:
    """A health check of an executor ended."""

    executor: int
    passed: bool


@dataclass(slots=True)
class AgentReplied:
    """The agent of an executor has replied."""

    executor: int
    reply: AgentReply


@dataclass(slots=True)
class AttemptEnded:
    """An attempt at an executor was answered, or lost: by a time-out, a reset, or no connection."""

    executor: int
    answered: bool


VerdictEvent = ExecutorListed | ExecutorRemoved | CheckEnded | AgentReplied | AttemptEnded | TimeAdvanced


# Events of the probe budget.


@dataclass(slots=True)
class ProbeRequested:
    """A source wants to know how an executor is; an answer of at most `max_age_us` serves it."""

    executor: int
    source: str
    max_age_us: int


@dataclass(slots=True)
class EvidenceReceived:
    """Traffic, or a probe, showed how an executor is; it answers all sources that wait."""

    executor: int
    from_probe: bool = False


@dataclass(slots=True)
class ProbeFailed:
    """A probe ended without an answer: the sources that waited for it have to ask again."""

    executor: int


ProbeEvent = ProbeRequested | EvidenceReceived | ProbeFailed | ExecutorRemoved | TimeAdvanced


# Actions.


@dataclass(slots=True)
class WakeAt:
    """Step again at this time, though nothing else happens."""

    at_us: int


@dataclass(slots=True, frozen=True)
class VerdictChanged:
    """Whether new requests may go to an executor, and at which part of its weight (1.0: all of it)."""

    executor: int
    wanted: bool
    weight: float
    reason: str


VerdictAction = VerdictChanged | WakeAt


@dataclass(slots=True)
class SendProbe:
    """Send one probe, on behalf of these sources."""

    executor: int
    sources: tuple[str, ...]


ProbeAction = SendProbe | WakeAt
