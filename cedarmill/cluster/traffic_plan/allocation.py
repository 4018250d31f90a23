"""Allocation of demand to the slots of zones: first in the local zone, then in other zones by cost.

No zone is allocated more than its room. Demand that may not leave its zone or region stays there, and counts
as unserved where there is no room.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.observations.verdicts import LinkState
from cedarmill.cluster.traffic_plan.layout import ZoneLayout

LOCAL_GROWTH_RESERVE = 50  # thousandths of a zone's local load, kept free for its growth
DEGRADED_LINK_SURCHARGE = 1000  # cost; higher than the usual costs, so that degraded links are used last
BALANCING_ROUNDS = 4

DemandKey = tuple[str, str]  # source zone, scope
FlowKey = tuple[str, str, str]  # source zone, scope, target zone


class Allocation(NamedTuple):
    """Allocated demand by flow and unserved demand by source, both in thousandths of slots."""

    flows: dict[FlowKey, int]
    unserved: dict[DemandKey, int]

    def load(self) -> dict[str, int]:
        """Return the allocated slots (thousandths) by target zone."""
        total: dict[str, int] = {}
        for (_, _, target), slots in self.flows.items():
            total[target] = total.get(target, 0) + slots
        return total


def allocate(
    layout: ZoneLayout,
    room: Mapping[str, int],
    last_resort: Mapping[str, int],
    demand: Mapping[DemandKey, int],
    links: Mapping[str, str],
) -> Allocation:
    """Allocate demand to the zones' `room`, strictest scope first, then to the `last_resort` room.

    Scopes are nested (zone, region, any), so this order serves as much demand as any allocation could. That
    does not hold where links are gone: then flows are displaced to make room.
    """
    allocator = _Allocator(
        layout, links, dict(room), {key: slots for key, slots in demand.items() if slots > 0}
    )
    for scope in SCOPES:
        allocator.fill_local(scope)
        allocator.spill(scope, allocator.headroom())
    allocator.displace()
    allocator.free = dict(last_resort)
    for scope in SCOPES:
        allocator.fill_local(scope)
        allocator.spill(scope, dict(allocator.free))
    return Allocation(allocator.flows, {key: slots for key, slots in allocator.unserved.items() if slots})


@dataclass(slots=True)
class _Claim:
    """Unserved demand and its target zones of equal cost."""

    key: DemandKey
    targets: list[str]


@dataclass(slots=True)
class _Allocator:
    """The allocation in progress: free slots, unserved demand and flows, in thousandths of slots."""

    layout: ZoneLayout
    links: Mapping[str, str]
    free: dict[str, int]
    unserved: dict[DemandKey, int]
    flows: dict[FlowKey, int] = field(default_factory=dict)

    def fill_local(self, scope: str) -> None:
        """Allocate the demand of a scope to free slots in its source zone."""
        for key in self._unserved_keys(scope):
            zone = key[0]
            self._assign(key, zone, min(self.unserved[key], max(0, self.free.get(zone, 0))))

    def headroom(self) -> dict[str, int]:
        """Return each zone's free slots for demand of other zones, less a reserve for local growth."""
        headroom_by_zone = {}
        for zone, free in self.free.items():
            local_slots = sum(self.flows.get((zone, scope, zone), 0) for scope in SCOPES)
            headroom_by_zone[zone] = max(0, free - local_slots * LOCAL_GROWTH_RESERVE // WHOLE)
        return headroom_by_zone

    def spill(self, scope: str, headroom: dict[str, int]) -> None:
        """Allocate unserved demand to other zones, cheapest first, in proportion to room at equal cost."""
        tiers: dict[int, list[_Claim]] = {}
        for key in self._unserved_keys(scope):
            if not self.unserved.get(key):
                continue
            by_cost: dict[int, list[str]] = {}
            for target in self.layout.reachable_zones(*key):
                if target != key[0] and headroom.get(target, 0) > 0 and self._is_connected(key[0], target):
                    by_cost.setdefault(self._cost(key[0], target), []).append(target)
            for cost, targets in by_cost.items():
                tiers.setdefault(cost, []).append(_Claim(key, targets))
        for cost in sorted(tiers):
            self._balance(headroom, tiers[cost])

    def displace(self) -> None:
        """Make room for unserved demand by moving other flows to reachable zones with free slots."""
        for key in sorted(key for key, slots in self.unserved.items() if slots):
            for target in [key[0], *self.layout.reachable_zones(*key)]:
                if not self._is_connected(key[0], target):
                    continue
                for flow in sorted(flow for flow in self.flows if flow[2] == target and flow[:2] != key):
                    self._displace_flow(key, flow)

    def _displace_flow(self, key: DemandKey, flow: FlowKey) -> None:
        source, scope, target = flow
        for other in self.layout.reachable_zones(source, scope):
            if other == target or not self._is_connected(source, other):
                continue
            slots = min(self.unserved[key], self.flows[flow], max(0, self.free.get(other, 0)))
            if slots > 0:
                self.flows[flow] -= slots
                self._add_flow((source, scope, other), slots)
                self.free[other] -= slots
                self._add_flow((*key, target), slots)
                self.unserved[key] -= slots

    def _balance(self, headroom: dict[str, int], claims: list[_Claim]) -> None:
        """Split each claim over its targets by room; an overbooked zone grants claims in proportion."""
        for _ in range(BALANCING_ROUNDS):
            requested = self._requested_slots(headroom, claims)
            if not requested:
                return
            for target in sorted(requested):
                total, room = sum(slots for _, slots in requested[target]), headroom[target]
                for key, slots in requested[target]:
                    granted = slots if total <= room else slots * room // total
                    granted = min(granted, self.unserved[key], headroom[target])
                    headroom[target] -= max(0, granted)
                    self._assign(key, target, granted)

    def _requested_slots(
        self, headroom: Mapping[str, int], claims: list[_Claim]
    ) -> dict[str, list[tuple[DemandKey, int]]]:
        """Return the claims' requested slots by target zone."""
        requested: dict[str, list[tuple[DemandKey, int]]] = {}
        for claim in claims:
            rooms = {target: headroom[target] for target in claim.targets if headroom[target] > 0}
            total = sum(rooms.values())
            wanted = min(self.unserved[claim.key], total)
            for target, room in rooms.items():
                if slots := -(-wanted * room // total):
                    requested.setdefault(target, []).append((claim.key, slots))
        return requested

    def _unserved_keys(self, scope: str) -> list[DemandKey]:
        return sorted(key for key in self.unserved if key[1] == scope)

    def _assign(self, key: DemandKey, target: str, slots: int) -> None:
        if slots > 0:
            self._add_flow((*key, target), slots)
            self.unserved[key] -= slots
            self.free[target] -= slots

    def _add_flow(self, flow: FlowKey, slots: int) -> None:
        self.flows[flow] = self.flows.get(flow, 0) + slots

    def _is_connected(self, source: str, target: str) -> bool:
        return source == target or self.links.get(f"{source}>{target}") != LinkState.GONE

    def _cost(self, source: str, target: str) -> int:
        degraded = self.links.get(f"{source}>{target}") == LinkState.DEGRADED
        return self.layout.cost(source, target) + (DEGRADED_LINK_SURCHARGE if degraded else 0)
