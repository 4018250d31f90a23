"""A document that outlives its process: a header line (format, kind, node, time, checksums), then the body.

No I/O. What is torn, of a newer format, of another kind or node, or too old is refused with its reason, so
that a process never goes on with half of what another one knew. A daemon's store can keep it as it is.

Ages are counted on the machine's monotonic clock, which all processes of one boot share and which no step
of the wall clock moves. Programs before it knew Unix time only: they pass over the fields added to the
header, and their own documents, which have none, are still read.
"""

import zlib
from typing import NamedTuple

import msgspec

FORMAT = 1


class Moment(NamedTuple):
    """When something was: Unix time, and the machine's monotonic clock (us) with the boot it counts from.

    Without `boot` (an older program wrote it, or the boot's id could not be read) the clock says nothing.
    """

    unix_us: int
    clock_us: int = 0
    boot: str = ""

    def comparable(self, now: "Moment") -> bool:
        """Whether both clocks count from one boot; one that is ahead of now counts from somewhere else."""
        return bool(self.boot) and self.boot == now.boot and self.clock_us <= now.clock_us

    def other_boot(self, now: "Moment") -> bool:
        """Whether it was surely before the machine's last start, or on another machine."""
        return bool(self.boot and now.boot) and self.boot != now.boot


class Sealed(NamedTuple):
    """A document that was found whole."""

    written: Moment
    body: bytes


class Header(msgspec.Struct, omit_defaults=True):
    """The first line; `at_us` is Unix time, `crc` the CRC-32 of the fields before it and the body.

    The fields after it came later: older programs neither write nor read them, so `clock_crc` covers them.
    """

    format: int
    kind: str
    node: str
    at_us: int
    crc: int
    clock_us: int = 0
    boot: str = ""
    clock_crc: int = 0


_DECODE = msgspec.json.Decoder(Header)


def _crc(kind: str, node: str, at_us: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(f"{FORMAT}\0{kind}\0{node}\0{at_us}".encode()))


def _clock_crc(crc: int, clock_us: int, boot: str) -> int:
    return zlib.crc32(f"{crc}\0{clock_us}\0{boot}".encode())


def seal(kind: str, node: str, written: Moment, body: bytes) -> bytes:
    """The document of `body`, written at that moment by a process of `node`."""
    crc = _crc(kind, node, written.unix_us, body)
    header = Header(FORMAT, kind, node, written.unix_us, crc)
    if written.boot:
        header.clock_us, header.boot = written.clock_us, written.boot
        header.clock_crc = _clock_crc(crc, written.clock_us, written.boot)
    return msgspec.json.encode(header) + b"\n" + body


def unseal(text: bytes, kind: str, node: str) -> Sealed:
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
    if header.boot and header.clock_crc != _clock_crc(header.crc, header.clock_us, header.boot):
        raise ValueError("torn: the checksum of its clock does not fit")
    return Sealed(Moment(header.at_us, header.clock_us if header.boot else 0, header.boot), body)


def newest(texts: list[bytes], kind: str, node: str, now: Moment) -> Sealed:
    """Of the two halves of a file the newest that is whole; raises ValueError where none is.

    Unix time orders them only where one of them has no clock; one of another boot is older than any of this
    one.
    """
    whole, fault = [], ValueError("empty")
    for text in texts:
        try:
            whole.append(unseal(text, kind, node))
        except ValueError as error:
            fault = error
    if not whole:
        raise fault
    whole = [sealed for sealed in whole if not sealed.written.other_boot(now)] or whole
    if all(sealed.written.boot == now.boot for sealed in whole) and now.boot:
        return max(whole, key=lambda sealed: sealed.written.clock_us)
    return max(whole, key=lambda sealed: sealed.written.unix_us)


def age_us(written: Moment, now: Moment, most_us: int) -> int:
    """How old what was written then is; raises ValueError if older than `most_us`, or yet to come.

    By Unix time only where the clocks cannot be compared: a step of the wall clock then shows as age.
    """
    if written.other_boot(now):
        raise ValueError("written before this machine's last start, or on another machine")
    same = written.comparable(now)
    age = now.clock_us - written.clock_us if same else now.unix_us - written.unix_us
    if age > most_us:
        raise ValueError(f"{age / 1e6:.0f} s old, at most {most_us / 1e6:.0f} s are believed")
    if age < -most_us:
        raise ValueError(f"written {-age / 1e6:.0f} s ahead of this clock")
    return max(0, age)
