"""Limit on the header sections of an HTTP message (RFC 9112: the head and the trailer) while it is parsed.

An HTTP parser keeps an incomplete field itself and reports it once it is whole. So the limit covers both what
the parser has reported and what it was fed since its last report.
"""

from typing import Protocol

# Input goes to the parser in parts of this size, so that the bytes kept unseen are known within one part.
PARSER_INPUT_BYTES = 1024
FIELD_SYNTAX_BYTES = 3  # the colon and the line end of a field


class HeaderSectionTooLarge(ValueError):
    """The header sections of a message are over their limit."""


class Parser(Protocol):
    """An HTTP parser of httptools."""

    def feed_data(self, data: bytes | memoryview) -> None:
        """Parse a part of the input."""


class HeaderSectionMeter:
    """Feeds a parser and counts the header sections of the message; its owner reports each callback."""

    __slots__ = ("_max_bytes", "_unreported_bytes", "size")

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._unreported_bytes = 0  # fed since the last callback of the parser, which may keep it
        self.size = 0  # reported bytes of the message's header sections

    @property
    def held_bytes(self) -> int:
        """Return an upper bound of what is kept of the message's header sections, reported or not."""
        return self.size + self._unreported_bytes

    def feed(self, parser: Parser, data: bytes) -> None:
        """Parse input; raises HeaderSectionTooLarge and the errors of the parser."""
        if len(data) <= PARSER_INPUT_BYTES:
            self._feed_part(parser, data)
            return
        view = memoryview(data)
        for start in range(0, len(data), PARSER_INPUT_BYTES):
            self._feed_part(parser, view[start : start + PARSER_INPUT_BYTES])

    def _feed_part(self, parser: Parser, data: bytes | memoryview) -> None:
        self._unreported_bytes += len(data)
        parser.feed_data(data)
        if self.held_bytes > self._max_bytes:
            raise HeaderSectionTooLarge("the head is too large")

    def start_message(self) -> None:
        """Count a new message."""
        self.size = self._unreported_bytes = 0

    def on_field(self, name: bytes, value: bytes) -> None:
        """Count a whole field; raises HeaderSectionTooLarge."""
        self.on_head_bytes(len(name) + len(value) + FIELD_SYNTAX_BYTES)

    def on_head_bytes(self, size: int) -> None:
        """Count a part of a header section that the parser has reported; raises HeaderSectionTooLarge."""
        self._unreported_bytes = 0
        self.size += size
        if self.size > self._max_bytes:
            raise HeaderSectionTooLarge("the head is too large")

    def on_body(self) -> None:
        """Record that the parser has reported a part of the body, which the limit does not cover."""
        self._unreported_bytes = 0
