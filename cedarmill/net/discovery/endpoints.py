"""Discovery's endpoint list: its entries as they are written, and as the balancer takes them."""

from typing import NamedTuple

import msgspec

from cedarmill.decisions import interface as api
from cedarmill.net.loop import EventLoopDriver, unix_us

STAMP_SLACK_US = 1_000_000  # an executor may be listed so much later than it started, as lists may come late

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
    """The whole list, or what has changed in it."""

    index: int
    snapshot: bool
    endpoints: list[Endpoint]


class ExecutorStart(NamedTuple):
    """When an executor's process started: discovery's stamp (Unix ms), and that on the node's clock (us)."""

    since_ms: int
    at_us: int


class EndpointReader:
    """Turns discovery's entries into the balancer's; executors are numbered as they become known.

    Discovery stamps starts in Unix time. The wall clock of this machine may be stepped against it, before or
    while this process runs, so a stamp is read once, when it is new: the same stamp is the same process,
    whose start does not move. It is read by the wall clock as it stood at the start and as it stands now,
    and the later start of the two holds: an executor that is taken for too young gets too little for a
    while, one that is taken for too old gets more than one that warms up bears.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}  # the other way round
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.kinds = {name: n for n, name in enumerate(settings.kinds)}
        self.starts: dict[str, ExecutorStart] = {}  # by name; none of those that started long ago
        self._first_offset_us = unix_us() - EventLoopDriver.now()  # of Unix time against the node's clock

    def entry(self, raw: Endpoint, now: int, listed_before: int | None = None) -> api.EndpointEntry:
        """Read an entry at `now` (us); a zone or kind that the settings do not name is one of its own.

        `listed_before`: a time at which the list was known to be the newest; whoever is new since, or has a
        new stamp, started later.
        """
        number = self.numbers.setdefault(raw.name, len(self.numbers) + 1)
        self.names[number] = raw.name
        return api.EndpointEntry(
            number,
            _STATES.get(raw.status, api.ExecutorState.DRAINING),  # one not known yet: nothing new goes there
            self.zones.setdefault(raw.zone, len(self.zones)),
            raw.group,
            self._started_at(raw, now, listed_before) if raw.since_ms else 0,
            raw.weight,
            self.kinds.setdefault(raw.type, len(self.kinds)),
        )

    def _started_at(self, raw: Endpoint, now: int, listed_before: int | None) -> int:
        known = self.starts.get(raw.name)
        if known is None or raw.since_ms != known.since_ms:
            older = known is not None and raw.since_ms < known.since_ms  # an old list: it tells of the past
            at_us = self._read_stamp(raw.since_ms, now, None if older else listed_before)
            known = self.starts[raw.name] = ExecutorStart(raw.since_ms, at_us)
        return known.at_us

    def _read_stamp(self, since_ms: int, now: int, listed_before: int | None) -> int:
        """A new stamp in the node's clock, bounded by what this node saw itself."""
        offset_us = min(self._first_offset_us, unix_us() - now)
        at_us = since_ms * 1000 - offset_us
        if listed_before is not None and at_us < listed_before - STAMP_SLACK_US:
            at_us = listed_before  # the clocks differ: the stamp says nothing
        return max(1, min(at_us, now))
