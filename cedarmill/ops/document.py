"""A document that outlives its process: a header line (format, kind, node, time, checksum), then the body.

No I/O. What is torn, of a newer format, of another kind or node, or too old is refused with its reason, so
that a process never goes on with half of what another one knew. A daemon's store can keep it as it is.
"""

import zlib

import msgspec

FORMAT = 1


class Header(msgspec.Struct):
    """The first line; `at_us` is Unix time, `crc` the CRC-32 of the other fields and the body."""

    format: int
    kind: str
    node: str
    at_us: int
    crc: int


_DECODE = msgspec.json.Decoder(Header)


def _crc(kind: str, node: str, at_us: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(f"{FORMAT}\0{kind}\0{node}\0{at_us}".encode()))


def seal(kind: str, node: str, at_us: int, body: bytes) -> bytes:
    """The document of `body`, written at `at_us` by a process of `node`."""
    header = Header(FORMAT, kind, node, at_us, _crc(kind, node, at_us, body))
    return msgspec.json.encode(header) + b"\n" + body


def unseal(text: bytes, kind: str, node: str) -> tuple[int, bytes]:
    """When it was written and its body; raises ValueError naming what is wrong with it."""
    line, newline, body = text.partition(b"\n")
    try:
        header = _DECODE.decode(line)
    except msgspec.MsgspecError as error:
        raise ValueError(f"no header: {error}") from None
    if header.format > FORMAT:
        raise ValueError(f"format {header.format}, this program reads up to {FORMAT}")
    if header.kind != kind:
        raise ValueError(f"holds {header.kind}, not {kind}")
    if header.node != node:
        raise ValueError(f"of node {header.node}, not {node}")
    if not newline or header.crc != _crc(kind, node, header.at_us, body):
        raise ValueError("torn: the checksum does not fit")
    return header.at_us, body


def newest(texts: list[bytes], kind: str, node: str) -> tuple[int, bytes]:
    """Of the two halves of a file the newest that is whole; raises ValueError where none is."""
    whole, fault = [], ValueError("empty")
    for text in texts:
        try:
            whole.append(unseal(text, kind, node))
        except ValueError as error:
            fault = error
    if not whole:
        raise fault
    return max(whole)


def age_us(at_us: int, now_us: int, most_us: int) -> int:
    """How old what was written at `at_us` is; raises ValueError if older than `most_us`, or yet to come."""
    age = now_us - at_us
    if age > most_us:
        raise ValueError(f"{age / 1e6:.0f} s old, at most {most_us / 1e6:.0f} s are believed")
    if age < -most_us:
        raise ValueError(f"written {-age / 1e6:.0f} s ahead of this clock")
    return max(0, age)
