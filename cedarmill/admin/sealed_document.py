"""State documents that outlive a process: a header line (format, kind, node, time, checksums) and a body.

No I/O. A document that is damaged, too old, of a newer format, or of another kind or node is rejected with a
reason, so that a process never starts from partial state.

Ages are measured on the monotonic clock, which all processes of one boot share and which steps of the wall
clock do not affect. Older programs use Unix time only: they ignore the header's clock fields, and their
documents, which lack these fields, are still accepted.
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
    """Unix time and monotonic time (us) of a machine at one moment, with the id of its boot.

    Without a `boot_id` (written by an older program, or unreadable) the monotonic time is meaningless.
    """

    unix_us: int
    monotonic_us: int = 0
    boot_id: str = ""

    def is_comparable(self, now: "ClockReading") -> bool:
        """Return whether both monotonic times belong to one boot; a reading later than `now` does not."""
        return bool(self.boot_id) and self.boot_id == now.boot_id and self.monotonic_us <= now.monotonic_us

    def is_of_other_boot(self, now: "ClockReading") -> bool:
        """Return whether both boot ids are known and differ."""
        return bool(self.boot_id and now.boot_id) and self.boot_id != now.boot_id


class UnsealedDocument(NamedTuple):
    """Content of a document whose checksums are correct."""

    written_at: ClockReading
    body: bytes


class DocumentHeader(msgspec.Struct, omit_defaults=True):
    """First line of a document; `crc` is the CRC-32 of the fields before it and of the body.

    Older programs neither write nor read the fields after `crc`; these have a checksum of their own.
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
    """Return a document with this body, written at this time by a process of the node."""
    crc = _crc(kind, node, written_at.unix_us, body)
    header = DocumentHeader(FORMAT_VERSION, kind, node, written_at.unix_us, crc)
    if written_at.boot_id:
        header.monotonic_us = written_at.monotonic_us
        header.boot_id = written_at.boot_id
        header.clock_crc = _clock_crc(crc, written_at.monotonic_us, written_at.boot_id)
    return msgspec.json.encode(header) + b"\n" + body


def unseal(document: bytes, kind: str, node: str) -> UnsealedDocument:
    """Return the time when a document was written, and its body; raise DocumentError."""
    line, newline, body = document.partition(b"\n")
    header = _decode_header(line)
    if header.kind != kind:
        raise ForeignDocumentError(f"holds {header.kind}, expected {kind}")
    if header.node != node:
        raise ForeignDocumentError(f"document of node {header.node}, expected node {node}")
    if not newline or header.crc != _crc(kind, node, header.unix_us, body):
        raise DamagedDocumentError("torn: the checksum does not match")
    if not header.boot_id:
        return UnsealedDocument(ClockReading(header.unix_us), body)
    if header.clock_crc != _clock_crc(header.crc, header.monotonic_us, header.boot_id):
        raise DamagedDocumentError("torn: the checksum of the clock fields does not match")
    return UnsealedDocument(ClockReading(header.unix_us, header.monotonic_us, header.boot_id), body)


def _decode_header(line: bytes) -> DocumentHeader:
    try:
        header = _DECODER.decode(line)
    except msgspec.MsgspecError as error:
        raise DocumentFormatError(f"no valid header: {error}") from None
    if header.format_version > FORMAT_VERSION:
        raise DocumentFormatError(
            f"format {header.format_version} is newer than the supported format {FORMAT_VERSION}"
        )
    return header


def unseal_newest(documents: list[bytes], kind: str, node: str, now: ClockReading) -> UnsealedDocument:
    """Return the newest valid document of the two halves of a file; raise DocumentError if there is none.

    Documents are ordered by monotonic time, or by Unix time if one has no monotonic time. Documents of
    another boot are older than those of this boot.
    """
    valid: list[UnsealedDocument] = []
    last_error: DocumentError = DamagedDocumentError("empty")
    for document in documents:
        try:
            valid.append(unseal(document, kind, node))
        except DocumentError as error:
            last_error = error
    if not valid:
        raise last_error
    valid = [candidate for candidate in valid if not candidate.written_at.is_of_other_boot(now)] or valid
    if now.boot_id and all(candidate.written_at.boot_id == now.boot_id for candidate in valid):
        return max(valid, key=lambda candidate: candidate.written_at.monotonic_us)
    return max(valid, key=lambda candidate: candidate.written_at.unix_us)


def age_us(written_at: ClockReading, now: ClockReading, max_age_us: int) -> int:
    """Return a document's age; raise DocumentAgeError if it is too old, or written in the future.

    The age is based on Unix time, and thus on steps of the wall clock, only if the boot is not known.
    """
    if written_at.is_of_other_boot(now):
        raise DocumentAgeError("written before this machine's last boot, or on another machine")
    if written_at.is_comparable(now):
        age = now.monotonic_us - written_at.monotonic_us
    else:
        age = now.unix_us - written_at.unix_us
    if age > max_age_us:
        raise DocumentAgeError(f"{age / 1e6:.0f} s old, at most {max_age_us / 1e6:.0f} s are allowed")
    if age < -max_age_us:
        raise DocumentAgeError(f"written {-age / 1e6:.0f} s ahead of this clock")
    return max(0, age)
