"""What may be out at once: the limits of operators against all that is out, planned or not.

Out counts what is out by a permit, silent, ill, draining by discovery's word, and in part what is still in
its slow start. What is unknown counts as out. Shares are rounded down, the safe side.
"""

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from cedarmill.cluster.state import PER_MILLE, ClusterState, Limit, Target
from cedarmill.cluster.state_machine.permit_states import target_key
from cedarmill.cluster.states import TargetHealth

FLAP_WINDOW_US = 60_000_000  # in which lease expiries are counted
FLAP_EXPIRIES = 3  # of a node in that window: it counts as out until they are fewer

OutShares = dict[str, int]  # thousandths of each target that are out, by its key


class Answer(enum.StrEnum):
    """What a request for a permit is told."""

    NOW = "now"
    LATER = "later"
    NEVER = "never"


class Verdict(NamedTuple):
    """The answer, its reasons, and the scopes of limits that have no room."""

    word: Answer
    reasons: tuple[str, ...] = ()
    full: frozenset[tuple[Limit, str]] = frozenset()


class Objection(NamedTuple):
    """What one limit says against a target's being out."""

    answer: Answer
    reason: str


def scope_of(limit: Limit, target: Target) -> str | None:
    """The scope of a limit in which a target is counted; None: in none."""
    if limit.kind != target.kind:
        return None
    if limit.per == "fleet":
        return ""
    scope: str = getattr(target, limit.per)
    return scope


def slow_start_part(state: ClusterState, target: Target) -> int:
    """Thousandths of a target that are not there yet, since it has only returned."""
    if target.kind != "executor" or target.slow_start_from < 0 or state.slow_start_us <= 0:
        return 0
    age = state.clock - target.slow_start_from
    if age >= state.slow_start_us:
        return 0
    return (PER_MILLE - state.slow_start_share) * (state.slow_start_us - age) // state.slow_start_us


def is_flapping(state: ClusterState, node: str) -> bool:
    """Whether a node came and went so often lately that it does not count as there."""
    expiries = 0
    for member in state.members.values():
        if member.kind == "node" and member.name == node:
            expiries += sum(state.clock - at < FLAP_WINDOW_US for at in member.lease_expiries)
    return expiries >= FLAP_EXPIRIES


def out_shares(state: ClusterState) -> OutShares:
    """Of each target of which any part is out."""
    found: OutShares = {}
    well = TargetHealth.WELL
    for key, target in state.targets.items():
        if target.health != well or (target.kind == "node" and is_flapping(state, target.name)):
            found[key] = PER_MILLE
        elif part := slow_start_part(state, target):
            found[key] = part
    for permit in state.permits.values():
        if permit.out:
            found[target_key(permit.kind, permit.target)] = PER_MILLE
    return found


def allowed(limit: Limit, count: int) -> int:
    """How many of so many targets may be out."""
    most = count
    if limit.most >= 0:
        most = min(most, limit.most)
    if limit.share >= 0:
        most = min(most, count * limit.share // PER_MILLE)
    return most


@dataclass(slots=True)
class _Scope:
    """One scope of a limit, with the target that is asked for."""

    limit: Limit
    name: str
    key: str  # of the target asked for
    targets: list[tuple[str, Target]]  # all in the scope, with their keys
    out: OutShares

    @property
    def where(self) -> str:
        return f" of {self.limit.per} {self.name}" if self.name else ""

    def against_count(self) -> Objection | None:
        """By the number or the share of targets."""
        limit, count = self.limit, len(self.targets)
        if limit.most < 0 and limit.share < 0:
            return None
        most = allowed(limit, count)
        if most < 1:
            return Objection(Answer.NEVER, f"{limit.text()}: none of {count}{self.where} may be out")
        taken = sum(self.out.get(key, 0) for key, _ in self.targets if key != self.key)
        if taken + PER_MILLE <= most * PER_MILLE:
            return None
        taken_by = [key for key, _ in self.targets if key != self.key and self.out.get(key)]
        names = ", ".join(sorted(key.partition(":")[2] for key in taken_by))
        out = f"{taken / PER_MILLE:g} of {most}{self.where} are out ({names})"
        return Objection(Answer.LATER, f"{limit.text()}: {out}")

    def against_capacity(self) -> Objection | None:
        """By the slots that would be left, in thousandths."""
        if self.limit.capacity_left < 0:
            return None
        whole = sum(target.slots for _, target in self.targets) * PER_MILLE
        needed = -(-whole * self.limit.capacity_left // PER_MILLE)
        others = [(key, target) for key, target in self.targets if key != self.key]
        if_alone = sum(target.slots for _, target in others) * PER_MILLE
        left = sum(target.slots * (PER_MILLE - self.out.get(key, 0)) for key, target in others)
        if if_alone < needed:
            return Objection(Answer.NEVER, self._slots_text(if_alone, needed))
        return Objection(Answer.LATER, self._slots_text(left, needed)) if left < needed else None

    def _slots_text(self, left: int, needed: int) -> str:
        slots = f"{left / PER_MILLE:g} slots{self.where} would be left, {needed / PER_MILLE:g} are needed"
        return f"{self.limit.text()}: {slots}"


def _objections(
    state: ClusterState, limit: Limit, target: Target, key: str, out: OutShares
) -> Iterator[Objection]:
    scope = scope_of(limit, target)
    if scope is None:
        return
    targets = [(other, one) for other, one in state.targets.items() if scope_of(limit, one) == scope]
    counted = _Scope(limit, scope, key, targets, out)
    for objection in (counted.against_count(), counted.against_capacity()):
        if objection is not None:
            yield objection


def _against_any(state: ClusterState, kind: str, name: str) -> Verdict | None:
    """What no limit is asked for."""
    if target_key(kind, name) not in state.targets:
        return Verdict(Answer.NEVER, (f"no {kind} of the name {name} is known",))
    for permit in state.permits.values():
        if permit.out and (permit.kind, permit.target) == (kind, name):
            reason = f"{name} is out already, by permit {permit.id} of {permit.holder}"
            return Verdict(Answer.NEVER, (reason,))
    if state.halt_reason:
        return Verdict(Answer.LATER, (f"nothing is granted now: {state.halt_reason}",))
    return None


def decide(state: ClusterState, kind: str, name: str, out: OutShares | None = None) -> Verdict:
    """What would be answered now to a request for a target; `out` as it is to be counted."""
    if (verdict := _against_any(state, kind, name)) is not None:
        return verdict
    key = target_key(kind, name)
    target = state.targets[key]
    out = out_shares(state) if out is None else out
    never: list[str] = []
    later: list[str] = []
    full: set[tuple[Limit, str]] = set()
    for limit in state.limits:
        for objection in _objections(state, limit, target, key, out):
            (never if objection.answer == Answer.NEVER else later).append(objection.reason)
            full.add((limit, scope_of(limit, target) or ""))
    if never:
        return Verdict(Answer.NEVER, tuple(never))
    if later:
        return Verdict(Answer.LATER, tuple(later), frozenset(full))
    return Verdict(Answer.NOW)


def dry_run(state: ClusterState, kind: str, names: Iterable[str]) -> list[tuple[str, Verdict]]:
    """What each of these would be answered, one after the other, as things stand now."""
    out, found = out_shares(state), []
    for name in names:
        verdict = decide(state, kind, name, out)
        if verdict.word == Answer.NOW:
            out[target_key(kind, name)] = PER_MILLE
        found.append((name, verdict))
    return found
