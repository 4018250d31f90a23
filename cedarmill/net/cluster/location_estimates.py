"""What a node holds of zones and of groups of executors in them: how many, their slots, and those in use."""

from typing import NamedTuple

from cedarmill.cluster.observations.log import LocationEstimate
from cedarmill.decisions import interface as api
from cedarmill.net.discovery.client import DiscoveryClient


class _SlotEstimate(NamedTuple):
    """Of one executor, in slots."""

    total: float
    free: float


class LocationEstimates:
    """Reads the listed executors, and what the balancer has learned of them."""

    def __init__(self, discovery: DiscoveryClient) -> None:
        self.discovery, self.dispatch = discovery, discovery.dispatch
        self.zone_names: dict[int, str] = {}
        self.kind_names: dict[int, str] = {}
        self.learn_names()

    def learn_names(self) -> None:
        """Discovery may list zones and kinds that the settings do not name."""
        reader = self.discovery.reader
        self.zone_names = {number: name for name, number in reader.zones.items()}
        self.kind_names = {number: name for name, number in reader.kinds.items()}

    def estimate(self, now: int) -> dict[str, LocationEstimate]:
        """By zone, and by `ZONE/KIND`: executors that may be sent to; slots in thousandths."""
        self.learn_names()
        usual = self._usual_slots()
        sums: dict[str, list[int]] = {}
        for number, entry in self.discovery.entries.items():
            name = self.discovery.reader.names_by_number[number]
            if entry.state != api.ExecutorState.READY or name in self.discovery.excluded:
                continue
            slots = self._slots(number, entry, usual)
            warm_share = self._warm_share(entry, now)
            zone = self.zone_names.get(entry.zone, "")
            kind = self.kind_names.get(entry.kind)
            for location in (zone,) if kind is None else (zone, f"{zone}/{kind}"):
                total = sums.setdefault(location, [0, 0, 0])
                total[0] += 1
                total[1] += int(1000 * slots.total * warm_share)
                total[2] += int(1000 * max(0.0, slots.total - slots.free))
        return {location: LocationEstimate(*total) for location, total in sums.items()}

    def _usual_slots(self) -> float:
        """The slots of an executor that has reported nothing yet."""
        executors = self.dispatch.balancer.executors.values()
        reported = [executor.slots for executor in executors if executor.listed and executor.last_response_at]
        return sum(reported) / len(reported) if reported else 1.0

    def _slots(self, number: int, entry: api.EndpointEntry, usual: float) -> _SlotEstimate:
        balancer = self.dispatch.balancer
        executor = balancer.executors.get(number)
        if executor is None or not executor.last_response_at:
            return _SlotEstimate(usual, usual)
        slots = max(executor.slots, balancer.state.learned.slots_by_kind.get(entry.kind, 1.0))
        return _SlotEstimate(slots, max(0.0, executor.capacity - executor.held_slots))

    def _warm_share(self, entry: api.EndpointEntry, now: int) -> float:
        """The share of its slots that an executor has while it warms up."""
        settings = self.dispatch.balancer.settings
        age = now - entry.started_at
        if not entry.started_at or age >= settings.cold_us:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * age / settings.cold_us
