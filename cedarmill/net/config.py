"""The node's configuration, and discovery's lists, decoded by msgspec."""

import os
import socket
from typing import Annotated, NamedTuple

import msgspec

from cedarmill.decisions import interface as api
from cedarmill.decisions.settings import from_operator
from cedarmill.net.loop import EventLoopDriver, unix_us

STAMP_SLACK_US = (
    1_000_000  # an executor may be listed so much later than it started, as the list is told late
)

_STATES = {
    "SERVING": api.ExecutorState.READY,
    "DRAINING": api.ExecutorState.DRAINING,
    "DELETED": api.ExecutorState.GONE,
}


class ConfigError(Exception):
    """A configuration that the node cannot start with, in one line."""


class Address(msgspec.Struct, frozen=True):
    """A numeric host and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        host, colon, port = text.rpartition(":")
        if not (colon and host and port.isdecimal() and int(port) < 65536):
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host.strip("[]"), int(port))


class Endpoint(msgspec.Struct):
    """One line of discovery's list."""

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


class Limits(msgspec.Struct):
    """What the machine grants the node."""

    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024  # fewer leave no room to serve
    memory_mb: Annotated[float, msgspec.Meta(ge=32)] = 192.0


class _File(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    seed: str
    known: Listing
    settings: msgspec.Raw
    limits: Limits = msgspec.field(default_factory=Limits)
    mgmt: str = ""


class Config:
    """All that a node is told at its start."""

    def __init__(self, text: bytes) -> None:
        try:
            raw = msgspec.json.decode(text, type=_File)
            self.settings = from_operator(msgspec.json.decode(raw.settings))
            self.listen, self.discovery = Address.parse(raw.listen), Address.parse(raw.discovery)
            self.seed = int(raw.seed, 16)
        except (ValueError, msgspec.MsgspecError) as error:
            raise ConfigError(f"configuration: {error}") from None
        self.name, self.known, self.limits = raw.name, raw.known, raw.limits
        self.mgmt = _mgmt(raw.mgmt)

    @classmethod
    def load(cls, path: str) -> "Config":
        """Read and decode a file; raises ConfigError or OSError."""
        with open(path, "rb") as file:
            return cls(file.read())

    def fixed_changes(self, other: "Config") -> list[str]:
        """What differs there of all that a running node keeps as it is."""
        fixed = ("name", "listen", "limits", "settings")
        return [name for name in fixed if getattr(self, name) != getattr(other, name)]


def _mgmt(configured: str) -> Address | None:
    """Where the operators' door listens: `$LB_MGMT`, else the configuration's `mgmt`, else nowhere."""
    told = os.environ.get("LB_MGMT")
    text, source = (told, "LB_MGMT") if told else (configured, "mgmt")
    try:
        return Address.parse(text) if text else None
    except ValueError as error:
        raise ConfigError(f"{source}: {error}") from None


def inherited_socket() -> socket.socket | None:
    """The clients' listening socket that the platform holds, named by `$LB_SOCKET_FD`; raises ConfigError."""
    text = os.environ.get("LB_SOCKET_FD")
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"LB_SOCKET_FD={text}: not a descriptor's number")
    try:
        sock = socket.socket(fileno=int(text))
    except OSError as error:
        raise ConfigError(f"LB_SOCKET_FD={text}: {error.strerror or error}") from None
    try:
        accepts = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        listening = sock.type == socket.SOCK_STREAM and accepts
    except OSError:
        listening = False
    if not listening:
        sock.detach()  # not ours to close
        raise ConfigError(f"LB_SOCKET_FD={text}: not a listening TCP socket")
    return sock


class Start(NamedTuple):
    """When an executor's process started: discovery's stamp (Unix ms), and that on the brain's clock (us)."""

    since_ms: int
    at_us: int


class ListReader:
    """Turns discovery's entries into the brain's; executors are numbered as they become known.

    Discovery stamps starts in Unix time. The wall clock of this machine may be stepped against it, before or
    while this process runs, so a stamp is read once, when it is new: the same stamp is the same process,
    whose start does not move. It is read by the wall clock as it stood at the start and as it stands now,
    and the later start of the two holds: an executor that is taken for too young gets too little for a
    while, one that is taken for too old gets more than a cold one bears.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}  # the other way round
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.kinds = {name: n for n, name in enumerate(settings.kinds)}
        self.starts: dict[str, Start] = {}  # by name; none of those that started long ago
        self._first_offset_us = unix_us() - EventLoopDriver.now()  # of Unix time against the brain's clock

    def entry(self, raw: Endpoint, now: int, listed_before: int | None = None) -> api.EndpointEntry:
        """One entry, read at `now`; a zone or kind that the settings do not name is one of its own.

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
            known = self.starts[raw.name] = Start(raw.since_ms, at_us)
        return known.at_us

    def _read_stamp(self, since_ms: int, now: int, listed_before: int | None) -> int:
        """A new stamp in the brain's clock, bounded by what this node saw itself."""
        offset_us = min(self._first_offset_us, unix_us() - now)
        at_us = since_ms * 1000 - offset_us
        if listed_before is not None and at_us < listed_before - STAMP_SLACK_US:
            at_us = listed_before  # the clocks differ: the stamp says nothing
        return max(1, min(at_us, now))
