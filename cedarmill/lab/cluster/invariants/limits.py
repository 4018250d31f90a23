"""Invariants of the limits on what may be out at once."""

from collections.abc import Iterator

from cedarmill.lab.cluster.history import Event
from cedarmill.lab.cluster.limit_scopes import allowed, members_of, scope_of
from cedarmill.lab.cluster.record import OutOverTime, Record
from cedarmill.values import LimitOptions

WARMING_UP_PART = 0.7  # of an executor that has just come back is not there
ROUNDING = 1e-6  # by which sums of parts may be over a limit


def never_too_many_out(record: Record) -> Iterator[str]:
    """At no moment does taking one out by plan bring what is out over a limit."""
    out = OutOverTime(record)
    for event in record.events:
        before = event.target in out.planned
        out.apply(event)
        if event.what == "taken" and not before:
            for text in _broken_limits(record, out.known_out(event), event.target):
                yield f"{event.time_text()}, {event.who} took {event.target}: {text}"


def _broken_limits(record: Record, out: set[str], name: str) -> Iterator[str]:
    """The limits that stand broken with these out, among those that count this target."""
    for limit in record.limits:
        scope = scope_of(record, limit, name)
        if scope is None:
            continue
        within = sorted(target for target in out if scope_of(record, limit, target) == scope)
        if len(within) > (most := allowed(record, limit, scope)):
            names = ", ".join(within)
            yield f"{limit.kind} out per {limit.per} {scope}: {len(within)} where {most} may be ({names})"
        if limit.capacity_left >= 0:
            yield from _missing_capacity(record, limit, scope, within)


def _missing_capacity(record: Record, limit: LimitOptions, scope: str, out: list[str]) -> Iterator[str]:
    whole = sum(record.slots.get(name, 1) for name in members_of(record, limit, scope))
    left = whole - sum(record.slots.get(name, 1) for name in out)
    if left * 1000 < whole * limit.capacity_left:
        yield f"{left} of {whole} slots of {limit.kind} left per {limit.per} {scope}"


def warming_up_ones_count(record: Record) -> Iterator[str]:
    """Nor does it with those that have come back and are still warming up counted in part."""
    out = OutOverTime(record)
    back: dict[str, int] = {}  # since when
    for event in record.events:
        before = event.target in out.planned
        out.apply(event)
        if event.what == "back":
            back[event.target] = event.at
        if event.what == "taken" and not before and record.slow_start_us:
            back.pop(event.target, None)
            yield from _over_with_warming_up(record, out, back, event)


def _over_with_warming_up(
    record: Record, out: OutOverTime, back: dict[str, int], event: Event
) -> Iterator[str]:
    for limit in record.limits:
        scope = scope_of(record, limit, event.target)
        if scope is None or limit.kind != "executor":
            continue
        parts = float(sum(scope_of(record, limit, name) == scope for name in out.planned))
        parts += sum(
            WARMING_UP_PART * max(0.0, 1 - (event.at - since) / record.slow_start_us)
            for name, since in back.items()
            if scope_of(record, limit, name) == scope and name not in out.planned
        )
        if parts > allowed(record, limit, scope) + ROUNDING:
            text = f"{parts:.2f} out, cold ones in part"
            yield f"{event.time_text()}, {event.who} took {event.target}: {text}"
