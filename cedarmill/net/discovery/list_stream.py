"""Splits the body of discovery's answer into lists: JSON documents on one line each or indented over many."""

import sys
from typing import Any

import msgspec

from cedarmill.net.discovery.endpoints import Endpoint, Listing

MAX_LIST_BYTES = 4 * 1024 * 1024
MIN_LIMIT_BYTES = 1024 * 1024  # of the limit; a list of some 6,000 executors
LIST_MEMORY_FACTOR = 8  # memory that a list takes while it is decoded, in multiples of its length
_LISTING_DECODER = msgspec.json.Decoder(Listing)


class _LooseListing(msgspec.Struct):
    """A list with at least one entry that does not match `Endpoint`."""

    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]


class _NamedEntry(msgspec.Struct):
    """The minimum that an entry must hold to be usable."""

    name: str


_LOOSE_LISTING_DECODER = msgspec.json.Decoder(_LooseListing)
_ENDPOINT_DECODER = msgspec.json.Decoder(Endpoint)
_NAMED_ENTRY_DECODER = msgspec.json.Decoder(_NamedEntry)
UNREADABLE = "UNREADABLE"  # status of an entry of which only the executor's name can be read


class Incomplete(Exception):
    """Raised for a JSON document that is cut off."""


class _WrongShape(ValueError):
    """Raised for a JSON document that does not match the expected fields."""


def decode_listing(text: bytes) -> Listing:
    """Decode a list; an unreadable entry affects no other entry. Raise ValueError or Incomplete."""
    try:
        listing: Listing = _decode(_LISTING_DECODER, text)
        return listing
    except _WrongShape:
        loose = _decode(_LOOSE_LISTING_DECODER, text)
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
        return _ENDPOINT_DECODER.decode(text)
    except msgspec.ValidationError:
        pass
    try:
        return Endpoint(_NAMED_ENTRY_DECODER.decode(text).name, UNREADABLE)
    except msgspec.ValidationError:
        return None


def list_limit_bytes(memory_bytes: int) -> int:
    """Return the longest list that a process may decode with this much memory."""
    return min(MAX_LIST_BYTES, max(MIN_LIMIT_BYTES, memory_bytes // LIST_MEMORY_FACTOR))


class ListStream:
    """Collects the body in chunks of any size and returns the complete lists."""

    def __init__(self, max_bytes: int = MAX_LIST_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._line_start = 0  # buffer offset of the incomplete line
        self._searched_to = 0  # buffer offset up to which the incomplete line holds no newline
        self._line_is_blank = True  # whether the incomplete line holds only white space so far
        self._document_started = False  # whether the buffer holds a complete line of an unfinished document

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are kept of an incomplete list."""
        return sys.getsizeof(self._buffer)

    @property
    def has_partial_list(self) -> bool:
        """Return whether a list has started that is not complete yet."""
        return self._document_started or not self._line_is_blank

    def feed(self, data: bytes) -> list[Listing]:
        """Add bytes and return the lists that they complete; raise ValueError for malformed data."""
        self._buffer += data
        listings = []
        while (end := self._buffer.find(b"\n", self._searched_to)) >= 0:
            listing = self._finish_line(end)
            if listing is not None:
                listings.append(listing)
        # Examines only the new bytes, since a long list may arrive byte by byte.
        self._line_is_blank = self._line_is_blank and not self._buffer[self._searched_to :].strip()
        self._searched_to = len(self._buffer)
        self._check_length(len(self._buffer))
        return listings

    def finish(self) -> list[Listing]:
        """Handle the end of the body; return the list in the remaining bytes, if any."""
        listing = self._finish_line(len(self._buffer))
        return [listing] if listing is not None else []

    def _finish_line(self, end: int) -> Listing | None:
        """Process the line that ends at `end`; return the list if the line completes its document."""
        line = self._buffer[self._line_start : end].strip()
        self._line_start = self._searched_to = end + 1
        self._line_is_blank = True
        if not self._document_started and not line:
            self._discard_document()
            return None
        if not self._document_started and not line.startswith(b"{"):
            raise ValueError("not an endpoint list")
        self._document_started = True
        if not line.endswith(b"}"):
            return None
        self._check_length(end)
        try:
            with memoryview(self._buffer) as view:
                text = bytes(view[:end])
            listing = decode_listing(text)
        except Incomplete:
            return None
        self._discard_document()
        return listing

    def _check_length(self, size: int) -> None:
        if size > self._max_bytes:
            raise ValueError("endpoint list is too long")

    def _discard_document(self) -> None:
        """Remove the complete document's lines from the buffer."""
        del self._buffer[: self._line_start]
        self._line_start, self._searched_to, self._document_started = 0, 0, False
