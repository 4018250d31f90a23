"""Verdicts on executors out of checks, agents and attempts, by a stated order of evidence.

Pure: `Verdicts.step(now, event) -> actions`, all times in microseconds. The order, strongest first:

1. The administrative state that an operator or agent sets (`drain`, `maint`, weight 0) is obeyed at once.
2. What attempts show beats what checks say: `lost_in_row` of them eject an executor though every check
   passes, and one that succeeded lately keeps it in though every check fails.
3. Checks and agents: `fall` failures in a row take an executor out, `rise` successes bring it back.
4. Damping: an executor that keeps changing stays out until it has kept still (`flap_damping.py`).
5. Panic: where less than `panic_fraction` of all wanted executors would be left, health (1 excepted) is not
   believed: what says that nearly all are dead is more likely itself broken, and would overload the few left.

An executor that comes back is let in slowly: its weight grows over `slow_start_us`.
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

LEAST_WEIGHT = 0.1  # of an executor that has just come back: one that gets nothing shows nothing
MAX_EJECTION_DOUBLINGS = 4
WEIGHT_STEPS = 10  # of a slow start: how often at least its weight is reported anew
LONG_AGO = -(10**18)


@dataclass(frozen=True, slots=True)
class VerdictOptions:
    """When evidence changes a verdict; HAProxy's names stand behind its settings."""

    rise: int = 2  # successful checks in a row
    fall: int = 3  # failed checks in a row
    interval_us: int = 2_000_000  # inter
    fast_interval_us: int = 500_000  # fastinter: while the next result may change the verdict
    down_interval_us: int = 5_000_000  # downinter
    slow_start_us: int = 8_900_000  # slowstart
    lost_in_row: int = 3  # observe layer7, error-limit: attempts lost in a row that eject an executor
    ejection_us: int = 2_000_000  # the first; doubled each time, MAX_EJECTION_DOUBLINGS times
    trust_us: int = 3_000_000  # for which a success of an attempt keeps an executor in
    damping: DampingOptions = field(default_factory=DampingOptions)
    panic_fraction: float = 0.5


class HealthState(IntEnum):
    """What checks and attempts make of an executor."""

    UP = 0
    DOWN = 1  # by checks
    EJECTED = 2  # by attempts: it takes work and does not answer, or breaks it


class _Health(NamedTuple):
    good: bool
    reason: str


@dataclass(slots=True)
class _ExecutorRecord:
    damping: FlapDamping
    state: HealthState = HealthState.UP
    admin: Admin = Admin.READY
    weight: float = 1.0  # that its agent gave it
    opposed_in_row: int = 0  # results of checks in a row against the state
    lost_in_row: int = 0  # attempts
    answered_at: int = LONG_AGO
    probation_at: int = 0  # when an ejected executor may be tried again
    ejections: int = 0
    up_since: int = LONG_AGO
    reported: tuple[bool, float] | None = None  # the verdict that the caller has


class Verdicts:
    """The verdicts of one node; `panics` says whether health is not believed at the moment."""

    def __init__(self, options: VerdictOptions) -> None:
        self.options = options
        self.panics = False
        self._executors: dict[int, _ExecutorRecord] = {}
        self._time_dependent: dict[int, None] = {}  # executors whose verdict time alone will change
        self._wanted: set[int] = set()  # by their operators
        self._unhealthy: set[int] = set()  # of the wanted ones, those that their health keeps out
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            ExecutorListed: self._on_listed,
            ExecutorRemoved: self._on_removed,
            CheckEnded: self._on_check,
            AgentReplied: self._on_agent,
            AttemptEnded: self._on_attempt,
            TimeAdvanced: lambda now, event: None,
        }

    def step(self, now: int, event: VerdictEvent) -> list[VerdictAction]:
        """Take one event at its time and return what to do."""
        self._handlers[type(event)](now, event)
        if isinstance(event, TimeAdvanced):
            touched = set(self._time_dependent)
        else:
            touched = {event.executor} & self._executors.keys()
        for number in touched:
            self._apply_time(now, number)
        panicked, self.panics = self.panics, self._too_few_left()
        if panicked != self.panics:  # all that are out change together
            touched.update(self._unhealthy)
        actions: list[VerdictAction] = []
        for number in sorted(touched):
            actions += self._report_change(now, number)
        wakes = [self._next_change(now, number) for number in touched if number in self._time_dependent]
        return [*actions, WakeAt(min(wakes))] if wakes else actions

    def check_interval_us(self, number: int) -> int:
        """How long until this executor's next check: sooner while its next result may change the verdict."""
        executor, options = self._executors[number], self.options
        if executor.opposed_in_row:
            return options.fast_interval_us
        return options.interval_us if executor.state is HealthState.UP else options.down_interval_us

    def _on_listed(self, now: int, event: ExecutorListed) -> None:
        self._executors.setdefault(event.executor, _ExecutorRecord(FlapDamping(self.options.damping, now)))
        self._wanted.add(event.executor)

    def _on_removed(self, now: int, event: ExecutorRemoved) -> None:
        self._executors.pop(event.executor, None)
        self._time_dependent.pop(event.executor, None)
        self._wanted.discard(event.executor)
        self._unhealthy.discard(event.executor)

    def _on_check(self, now: int, event: CheckEnded) -> None:
        if (executor := self._executors.get(event.executor)) is None:
            return
        if executor.state is HealthState.EJECTED:
            return  # it passed its checks while it lost attempts: they say nothing of it now
        opposed = event.passed is (executor.state is HealthState.DOWN)
        executor.opposed_in_row = executor.opposed_in_row + 1 if opposed else 0
        needed = self.options.rise if event.passed else self.options.fall
        if executor.opposed_in_row >= needed:
            self._change(now, executor, HealthState.UP if event.passed else HealthState.DOWN)

    def _on_agent(self, now: int, event: AgentReplied) -> None:
        if (executor := self._executors.get(event.executor)) is None:
            return
        reply = event.reply
        executor.admin = reply.admin or executor.admin
        if executor.admin is Admin.READY:
            self._wanted.add(event.executor)
        else:
            self._wanted.discard(event.executor)
        if reply.weight is not None:
            executor.weight = reply.weight / 100
        if reply.status is not None and executor.state is not HealthState.EJECTED:
            # An agent needs no results in a row: it knows.
            state = HealthState.UP if reply.status is Status.UP else HealthState.DOWN
            if state is not executor.state:
                self._change(now, executor, state)

    def _on_attempt(self, now: int, event: AttemptEnded) -> None:
        if (executor := self._executors.get(event.executor)) is None:
            return
        if event.answered:
            executor.lost_in_row, executor.answered_at = 0, now
            if executor.state is HealthState.EJECTED:
                executor.ejections = 0
                self._change(now, executor, HealthState.UP)
            return
        executor.lost_in_row += 1
        executor.answered_at = min(executor.answered_at, now - self.options.trust_us)
        ejected = executor.state is HealthState.EJECTED
        if executor.lost_in_row >= self.options.lost_in_row or ejected:
            if not ejected:
                self._change(now, executor, HealthState.EJECTED)
            doublings = min(executor.ejections, MAX_EJECTION_DOUBLINGS)
            executor.probation_at = now + self.options.ejection_us * 2**doublings
            executor.ejections += 1

    def _change(self, now: int, executor: _ExecutorRecord, state: HealthState) -> None:
        """The one place that changes a state; each change is charged to the damping."""
        executor.damping.add_change(now)
        executor.state, executor.opposed_in_row = state, 0
        if state is HealthState.UP:
            executor.up_since = now

    def _apply_time(self, now: int, number: int) -> None:
        """What time alone does: penalties fall, ejections end."""
        executor = self._executors[number]
        if executor.damping.releases(now):
            executor.up_since = now
        if self._health(now, executor).good or number not in self._wanted:
            self._unhealthy.discard(number)
        else:
            self._unhealthy.add(number)
        warms_up = now - executor.up_since < self.options.slow_start_us
        trusted = self._is_trusted(now, executor) and executor.state is HealthState.DOWN
        waits = executor.state is HealthState.EJECTED and now < executor.probation_at
        if executor.damping.suppressed or warms_up or trusted or waits:
            self._time_dependent[number] = None
        else:
            self._time_dependent.pop(number, None)

    def _is_trusted(self, now: int, executor: _ExecutorRecord) -> bool:
        return now - executor.answered_at < self.options.trust_us

    def _health(self, now: int, executor: _ExecutorRecord) -> _Health:
        if executor.state is HealthState.EJECTED:
            if now < executor.probation_at:
                return _Health(False, "attempts were lost")
            return _Health(True, "one probation attempt")
        if self._is_trusted(now, executor):
            return _Health(True, "attempts are answered")
        if executor.state is HealthState.DOWN:
            return _Health(False, "checks fail")
        if executor.damping.suppressed:
            return _Health(False, "it changes too often")
        return _Health(True, "checks pass")

    def _too_few_left(self) -> bool:
        return len(self._unhealthy) > (1 - self.options.panic_fraction) * len(self._wanted) > 0

    def _report_change(self, now: int, number: int) -> list[VerdictChanged]:
        if (executor := self._executors.get(number)) is None:
            return []
        health = self._health(now, executor)
        if executor.admin is not Admin.READY or executor.weight == 0:
            said = executor.admin if executor.admin is not Admin.READY else "0%"
            wanted, reason = False, f"its agent says {said}"
        else:
            wanted = health.good or self.panics
            reason = health.reason if health.good or not self.panics else "panic: too few would be left"
        verdict = wanted, self._weight(now, executor) if wanted else 0.0
        if verdict == executor.reported:
            return []
        executor.reported = verdict
        return [VerdictChanged(number, *verdict, reason)]

    def _weight(self, now: int, executor: _ExecutorRecord) -> float:
        """Its agent's weight, less while it warms up; rounded, so that not every step changes it."""
        warm = (now - executor.up_since) / self.options.slow_start_us
        part = LEAST_WEIGHT if executor.state is HealthState.EJECTED else min(1.0, max(LEAST_WEIGHT, warm))
        return max(round(executor.weight * part, 1), LEAST_WEIGHT)

    def _next_change(self, now: int, number: int) -> int:
        """When time alone may change the verdict next."""
        executor = self._executors[number]
        times = [now + self.options.slow_start_us // WEIGHT_STEPS]
        if executor.state is HealthState.EJECTED and executor.probation_at > now:
            times.append(executor.probation_at)
        trusted_until = executor.answered_at + self.options.trust_us
        if executor.state is HealthState.DOWN and trusted_until > now:
            times.append(trusted_until)
        return min(times)
