"""The layout of zones and regions from the operator's settings."""

import msgspec

SAME_REGION_COST = 1  # default cost of a link within a region
OTHER_REGION_COST = 10  # default cost of a link between regions


class ZoneLayout(msgspec.Struct, array_like=True, frozen=True):
    """Zones by region, link costs and the settings that hold for all zones."""

    regions: dict[str, list[str]] = {}  # zones by region
    costs: dict[str, int] = {}  # by `from>to`; latency and price combined
    max_load: int = 900  # thousandths of a zone's slots that a plan may use
    sheds_load: bool = False  # whether the cluster agrees on an admission level
    gossip: bool = False  # whether nodes exchange the load reports of executors

    @property
    def zones(self) -> list[str]:
        """The names of all zones, sorted."""
        return sorted(zone for zones in self.regions.values() for zone in zones)

    def region(self, zone: str) -> str:
        """Return the zone's region, or an empty string if the layout lacks the zone."""
        return next((name for name, zones in self.regions.items() if zone in zones), "")

    def reachable_zones(self, zone: str, scope: str) -> list[str]:
        """Return the zones in which a request that arrives in `zone` with this scope may run."""
        if scope == "zone":
            return [zone]
        return sorted(self.regions[self.region(zone)]) if scope == "region" else self.zones

    def cost(self, source: str, target: str) -> int:
        """Return the cost of sending a request from one zone to the other."""
        if source == target:
            return 0
        same_region = self.region(source) == self.region(target)
        return self.costs.get(f"{source}>{target}", SAME_REGION_COST if same_region else OTHER_REGION_COST)
