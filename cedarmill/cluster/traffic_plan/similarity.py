"""Comparison of assessments, so that small differences are not written to the replicated log."""

from collections.abc import Iterable, Mapping
from typing import Any

from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import WHOLE

RELATIVE_TOLERANCE = 40  # thousandths; for slots, demand and failures
NOISY_RELATIVE_TOLERANCE = 200  # thousandths; for values that vary at random from second to second
SHARE_TOLERANCE = 5 * RELATIVE_TOLERANCE  # thousandths; for late and rejected requests
ABSOLUTE_TOLERANCE = 500  # thousandths of a slot
NOISY_ABSOLUTE_TOLERANCE = 1000  # thousandths of a slot

Pairs = list[tuple[int, int]]


def are_similar(previous: ClusterAssessment | None, current: ClusterAssessment) -> bool:
    """Return whether two assessments differ by no more than the tolerances."""
    if (
        previous is None
        or previous.links != current.links
        or previous.unobserved_zones != current.unobserved_zones
    ):
        return False
    if previous.zones.keys() != current.zones.keys():
        return False
    return all(_are_zones_similar(previous.zones[name], current.zones[name]) for name in previous.zones)


def _are_zones_similar(previous: ZoneAssessment, current: ZoneAssessment) -> bool:
    if previous.verdict != current.verdict or abs(previous.failed - current.failed) > RELATIVE_TOLERANCE:
        return False
    if abs(previous.late - current.late) > SHARE_TOLERANCE:
        return False
    if abs(previous.rejected_locally - current.rejected_locally) > SHARE_TOLERANCE:
        return False
    pairs = [(previous.slots, current.slots), *_pairs_by_key(previous.demand, current.demand)]
    noisy = [
        (previous.slots_occupied, current.slots_occupied),
        (previous.slots_allotted, current.slots_allotted),
    ]
    for scope in previous.demand_by_weight.keys() | current.demand_by_weight.keys():
        noisy += _pairs_by_key(
            previous.demand_by_weight.get(scope, {}), current.demand_by_weight.get(scope, {})
        )
    return _are_within_tolerance(pairs, RELATIVE_TOLERANCE, ABSOLUTE_TOLERANCE) and _are_within_tolerance(
        noisy, NOISY_RELATIVE_TOLERANCE, NOISY_ABSOLUTE_TOLERANCE
    )


def _pairs_by_key(first: Mapping[Any, int], second: Mapping[Any, int]) -> Pairs:
    return [(first.get(key, 0), second.get(key, 0)) for key in first.keys() | second.keys()]


def _are_within_tolerance(pairs: Iterable[tuple[int, int]], relative: int, absolute: int) -> bool:
    return all(
        abs(first - second) <= max(first, second) * relative // WHOLE + absolute for first, second in pairs
    )
