"""HTTP parser for the answers on one connection to an executor."""

from typing import TYPE_CHECKING

import httptools

from cedarmill.net.header_sections import HeaderSectionMeter
from cedarmill.net.upstream.exchange_end import MALFORMED_ANSWER, ExchangeEnd, MalformedAnswer

if TYPE_CHECKING:
    from cedarmill.net.upstream.exchange import Exchange

MAX_ANSWER_BYTES = 1024 * 1024  # size limit of one whole answer
MAX_HEAD_BYTES = 16 * 1024  # header fields and trailer fields of one answer
USED_HEADERS = frozenset((b"x-load-report", b"x-rejected"))


class AnswerReader:
    """Parses a connection's answers and passes them to `exchange`, which is None if no answer is expected."""

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.complete = self.keep_alive = False
        self._header_sections = HeaderSectionMeter(MAX_HEAD_BYTES)
        self._answer_bytes = 0  # received so far of the current answer

    def expect(self, exchange: "Exchange") -> None:
        """Assign the next answer to an exchange."""
        self.exchange, self.complete, self._answer_bytes = exchange, False, 0

    def feed(self, data: bytes) -> ExchangeEnd | None:
        """Parse received bytes; return the exchange's end if they are malformed or over the limits."""
        try:
            self._header_sections.feed(self._open_parser(), data)
        except Exception as error:  # malformed HTTP, an oversized head, or a violation of the protocol
            cause = error.__context__  # what a callback of the parser has raised
            return cause.end if isinstance(cause, MalformedAnswer) else MALFORMED_ANSWER
        finally:
            self._answer_bytes += len(data)
        return None if self._answer_bytes <= MAX_ANSWER_BYTES else MALFORMED_ANSWER

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are kept of the current answer."""
        return self._header_sections.held_bytes + (self.exchange.held_bytes if self.exchange else 0)

    def close(self) -> None:
        """Drop the parser, which would otherwise form a reference cycle with this object."""
        self._parser = None

    def _open_parser(self) -> httptools.HttpResponseParser:
        if self._parser is None:
            raise ValueError("the connection is closed")
        return self._parser

    def _current_exchange(self) -> "Exchange":
        if self.exchange is None:
            raise ValueError("answer to an abandoned request")
        return self.exchange

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Raise ValueError for a second answer to one request."""
        self._header_sections.start_message()
        if self.complete:
            raise ValueError("second answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the answer that is used; trailers are ignored."""
        self._header_sections.on_field(name, value)
        exchange = self._current_exchange()
        if not exchange.status and (name := name.lower()) in USED_HEADERS:
            exchange.headers[name] = value

    def on_headers_complete(self) -> None:
        """Store the status and notify the exchange."""
        exchange = self._current_exchange()
        exchange.status = self._open_parser().get_status_code()
        exchange.on_headers()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the exchange."""
        self._header_sections.on_body()
        self._current_exchange().on_body(data)

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self.keep_alive = self._open_parser().should_keep_alive()  # valid only within this callback
        self._current_exchange().on_complete()
        self.complete = True
