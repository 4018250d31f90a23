"""Manual exclusions of executors, by their names in discovery, which outlive the process; no I/O.

Exclusions are not counted: one include undoes any number of excludes. They are stored as one sealed document
(`admin/sealed_document.py`). Each change increments `version`, which shows which of two processes of one node
has the newer state. Exclusions do not expire.
"""

from typing import Self

import msgspec

from cedarmill.admin import sealed_document
from cedarmill.admin.errors import DocumentError
from cedarmill.admin.sealed_document import ClockReading, UnsealedDocument

DOCUMENT_KIND = "exclusions"
UNSEALED_DOCUMENT_PREFIX = b'{"version"'  # Documents older than format 1 have a body and no header.


class ExclusionsBody(msgspec.Struct, omit_defaults=True):
    """Body of the sealed document that stores the exclusions."""

    version: int
    excluded: dict[str, int] | list[str]  # Documents older than format 1 hold a list.
    marked_us: dict[str, int] = {}  # Monotonic clock; older programs do not write it.


_DECODER = msgspec.json.Decoder(ExclusionsBody)


class Exclusions:
    """Excluded executors with the times of their exclusion, and the version of this state.

    `since` holds Unix times (us) for display. `marked_us` holds monotonic times, on which the balancer bases
    its decisions. An unknown monotonic time is replaced by the time when this process first read it.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.since: dict[str, int] = {}
        self.marked_us: dict[str, int] = {}
        self.version = 0

    def copy(self) -> Self:
        """Return a copy, to be restored if a change cannot be written."""
        copied = type(self)(self.node)
        copied.since = dict(self.since)
        copied.marked_us = dict(self.marked_us)
        copied.version = self.version
        return copied

    def exclude(self, name: str, now: ClockReading) -> bool:
        """Exclude an executor; return False if it is excluded already, and keep its earlier time."""
        if name in self.since:
            return False
        self.since[name] = now.unix_us
        self.marked_us[name] = now.monotonic_us
        self.version += 1
        return True

    def include(self, name: str) -> bool:
        """Remove an exclusion; return False if the executor is not excluded."""
        if self.since.pop(name, None) is None:
            return False
        self.marked_us.pop(name, None)
        self.version += 1
        return True

    def encode(self, now: ClockReading) -> bytes:
        """Return the exclusions as a document sealed at the time `now`."""
        marked_us = self.marked_us if now.boot_id else {}
        body = msgspec.json.encode(ExclusionsBody(self.version, self.since, marked_us))
        return sealed_document.seal(DOCUMENT_KIND, self.node, now, body)

    def adopt(self, document: bytes, now: ClockReading) -> set[str]:
        """Replace the exclusions by those of a newer document; return the names that were added or removed.

        Exclusions without a time count from `now`. Raise DocumentError if the document cannot be read; the
        exclusions are then unchanged.
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
        """Return the known monotonic time of an exclusion whose document has none, or the time `now`."""
        return self.marked_us[name] if self.since.get(name) == unix_us else now.monotonic_us


def _decode(document: bytes, node: str) -> tuple[ClockReading, ExclusionsBody]:
    """Return the time when a document was written, and its body; raise DocumentError."""
    try:
        if document.startswith(UNSEALED_DOCUMENT_PREFIX):
            return ClockReading(0), _DECODER.decode(document)
        unsealed: UnsealedDocument = sealed_document.unseal(document, DOCUMENT_KIND, node)
        return unsealed.written_at, _DECODER.decode(unsealed.body)
    except (DocumentError, msgspec.MsgspecError) as error:
        raise DocumentError(f"stored exclusions: {error}") from None
