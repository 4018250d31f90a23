"""Parses the byte stream of a client into requests; a parse error becomes a request with an error."""

import sys
from collections import deque
from typing import Protocol

import httptools

from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.clients.request import ClientRequest, ClientRequestError
from cedarmill.net.header_sections import HeaderSectionMeter, HeaderSectionTooLarge
from cedarmill.net.loop import EventLoopDriver

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"expect"))


class RequestSink(Protocol):
    """Receives the events of a `RequestReader`; implemented by the client session."""

    driver: EventLoopDriver
    unread_since: int | None  # Earliest time at which the input may have been waiting (us).
    current_message: ClientRequest | None  # The request in service, which is not in `requests`.

    def on_request_begun(self) -> None:
        """Called when the first byte of a request has been parsed."""

    def on_request_read(self) -> None:
        """Called when a request was added to `requests`, either complete or with an error."""

    def on_continue_expected(self) -> None:
        """Called when the client expects `100 Continue` before it sends the body."""


class RequestReader:
    """The HTTP parser of one connection.

    `requests` holds the parsed requests that are not served yet, `incomplete` the one being received.
    """

    __slots__ = (
        "_header_sections",
        "_parser",
        "_sink",
        "_used_headers",
        "incomplete",
        "is_stopped",
        "requests",
    )

    def __init__(self, sink: RequestSink, used_headers: frozenset[bytes]) -> None:
        """`used_headers`: lower-case names of the headers to keep, which may occur once per request."""
        self._sink, self._used_headers = sink, used_headers
        self._parser = httptools.HttpRequestParser(self)
        self._header_sections = HeaderSectionMeter(limits.MAX_HEAD_BYTES)
        self.incomplete: ClientRequest | None = None
        self.requests: deque[ClientRequest] = deque()
        self.is_stopped = False  # If True, further input is not parsed.

    def close(self) -> None:
        """Drop the parser and the sink: their reference cycles would keep bodies until a full collection."""
        self.incomplete = None
        del self._parser, self._sink

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are kept of incomplete and queued requests."""
        held = self._header_sections.held_bytes + sum(message.allocated_bytes for message in self.requests)
        return held + (sys.getsizeof(self.incomplete.body) if self.incomplete is not None else 0)

    def feed(self, data: bytes) -> None:
        """Parse input; a parse error queues a request that carries the error."""
        try:
            self._header_sections.feed(self._parser, data)
        except httptools.HttpParserUpgrade:  # The message is complete; data after it is not parsed.
            self.is_stopped = True
            self.requests[-1].keep_alive = False
        except httptools.HttpParserCallbackError as error:
            self.reject(error.__context__)
        except httptools.HttpParserError:
            self.reject(ClientRequestError(400, "malformed HTTP"))
        except HeaderSectionTooLarge as error:
            self.reject(error)

    def _check_session_size(self, message: ClientRequest) -> None:
        """Raise ClientRequestError if the session holds too many bytes with this request."""
        current = self._sink.current_message
        if current is None and not self.requests:
            return  # The limits of a single request hold.
        size = message.held_bytes + sum(ahead.held_bytes for ahead in self.requests)
        if current is not None:
            size += current.held_bytes
        if size > limits.MAX_SESSION_BYTES:
            raise ClientRequestError(400, "too many requests at once")

    def reject(self, fault: BaseException | None) -> None:
        """Queue the incomplete request with an error as its answer, and stop parsing."""
        if isinstance(fault, HeaderSectionTooLarge):
            fault = ClientRequestError(431, str(fault))
        if not isinstance(fault, ClientRequestError):
            log_event("defect", fault, what="callback on a message")
            fault = ClientRequestError(500, "internal error")
        message, self.incomplete = self.incomplete or ClientRequest(self._sink.driver.now()), None
        message.discard_content()  # The client may stay connected for some time.
        fault.__traceback__ = None
        message.fault, message.keep_alive, self.is_stopped = fault, False, True
        self.requests.append(message)
        self._sink.on_request_read()

    def stop_parsing(self) -> None:
        """Stop parsing, and queue the incomplete request so that it is answered as well."""
        if self.incomplete is not None:
            self.requests.append(self.incomplete)
        self.incomplete, self.is_stopped = None, True

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        """Start a new request; raises ClientRequestError if too many are queued."""
        self._header_sections.start_message()
        if len(self.requests) >= limits.MAX_PIPELINED_REQUESTS:
            raise ClientRequestError(400, "too many requests at once")
        self.incomplete = ClientRequest(self._sink.driver.now(), self._sink.unread_since)
        self._sink.on_request_begun()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target; raises HeaderSectionTooLarge."""
        message = self.incomplete
        assert message is not None
        self._header_sections.on_head_bytes(len(url))
        message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header that is used; raises ClientRequestError and HeaderSectionTooLarge."""
        self._header_sections.on_field(name, value)
        name, message = name.lower(), self.incomplete
        assert message is not None
        if not message.is_reading_head:
            return  # Trailers are ignored.
        if name in self._used_headers:
            if name in message.headers:
                raise ClientRequestError(400, f"{name.decode()} comes twice")
        elif name not in FRAMING_HEADERS:
            return
        message.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        """Validate the head before the body is received; raises ClientRequestError."""
        message = self.incomplete
        assert message is not None
        message.method, message.is_reading_head = self._parser.get_method(), False
        message.head_bytes = self._header_sections.size
        length = message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.MAX_BODY_BYTES:
            raise ClientRequestError(413, "the body is over 64 KiB")
        body = length != b"0" or b"transfer-encoding" in message.headers
        if body and self._parser.should_upgrade():  # The parser would stop before the body.
            raise ClientRequestError(400, "an offer to upgrade takes no body")
        self._check_session_size(message)
        if message.headers.get(b"expect", b"").lower() == b"100-continue":
            self._sink.on_continue_expected()

    def on_body(self, data: bytes) -> None:
        """Append a fragment of the body; raises ClientRequestError if body or session are too large."""
        message = self.incomplete
        assert message is not None
        self._header_sections.on_body()
        message.body += data
        if len(message.body) > limits.MAX_BODY_BYTES:
            raise ClientRequestError(413, "the body is over 64 KiB")
        self._check_session_size(message)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        message, self.incomplete = self.incomplete, None
        self._header_sections.start_message()
        assert message is not None
        message.keep_alive = self._parser.should_keep_alive()
        self.requests.append(message)
        self._sink.on_request_read()
