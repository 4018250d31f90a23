"""Decides whether a target may be taken out of service under the operators' limits.

A target counts as out of service if a permit for it is granted or lost, if its health is not `well`, or if it
is a flapping node. An executor in slow start counts in part. Shares are rounded down, the safe direction.
"""

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from cedarmill.cluster.state import PER_MILLE, ClusterState, Limit, Target
from cedarmill.cluster.state_machine.permit_states import target_key
from cedarmill.cluster.states import TargetHealth

FLAP_WINDOW_US = 60_000_000
MIN_FLAP_EXPIRIES = 3  # lease expiries within the window from which a node counts as out of service

OutShares = dict[str, int]  # out-of-service share of each target in thousandths, by target key


class Answer(enum.StrEnum):
    """The answer to a request for a permit."""

    NOW = "now"
    LATER = "later"
    NEVER = "never"


class Verdict(NamedTuple):
    """The answer to a request, its reasons, and the limit scopes that are at capacity."""

    answer: Answer
    reasons: tuple[str, ...] = ()
    full_scopes: frozenset[tuple[Limit, str]] = frozenset()


class Objection(NamedTuple):
    """The reason why one limit forbids taking a target out of service."""

    answer: Answer
    reason: str


def scope_of(limit: Limit, target: Target) -> str | None:
    """Return the scope in which a limit counts a target; None if the limit does not apply to the target."""
    if limit.kind != target.kind:
        return None
    if limit.scope == "fleet":
        return ""
    scope: str = getattr(target, limit.scope)
    return scope


def slow_start_missing_share(state: ClusterState, target: Target) -> int:
    """Return the thousandths of a target's capacity that are still missing during its slow start."""
    if target.kind != "executor" or target.slow_start_started_at < 0 or state.slow_start_us <= 0:
        return 0
    age = state.clock - target.slow_start_started_at
    if age >= state.slow_start_us:
        return 0
    return (PER_MILLE - state.slow_start_share) * (state.slow_start_us - age) // state.slow_start_us


def is_flapping(state: ClusterState, node: str) -> bool:
    """Return whether a node had enough recent lease expiries to count as out of service."""
    expiries = 0
    for member in state.members.values():
        if member.kind == "node" and member.name == node:
            expiries += sum(state.clock - at < FLAP_WINDOW_US for at in member.lease_expiries)
    return expiries >= MIN_FLAP_EXPIRIES


def out_shares(state: ClusterState) -> OutShares:
    """Return the out-of-service share of each target that is wholly or partly out."""
    shares: OutShares = {}
    well = TargetHealth.HEALTHY
    for key, target in state.targets.items():
        if target.health != well or (target.kind == "node" and is_flapping(state, target.name)):
            shares[key] = PER_MILLE
        elif missing_share := slow_start_missing_share(state, target):
            shares[key] = missing_share
    for permit in state.permits.values():
        if permit.is_out_of_service:
            shares[target_key(permit.kind, permit.target)] = PER_MILLE
    return shares


def max_out_count(limit: Limit, count: int) -> int:
    """Return how many of `count` targets the limit allows to be out at once."""
    max_out = count
    if limit.max_targets >= 0:
        max_out = min(max_out, limit.max_targets)
    if limit.share >= 0:
        max_out = min(max_out, count * limit.share // PER_MILLE)
    return max_out


@dataclass(slots=True)
class _LimitScope:
    """One scope of a limit, and a requested target in the scope."""

    limit: Limit
    name: str
    requested_key: str  # key of the requested target
    targets: list[tuple[str, Target]]  # all targets in the scope, with their keys
    out: OutShares

    @property
    def suffix(self) -> str:
        return f" of {self.limit.scope} {self.name}" if self.name else ""

    def count_objection(self) -> Objection | None:
        """Return the objection of a limit on the number or share of targets; None if there is none."""
        limit, count = self.limit, len(self.targets)
        if limit.max_targets < 0 and limit.share < 0:
            return None
        max_out = max_out_count(limit, count)
        if max_out < 1:
            return Objection(Answer.NEVER, f"{limit.describe()}: none of {count}{self.suffix} may be out")
        total_out = sum(self.out.get(key, 0) for key, _ in self.targets if key != self.requested_key)
        if total_out + PER_MILLE <= max_out * PER_MILLE:
            return None
        out_keys = [key for key, _ in self.targets if key != self.requested_key and self.out.get(key)]
        names = ", ".join(sorted(key.partition(":")[2] for key in out_keys))
        usage = f"{total_out / PER_MILLE:g} of {max_out}{self.suffix} are out ({names})"
        return Objection(Answer.LATER, f"{limit.describe()}: {usage}")

    def capacity_objection(self) -> Objection | None:
        """Return the objection of a limit on the remaining slots (thousandths); None if there is none."""
        if self.limit.capacity_left < 0:
            return None
        total = sum(target.slots for _, target in self.targets) * PER_MILLE
        required = -(-total * self.limit.capacity_left // PER_MILLE)
        others = [(key, target) for key, target in self.targets if key != self.requested_key]
        best_case = sum(target.slots for _, target in others) * PER_MILLE
        remaining = sum(target.slots * (PER_MILLE - self.out.get(key, 0)) for key, target in others)
        if best_case < required:
            return Objection(Answer.NEVER, self._slots_reason(best_case, required))
        return (
            Objection(Answer.LATER, self._slots_reason(remaining, required)) if remaining < required else None
        )

    def _slots_reason(self, remaining: int, required: int) -> str:
        slots = (
            f"{remaining / PER_MILLE:g} slots{self.suffix} would be left, {required / PER_MILLE:g} are needed"
        )
        return f"{self.limit.describe()}: {slots}"


def _objections(
    state: ClusterState, limit: Limit, target: Target, key: str, out: OutShares
) -> Iterator[Objection]:
    scope = scope_of(limit, target)
    if scope is None:
        return
    targets = [
        (other_key, other) for other_key, other in state.targets.items() if scope_of(limit, other) == scope
    ]
    limit_scope = _LimitScope(limit, scope, key, targets, out)
    for objection in (limit_scope.count_objection(), limit_scope.capacity_objection()):
        if objection is not None:
            yield objection


def _decide_without_limits(state: ClusterState, kind: str, name: str) -> Verdict | None:
    """Return the verdict on a target that is unknown, already out or subject to a halt; None otherwise."""
    if target_key(kind, name) not in state.targets:
        return Verdict(Answer.NEVER, (f"no {kind} of the name {name} is known",))
    for permit in state.permits.values():
        if permit.is_out_of_service and (permit.kind, permit.target) == (kind, name):
            reason = f"{name} is out already, by permit {permit.id} of {permit.holder}"
            return Verdict(Answer.NEVER, (reason,))
    if state.halt_reason:
        return Verdict(Answer.LATER, (f"nothing is granted now: {state.halt_reason}",))
    return None


def evaluate(state: ClusterState, kind: str, name: str, out: OutShares | None = None) -> Verdict:
    """Return the verdict on a request for a target; `out` defaults to the current out-of-service shares."""
    if (verdict := _decide_without_limits(state, kind, name)) is not None:
        return verdict
    key = target_key(kind, name)
    target = state.targets[key]
    out = out_shares(state) if out is None else out
    never_reasons: list[str] = []
    later_reasons: list[str] = []
    full_scopes: set[tuple[Limit, str]] = set()
    for limit in state.limits:
        for objection in _objections(state, limit, target, key, out):
            (never_reasons if objection.answer == Answer.NEVER else later_reasons).append(objection.reason)
            full_scopes.add((limit, scope_of(limit, target) or ""))
    if never_reasons:
        return Verdict(Answer.NEVER, tuple(never_reasons))
    if later_reasons:
        return Verdict(Answer.LATER, tuple(later_reasons), frozenset(full_scopes))
    return Verdict(Answer.NOW)


def dry_run(state: ClusterState, kind: str, names: Iterable[str]) -> list[tuple[str, Verdict]]:
    """Return the verdict on each target in turn, counting those granted earlier in the list as out."""
    out, verdicts = out_shares(state), []
    for name in names:
        verdict = evaluate(state, kind, name, out)
        if verdict.answer == Answer.NOW:
            out[target_key(kind, name)] = PER_MILLE
        verdicts.append((name, verdict))
    return verdicts
