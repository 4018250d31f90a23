"""Limits on what may be out at once, read by the checkers: computed apart from the code under test."""

from cedarmill.lab.cluster.record import Record
from cedarmill.values import LimitOptions


def scope_of(record: Record, limit: LimitOptions, name: str) -> str | None:
    """Which of a limit's scopes a target is counted in; None: it is not."""
    target = record.targets.get(name)
    if target is None or target["kind"] != limit.kind:
        return None
    return "" if limit.per == "fleet" else target.get(limit.per, "")


def members_of(record: Record, limit: LimitOptions, scope: str | None) -> list[str]:
    """The targets of a scope; of None, those that the limit does not count."""
    return [name for name in record.targets if scope_of(record, limit, name) == scope]


def allowed(record: Record, limit: LimitOptions, scope: str | None) -> int:
    """How many of a scope may be out, rounded to the safe side."""
    count = len(members_of(record, limit, scope))
    caps = [count]
    if limit.most >= 0:
        caps.append(limit.most)
    if limit.share >= 0:
        caps.append(count * limit.share // 1000)
    return min(caps)
