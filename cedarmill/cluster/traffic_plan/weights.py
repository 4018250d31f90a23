"""Arithmetic on route weights: rounding, distance, load, and bounded moves from one table to another."""

from collections.abc import Iterable, Mapping

from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.traffic_plan.allocation import DemandKey
from cedarmill.cluster.traffic_plan.state import WeightRow, WeightTable

HOLD_BACK_ROUNDS = 3  # in which rows are held back that would bring a zone over its room


def normalized(parts: Mapping[str, int]) -> WeightRow:
    """The parts as thousandths that add up to the whole; the largest takes what rounding leaves."""
    total = sum(parts.values())
    row = {target: part * WHOLE // total for target, part in sorted(parts.items())}
    largest = max(row, key=lambda target: (row[target], target))
    row[largest] += WHOLE - sum(row.values())
    return {target: weight for target, weight in row.items() if weight}


def max_difference(left: WeightTable, right: WeightTable) -> int:
    """The most that any weight differs (thousandths)."""
    most = 0
    for source in left.keys() | right.keys():
        for scope in SCOPES:
            left_row = left.get(source, {}).get(scope, {})
            right_row = right.get(source, {}).get(scope, {})
            most = max(most, _row_difference(left_row, right_row))
    return most


def _row_difference(left: WeightRow, right: WeightRow) -> int:
    targets = left.keys() | right.keys()
    return max((abs(left.get(target, 0) - right.get(target, 0)) for target in targets), default=0)


def step_row(current: WeightRow, target_row: WeightRow, most: int, gone: Iterable[str]) -> WeightRow:
    """The row after a move by `most` thousandths at most; what went to zones that are gone moves at once."""
    current = _without_gone(current, target_row, set(gone))
    away = _row_difference(current, target_row)
    if away <= most:
        return dict(target_row)
    names = current.keys() | target_row.keys()
    parts = {name: current.get(name, 0) * (away - most) + target_row.get(name, 0) * most for name in names}
    return normalized({name: part for name, part in parts.items() if part > 0})


def _without_gone(current: WeightRow, target_row: WeightRow, gone: set[str]) -> WeightRow:
    """The row with the weight of zones that are gone spread as the target row says; the rest stays."""
    kept = {name: weight for name, weight in current.items() if name not in gone}
    lost = WHOLE - sum(kept.values())
    if lost <= 0:
        return current
    where = {name: weight for name, weight in target_row.items() if name not in gone} or dict(target_row)
    extra = normalized(where)
    names = kept.keys() | extra.keys()
    return normalized({name: kept.get(name, 0) * WHOLE + extra.get(name, 0) * lost for name in names})


def step(current: WeightTable, target: WeightTable, most: int, gone: Iterable[str]) -> WeightTable:
    """All rows of the target, one step nearer to it."""
    gone = list(gone)
    return {
        source: {
            scope: step_row(current.get(source, {}).get(scope, row), row, most, gone)
            for scope, row in rows.items()
        }
        for source, rows in target.items()
    }


def expected_load(table: WeightTable, demand: Mapping[DemandKey, int]) -> dict[str, int]:
    """Slots that each zone would get by these weights."""
    load: dict[str, int] = {}
    for (source, scope), slots in demand.items():
        for target, weight in table.get(source, {}).get(scope, {}).items():
            load[target] = load.get(target, 0) + slots * weight // WHOLE
    return load


def held_back(
    current: WeightTable,
    wanted: WeightTable,
    demand: Mapping[DemandKey, int],
    room: Mapping[str, int],
    gone: Iterable[str],
) -> WeightTable:
    """The wanted table, with rows kept as they are that would bring a zone over its room during a move.

    Rows that lead to a zone that is gone always move. Changes `wanted`.
    """
    gone = set(gone)
    for _ in range(HOLD_BACK_ROUNDS):
        before, after = expected_load(current, demand), expected_load(wanted, demand)
        over = {zone for zone, slots in after.items() if slots > max(room.get(zone, 0), before.get(zone, 0))}
        if not over:
            return wanted
        for source, rows in wanted.items():
            for scope, row in rows.items():
                old = current.get(source, {}).get(scope, row)
                grows = any(row.get(zone, 0) > old.get(zone, 0) for zone in over)
                if grows and not gone & old.keys():
                    rows[scope] = dict(old)
    return wanted
