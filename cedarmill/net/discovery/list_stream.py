"""The body of discovery's answer, split into lists: one JSON document a line, or indented over many lines."""

from typing import Any

import msgspec

from cedarmill.net.discovery.endpoints import Endpoint, Listing

MAX_LIST = 4 * 1024 * 1024  # bytes of one list
_LISTING = msgspec.json.Decoder(Listing)


class _LooseListing(msgspec.Struct):
    """A list of which one entry or more cannot be read."""

    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]


class _NamedEntry(msgspec.Struct):
    """What an entry has to hold for anything to follow of it."""

    name: str


_LOOSE = msgspec.json.Decoder(_LooseListing)
_ENTRY = msgspec.json.Decoder(Endpoint)
_NAMED = msgspec.json.Decoder(_NamedEntry)
UNREADABLE = "UNREADABLE"  # the status of an entry that names an executor and cannot be read beyond that


class Incomplete(Exception):
    """The text is the beginning of a document."""


class _WrongShape(ValueError):
    """A JSON document that does not have the fields of a list."""


def decode_listing(text: bytes) -> Listing:
    """One list; an entry that cannot be read spoils itself only. Raises ValueError or Incomplete."""
    try:
        listing: Listing = _decode(_LISTING, text)
        return listing
    except _WrongShape:
        loose = _decode(_LOOSE, text)
    entries = [_decode_entry(bytes(raw)) for raw in loose.endpoints]
    return Listing(loose.index, loose.snapshot, [entry for entry in entries if entry is not None])


def _decode(decoder: msgspec.json.Decoder[Any], text: bytes) -> Any:
    try:
        return decoder.decode(text)
    except msgspec.ValidationError as error:
        raise _WrongShape(str(error)) from None
    except msgspec.DecodeError as error:
        if "truncated" in str(error):
            raise Incomplete from None
        raise ValueError(str(error)) from None


def _decode_entry(text: bytes) -> Endpoint | None:
    try:
        return _ENTRY.decode(text)
    except msgspec.ValidationError:
        pass
    try:
        return Endpoint(_NAMED.decode(text).name, UNREADABLE)
    except msgspec.ValidationError:
        return None


class ListStream:
    """Takes the body as it comes, cut anywhere, and gives the lists that are whole."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._line_start = 0  # in the buffer, of the line that is not whole yet
        self._searched = 0  # in the buffer: no line ends between its start and there
        self._blank = True  # whether the line that is not whole yet holds only white space so far
        self._begun = False  # whether a line of a document has come

    @property
    def partial(self) -> bool:
        """Whether a list has begun that is not whole yet."""
        return self._begun or not self._blank

    def feed(self, data: bytes) -> list[Listing]:
        """Take some bytes; raises ValueError for what is no list."""
        self._buffer += data
        found = []
        while (end := self._buffer.find(b"\n", self._searched)) >= 0:
            listing = self._line(end)
            if listing is not None:
                found.append(listing)
        # only what is new is looked at: a long list may come in pieces of a byte
        self._blank = self._blank and not self._buffer[self._searched :].strip()
        self._searched = len(self._buffer)
        if len(self._buffer) > MAX_LIST:
            raise ValueError("a list is too long")
        return found

    def finish(self) -> list[Listing]:
        """The body has ended: what is left is a whole list, or none."""
        listing = self._line(len(self._buffer))
        return [listing] if listing is not None else []

    def _line(self, end: int) -> Listing | None:
        """Take the line that ends there; the list, if its document is whole now."""
        line = self._buffer[self._line_start : end].strip()
        self._line_start = self._searched = end + 1
        self._blank = True
        if not self._begun and not line:
            self._drop()
            return None
        if not self._begun and not line.startswith(b"{"):
            raise ValueError("not a list")
        self._begun = True
        if not line.endswith(b"}"):
            return None
        try:
            listing = decode_listing(bytes(self._buffer[:end]))
        except Incomplete:
            return None
        self._drop()
        return listing

    def _drop(self) -> None:
        """Forget the lines of a document that is whole."""
        del self._buffer[: self._line_start]
        self._line_start, self._searched, self._begun = 0, 0, False
