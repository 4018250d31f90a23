"""Executors taken out by hand: a set of discovery's names that outlives the process; no I/O.

Two calls out take one call back: an exclusion is a mark, not a count. The marks are kept as one sealed
document (`admin/sealed_document.py`), so that a daemon's store can later keep it as it is; `version` grows
with each change, so that of two processes on one node the newer word is known. Marks do not age: they hold
till they are taken back.
"""

import msgspec

from cedarmill.admin import sealed_document
from cedarmill.admin.sealed_document import Moment

KIND = "exclusions"


class _Kept(msgspec.Struct, omit_defaults=True):
    version: int
    excluded: dict[str, int] | list[str]  # a list: as written before format 1, without times
    marked_us: dict[str, int] = {}  # on the clock of the header's boot; older programs drop it


_DECODE = msgspec.json.Decoder(_Kept)


class Exclusions:
    """The names that are out, each with the Unix time (us) of its mark, and the version of that word.

    `since` is for people. `marked_us` is on the machine's clock and is what decides: when the mark was made,
    or where that is not known, when this process first saw it, which is the latest that it can be.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.since: dict[str, int] = {}
        self.marked_us: dict[str, int] = {}
        self.version = 0

    def copy(self) -> "Exclusions":
        """As they stand, to go back to if a change cannot be kept."""
        before = Exclusions(self.node)
        before.since, before.marked_us, before.version = dict(self.since), dict(self.marked_us), self.version
        return before

    def exclude(self, name: str, now: Moment) -> bool:
        """Mark it out; whether that changed anything: a second mark leaves the time of the first."""
        if name in self.since:
            return False
        self.since[name], self.marked_us[name] = now.unix_us, now.clock_us
        self.version += 1
        return True

    def include(self, name: str) -> bool:
        """Take the mark off; whether that changed anything."""
        if self.since.pop(name, None) is None:
            return False
        self.marked_us.pop(name, None)
        self.version += 1
        return True

    def encode(self, now: Moment) -> bytes:
        """The document to keep, written at that moment."""
        body = msgspec.json.encode(_Kept(self.version, self.since, self.marked_us if now.boot else {}))
        return sealed_document.seal(KIND, self.node, now, body)

    def adopt(self, text: bytes, now: Moment) -> set[str]:
        """Take a kept document that is newer than what is held; the names whose mark changed.

        Marks of a document without times count from `now`. Raises ValueError for a document that cannot
        be read: what is held stays as it is.
        """
        written, kept = _decode(text, self.node)
        if kept.version <= self.version:
            return set()
        names = kept.excluded
        since = dict(names) if isinstance(names, dict) else dict.fromkeys(names, now.unix_us)
        told = kept.marked_us if written.comparable(now) else {}
        marked = {name: min(told.get(name, self._marked(name, unix_us, now)), now.clock_us)
                  for name, unix_us in since.items()}  # fmt: skip
        changed = set(self.since.keys() ^ since.keys())
        self.since, self.marked_us, self.version = since, marked, kept.version
        return changed

    def _marked(self, name: str, unix_us: int, now: Moment) -> int:
        """The machine's time of a mark that is told without one: as known of the same mark, or now."""
        return self.marked_us[name] if self.since.get(name) == unix_us else now.clock_us


def _decode(text: bytes, node: str) -> tuple[Moment, _Kept]:
    """When it was written, and the body; before format 1 it stood alone, and its marks must be kept too."""
    try:
        if text.startswith(b'{"version"'):
            return Moment(0), _DECODE.decode(text)
        written, body = sealed_document.unseal(text, KIND, node)
        return written, _DECODE.decode(body)
    except ValueError as error:  # msgspec's errors are ValueErrors too
        raise ValueError(f"kept exclusions: {error}") from None
