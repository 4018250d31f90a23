"""Arithmetic on route weights: rounding, difference, load, and bounded steps between weight tables."""

from collections.abc import Iterable, Mapping

from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.traffic_plan.allocation import DemandKey
from cedarmill.cluster.traffic_plan.state import WeightRow, WeightTable

MAX_HOLD_ROUNDS = 3


def normalized(parts: Mapping[str, int]) -> WeightRow:
    """Return the parts as thousandths that sum to WHOLE; the largest part absorbs the rounding error."""
    total = sum(parts.values())
    row = {target: part * WHOLE // total for target, part in sorted(parts.items())}
    largest = max(row, key=lambda target: (row[target], target))
    row[largest] += WHOLE - sum(row.values())
    return {target: weight for target, weight in row.items() if weight}


def max_difference(first: WeightTable, second: WeightTable) -> int:
    """Return the largest difference (thousandths) of any weight in two tables."""
    largest = 0
    for source in first.keys() | second.keys():
        for scope in SCOPES:
            first_row = first.get(source, {}).get(scope, {})
            second_row = second.get(source, {}).get(scope, {})
            largest = max(largest, _row_difference(first_row, second_row))
    return largest


def _row_difference(first: WeightRow, second: WeightRow) -> int:
    targets = first.keys() | second.keys()
    return max((abs(first.get(target, 0) - second.get(target, 0)) for target in targets), default=0)


def step_row(
    current: WeightRow, target_row: WeightRow, max_step: int, unavailable: Iterable[str]
) -> WeightRow:
    """Return the row moved by at most `max_step` thousandths towards the target row.

    The weight of unavailable zones moves at once.
    """
    current = _redistribute_unavailable(current, target_row, set(unavailable))
    distance = _row_difference(current, target_row)
    if distance <= max_step:
        return dict(target_row)
    names = current.keys() | target_row.keys()
    parts = {
        name: current.get(name, 0) * (distance - max_step) + target_row.get(name, 0) * max_step
        for name in names
    }
    return normalized({name: part for name, part in parts.items() if part > 0})


def _redistribute_unavailable(current: WeightRow, target_row: WeightRow, unavailable: set[str]) -> WeightRow:
    """Return the row with the weight of unavailable zones spread in proportion to the target row."""
    remaining = {name: weight for name, weight in current.items() if name not in unavailable}
    lost = WHOLE - sum(remaining.values())
    if lost <= 0:
        return current
    receivers = {name: weight for name, weight in target_row.items() if name not in unavailable} or dict(
        target_row
    )
    redistribution = normalized(receivers)
    names = remaining.keys() | redistribution.keys()
    return normalized(
        {name: remaining.get(name, 0) * WHOLE + redistribution.get(name, 0) * lost for name in names}
    )


def step_towards(
    current: WeightTable, target: WeightTable, max_step: int, unavailable: Iterable[str]
) -> WeightTable:
    """Return the table moved by at most `max_step` thousandths per weight towards the target table."""
    unavailable = list(unavailable)
    return {
        source: {
            scope: step_row(current.get(source, {}).get(scope, row), row, max_step, unavailable)
            for scope, row in rows.items()
        }
        for source, rows in target.items()
    }


def expected_load(table: WeightTable, demand: Mapping[DemandKey, int]) -> dict[str, int]:
    """Return the slots (thousandths) that each zone gets under these weights."""
    load: dict[str, int] = {}
    for (source, scope), slots in demand.items():
        for target, weight in table.get(source, {}).get(scope, {}).items():
            load[target] = load.get(target, 0) + slots * weight // WHOLE
    return load


def hold_overloading_rows(
    current: WeightTable,
    wanted: WeightTable,
    demand: Mapping[DemandKey, int],
    room: Mapping[str, int],
    unavailable: Iterable[str],
) -> WeightTable:
    """Return `wanted` with the current row in place of each row that would overload a zone.

    Rows that send to an unavailable zone are never held. The function changes `wanted` in place.
    """
    unavailable = set(unavailable)
    for _ in range(MAX_HOLD_ROUNDS):
        current_load, wanted_load = expected_load(current, demand), expected_load(wanted, demand)
        overloaded = {
            zone
            for zone, slots in wanted_load.items()
            if slots > max(room.get(zone, 0), current_load.get(zone, 0))
        }
        if not overloaded:
            return wanted
        for source, rows in wanted.items():
            for scope, row in rows.items():
                current_row = current.get(source, {}).get(scope, row)
                adds_load = any(row.get(zone, 0) > current_row.get(zone, 0) for zone in overloaded)
                if adds_load and not unavailable & current_row.keys():
                    rows[scope] = dict(current_row)
    return wanted
