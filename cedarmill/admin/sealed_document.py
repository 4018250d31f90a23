"""A document that outlives its process: a header line (format, kind, node, time, checksums), then the body.

No I/O. What is torn, of a newer format, of another kind or node, or too old is refused with its reason, so
that a process never goes on with half of what another one knew.

Ages are counted on the machine's monotonic clock, which all processes of one boot share and which no step
of the wall clock moves. Programs before it knew Unix time only: they pass over the fields added to the
header, and their own documents, which have none, are still read.
"""

import zlib
from typing import NamedTuple

import msgspec

from cedarmill.admin.errors import (
    DamagedDocumentError,
    DocumentAgeError,
    DocumentError,
    DocumentFormatError,
    ForeignDocumentError,
)

FORMAT_VERSION = 1


class ClockReading(NamedTuple):
    """Both clocks of a machine at one moment: Unix time, and the monotonic clock with its boot, in us.

    Without `boot_id` (an older program wrote it, or it could not be read) the monotonic clock says nothing.
    """

    unix_us: int
    monotonic_us: int = 0
    boot_id: str = ""

    def is_comparable(self, now: "ClockReading") -> bool:
        """Whether both clocks count from one boot; one that is ahead of now counts from somewhere else."""
        return bool(self.boot_id) and self.boot_id == now.boot_id and self.monotonic_us <= now.monotonic_us

    def is_of_other_boot(self, now: "ClockReading") -> bool:
        """Whether it was surely before the machine's last start, or on another machine."""
        return bool(self.boot_id and now.boot_id) and self.boot_id != now.boot_id


class UnsealedDocument(NamedTuple):
    """A document that was found complete and undamaged."""

    written_at: ClockReading
    body: bytes


class DocumentHeader(msgspec.Struct, omit_defaults=True):
    """The first line; `crc` is the CRC-32 of the fields before it and the body.

    The fields after it came later: older programs neither write nor read them, so `clock_crc` covers them.
    """

    format_version: int = msgspec.field(name="format")
    kind: str
    node: str
    unix_us: int = msgspec.field(name="at_us")
    crc: int
    monotonic_us: int = msgspec.field(name="clock_us", default=0)
    boot_id: str = msgspec.field(name="boot", default="")
    clock_crc: int = 0


_DECODER = msgspec.json.Decoder(DocumentHeader)


def _crc(kind: str, node: str, unix_us: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(f"{FORMAT_VERSION}\0{kind}\0{node}\0{unix_us}".encode()))


def _clock_crc(crc: int, monotonic_us: int, boot_id: str) -> int:
    return zlib.crc32(f"{crc}\0{monotonic_us}\0{boot_id}".encode())


def seal(kind: str, node: str, written_at: ClockReading, body: bytes) -> bytes:
    """The document of `body`, written at that time by a process of `node`."""
    crc = _crc(kind, node, written_at.unix_us, body)
    header = DocumentHeader(FORMAT_VERSION, kind, node, written_at.unix_us, crc)
    if written_at.boot_id:
        header.monotonic_us = written_at.monotonic_us
        header.boot_id = written_at.boot_id
        header.clock_crc = _clock_crc(crc, written_at.monotonic_us, written_at.boot_id)
    return msgspec.json.encode(header) + b"\n" + body


def unseal(document: bytes, kind: str, node: str) -> UnsealedDocument:
    """When a document was written, and its body; raises DocumentError."""
    line, newline, body = document.partition(b"\n")
    header = _decode_header(line)
    if header.kind != kind:
        raise ForeignDocumentError(f"holds {header.kind}, not {kind}")
    if header.node != node:
        raise ForeignDocumentError(f"of node {header.node}, not {node}")
    if not newline or header.crc != _crc(kind, node, header.unix_us, body):
        raise DamagedDocumentError("torn: the checksum does not fit")
    if not header.boot_id:
        return UnsealedDocument(ClockReading(header.unix_us), body)
    if header.clock_crc != _clock_crc(header.crc, header.monotonic_us, header.boot_id):
        raise DamagedDocumentError("torn: the checksum of its clock does not fit")
    return UnsealedDocument(ClockReading(header.unix_us, header.monotonic_us, header.boot_id), body)


def _decode_header(line: bytes) -> DocumentHeader:
    try:
        header = _DECODER.decode(line)
    except msgspec.MsgspecError as error:
        raise DocumentFormatError(f"no header: {error}") from None
    if header.format_version > FORMAT_VERSION:
        raise DocumentFormatError(
            f"format {header.format_version}, this program reads up to {FORMAT_VERSION}"
        )
    return header


def unseal_newest(documents: list[bytes], kind: str, node: str, now: ClockReading) -> UnsealedDocument:
    """The newest undamaged one of the two halves of a file; raises DocumentError where none is.

    Unix time orders them only where one of them has no clock; one of another boot is older than any of this
    one.
    """
    found: list[UnsealedDocument] = []
    fault: DocumentError = DamagedDocumentError("empty")
    for document in documents:
        try:
            found.append(unseal(document, kind, node))
        except DocumentError as error:
            fault = error
    if not found:
        raise fault
    found = [one for one in found if not one.written_at.is_of_other_boot(now)] or found
    if now.boot_id and all(one.written_at.boot_id == now.boot_id for one in found):
        return max(found, key=lambda one: one.written_at.monotonic_us)
    return max(found, key=lambda one: one.written_at.unix_us)


def age_us(written_at: ClockReading, now: ClockReading, max_age_us: int) -> int:
    """How long ago something was written; raises DocumentAgeError if too long ago, or in the future.

    By Unix time only where the clocks cannot be compared: a step of the wall clock then shows as age.
    """
    if written_at.is_of_other_boot(now):
        raise DocumentAgeError("written before this machine's last start, or on another machine")
    if written_at.is_comparable(now):
        age = now.monotonic_us - written_at.monotonic_us
    else:
        age = now.unix_us - written_at.unix_us
    if age > max_age_us:
        raise DocumentAgeError(f"{age / 1e6:.0f} s old, at most {max_age_us / 1e6:.0f} s are believed")
    if age < -max_age_us:
        raise DocumentAgeError(f"written {-age / 1e6:.0f} s ahead of this clock")
    return max(0, age)
