"""Executors taken out by hand: a set of discovery's names that outlives the process; no I/O.

Excluding twice is undone by including once: an exclusion is a mark, not a count. The marks are written as one
sealed document (`admin/sealed_document.py`). `version` grows with each change, so that the newer state of two
processes on one node is known. Marks do not expire: they hold until they are removed.
"""

from typing import Self

import msgspec

from cedarmill.admin import sealed_document
from cedarmill.admin.errors import DocumentError
from cedarmill.admin.sealed_document import ClockReading, UnsealedDocument

KIND = "exclusions"
OLD_FORM_START = b'{"version"'  # before format 1 the body stood alone, without a header


class ExclusionsBody(msgspec.Struct, omit_defaults=True):
    """The document's body."""

    version: int
    excluded: dict[str, int] | list[str]  # a list: as written before format 1, without times
    marked_us: dict[str, int] = {}  # on the clock of the header's boot; older programs drop it


_DECODER = msgspec.json.Decoder(ExclusionsBody)


class Exclusions:
    """The excluded names, each with the Unix time (us) of its mark, and the version of this state.

    `since` is for people. `marked_us` is on the machine's clock and is what decides: when the mark was made,
    or where that is not known, when this process first saw it, which is the latest that it can be.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.since: dict[str, int] = {}
        self.marked_us: dict[str, int] = {}
        self.version = 0

    def copy(self) -> Self:
        """As they stand, to go back to if a change cannot be written."""
        copied = type(self)(self.node)
        copied.since = dict(self.since)
        copied.marked_us = dict(self.marked_us)
        copied.version = self.version
        return copied

    def exclude(self, name: str, now: ClockReading) -> bool:
        """Mark it as excluded; whether that changed anything: a second mark leaves the time of the first."""
        if name in self.since:
            return False
        self.since[name] = now.unix_us
        self.marked_us[name] = now.monotonic_us
        self.version += 1
        return True

    def include(self, name: str) -> bool:
        """Remove the mark; whether that changed anything."""
        if self.since.pop(name, None) is None:
            return False
        self.marked_us.pop(name, None)
        self.version += 1
        return True

    def encode(self, now: ClockReading) -> bytes:
        """The document to write, sealed at that time."""
        marked_us = self.marked_us if now.boot_id else {}
        body = msgspec.json.encode(ExclusionsBody(self.version, self.since, marked_us))
        return sealed_document.seal(KIND, self.node, now, body)

    def adopt(self, document: bytes, now: ClockReading) -> set[str]:
        """Replace the marks by those of a newer document; the names whose mark changed.

        Marks of a document without times count from `now`. Raises DocumentError for a document that cannot
        be read: the marks stay as they are.
        """
        written_at, body = _decode(document, self.node)
        if body.version <= self.version:
            return set()
        names = body.excluded
        since = dict(names) if isinstance(names, dict) else dict.fromkeys(names, now.unix_us)
        marked_us = {}
        for name, unix_us in since.items():
            marked_at = self._first_seen_us(name, unix_us, now)
            if written_at.is_comparable(now):
                marked_at = body.marked_us.get(name, marked_at)
            marked_us[name] = min(marked_at, now.monotonic_us)
        changed = set(self.since.keys() ^ since.keys())
        self.since, self.marked_us, self.version = since, marked_us, body.version
        return changed

    def _first_seen_us(self, name: str, unix_us: int, now: ClockReading) -> int:
        """The machine's time of a mark that came without one: as known of the same mark, or now."""
        return self.marked_us[name] if self.since.get(name) == unix_us else now.monotonic_us


def _decode(document: bytes, node: str) -> tuple[ClockReading, ExclusionsBody]:
    """When a document was written, and its marks; raises DocumentError."""
    try:
        if document.startswith(OLD_FORM_START):
            return ClockReading(0), _DECODER.decode(document)
        unsealed: UnsealedDocument = sealed_document.unseal(document, KIND, node)
        return unsealed.written_at, _DECODER.decode(unsealed.body)
    except (DocumentError, msgspec.MsgspecError) as error:
        raise DocumentError(f"kept exclusions: {error}") from None
