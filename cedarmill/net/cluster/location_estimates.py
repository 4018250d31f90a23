"""Estimates the executors, slots and slots in use of each zone, and of each kind of executor in a zone."""

from typing import NamedTuple

from cedarmill.cluster.observations.log import LocationEstimate
from cedarmill.decisions import interface as api
from cedarmill.net.discovery.client import DiscoveryClient


class _SlotEstimate(NamedTuple):
    """Total and free slots of one executor."""

    total: float
    free: float


class LocationEstimates:
    """Builds estimates from the endpoint list and the load reports that the balancer has received."""

    def __init__(self, discovery: DiscoveryClient) -> None:
        self.discovery, self.dispatch = discovery, discovery.dispatch
        self.zone_names: dict[int, str] = {}
        self.kind_names: dict[int, str] = {}
        self.update_names()

    def update_names(self) -> None:
        """Refresh the names of zones and kinds; discovery may list ones that the settings do not contain."""
        reader = self.discovery.reader
        self.zone_names = {number: name for name, number in reader.zones.items()}
        self.kind_names = {number: name for name, number in reader.kinds.items()}

    def estimate(self, now: int) -> dict[str, LocationEstimate]:
        """Return estimates of the usable executors, by zone and by `ZONE/KIND`; slots in thousandths."""
        self.update_names()
        default_slots = self._mean_reported_slots()
        sums: dict[str, list[int]] = {}
        for number, entry in self.discovery.entries.items():
            name = self.discovery.reader.names_by_number[number]
            if entry.state != api.ExecutorState.READY or name in self.discovery.excluded:
                continue
            slots = self._estimate_slots(number, entry, default_slots)
            warm_share = self._warm_share(entry, now)
            zone = self.zone_names.get(entry.zone, "")
            kind = self.kind_names.get(entry.kind)
            for location in (zone,) if kind is None else (zone, f"{zone}/{kind}"):
                fields = sums.setdefault(location, [0, 0, 0])
                fields[0] += 1
                fields[1] += int(1000 * slots.total * warm_share)
                fields[2] += int(1000 * max(0.0, slots.total - slots.free))
        return {location: LocationEstimate(*fields) for location, fields in sums.items()}

    def _mean_reported_slots(self) -> float:
        """Return the mean slots of executors that have reported, assumed for those that have not."""
        executors = self.dispatch.balancer.executors.values()
        reported = [executor.slots for executor in executors if executor.listed and executor.last_response_at]
        return sum(reported) / len(reported) if reported else 1.0

    def _estimate_slots(self, number: int, entry: api.EndpointEntry, default_slots: float) -> _SlotEstimate:
        balancer = self.dispatch.balancer
        executor = balancer.executors.get(number)
        if executor is None or not executor.last_response_at:
            return _SlotEstimate(default_slots, default_slots)
        slots = max(executor.slots, balancer.state.learned.slots_by_kind.get(entry.kind, 1.0))
        return _SlotEstimate(slots, max(0.0, executor.capacity - executor.held_slots))

    def _warm_share(self, entry: api.EndpointEntry, now: int) -> float:
        """Return the share of its slots that an executor can use while warming up."""
        settings = self.dispatch.balancer.settings
        age = now - entry.started_at
        if not entry.started_at or age >= settings.cold_us:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * age / settings.cold_us
