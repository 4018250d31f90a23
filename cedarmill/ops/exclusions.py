"""Executors taken out by hand: a set of discovery's names that outlives the process; no I/O.

Two calls out take one call back: an exclusion is a mark, not a count. The set is kept as one JSON
document so that a daemon's store can later keep it as it is; `version` grows with each change, so that of
two processes on one node the newer word is known.
"""

import msgspec


class _Kept(msgspec.Struct):
    version: int
    excluded: list[str]


_DECODE = msgspec.json.Decoder(_Kept)


class Exclusions:
    """The names that are out, and the version of that word."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.version = 0

    def exclude(self, name: str) -> bool:
        """Mark it out; whether that changed anything."""
        return self._set(name, True)

    def include(self, name: str) -> bool:
        """Take the mark off; whether that changed anything."""
        return self._set(name, False)

    def _set(self, name: str, out: bool) -> bool:
        if (name in self.names) == out:
            return False
        (self.names.add if out else self.names.discard)(name)
        self.version += 1
        return True

    def encode(self) -> bytes:
        """The document to keep."""
        return msgspec.json.encode(_Kept(self.version, sorted(self.names)))

    def adopt(self, text: bytes) -> set[str]:
        """Take a kept document that is newer than what is held; the names whose mark changed.

        Raises ValueError for a document that cannot be read: what is held stays as it is.
        """
        try:
            kept = _DECODE.decode(text)
        except msgspec.MsgspecError as error:
            raise ValueError(f"kept exclusions: {error}") from None
        if kept.version <= self.version:
            return set()
        changed = self.names.symmetric_difference(kept.excluded)
        self.names, self.version = set(kept.excluded), kept.version
        return changed
