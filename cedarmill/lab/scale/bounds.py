"""What a node may need with many executors, against what it needs with the usual number.

The factors and allowances are those of the users' terms of acceptance, for up to sixteen times the
executors.
"""

from collections.abc import Sequence
from dataclasses import dataclass

USUAL_EXECUTORS = 200


@dataclass(frozen=True, slots=True)
class Needs:
    """What one run of a node came to."""

    cpu_s: float
    peak_memory_mb: float
    descriptors: int  # held at once, at most
    connections: int  # made to executors
    list_kb: float  # of lists from discovery
    share_served: float  # of all first tries


@dataclass(frozen=True, slots=True)
class Bound:
    """Most that a need may come to: a factor of the usual, and allowances."""

    field: str
    label: str
    factor: float
    plus: float = 0.0
    per_thousand: float = 0.0  # for each thousand executors

    def limit(self, usual: Needs, executors: int) -> float:
        """What may be reached with so many executors."""
        usual_value: float = getattr(usual, self.field)
        return self.factor * usual_value + self.plus + self.per_thousand * executors / 1000


BOUNDS = (
    Bound("cpu_s", "CPU (s)", 1.4, 0.02, 0.12),
    Bound("peak_memory_mb", "peak memory (MB)", 1.5, 8.0, 4.0),
    Bound("descriptors", "descriptors", 2.0, 40.0),
    Bound("connections", "connections made", 2.5, 40.0),
    Bound("list_kb", "bytes of lists (KB)", 2.0, 64.0, 500.0),
)
LEAST_SERVED = Bound("share_served", "share served", 0.85)  # a lower bound, all others are upper ones


@dataclass(frozen=True, slots=True)
class Comparison:
    """One need of one run against its bound."""

    field: str
    label: str
    usual: float
    measured: float
    limit: float
    holds: bool


def compare(usual: Needs, measured: Needs, executors: int, *, tells_changes: bool = True) -> list[Comparison]:
    """Each bound against what was measured with so many executors.

    The bound on bytes of lists holds only where discovery tells changes, not whole lists.
    """
    rows = []
    for bound in (*BOUNDS, LEAST_SERVED):
        if bound.field == "list_kb" and not tells_changes:
            continue
        value, limit = getattr(measured, bound.field), bound.limit(usual, executors)
        holds = value >= limit if bound is LEAST_SERVED else value <= limit
        rows.append(Comparison(bound.field, bound.label, getattr(usual, bound.field), value, limit, holds))
    return rows


def broken(rows: Sequence[Comparison]) -> list[Comparison]:
    """Those that do not hold."""
    return [row for row in rows if not row.holds]
