"""The layout of zones and regions, as an operator's settings describe it."""

import msgspec

SAME_REGION_COST = 1  # of a link, where the settings name none
OTHER_REGION_COST = 10


class ZoneLayout(msgspec.Struct, array_like=True, frozen=True):
    """Regions, their zones, and what the settings say of all of them."""

    regions: dict[str, list[str]] = {}  # zones by region
    costs: dict[str, int] = {}  # by `from>to`: latency and price together, as the operator weighs them
    max_load: int = 900  # thousandths of a zone's slots that a plan may use
    sheds_load: bool = False  # whether the cluster agrees on an admission level
    gossip: bool = False  # whether nodes tell each other what executors report

    @property
    def zones(self) -> list[str]:
        """All zones by name."""
        return sorted(zone for zones in self.regions.values() for zone in zones)

    def region(self, zone: str) -> str:
        """The zone's region; empty if there is none."""
        return next((name for name, zones in self.regions.items() if zone in zones), "")

    def reachable_zones(self, zone: str, scope: str) -> list[str]:
        """The zones in which a request of this scope may run that came to this zone."""
        if scope == "zone":
            return [zone]
        return sorted(self.regions[self.region(zone)]) if scope == "region" else self.zones

    def cost(self, source: str, target: str) -> int:
        """Of sending a request from one zone to the other."""
        if source == target:
            return 0
        same_region = self.region(source) == self.region(target)
        return self.costs.get(f"{source}>{target}", SAME_REGION_COST if same_region else OTHER_REGION_COST)
