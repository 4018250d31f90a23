"""Reads the answers of one connection to an executor, for the exchange that each belongs to."""

from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from cedarmill.net.upstream.exchange import Exchange

MAX_ANSWER_BYTES = 1024 * 1024  # of one answer, with all its lines


class AnswerReader:
    """One connection's HTTP parser; `exchange` is whose answer comes, None where none is expected."""

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.complete = self.keep_alive = False
        self._bytes = 0  # of this answer

    def expect(self, exchange: "Exchange") -> None:
        """The next answer is to this exchange."""
        self.exchange, self.complete, self._bytes = exchange, False, 0

    def feed(self, data: bytes) -> bool:
        """Whether what has come is an answer so far, and of a bounded size: it need never end."""
        try:
            self._open_parser().feed_data(data)
        except Exception:  # an answer that is no HTTP, or not of this protocol
            return False
        finally:
            self._bytes += len(data)
        return self._bytes <= MAX_ANSWER_BYTES

    def close(self) -> None:
        """Nothing more comes: the cycle with the parser would stay till a full collection."""
        self._parser = None

    def _open_parser(self) -> httptools.HttpResponseParser:
        if self._parser is None:
            raise ValueError("the connection is lost")
        return self._parser

    def _expected(self) -> "Exchange":
        if self.exchange is None:
            raise ValueError("given up meanwhile")
        return self.exchange

    # httptools calls these.

    def on_message_begin(self) -> None:
        """Refuse a second answer to one request."""
        if self.complete:
            raise ValueError("a second answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the answer."""
        self._expected().headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Pass the status on."""
        exchange = self._expected()
        exchange.status = self._open_parser().get_status_code()
        exchange.on_head()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self._expected().on_body(data)

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        self.keep_alive = self._open_parser().should_keep_alive()  # told only here: later it is always false
        self._expected().on_complete()
        self.complete = True
