"""The traffic plan: route weights made of an assessment, and fallback weights for the loss of each zone.

The fallback weights are agreed before a loss, so that the moment of loss needs no replica.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.traffic_plan.allocation import Allocation, DemandKey, allocate
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.state import WeightRow, WeightTable, ZoneState, ZoneStatus
from cedarmill.cluster.traffic_plan.weights import normalized

PROBE_WEIGHT = 20  # thousandths of its own requests that a lost or failing zone gets: else nobody would know


class Room(NamedTuple):
    """Slots (thousandths) by zone."""

    planned: dict[str, int]  # that a plan may use
    last_resort: dict[str, int]  # in addition to these, where no room is left


class TrafficPlan(NamedTuple):
    """Weights, and what they rest on; slots in thousandths."""

    weights: WeightTable
    load: dict[str, int]
    room: dict[str, int]
    missing_slots: int
    allocation: Allocation


def capacity(zone: ZoneState, assessment: ZoneAssessment) -> int:
    """Slots taken to be there: those claimed, as far as they are trusted, less the share that fails."""
    working = WHOLE - min(WHOLE, assessment.failed)
    return assessment.slots * zone.trust // WHOLE * working // WHOLE


def available_room(
    layout: ZoneLayout, zones: Mapping[str, ZoneState], assessment: ClusterAssessment, without: str = ""
) -> Room:
    """What may be used in each zone, were the zone `without` gone."""
    planned, last_resort = {}, {}
    for name, zone in zones.items():
        assessed = assessment.zones.get(name)
        slots = capacity(zone, assessed) * layout.max_load // WHOLE if assessed is not None else 0
        planned[name] = last_resort[name] = 0
        if name == without or zone.status == ZoneStatus.LOST:
            continue
        if zone.status == ZoneStatus.FAILING:
            last_resort[name] = slots
        else:
            planned[name] = slots * zone.open_share // WHOLE
    return Room(planned, last_resort)


def demand_by_source(assessment: ClusterAssessment) -> dict[DemandKey, int]:
    """Slots wanted, by the zone that requests came to and their scope."""
    return {
        (zone, scope): slots
        for zone, assessed in assessment.zones.items()
        for scope, slots in assessed.demand.items()
        if slots > 0 and scope in SCOPES
    }


def make_plan(
    layout: ZoneLayout, zones: Mapping[str, ZoneState], assessment: ClusterAssessment, without: str = ""
) -> TrafficPlan:
    """Where traffic should go now, or with one zone gone."""
    room = available_room(layout, zones, assessment, without)
    demand = demand_by_source(assessment)
    allocation = allocate(layout, room.planned, room.last_resort, demand, assessment.links)
    weights = _weights(layout, allocation, zones, room.planned)
    missing = sum(allocation.unserved.values())
    return TrafficPlan(weights, allocation.load(), room.planned, missing, allocation)


def _weights(
    layout: ZoneLayout, allocation: Allocation, zones: Mapping[str, ZoneState], room: Mapping[str, int]
) -> WeightTable:
    """Weights of what each zone sends; what finds no room is rejected in the zone that it came to."""
    table: WeightTable = {}
    for source in layout.zones:
        table[source] = {}
        for scope in SCOPES:
            parts = {
                target: allocation.flows.get((source, scope, target), 0)
                for target in layout.reachable_zones(source, scope)
            }
            parts[source] += allocation.unserved.get((source, scope), 0)
            row = _row(layout, source, scope, parts, room)
            table[source][scope] = _with_probe_weight(row, zones[source])
    return table


def _row(
    layout: ZoneLayout, source: str, scope: str, parts: Mapping[str, int], room: Mapping[str, int]
) -> WeightRow:
    positive = {target: slots for target, slots in parts.items() if slots > 0}
    return normalized(positive) if positive else _row_without_demand(layout, source, scope, room)


def _row_without_demand(layout: ZoneLayout, source: str, scope: str, room: Mapping[str, int]) -> WeightRow:
    """Where a first request would go: it stays in its zone, or goes to the cheapest with room."""
    if room.get(source, 0) > 0:
        return {source: WHOLE}
    targets = [target for target in layout.reachable_zones(source, scope) if room.get(target, 0) > 0]
    cheapest = min(targets, key=lambda target: (layout.cost(source, target), target), default=source)
    return {cheapest: WHOLE}


def _with_probe_weight(row: WeightRow, zone: ZoneState) -> WeightRow:
    """A lost or failing zone still gets a few of its own requests."""
    bad = zone.status in (ZoneStatus.LOST, ZoneStatus.FAILING)
    if not bad or row.get(zone.name, 0) >= PROBE_WEIGHT:
        return row
    rest = {target: weight for target, weight in row.items() if target != zone.name}
    parts = {target: weight * (WHOLE - PROBE_WEIGHT) for target, weight in rest.items()}
    return normalized(parts | {zone.name: PROBE_WEIGHT * sum(rest.values())})


def fallback_plans(layout: ZoneLayout, plan: TrafficPlan, links: Mapping[str, str]) -> dict[str, WeightTable]:
    """For the loss of each zone: the rows of the zones that send there.

    Only they notice, so all others are taken to go on as they do: what went to the lost zone gets what room
    is left by them, and no more. Whichever of the nodes follow it, no zone is brought over its room.
    """
    return {lost: _fallback_table(layout, plan, links, lost) for lost in layout.zones}


def _fallback_table(
    layout: ZoneLayout, plan: TrafficPlan, links: Mapping[str, str], lost: str
) -> WeightTable:
    flows, unserved = plan.allocation
    kept = {flow: slots for flow, slots in flows.items() if flow[2] != lost}
    moved = {flow[:2]: slots for flow, slots in flows.items() if flow[2] == lost and slots > 0}
    used = Allocation(kept, {}).load()
    room = {zone: max(0, most - used.get(zone, 0)) for zone, most in plan.room.items() if zone != lost}
    again = allocate(layout, room | {lost: 0}, {}, moved, links)
    table: WeightTable = {}
    for source, scope in sorted({key for key, row in _rows(plan.weights) if lost in row}):
        parts = {
            target: kept.get((source, scope, target), 0) + again.flows.get((source, scope, target), 0)
            for target in layout.reachable_zones(source, scope)
        }
        parts[source] += again.unserved.get((source, scope), 0) + unserved.get((source, scope), 0)
        table.setdefault(source, {})[scope] = _row(layout, source, scope, parts, room)
    return table


def _rows(table: WeightTable) -> Iterator[tuple[DemandKey, WeightRow]]:
    for source, rows in table.items():
        for scope, row in rows.items():
            yield (source, scope), row
