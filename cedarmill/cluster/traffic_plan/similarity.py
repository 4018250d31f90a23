"""Whether two assessments differ by so little that nothing has to be agreed anew."""

from collections.abc import Iterable, Mapping
from typing import Any

from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import WHOLE

TOLERANCE = 40  # thousandths by which slots, demand and failures may differ
NOISY_TOLERANCE = 200  # the same for what varies by chance from second to second
SHARE_TOLERANCE = 5 * TOLERANCE  # the same for the shares of late and of rejected requests
SLACK = 500  # thousandths of a slot that count as no difference
NOISY_SLACK = 1000

Pairs = list[tuple[int, int]]


def are_similar(known: ClusterAssessment | None, new: ClusterAssessment) -> bool:
    """Whether the new assessment says about the same as the one known."""
    if known is None or known.links != new.links or known.blind_zones != new.blind_zones:
        return False
    if known.zones.keys() != new.zones.keys():
        return False
    return all(_are_zones_similar(known.zones[name], new.zones[name]) for name in known.zones)


def _are_zones_similar(known: ZoneAssessment, new: ZoneAssessment) -> bool:
    if known.verdict != new.verdict or abs(known.failed - new.failed) > TOLERANCE:
        return False
    if abs(known.late - new.late) > SHARE_TOLERANCE:
        return False
    if abs(known.rejected_locally - new.rejected_locally) > SHARE_TOLERANCE:
        return False
    pairs = [(known.slots, new.slots), *_paired(known.demand, new.demand)]
    noisy = [(known.slots_occupied, new.slots_occupied), (known.slots_allotted, new.slots_allotted)]
    for scope in known.demand_by_weight.keys() | new.demand_by_weight.keys():
        noisy += _paired(known.demand_by_weight.get(scope, {}), new.demand_by_weight.get(scope, {}))
    return _within(pairs, TOLERANCE, SLACK) and _within(noisy, NOISY_TOLERANCE, NOISY_SLACK)


def _paired(left: Mapping[Any, int], right: Mapping[Any, int]) -> Pairs:
    return [(left.get(key, 0), right.get(key, 0)) for key in left.keys() | right.keys()]


def _within(pairs: Iterable[tuple[int, int]], tolerance: int, slack: int) -> bool:
    return all(abs(one - other) <= max(one, other) * tolerance // WHOLE + slack for one, other in pairs)
