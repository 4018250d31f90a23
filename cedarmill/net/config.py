"""The node's configuration, and discovery's lists, decoded by msgspec."""

import os
import socket
import time
from typing import Annotated

import msgspec

from cedarmill.decisions import interface as api
from cedarmill.decisions.settings import from_operator

_STATES = {
    "SERVING": api.WorkerState.READY,
    "DRAINING": api.WorkerState.DRAINING,
    "DELETED": api.WorkerState.GONE,
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


class ListReader:
    """Turns discovery's entries into the brain's; executors are numbered as they become known."""

    def __init__(self, settings: api.Settings) -> None:
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}  # the other way round
        self.zones = {name: n for n, name in enumerate(settings.zones)}
        self.kinds = {name: n for n, name in enumerate(settings.kinds)}
        # taken once: a start that moved by a microsecond between two lists would look like a restart
        self._unix_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def at(self, unix_us: int) -> int:
        """A Unix time in the brain's clock."""
        return max(1, unix_us - self._unix_us)

    def entry(self, raw: Endpoint) -> api.WorkerEntry:
        """One entry; a zone or kind that the settings do not name is one of its own."""
        number = self.numbers.setdefault(raw.name, len(self.numbers) + 1)
        self.names[number] = raw.name
        return api.WorkerEntry(
            number,
            _STATES.get(raw.status, api.WorkerState.DRAINING),  # one not known yet: nothing new goes there
            self.zones.setdefault(raw.zone, len(self.zones)),
            raw.group,
            self.at(raw.since_ms * 1000) if raw.since_ms else 0,
            raw.weight,
            self.kinds.setdefault(raw.type, len(self.kinds)),
        )
