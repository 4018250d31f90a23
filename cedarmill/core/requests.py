"""Requests, their attempts and probes, and their possible final answers.

Times are whole microseconds of the node's monotonic clock.
"""

from dataclasses import dataclass
from typing import Any

from cedarmill.core.ports import ClientPort
from cedarmill.core.timers import SingleTimer
from cedarmill.deadlines import propagation
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome


@dataclass(slots=True)
class Served:
    """Final answer of a request that succeeded; `result` is the executor's result."""

    result: Any

    def deliver_to(self, client: ClientPort) -> None:
        """Send the answer to the client."""
        client.send_result(self.result)


@dataclass(slots=True)
class Refused:
    """Final answer of a request that never ran and may be retried; 0 suggests no retry time."""

    retry_after_us: int = 0

    def deliver_to(self, client: ClientPort) -> None:
        """Send the answer to the client."""
        client.send_refusal(self.retry_after_us)


@dataclass(slots=True)
class Failed:
    """Final answer of a request that failed with unknown effect."""

    def deliver_to(self, client: ClientPort) -> None:
        """Send the answer to the client."""
        client.send_failure()


FinalAnswer = Served | Refused | Failed


class Request:
    """A request that the node has accepted; `due` is its deadline (us).

    `payload` is the client's message, until the request is answered or its client has left.
    """

    __slots__ = ("answered", "attempts", "claim", "client", "due", "id", "payload", "probes", "spec", "timer")

    def __init__(
        self,
        number: int,
        client: ClientPort,
        payload: Any,
        spec: api.RequestClass,
        claim: propagation.Claim,
        timer: SingleTimer,
    ) -> None:
        self.id, self.client, self.payload, self.spec = number, client, payload, spec
        self.claim, self.due = claim, claim.due
        self.attempts: list[Attempt] = []
        self.probes: list[Probe] = []  # unanswered probes sent for this request
        self.answered = False
        self.timer = timer  # fires at the deadline

    @property
    def objective_due(self) -> int:
        """Return the time (us) after which the request misses its latency objective."""
        return self.due - self.spec.deadline_us + self.spec.aim_us

    @property
    def is_finished(self) -> bool:
        """Return whether the request is answered and none of its attempts is in flight."""
        return self.answered and all(attempt.outcome is not None for attempt in self.attempts)


class Attempt:
    """One attempt of a request; the executor port keeps its own state in `exchange`."""

    __slots__ = (
        "end_unobserved",
        "exchange",
        "executor",
        "number",
        "outcome",
        "request",
        "sent_at",
        "written",
    )

    def __init__(self, request: Request, number: int, executor: int, now: int) -> None:
        self.request, self.number, self.executor, self.sent_at = request, number, executor, now
        self.outcome: Outcome | None = None
        self.exchange: Any = None
        self.written = False  # whether its last byte was written; the executor cannot run it before
        self.end_unobserved = True  # whether its end after a cancel cannot be observed; set by the port

    def arrives_within_repeat_window(self, arrives_at: int) -> bool:
        """Return whether executors still deduplicate the attempt if it arrives at this time (us).

        Only keyed requests have such a window; for others the result is True.
        """
        request = self.request
        if request.spec.effect != api.Effect.KEYED:
            return True
        ran = [a for a in request.attempts if a is not self and a.outcome not in api.NEVER_RAN]
        return all(arrives_at < a.sent_at + request.spec.repeat_window_us for a in ran)


class Probe:
    """A probe, and the request it was sent for, if any; the executor port keeps its state in `exchange`."""

    __slots__ = ("exchange", "executor", "request", "written")

    def __init__(self, executor: int, request: Request | None) -> None:
        self.executor, self.request = executor, request
        self.written = False
        self.exchange: Any = None
