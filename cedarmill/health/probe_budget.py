"""What probes may cost: a token bucket for each executor and one for the node, shared probes, spread times.

Pure: `ProbeBudget.step(now, event) -> actions`, all times in microseconds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cedarmill.health.events import (
    EvidenceReceived,
    ExecutorRemoved,
    ProbeAction,
    ProbeEvent,
    ProbeFailed,
    ProbeRequested,
    SendProbe,
    TimeAdvanced,
    WakeAt,
)

JITTER = 0.25  # of an interval, either way: a thousand executors listed at once must not be probed at once
EXECUTOR_BURST = 1.0  # probes of one executor that may follow each other at once
US_PER_S = 1e6


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come evenly up to a bound; one is taken for each probe."""

    per_s: float
    bound: float
    tokens: float = field(default=math.inf)
    counted_at: int = 0

    def ready_in(self, now: int) -> int:
        """Microseconds until a token is there."""
        gained = (now - self.counted_at) * self.per_s / US_PER_S
        self.tokens = min(self.bound, self.tokens + gained)
        self.counted_at = now
        return 0 if self.tokens >= 1 else math.ceil((1 - self.tokens) / self.per_s * US_PER_S)

    def take(self) -> None:
        """Take the token that `ready_in` showed."""
        self.tokens -= 1


@dataclass(slots=True)
class _ProbedExecutor:
    bucket: TokenBucket
    evidence_at: int = -1  # when traffic or a probe showed how it is; -1: never
    in_flight: bool = False  # a probe is on its way
    waiting: dict[str, None] = field(default_factory=dict)  # the sources that want one, in order


class ProbeBudget:
    """The probes of one node: which executor may be probed when.

    `sent`, `shared` and `spared` count probes sent, requests that joined a probe on its way, and requests
    that recent evidence answered.
    """

    def __init__(self, executor_per_s: float, node_per_s: float, burst: float, seed: int) -> None:
        self._executor_per_s = executor_per_s
        self._node = TokenBucket(node_per_s, burst)
        self._executors: dict[int, _ProbedExecutor] = {}
        self._queue: dict[int, None] = {}  # executors that wait for a token, in order
        self._random = Random(seed)
        self.sent = self.shared = self.spared = 0
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            ProbeRequested: self._on_requested,
            EvidenceReceived: self._on_evidence,
            ProbeFailed: self._on_failed,
            ExecutorRemoved: self._on_removed,
            TimeAdvanced: lambda now, event: None,
        }

    def step(self, now: int, event: ProbeEvent) -> list[ProbeAction]:
        """Take one event at its time and return what to do."""
        self._handlers[type(event)](now, event)
        return self._send_queued(now)

    def next_request_at(self, now: int, interval_us: int) -> int:
        """When a source that asks at intervals asks next: apart from all others."""
        return now + int(interval_us * (1 + JITTER * self._random.uniform(-1, 1)))

    def _executor(self, number: int) -> _ProbedExecutor:
        if (executor := self._executors.get(number)) is None:
            bucket = TokenBucket(self._executor_per_s, EXECUTOR_BURST)
            executor = self._executors[number] = _ProbedExecutor(bucket)
        return executor

    def _on_requested(self, now: int, event: ProbeRequested) -> None:
        executor = self._executor(event.executor)
        if executor.evidence_at >= 0 and now - executor.evidence_at <= event.max_age_us:
            self.spared += 1
            return
        if executor.in_flight or executor.waiting:
            self.shared += event.source not in executor.waiting
        executor.waiting[event.source] = None
        if not executor.in_flight:
            self._queue[event.executor] = None

    def _on_evidence(self, now: int, event: EvidenceReceived) -> None:
        executor = self._executor(event.executor)
        executor.evidence_at = now
        executor.in_flight = executor.in_flight and not event.from_probe
        if executor.waiting:
            self.spared += not event.from_probe and event.executor in self._queue
            executor.waiting.clear()
            self._queue.pop(event.executor, None)

    def _on_failed(self, now: int, event: ProbeFailed) -> None:
        executor = self._executor(event.executor)
        executor.in_flight = False
        executor.waiting.clear()

    def _on_removed(self, now: int, event: ExecutorRemoved) -> None:
        self._executors.pop(event.executor, None)
        self._queue.pop(event.executor, None)

    def _send_queued(self, now: int) -> list[ProbeAction]:
        """Send what has a token of its executor and of the node; ask to be woken when the next may go."""
        actions: list[ProbeAction] = []
        next_at = math.inf
        for number in list(self._queue):
            executor = self._executors[number]
            wait_us = max(executor.bucket.ready_in(now), self._node.ready_in(now))
            if wait_us:
                next_at = min(next_at, now + wait_us)
                if self._node.tokens < 1:
                    break
                continue
            executor.bucket.take()
            self._node.take()
            executor.in_flight = True
            self.sent += 1
            del self._queue[number]
            actions.append(SendProbe(number, tuple(executor.waiting)))
        return [*actions, WakeAt(int(next_at))] if next_at < math.inf else actions
