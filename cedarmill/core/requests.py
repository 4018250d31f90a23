"""What the dispatch owns: requests, their attempts and probes, and the final answers that they can get.

Times are whole microseconds of the node's monotonic clock.
"""

from dataclasses import dataclass
from typing import Any

from cedarmill.core.ports import ClientPort
from cedarmill.core.timers import Timer
from cedarmill.deadlines import propagation
from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import Outcome


@dataclass(slots=True)
class Served:
    """Final answer: an attempt succeeded; `result` is what its executor returned."""

    result: Any

    def give(self, client: ClientPort) -> None:
        """Hand it to the client."""
        client.served(self.result)


@dataclass(slots=True)
class Refused:
    """Final answer: nothing has run, a retry does no harm; 0: no advice when."""

    retry_after_us: int = 0

    def give(self, client: ClientPort) -> None:
        """Hand it to the client."""
        client.refused(self.retry_after_us)


@dataclass(slots=True)
class Failed:
    """Final answer: the request failed, its effect is not known."""

    def give(self, client: ClientPort) -> None:
        """Hand it to the client."""
        client.failed()


FinalAnswer = Served | Refused | Failed


class Request:
    """One request that the node has taken; `due` is when its answer is owed at the latest (us)."""

    __slots__ = ("answered", "attempts", "claim", "client", "due", "id", "payload", "probes", "spec", "timer")

    def __init__(
        self, number: int, client: ClientPort, payload: Any, spec: api.RequestClass, claim: propagation.Claim
    ) -> None:
        self.id, self.client, self.payload, self.spec = number, client, payload, spec
        self.claim, self.due = claim, claim.due
        self.attempts: list[Attempt] = []
        self.probes: list[Probe] = []  # asked for its sake, not yet answered
        self.answered = False
        self.timer: Timer | None = None  # fires when the answer is due

    @property
    def objective_due(self) -> int:
        """When its latency objective is missed (us)."""
        return self.due - self.spec.deadline_us + self.spec.aim_us

    @property
    def finished(self) -> bool:
        """Whether it is answered and no attempt of it is in flight."""
        return self.answered and all(attempt.outcome is not None for attempt in self.attempts)


class Attempt:
    """One attempt of a request; `exchange` belongs to the executor port."""

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
        self.written = False  # whether its last byte has left: only then may it run
        self.end_unobserved = True  # whether a cancel's effect at the executor is not seen; the port knows

    def within_repeat_window(self, arrives: int) -> bool:
        """Whether it arrives (us) before executors count a repeat of its request anew; keyed ones only."""
        request = self.request
        if request.spec.effect != api.Effect.KEYED:
            return True
        ran = [a for a in request.attempts if a is not self and a.outcome not in api.NEVER_RAN]
        return all(arrives < a.sent_at + request.spec.repeat_window_us for a in ran)


class Probe:
    """One probe, and the request that it is for, if any; `exchange` belongs to the executor port."""

    __slots__ = ("exchange", "executor", "request", "written")

    def __init__(self, executor: int, request: Request | None) -> None:
        self.executor, self.request = executor, request
        self.written = False
        self.exchange: Any = None
