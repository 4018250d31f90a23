"""The node's configuration: the platform's JSON file, read at start and on SIGHUP, and the environment."""

import os
import socket
from typing import Annotated

import msgspec

from cedarmill.decisions.settings import settings_from_json
from cedarmill.net.discovery.endpoints import Listing


class ConfigError(Exception):
    """The configuration is invalid; the message is one line."""


class Address(msgspec.Struct, frozen=True):
    """A numeric IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse HOST:PORT; raise ValueError if `text` is anything else."""
        host, colon, port = text.rpartition(":")
        if not (colon and host and port.isdecimal() and int(port) < 65536):
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host.strip("[]"), int(port))


class Limits(msgspec.Struct):
    """Resource limits that the machine grants the node."""

    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024  # below 64, too few are left for clients
    memory_mb: Annotated[float, msgspec.Meta(ge=32)] = 192.0


class ConfigurationFile(msgspec.Struct):
    """The configuration file's keys."""

    name: str
    listen: str
    discovery: str
    seed: str
    known: Listing
    settings: msgspec.Raw
    limits: Limits = msgspec.field(default_factory=Limits)
    mgmt: str = ""


class Config:
    """A node's decoded configuration."""

    def __init__(self, text: bytes) -> None:
        try:
            raw = msgspec.json.decode(text, type=ConfigurationFile)
            self.settings = settings_from_json(msgspec.json.decode(raw.settings))
            self.listen, self.discovery = Address.parse(raw.listen), Address.parse(raw.discovery)
            self.seed = int(raw.seed, 16)
        except (ValueError, msgspec.MsgspecError) as error:
            raise ConfigError(f"configuration: {error}") from None
        self.name, self.known, self.limits = raw.name, raw.known, raw.limits
        self.mgmt = _admin_api_address(raw.mgmt)

    @classmethod
    def load(cls, path: str) -> "Config":
        """Read and decode a configuration file; raise ConfigError or OSError."""
        with open(path, "rb") as file:
            return cls(file.read())

    def changes_needing_restart(self, other: "Config") -> list[str]:
        """Return the names of settings that differ in `other` and that a running node cannot change."""
        unchangeable = ("name", "listen", "limits", "settings")
        return [name for name in unchangeable if getattr(self, name) != getattr(other, name)]


def _admin_api_address(configured: str) -> Address | None:
    """Return the admin API's address from `$LB_MGMT`, else from `mgmt`; None if neither is set."""
    from_environment = os.environ.get("LB_MGMT")
    text, source = (from_environment, "LB_MGMT") if from_environment else (configured, "mgmt")
    try:
        return Address.parse(text) if text else None
    except ValueError as error:
        raise ConfigError(f"{source}: {error}") from None


def inherited_socket() -> socket.socket | None:
    """Return the listening socket whose descriptor is `$LB_SOCKET_FD`, None if unset; raise ConfigError."""
    text = os.environ.get("LB_SOCKET_FD")
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"LB_SOCKET_FD={text}: not a file descriptor number")
    try:
        sock = socket.socket(fileno=int(text))
    except OSError as error:
        raise ConfigError(f"LB_SOCKET_FD={text}: {error.strerror or error}") from None
    try:
        accepts_connections = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        is_listening = sock.type == socket.SOCK_STREAM and accepts_connections
    except OSError:
        is_listening = False
    if not is_listening:
        sock.detach()  # the descriptor belongs to the platform, so it stays open
        raise ConfigError(f"LB_SOCKET_FD={text}: not a listening TCP socket")
    return sock
