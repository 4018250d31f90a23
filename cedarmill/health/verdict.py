"""Eligibility of executors for new requests, by evidence from agents, attempts and health checks.

`Verdicts.step(now, event) -> actions` does no I/O; all times are in microseconds. Precedence, highest first:

1. An administrative state (`drain`, `maint`, weight 0) takes effect at once.
2. Attempts override checks: `losses_to_eject` consecutive lost attempts eject an executor whose checks pass,
   and a recent answer keeps an executor whose checks fail.
3. Checks and agents: `fall` consecutive failures mark an executor as down, `rise` successes as up.
4. Damping: an executor whose state changes often is suppressed until it is stable (`flap_damping.py`).
5. Panic mode: if fewer than `panic_fraction` of the enabled executors were left, all rules but the first are
   ignored: the evidence is then probably wrong, and the executors left would be overloaded.

After recovery an executor's weight grows over `slow_start_us` (slow start).
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

from cedarmill.health.codecs.agent import Admin, Status
from cedarmill.health.events import (
    AgentReplied,
    AttemptEnded,
    CheckEnded,
    ExecutorListed,
    ExecutorRemoved,
    TimeAdvanced,
    VerdictAction,
    VerdictChanged,
    VerdictEvent,
    WakeAt,
)
from cedarmill.health.flap_damping import DampingOptions, FlapDamping

MIN_WEIGHT = 0.1  # Gives a recovered executor some requests, which show its health.
MAX_EJECTION_DOUBLINGS = 4
SLOW_START_STEPS = 10  # Minimum number of weight updates during a slow start.
NEVER_US = -(10**18)


@dataclass(frozen=True, slots=True)
class VerdictOptions:
    """Thresholds and durations of the verdicts, with the equivalent HAProxy settings."""

    rise: int = 2  # Consecutive passed checks.
    fall: int = 3  # Consecutive failed checks.
    interval_us: int = 2_000_000  # HAProxy: inter.
    fast_interval_us: int = 500_000  # HAProxy: fastinter; used while results oppose the state.
    down_interval_us: int = 5_000_000  # HAProxy: downinter.
    slow_start_us: int = 8_900_000  # HAProxy: slowstart.
    losses_to_eject: int = 3  # HAProxy: error-limit. Consecutive lost attempts.
    ejection_us: int = 2_000_000  # First ejection; doubled up to MAX_EJECTION_DOUBLINGS times.
    answer_valid_us: int = 3_000_000  # How long an answered attempt overrides failed checks.
    damping: DampingOptions = field(default_factory=DampingOptions)
    panic_fraction: float = 0.5


class HealthState(IntEnum):
    """Health state of an executor according to checks and attempts."""

    UP = 0
    DOWN = 1  # Checks or the agent report a failure.
    EJECTED = 2  # Attempts were lost.


class _HealthAssessment(NamedTuple):
    is_healthy: bool
    reason: str


@dataclass(slots=True)
class _ExecutorRecord:
    damping: FlapDamping
    state: HealthState = HealthState.UP
    admin: Admin = Admin.READY
    weight: float = 1.0  # As set by the agent.
    opposing_checks: int = 0  # Consecutive check results that contradict the state.
    lost_attempts: int = 0  # Consecutive lost attempts.
    last_answer_at: int = NEVER_US
    probation_at: int = 0  # When an ejected executor may get a probation attempt.
    ejections: int = 0
    up_since: int = NEVER_US
    reported: tuple[bool, float] | None = None  # Last eligibility and weight reported.


class Verdicts:
    """Decides which executors of one node are eligible; `is_panicking` is set in panic mode."""

    def __init__(self, options: VerdictOptions) -> None:
        self.options = options
        self.is_panicking = False
        self._executors: dict[int, _ExecutorRecord] = {}
        self._time_dependent: dict[int, None] = {}  # Executors whose verdict changes with time.
        self._enabled: set[int] = set()  # Administratively ready.
        self._unhealthy: set[int] = set()  # Enabled but not healthy.
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            ExecutorListed: self._on_listed,
            ExecutorRemoved: self._on_removed,
            CheckEnded: self._on_check,
            AgentReplied: self._on_agent,
            AttemptEnded: self._on_attempt,
            TimeAdvanced: lambda now, event: None,
        }

    def step(self, now: int, event: VerdictEvent) -> list[VerdictAction]:
        """Process one event and return the resulting actions."""
        self._handlers[type(event)](now, event)
        if isinstance(event, TimeAdvanced):
            affected = set(self._time_dependent)
        else:
            affected = {event.executor} & self._executors.keys()
        for number in affected:
            self._apply_time(now, number)
        was_panicking, self.is_panicking = self.is_panicking, self._is_below_panic_threshold()
        if was_panicking != self.is_panicking:  # Panic mode changes the verdict on all of them.
            affected.update(self._unhealthy)
        actions: list[VerdictAction] = []
        for number in sorted(affected):
            actions += self._report_change(now, number)
        wakes = [self._next_change(now, number) for number in affected if number in self._time_dependent]
        return [*actions, WakeAt(min(wakes))] if wakes else actions

    def check_interval_us(self, number: int) -> int:
        """Return the time until an executor's next check, shorter while results oppose its state."""
        executor, options = self._executors[number], self.options
        if executor.opposing_checks:
            return options.fast_interval_us
        return options.interval_us if executor.state is HealthState.UP else options.down_interval_us

    def _on_listed(self, now: int, event: ExecutorListed) -> None:
        self._executors.setdefault(event.executor, _ExecutorRecord(FlapDamping(self.options.damping, now)))
        self._enabled.add(event.executor)

    def _on_removed(self, now: int, event: ExecutorRemoved) -> None:
        self._executors.pop(event.executor, None)
        self._time_dependent.pop(event.executor, None)
        self._enabled.discard(event.executor)
        self._unhealthy.discard(event.executor)

    def _on_check(self, now: int, event: CheckEnded) -> None:
        if (executor := self._executors.get(event.executor)) is None:
            return
        if executor.state is HealthState.EJECTED:
            return  # Only an answered attempt ends an ejection.
        is_opposing = event.passed is (executor.state is HealthState.DOWN)
        executor.opposing_checks = executor.opposing_checks + 1 if is_opposing else 0
        needed = self.options.rise if event.passed else self.options.fall
        if executor.opposing_checks >= needed:
            self._change_state(now, executor, HealthState.UP if event.passed else HealthState.DOWN)

    def _on_agent(self, now: int, event: AgentReplied) -> None:
        if (executor := self._executors.get(event.executor)) is None:
            return
        reply = event.reply
        executor.admin = reply.admin or executor.admin
        if executor.admin is Admin.READY:
            self._enabled.add(event.executor)
        else:
            self._enabled.discard(event.executor)
        if reply.weight is not None:
            executor.weight = reply.weight / 100
        if reply.status is not None and executor.state is not HealthState.EJECTED:
            # A single agent reply changes the state.
            state = HealthState.UP if reply.status is Status.UP else HealthState.DOWN
            if state is not executor.state:
                self._change_state(now, executor, state)

    def _on_attempt(self, now: int, event: AttemptEnded) -> None:
        if (executor := self._executors.get(event.executor)) is None:
            return
        if event.answered:
            executor.lost_attempts, executor.last_answer_at = 0, now
            if executor.state is HealthState.EJECTED:
                executor.ejections = 0
                self._change_state(now, executor, HealthState.UP)
            return
        executor.lost_attempts += 1
        executor.last_answer_at = min(executor.last_answer_at, now - self.options.answer_valid_us)
        was_ejected = executor.state is HealthState.EJECTED
        if executor.lost_attempts >= self.options.losses_to_eject or was_ejected:
            if not was_ejected:
                self._change_state(now, executor, HealthState.EJECTED)
            doublings = min(executor.ejections, MAX_EJECTION_DOUBLINGS)
            executor.probation_at = now + self.options.ejection_us * 2**doublings
            executor.ejections += 1

    def _change_state(self, now: int, executor: _ExecutorRecord, state: HealthState) -> None:
        """Set the executor's state and add the change to its flap damping."""
        executor.damping.add_change(now)
        executor.state, executor.opposing_checks = state, 0
        if state is HealthState.UP:
            executor.up_since = now

    def _apply_time(self, now: int, number: int) -> None:
        """Update everything that depends on time: damping, health and slow start."""
        executor = self._executors[number]
        if executor.damping.end_suppression(now):
            executor.up_since = now
        if self._health(now, executor).is_healthy or number not in self._enabled:
            self._unhealthy.discard(number)
        else:
            self._unhealthy.add(number)
        is_warming_up = now - executor.up_since < self.options.slow_start_us
        overrides_checks = self._has_recent_answer(now, executor) and executor.state is HealthState.DOWN
        awaits_probation = executor.state is HealthState.EJECTED and now < executor.probation_at
        if executor.damping.is_suppressed or is_warming_up or overrides_checks or awaits_probation:
            self._time_dependent[number] = None
        else:
            self._time_dependent.pop(number, None)

    def _has_recent_answer(self, now: int, executor: _ExecutorRecord) -> bool:
        return now - executor.last_answer_at < self.options.answer_valid_us

    def _health(self, now: int, executor: _ExecutorRecord) -> _HealthAssessment:
        if executor.state is HealthState.EJECTED:
            if now < executor.probation_at:
                return _HealthAssessment(False, "attempts were lost")
            return _HealthAssessment(True, "one probation attempt")
        if self._has_recent_answer(now, executor):
            return _HealthAssessment(True, "attempts are answered")
        if executor.state is HealthState.DOWN:
            return _HealthAssessment(False, "checks fail")
        if executor.damping.is_suppressed:
            return _HealthAssessment(False, "its state changes too often")
        return _HealthAssessment(True, "checks pass")

    def _is_below_panic_threshold(self) -> bool:
        return len(self._unhealthy) > (1 - self.options.panic_fraction) * len(self._enabled) > 0

    def _report_change(self, now: int, number: int) -> list[VerdictChanged]:
        if (executor := self._executors.get(number)) is None:
            return []
        health = self._health(now, executor)
        if executor.admin is not Admin.READY or executor.weight == 0:
            admin_state = executor.admin if executor.admin is not Admin.READY else "0%"
            is_eligible, reason = False, f"its agent reports {admin_state}"
        else:
            is_eligible = health.is_healthy or self.is_panicking
            reason = health.reason if health.is_healthy or not self.is_panicking else "panic: too few left"
        verdict = is_eligible, self._weight(now, executor) if is_eligible else 0.0
        if verdict == executor.reported:
            return []
        executor.reported = verdict
        return [VerdictChanged(number, *verdict, reason)]

    def _weight(self, now: int, executor: _ExecutorRecord) -> float:
        """Return the agent's weight, reduced during slow start and rounded to avoid frequent reports."""
        progress = (now - executor.up_since) / self.options.slow_start_us
        ramp_up = MIN_WEIGHT if executor.state is HealthState.EJECTED else min(1.0, max(MIN_WEIGHT, progress))
        return max(round(executor.weight * ramp_up, 1), MIN_WEIGHT)

    def _next_change(self, now: int, number: int) -> int:
        """Return the next time at which the verdict may change without an event."""
        executor = self._executors[number]
        times = [now + self.options.slow_start_us // SLOW_START_STEPS]
        if executor.state is HealthState.EJECTED and executor.probation_at > now:
            times.append(executor.probation_at)
        answer_valid_until = executor.last_answer_at + self.options.answer_valid_us
        if executor.state is HealthState.DOWN and answer_valid_until > now:
            times.append(answer_valid_until)
        return min(times)
