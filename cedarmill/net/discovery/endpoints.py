"""Discovery's endpoint list, and its conversion to the balancer's entries."""

from typing import NamedTuple

import msgspec

from cedarmill.decisions import interface as api
from cedarmill.net.loop import EventLoopDriver, unix_us

LISTING_DELAY_US = 1_000_000  # longest assumed time between an executor's start and its listing

_STATES = {
    "SERVING": api.ExecutorState.READY,
    "DRAINING": api.ExecutorState.DRAINING,
    "DELETED": api.ExecutorState.GONE,
}


class Endpoint(msgspec.Struct):
    """One entry of discovery's list."""

    name: str
    status: str
    address: str = ""
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: int = 0


class Listing(msgspec.Struct):
    """The whole list if `snapshot`, else the changed entries."""

    index: int
    snapshot: bool
    endpoints: list[Endpoint]


class ExecutorStart(NamedTuple):
    """When an executor's process started: discovery's stamp (Unix ms) and the node's clock (us)."""

    since_ms: int
    started_at_us: int


class EndpointReader:
    """Converts discovery's entries to the balancer's, and numbers the executors.

    Discovery stamps starts in Unix time, while this machine's wall clock may be stepped at any time. A stamp
    is therefore converted once, when it is new: an unchanged stamp is the same process with the same start.
    The conversion uses the wall clock's offset at this process's start and the present one, and takes the
    later result: an executor taken for too young gets too little load for a while, one taken for too old gets
    more than it can serve while warming up.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.numbers_by_name: dict[str, int] = {}
        self.names_by_number: dict[int, str] = {}  # the inverse of `numbers_by_name`
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.kinds = {name: n for n, name in enumerate(settings.kinds)}
        self.starts: dict[str, ExecutorStart] = {}  # by name; without executors that have no stamp
        self._initial_unix_offset_us = unix_us() - EventLoopDriver.now()  # Unix time minus the node's clock

    def to_entry(self, endpoint: Endpoint, now: int, list_current_at: int | None = None) -> api.EndpointEntry:
        """Convert an entry at `now` (us); a zone or kind missing in the settings gets a number of its own.

        `list_current_at` is a time at which the list was known to be up to date: executors and stamps that
        are new since then are taken as started later.
        """
        number = self.numbers_by_name.setdefault(endpoint.name, len(self.numbers_by_name) + 1)
        self.names_by_number[number] = endpoint.name
        return api.EndpointEntry(
            number,
            _STATES.get(endpoint.status, api.ExecutorState.DRAINING),  # an unknown status counts as draining
            self.zones.setdefault(endpoint.zone, len(self.zones)),
            endpoint.group,
            self._started_at(endpoint, now, list_current_at) if endpoint.since_ms else 0,
            endpoint.weight,
            self.kinds.setdefault(endpoint.type, len(self.kinds)),
        )

    def _started_at(self, endpoint: Endpoint, now: int, list_current_at: int | None) -> int:
        start = self.starts.get(endpoint.name)
        if start is None or endpoint.since_ms != start.since_ms:
            is_older = start is not None and endpoint.since_ms < start.since_ms  # from an outdated list
            started_at_us = self._to_node_clock(endpoint.since_ms, now, None if is_older else list_current_at)
            start = self.starts[endpoint.name] = ExecutorStart(endpoint.since_ms, started_at_us)
        return start.started_at_us

    def _to_node_clock(self, since_ms: int, now: int, list_current_at: int | None) -> int:
        """Convert a new stamp to the node's clock, within the bounds that this node has observed."""
        offset_us = min(self._initial_unix_offset_us, unix_us() - now)
        started_at_us = since_ms * 1000 - offset_us
        if list_current_at is not None and started_at_us < list_current_at - LISTING_DELAY_US:
            started_at_us = list_current_at  # the clocks differ, so the stamp is unusable
        return max(1, min(started_at_us, now))
