"""The allocation of demand to zones' slots: local first, then by cost to zones with room.

No zone is given more than its room. A request that may not leave its zone or region stays there, even where
it finds no room.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.observations.digest import SCOPES, WHOLE
from cedarmill.cluster.observations.verdicts import LinkState
from cedarmill.cluster.traffic_plan.layout import ZoneLayout

LOCAL_GROWTH = 50  # thousandths by which a zone's own demand may grow before others have moved away
DEGRADED_LINK_COST = 1000  # added to the cost of a link that loses some requests: it is used last
BALANCING_ROUNDS = 4  # in which zones of equal cost are filled

DemandKey = tuple[str, str]  # the zone that requests came to, and their scope
FlowKey = tuple[str, str, str]  # the same, and the zone that receives them


class Allocation(NamedTuple):
    """Slots (thousandths) by flow, and those that find no room."""

    flows: dict[FlowKey, int]
    unserved: dict[DemandKey, int]

    def load(self) -> dict[str, int]:
        """Slots by the zone that receives."""
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
    """Fill the zones' `room` from the strictest scope to the freest, then the `last_resort`.

    Since a zone lies in a region and a region in the whole, strictest first serves as much as any allocation
    could. Where links are gone this no longer holds: then flows are displaced to make room.
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
    """Demand that asks zones of equal cost for room."""

    key: DemandKey
    targets: list[str]


@dataclass(slots=True)
class _Allocator:
    layout: ZoneLayout
    links: Mapping[str, str]
    free: dict[str, int]
    unserved: dict[DemandKey, int]
    flows: dict[FlowKey, int] = field(default_factory=dict)

    def fill_local(self, scope: str) -> None:
        """Give each zone's own demand of that scope what is free there."""
        for key in self._keys(scope):
            zone = key[0]
            self._put(key, zone, min(self.unserved[key], max(0, self.free.get(zone, 0))))

    def headroom(self) -> dict[str, int]:
        """What is free for other zones' demand, by zone: room for growth of its own is kept."""
        found = {}
        for zone, free in self.free.items():
            own = sum(self.flows.get((zone, scope, zone), 0) for scope in SCOPES)
            found[zone] = max(0, free - own * LOCAL_GROWTH // WHOLE)
        return found

    def spill(self, scope: str, headroom: dict[str, int]) -> None:
        """Give what is unserved to other zones, the cheapest first; of equal cost in proportion to room."""
        tiers: dict[int, list[_Claim]] = {}
        for key in self._keys(scope):
            if not self.unserved.get(key):
                continue
            by_cost: dict[int, list[str]] = {}
            for target in self.layout.reachable_zones(*key):
                if target != key[0] and headroom.get(target, 0) > 0 and self._carries(key[0], target):
                    by_cost.setdefault(self._cost(key[0], target), []).append(target)
            for cost, targets in by_cost.items():
                tiers.setdefault(cost, []).append(_Claim(key, targets))
        for cost in sorted(tiers):
            self._balance(headroom, tiers[cost])

    def displace(self) -> None:
        """Where links lead too few ways: move flows of others aside, to room that only they reach."""
        for key in sorted(key for key, slots in self.unserved.items() if slots):
            for target in [key[0], *self.layout.reachable_zones(*key)]:
                if not self._carries(key[0], target):
                    continue
                for flow in sorted(flow for flow in self.flows if flow[2] == target and flow[:2] != key):
                    self._displace_flow(key, flow)

    def _displace_flow(self, key: DemandKey, flow: FlowKey) -> None:
        source, scope, target = flow
        for other in self.layout.reachable_zones(source, scope):
            if other == target or not self._carries(source, other):
                continue
            slots = min(self.unserved[key], self.flows[flow], max(0, self.free.get(other, 0)))
            if slots > 0:
                self.flows[flow] -= slots
                self._add_flow((source, scope, other), slots)
                self.free[other] -= slots
                self._add_flow((*key, target), slots)
                self.unserved[key] -= slots

    def _balance(self, headroom: dict[str, int], claims: list[_Claim]) -> None:
        """Each claim asks zones in proportion to room; a zone asked for too much gives in proportion."""
        for _ in range(BALANCING_ROUNDS):
            asked = self._asked(headroom, claims)
            if not asked:
                return
            for target in sorted(asked):
                total, room = sum(part for _, part in asked[target]), headroom[target]
                for key, part in asked[target]:
                    given = part if total <= room else part * room // total
                    given = min(given, self.unserved[key], headroom[target])
                    headroom[target] -= max(0, given)
                    self._put(key, target, given)

    def _asked(
        self, headroom: Mapping[str, int], claims: list[_Claim]
    ) -> dict[str, list[tuple[DemandKey, int]]]:
        """Slots asked for, by the zone that is asked."""
        asked: dict[str, list[tuple[DemandKey, int]]] = {}
        for claim in claims:
            rooms = {target: headroom[target] for target in claim.targets if headroom[target] > 0}
            total = sum(rooms.values())
            wanted = min(self.unserved[claim.key], total)
            for target, room in rooms.items():
                if part := -(-wanted * room // total):
                    asked.setdefault(target, []).append((claim.key, part))
        return asked

    def _keys(self, scope: str) -> list[DemandKey]:
        return sorted(key for key in self.unserved if key[1] == scope)

    def _put(self, key: DemandKey, target: str, slots: int) -> None:
        if slots > 0:
            self._add_flow((*key, target), slots)
            self.unserved[key] -= slots
            self.free[target] -= slots

    def _add_flow(self, flow: FlowKey, slots: int) -> None:
        self.flows[flow] = self.flows.get(flow, 0) + slots

    def _carries(self, source: str, target: str) -> bool:
        return source == target or self.links.get(f"{source}>{target}") != LinkState.GONE

    def _cost(self, source: str, target: str) -> int:
        degraded = self.links.get(f"{source}>{target}") == LinkState.DEGRADED
        return self.layout.cost(source, target) + (DEGRADED_LINK_COST if degraded else 0)
