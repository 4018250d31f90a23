"""Bounds on the resource usage of a node with many executors, relative to a baseline run.

The factors and allowances come from the acceptance criteria, which cover up to sixteen times the baseline
number of executors.
"""

from collections.abc import Sequence
from dataclasses import dataclass

BASELINE_EXECUTORS = 200


@dataclass(frozen=True, slots=True)
class NodeMeasurements:
    """Resource usage of a node and share of requests served, measured over one run."""

    cpu_s: float
    peak_memory_mb: float
    descriptors: int  # peak number open at the same time
    connections: int  # opened to executors over the whole run
    list_kb: float  # endpoint list data written by discovery
    share_served: float  # of all requests sent by the clients


@dataclass(frozen=True, slots=True)
class Bound:
    """Limit on one measurement: a multiple of its baseline value plus fixed and per-executor allowances."""

    field: str
    label: str
    factor: float
    allowance: float = 0.0
    allowance_per_thousand: float = 0.0  # per thousand executors

    def limit(self, baseline: NodeMeasurements, executor_count: int) -> float:
        """Return the limit for a run with the given number of executors."""
        baseline_value: float = getattr(baseline, self.field)
        return (
            self.factor * baseline_value
            + self.allowance
            + self.allowance_per_thousand * executor_count / 1000
        )


BOUNDS = (
    Bound("cpu_s", "CPU (s)", 1.4, 0.02, 0.12),
    Bound("peak_memory_mb", "peak memory (MB)", 1.5, 8.0, 4.0),
    Bound("descriptors", "descriptors", 2.0, 40.0),
    Bound("connections", "connections made", 2.5, 40.0),
    Bound("list_kb", "bytes of lists (KB)", 2.0, 64.0, 500.0),
)
MINIMUM_SHARE_SERVED = Bound("share_served", "share served", 0.85)  # a lower bound; BOUNDS are upper bounds


@dataclass(frozen=True, slots=True)
class Comparison:
    """Result of checking one measurement against its bound; the field names are keys of the JSON output."""

    field: str
    label: str
    usual: float  # value in the baseline run
    measured: float
    limit: float
    holds: bool


def compare(
    baseline: NodeMeasurements, measured: NodeMeasurements, executor_count: int, *, sends_changes: bool = True
) -> list[Comparison]:
    """Return the comparison of every measurement with its bound, for the given number of executors.

    The bound on endpoint list data is skipped where discovery sends snapshots instead of changes.
    """
    comparisons = []
    for bound in (*BOUNDS, MINIMUM_SHARE_SERVED):
        if bound.field == "list_kb" and not sends_changes:
            continue
        value, limit = getattr(measured, bound.field), bound.limit(baseline, executor_count)
        holds = value >= limit if bound is MINIMUM_SHARE_SERVED else value <= limit
        comparisons.append(
            Comparison(bound.field, bound.label, getattr(baseline, bound.field), value, limit, holds)
        )
    return comparisons


def violations(comparisons: Sequence[Comparison]) -> list[Comparison]:
    """Return the comparisons whose bound is violated."""
    return [comparison for comparison in comparisons if not comparison.holds]
