"""The node's configuration, as the platform gives it at the start and with SIGHUP (JSON, environment)."""

import os
import socket
from typing import Annotated

import msgspec

from cedarmill.decisions.settings import from_operator
from cedarmill.net.discovery.endpoints import Listing


class ConfigError(Exception):
    """A configuration that the node cannot start with, in one line."""


class Address(msgspec.Struct, frozen=True):
    """A numeric host and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """The address of HOST:PORT; raises ValueError."""
        host, colon, port = text.rpartition(":")
        if not (colon and host and port.isdecimal() and int(port) < 65536):
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host.strip("[]"), int(port))


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
    """Where the admin API listens: `$LB_MGMT`, else the configuration's `mgmt`, else nowhere."""
    by_environment = os.environ.get("LB_MGMT")
    text, source = (by_environment, "LB_MGMT") if by_environment else (configured, "mgmt")
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
