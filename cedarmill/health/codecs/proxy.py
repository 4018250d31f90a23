"""Codec of the PROXY protocol, versions 1 and 2, whose header may precede a health check (`send-proxy`).

Source: "The PROXY protocol, versions 1 & 2" (haproxy.org, doc/proxy-protocol.txt), sections 2.1 and 2.2.
"""

import ipaddress
import struct
from dataclasses import dataclass

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
MAX_V1_BYTES = 107  # Includes the line ending (section 2.1).
MAX_V2_BYTES = 16 + 512  # Enough for the addresses and the usual TLVs.
_V2_HEADER = struct.Struct("!12sBBH")
# Address size and struct format of TCP over IPv4 and over IPv6.
_TCP_FAMILIES = {0x11: (4, "4s4sHH"), 0x21: (16, "16s16sHH")}


class ProxyError(ValueError):
    """A PROXY header is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class ProxyHeader:
    """Addresses of the proxied connection, None for the sender's own checks (LOCAL or UNKNOWN)."""

    source: tuple[str, int] | None = None
    target: tuple[str, int] | None = None


def _port(text: str) -> int:
    if not text.isdigit() or int(text) > 65535 or (len(text) > 1 and text[0] == "0"):
        raise ProxyError(f"{text[:8]!r} is not a port")
    return int(text)


def _address(text: str, version: int) -> str:
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        raise ProxyError(f"{text[:48]!r} is not an IP address") from None
    if address.version != version:
        raise ProxyError(f"{text[:48]!r} is not of the stated address family")
    return str(address)


def _parse_v1(data: bytes) -> tuple[ProxyHeader, int] | None:
    end = data.find(b"\r\n", 0, MAX_V1_BYTES)
    if end < 0:
        if len(data) >= MAX_V1_BYTES:
            raise ProxyError(f"no line ending within {MAX_V1_BYTES} bytes")
        return None
    words = data[:end].decode("latin-1").split(" ")
    if words[1:2] == ["UNKNOWN"]:
        return ProxyHeader(), end + 2
    if len(words) != 6 or words[1] not in ("TCP4", "TCP6"):
        raise ProxyError("a version 1 header needs TCP4, TCP6 or UNKNOWN, two addresses and two ports")
    version = int(words[1][3])
    hosts = [_address(text, version) for text in words[2:4]]
    return ProxyHeader((hosts[0], _port(words[4])), (hosts[1], _port(words[5]))), end + 2


def _parse_v2(data: bytes) -> tuple[ProxyHeader, int] | None:
    if len(data) < _V2_HEADER.size:
        return None
    _, command, family, length = _V2_HEADER.unpack_from(data)
    if command >> 4 != 2 or command & 15 > 1:
        raise ProxyError(f"unknown version or command {command:#04x}")
    total_bytes = _V2_HEADER.size + length
    if total_bytes > MAX_V2_BYTES:
        raise ProxyError(f"the header is over {MAX_V2_BYTES} bytes")
    if len(data) < total_bytes:
        return None
    if command & 15 == 0 or family not in _TCP_FAMILIES:  # LOCAL, or a family without TCP addresses.
        return ProxyHeader(), total_bytes
    address_bytes, address_format = _TCP_FAMILIES[family]
    if length < 2 * address_bytes + 4:
        raise ProxyError(f"{length} bytes are too few for address family {family:#04x}")
    source, target, from_port, to_port = struct.unpack_from("!" + address_format, data, _V2_HEADER.size)
    hosts = [str(ipaddress.ip_address(raw)) for raw in (source, target)]
    return ProxyHeader((hosts[0], from_port), (hosts[1], to_port)), total_bytes


def parse(data: bytes) -> tuple[ProxyHeader, int] | None:
    """Parse the header at the start of the data; return it with its length, or None if it is incomplete."""
    for prefix, parse_version in ((b"PROXY ", _parse_v1), (SIGNATURE, _parse_v2)):
        if data.startswith(prefix):
            return parse_version(data)
        if prefix.startswith(data[: len(prefix)]):
            return None
    raise ProxyError("the data does not start with a PROXY header")


def compose_v1(header: ProxyHeader) -> bytes:
    """Return a version 1 header, as sent by `send-proxy`."""
    if header.source is None or header.target is None:
        return b"PROXY UNKNOWN\r\n"
    (host, port), (to_host, to_port) = header.source, header.target
    family = "TCP6" if ":" in host else "TCP4"
    return f"PROXY {family} {host} {to_host} {port} {to_port}\r\n".encode("ascii")


def compose_v2(header: ProxyHeader) -> bytes:
    """Return a version 2 header, as sent by `send-proxy-v2`."""
    if header.source is None or header.target is None:
        return _V2_HEADER.pack(SIGNATURE, 0x20, 0, 0)
    (host, port), (to_host, to_port) = header.source, header.target
    raw = ipaddress.ip_address(host).packed, ipaddress.ip_address(to_host).packed
    family = 0x21 if len(raw[0]) == 16 else 0x11
    body = struct.pack("!" + _TCP_FAMILIES[family][1], *raw, port, to_port)
    return _V2_HEADER.pack(SIGNATURE, 0x21, family, len(body)) + body
