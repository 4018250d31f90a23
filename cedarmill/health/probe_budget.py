"""Rate limits of health probes: token buckets per executor and for the node, shared probes, and jitter.

`ProbeBudget.step(now, event) -> actions` does no I/O and reads no clock; all times are in microseconds.
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

JITTER_FRACTION = 0.25  # Of the interval; spreads the probes of executors listed at the same time.
EXECUTOR_BURST = 1.0  # Probes of one executor without a delay between them.
US_PER_S = 1e6


@dataclass(slots=True)
class TokenBucket:
    """Token bucket with a constant refill rate; each probe consumes one token."""

    tokens_per_s: float
    capacity: float
    tokens: float = field(default=math.inf)
    refilled_at: int = 0

    def refill_wait_us(self, now: int) -> int:
        """Refill the bucket and return the time until a token is available, in microseconds."""
        gained = (now - self.refilled_at) * self.tokens_per_s / US_PER_S
        self.tokens = min(self.capacity, self.tokens + gained)
        self.refilled_at = now
        return 0 if self.tokens >= 1 else math.ceil((1 - self.tokens) / self.tokens_per_s * US_PER_S)

    def consume(self) -> None:
        """Consume one available token."""
        self.tokens -= 1


@dataclass(slots=True)
class _ProbedExecutor:
    bucket: TokenBucket
    evidence_at: int = -1  # Time of the last evidence, -1 if there is none.
    in_flight: bool = False
    waiting_sources: dict[str, None] = field(default_factory=dict)  # In the order of their requests.


class ProbeBudget:
    """Schedules the probes of one node within its rate limits.

    `sent`, `shared` and `avoided` count probes sent, requests that joined a pending probe, and requests
    answered by recent evidence.
    """

    def __init__(self, executor_per_s: float, node_per_s: float, burst: float, seed: int) -> None:
        self._probes_per_s = executor_per_s
        self._node_bucket = TokenBucket(node_per_s, burst)
        self._executors: dict[int, _ProbedExecutor] = {}
        self._queue: dict[int, None] = {}  # Executors that wait for a token, oldest first.
        self._random = Random(seed)
        self.sent = self.shared = self.avoided = 0
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            ProbeRequested: self._on_requested,
            EvidenceReceived: self._on_evidence,
            ProbeFailed: self._on_failed,
            ExecutorRemoved: self._on_removed,
            TimeAdvanced: lambda now, event: None,
        }

    def step(self, now: int, event: ProbeEvent) -> list[ProbeAction]:
        """Process one event and return the resulting actions."""
        self._handlers[type(event)](now, event)
        return self._send_queued(now)

    def next_request_at(self, now: int, interval_us: int) -> int:
        """Return the time of a source's next periodic request, with jitter."""
        return now + int(interval_us * (1 + JITTER_FRACTION * self._random.uniform(-1, 1)))

    def _executor(self, number: int) -> _ProbedExecutor:
        if (executor := self._executors.get(number)) is None:
            bucket = TokenBucket(self._probes_per_s, EXECUTOR_BURST)
            executor = self._executors[number] = _ProbedExecutor(bucket)
        return executor

    def _on_requested(self, now: int, event: ProbeRequested) -> None:
        executor = self._executor(event.executor)
        if executor.evidence_at >= 0 and now - executor.evidence_at <= event.max_age_us:
            self.avoided += 1
            return
        if executor.in_flight or executor.waiting_sources:
            self.shared += event.source not in executor.waiting_sources
        executor.waiting_sources[event.source] = None
        if not executor.in_flight:
            self._queue[event.executor] = None

    def _on_evidence(self, now: int, event: EvidenceReceived) -> None:
        executor = self._executor(event.executor)
        executor.evidence_at = now
        executor.in_flight = executor.in_flight and not event.from_probe
        if executor.waiting_sources:
            self.avoided += not event.from_probe and event.executor in self._queue
            executor.waiting_sources.clear()
            self._queue.pop(event.executor, None)

    def _on_failed(self, now: int, event: ProbeFailed) -> None:
        executor = self._executor(event.executor)
        executor.in_flight = False
        executor.waiting_sources.clear()

    def _on_removed(self, now: int, event: ExecutorRemoved) -> None:
        self._executors.pop(event.executor, None)
        self._queue.pop(event.executor, None)

    def _send_queued(self, now: int) -> list[ProbeAction]:
        """Send the queued probes that have tokens; request a wake-up for the time of the next token."""
        actions: list[ProbeAction] = []
        next_at = math.inf
        for number in list(self._queue):
            executor = self._executors[number]
            wait_us = max(executor.bucket.refill_wait_us(now), self._node_bucket.refill_wait_us(now))
            if wait_us:
                next_at = min(next_at, now + wait_us)
                if self._node_bucket.tokens < 1:
                    break
                continue
            executor.bucket.consume()
            self._node_bucket.consume()
            executor.in_flight = True
            self.sent += 1
            del self._queue[number]
            actions.append(SendProbe(number, tuple(executor.waiting_sources)))
        return [*actions, WakeAt(int(next_at))] if next_at < math.inf else actions
