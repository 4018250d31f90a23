"""The PROXY protocol, versions 1 and 2, as a checker sends it before its check (`send-proxy`).

Source: "The PROXY protocol, versions 1 & 2" (haproxy.org, doc/proxy-protocol.txt), sections 2.1 and 2.2.
"""

import ipaddress
import struct
from dataclasses import dataclass

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
MAX_V1 = 107  # section 2.1: the longest line, its end included
MAX_V2 = 16 + 512  # its header, and more than any address with the usual TLVs takes
_HEAD = struct.Struct("!12sBBH")
_FAMILIES = {0x11: (4, "4s4sHH"), 0x21: (16, "16s16sHH")}  # TCP over IPv4 and IPv6


class ProxyError(ValueError):
    """A header that the protocol does not allow, in one line."""


@dataclass(frozen=True, slots=True)
class ProxyHeader:
    """Whose connection it is; no addresses: the balancer's own check (LOCAL, or UNKNOWN)."""

    source: tuple[str, int] | None = None
    target: tuple[str, int] | None = None


def _port(text: str) -> int:
    if not text.isdigit() or int(text) > 65535 or (len(text) > 1 and text[0] == "0"):
        raise ProxyError(f"{text[:8]!r} is no port")
    return int(text)


def _address(text: str, version: int) -> str:
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ProxyError(f"{text[:48]!r} is no address") from None
    if address.version != version:
        raise ProxyError(f"{text[:48]!r} is not of the family named")
    return str(address)


def _version_1(data: bytes) -> tuple[ProxyHeader, int] | None:
    end = data.find(b"\r\n", 0, MAX_V1)
    if end < 0:
        if len(data) >= MAX_V1:
            raise ProxyError(f"no end within {MAX_V1} bytes")
        return None
    words = data[:end].decode("latin-1").split(" ")
    if words[1:2] == ["UNKNOWN"]:
        return ProxyHeader(), end + 2
    if len(words) != 6 or words[1] not in ("TCP4", "TCP6"):
        raise ProxyError("version 1 takes TCP4, TCP6 or UNKNOWN, two addresses and two ports")
    version = int(words[1][3])
    hosts = [_address(text, version) for text in words[2:4]]
    return ProxyHeader((hosts[0], _port(words[4])), (hosts[1], _port(words[5]))), end + 2


def _version_2(data: bytes) -> tuple[ProxyHeader, int] | None:
    if len(data) < _HEAD.size:
        return None
    _, command, family, length = _HEAD.unpack_from(data)
    if command >> 4 != 2 or command & 15 > 1:
        raise ProxyError(f"version and command {command:#04x} are not known")
    whole = _HEAD.size + length
    if whole > MAX_V2:
        raise ProxyError(f"over {MAX_V2} bytes")
    if len(data) < whole:
        return None
    if command & 15 == 0 or family not in _FAMILIES:  # LOCAL, or a family that nothing here needs
        return ProxyHeader(), whole
    size, form = _FAMILIES[family]
    if length < 2 * size + 4:
        raise ProxyError(f"{length} bytes are too few for the family {family:#04x}")
    source, target, from_port, to_port = struct.unpack_from("!" + form, data, _HEAD.size)
    hosts = [str(ipaddress.ip_address(raw)) for raw in (source, target)]
    return ProxyHeader((hosts[0], from_port), (hosts[1], to_port)), whole


def parse(data: bytes) -> tuple[ProxyHeader, int] | None:
    """The header at the start of the data and its length; None: it is not whole yet. Raises ProxyError."""
    for start, read in ((b"PROXY ", _version_1), (SIGNATURE, _version_2)):
        if data.startswith(start):
            return read(data)
        if start.startswith(data[: len(start)]):
            return None
    raise ProxyError("neither version's start")


def compose_1(header: ProxyHeader) -> bytes:
    """Version 1, as `send-proxy` writes it."""
    if header.source is None or header.target is None:
        return b"PROXY UNKNOWN\r\n"
    (host, port), (to_host, to_port) = header.source, header.target
    family = "TCP6" if ":" in host else "TCP4"
    return f"PROXY {family} {host} {to_host} {port} {to_port}\r\n".encode("ascii")


def compose_2(header: ProxyHeader) -> bytes:
    """Version 2, as `send-proxy-v2` writes it."""
    if header.source is None or header.target is None:
        return _HEAD.pack(SIGNATURE, 0x20, 0, 0)
    (host, port), (to_host, to_port) = header.source, header.target
    raw = ipaddress.ip_address(host).packed, ipaddress.ip_address(to_host).packed
    family = 0x21 if len(raw[0]) == 16 else 0x11
    body = struct.pack("!" + _FAMILIES[family][1], *raw, port, to_port)
    return _HEAD.pack(SIGNATURE, 0x21, family, len(body)) + body
