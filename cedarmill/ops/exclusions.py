"""Executors taken out by hand: a set of discovery's names that outlives the process; no I/O.

Two calls out take one call back: an exclusion is a mark, not a count. The marks are kept as one sealed
document (`ops/document.py`), so that a daemon's store can later keep it as it is; `version` grows with each
change, so that of two processes on one node the newer word is known. Marks do not age: they hold till they
are taken back.
"""

import msgspec

from cedarmill.ops import document

KIND = "exclusions"


class _Kept(msgspec.Struct):
    version: int
    excluded: dict[str, int] | list[str]  # a list: as written before format 1, without times


_DECODE = msgspec.json.Decoder(_Kept)


class Exclusions:
    """The names that are out, each with the Unix time (us) of its mark, and the version of that word."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.since: dict[str, int] = {}
        self.version = 0

    def exclude(self, name: str, unix_us: int) -> bool:
        """Mark it out; whether that changed anything: a second mark leaves the time of the first."""
        if name in self.since:
            return False
        self.since[name] = unix_us
        self.version += 1
        return True

    def include(self, name: str) -> bool:
        """Take the mark off; whether that changed anything."""
        if self.since.pop(name, None) is None:
            return False
        self.version += 1
        return True

    def encode(self, unix_us: int) -> bytes:
        """The document to keep, written at that Unix time."""
        body = msgspec.json.encode(_Kept(self.version, self.since))
        return document.seal(KIND, self.node, unix_us, body)

    def adopt(self, text: bytes, unix_us: int) -> set[str]:
        """Take a kept document that is newer than what is held; the names whose mark changed.

        Marks of a document without times count from `unix_us`. Raises ValueError for a document that cannot
        be read: what is held stays as it is.
        """
        kept = _decode(text, self.node)
        if kept.version <= self.version:
            return set()
        names = kept.excluded
        since = dict(names) if isinstance(names, dict) else dict.fromkeys(names, unix_us)
        changed = set(self.since.keys() ^ since.keys())
        self.since, self.version = since, kept.version
        return changed


def _decode(text: bytes, node: str) -> _Kept:
    """The body; before format 1 it stood alone, and an upgrade from there must keep its marks."""
    try:
        if text.startswith(b'{"version"'):
            return _DECODE.decode(text)
        return _DECODE.decode(document.unseal(text, KIND, node)[1])
    except ValueError as error:  # msgspec's errors are ValueErrors too
        raise ValueError(f"kept exclusions: {error}") from None
