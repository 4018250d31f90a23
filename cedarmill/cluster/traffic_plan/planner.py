"""The traffic plan: route weights computed from an assessment, and fallback weights for lost zones.

The fallback weights are agreed on before a loss, so nodes can act on a loss without asking a replica.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from cedarmill.cluster.observations.assessment import ClusterAssessment, ZoneAssessment
from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.traffic_plan.allocation import Allocation, DemandKey, allocate
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.cluster.traffic_plan.state import WeightRow, WeightTable, ZoneState, ZoneStatus
from cedarmill.cluster.traffic_plan.weights import normalized

# Thousandths of the local requests that a lost or failing zone still gets, so that its recovery is observed.
PROBE_WEIGHT = 20


class AvailableSlots(NamedTuple):
    """Slots (thousandths) that are available to a plan, by zone."""

    planned: dict[str, int]
    last_resort: dict[str, int]  # used only when no planned room is left


class TrafficPlan(NamedTuple):
    """Route weights, and the load, room and allocation that they result from, in thousandths of slots."""

    weights: WeightTable
    load: dict[str, int]
    room: dict[str, int]
    missing_slots: int
    allocation: Allocation


def capacity(zone: ZoneState, assessment: ZoneAssessment) -> int:
    """Return the zone's usable slots: the reported slots, reduced by trust and by the failure share."""
    working = WHOLE - min(WHOLE, assessment.failed)
    return assessment.slots * zone.trust // WHOLE * working // WHOLE


def available_slots(
    layout: ZoneLayout, zones: Mapping[str, ZoneState], assessment: ClusterAssessment, lost_zone: str = ""
) -> AvailableSlots:
    """Return the room of each zone, with none in the zone `lost_zone`."""
    planned, last_resort = {}, {}
    for name, zone in zones.items():
        assessed = assessment.zones.get(name)
        slots = capacity(zone, assessed) * layout.max_load // WHOLE if assessed is not None else 0
        planned[name] = last_resort[name] = 0
        if name == lost_zone or zone.status == ZoneStatus.LOST:
            continue
        if zone.status == ZoneStatus.FAILING:
            last_resort[name] = slots
        else:
            planned[name] = slots * zone.open_share // WHOLE
    return AvailableSlots(planned, last_resort)


def demand_by_source(assessment: ClusterAssessment) -> dict[DemandKey, int]:
    """Return the demand (thousandths of slots) by source zone and scope."""
    return {
        (zone, scope): slots
        for zone, assessed in assessment.zones.items()
        for scope, slots in assessed.demand.items()
        if slots > 0 and scope in SCOPES
    }


def make_plan(
    layout: ZoneLayout, zones: Mapping[str, ZoneState], assessment: ClusterAssessment, lost_zone: str = ""
) -> TrafficPlan:
    """Return the plan for the current zones, or for the loss of the zone `lost_zone`."""
    room = available_slots(layout, zones, assessment, lost_zone)
    demand = demand_by_source(assessment)
    allocation = allocate(layout, room.planned, room.last_resort, demand, assessment.links)
    weights = _weights(layout, allocation, zones, room.planned)
    missing = sum(allocation.unserved.values())
    return TrafficPlan(weights, allocation.load(), room.planned, missing, allocation)


def _weights(
    layout: ZoneLayout, allocation: Allocation, zones: Mapping[str, ZoneState], room: Mapping[str, int]
) -> WeightTable:
    """Return the weights by source zone; unserved demand stays in its source zone, which rejects it."""
    table: WeightTable = {}
    for source in layout.zones:
        table[source] = {}
        for scope in SCOPES:
            slots_by_target = {
                target: allocation.flows.get((source, scope, target), 0)
                for target in layout.reachable_zones(source, scope)
            }
            slots_by_target[source] += allocation.unserved.get((source, scope), 0)
            row = _weight_row(layout, source, scope, slots_by_target, room)
            table[source][scope] = _with_probe_weight(row, zones[source])
    return table


def _weight_row(
    layout: ZoneLayout, source: str, scope: str, slots_by_target: Mapping[str, int], room: Mapping[str, int]
) -> WeightRow:
    positive = {target: slots for target, slots in slots_by_target.items() if slots > 0}
    return normalized(positive) if positive else _default_row(layout, source, scope, room)


def _default_row(layout: ZoneLayout, source: str, scope: str, room: Mapping[str, int]) -> WeightRow:
    """Return the row of a source without demand: the local zone, or else the cheapest zone with room."""
    if room.get(source, 0) > 0:
        return {source: WHOLE}
    targets = [target for target in layout.reachable_zones(source, scope) if room.get(target, 0) > 0]
    cheapest = min(targets, key=lambda target: (layout.cost(source, target), target), default=source)
    return {cheapest: WHOLE}


def _with_probe_weight(row: WeightRow, zone: ZoneState) -> WeightRow:
    """Return the row with at least the probe weight for the local zone if that is lost or failing."""
    is_bad = zone.status in (ZoneStatus.LOST, ZoneStatus.FAILING)
    if not is_bad or row.get(zone.name, 0) >= PROBE_WEIGHT:
        return row
    rest = {target: weight for target, weight in row.items() if target != zone.name}
    scaled = {target: weight * (WHOLE - PROBE_WEIGHT) for target, weight in rest.items()}
    return normalized(scaled | {zone.name: PROBE_WEIGHT * sum(rest.values())})


def fallback_plans(layout: ZoneLayout, plan: TrafficPlan, links: Mapping[str, str]) -> dict[str, WeightTable]:
    """Return for the loss of each zone the rows of the zones that send requests there.

    Only these zones detect the loss, so all other flows are assumed to stay. The lost zone's flows get only
    the room that the others leave, so no zone exceeds its room, whichever nodes use the fallback.
    """
    return {lost: _fallback_table(layout, plan, links, lost) for lost in layout.zones}


def _fallback_table(
    layout: ZoneLayout, plan: TrafficPlan, links: Mapping[str, str], lost: str
) -> WeightTable:
    flows, unserved = plan.allocation
    remaining = {flow: slots for flow, slots in flows.items() if flow[2] != lost}
    displaced = {flow[:2]: slots for flow, slots in flows.items() if flow[2] == lost and slots > 0}
    used = Allocation(remaining, {}).load()
    room = {zone: max(0, limit - used.get(zone, 0)) for zone, limit in plan.room.items() if zone != lost}
    reallocation = allocate(layout, room | {lost: 0}, {}, displaced, links)
    table: WeightTable = {}
    for source, scope in sorted({key for key, row in _iterate_rows(plan.weights) if lost in row}):
        slots_by_target = {
            target: remaining.get((source, scope, target), 0)
            + reallocation.flows.get((source, scope, target), 0)
            for target in layout.reachable_zones(source, scope)
        }
        slots_by_target[source] += reallocation.unserved.get((source, scope), 0) + unserved.get(
            (source, scope), 0
        )
        table.setdefault(source, {})[scope] = _weight_row(layout, source, scope, slots_by_target, room)
    return table


def _iterate_rows(table: WeightTable) -> Iterator[tuple[DemandKey, WeightRow]]:
    for source, rows in table.items():
        for scope, row in rows.items():
            yield (source, scope), row
