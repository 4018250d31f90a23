"""Parses the byte stream of a client into requests; a parse error becomes a request with an error."""

from collections import deque
from typing import Protocol

import httptools

from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.clients.request import ClientRequest, ClientRequestError
from cedarmill.net.loop import EventLoopDriver


class RequestSink(Protocol):
    """Receives the events of a `RequestReader`; implemented by the client session."""

    driver: EventLoopDriver
    unread_since: int | None  # Earliest time at which the input may have been waiting (us).

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
        "_head_bytes",
        "_parser",
        "_sink",
        "_unrepeatable_headers",
        "incomplete",
        "is_stopped",
        "requests",
    )

    def __init__(self, sink: RequestSink, unrepeatable_headers: frozenset[bytes]) -> None:
        """`unrepeatable_headers`: lower-case names of the headers that may occur only once per request."""
        self._sink, self._unrepeatable_headers = sink, unrepeatable_headers
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self.incomplete: ClientRequest | None = None
        self.requests: deque[ClientRequest] = deque()
        self.is_stopped = False  # If True, further input is not parsed.

    def close(self) -> None:
        """Drop the parser and the sink: their reference cycles would keep bodies until a full collection."""
        self.incomplete = None
        del self._parser, self._sink

    def feed(self, data: bytes) -> None:
        """Parse input; a parse error queues a request that carries the error."""
        try:
            self._parser.feed_data(data)
            if self.incomplete is not None and not self.incomplete.method:
                self._head_bytes += len(data)  # The parser reports only complete headers.
                if self._head_bytes > limits.MAX_HEAD_BYTES:
                    raise ClientRequestError(431, "the head is too large")
        except httptools.HttpParserUpgrade:  # The message is complete; data after it is not parsed.
            self.is_stopped = True
            self.requests[-1].keep_alive = False
        except httptools.HttpParserCallbackError as error:
            self.reject(error.__context__)
        except httptools.HttpParserError:
            self.reject(ClientRequestError(400, "malformed HTTP"))
        except ClientRequestError as fault:
            self.reject(fault)

    def reject(self, fault: BaseException | None) -> None:
        """Queue the incomplete request with an error as its answer, and stop parsing."""
        if not isinstance(fault, ClientRequestError):
            log_event("defect", fault, what="callback on a message")
            fault = ClientRequestError(500, "internal error")
        message, self.incomplete = self.incomplete or ClientRequest(self._sink.driver.now()), None
        message.body = bytearray()  # Frees memory, since the client may stay connected for some time.
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
        if (
            len(self.requests) >= limits.MAX_PIPELINED_REQUESTS
            or sum(len(ahead.body) for ahead in self.requests) > limits.MAX_BODY_BYTES
        ):
            raise ClientRequestError(400, "too many requests at once")
        self.incomplete, self._head_bytes = ClientRequest(self._sink.driver.now(), self._sink.unread_since), 0
        self._sink.on_request_begun()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        message = self.incomplete
        assert message is not None
        message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; raises ClientRequestError for a repeated header or an oversized head."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > limits.MAX_HEAD_BYTES:
            raise ClientRequestError(431, "the head is too large")
        name, message = name.lower(), self.incomplete
        assert message is not None
        if not message.is_reading_head:
            return  # Trailers are ignored.
        if name in self._unrepeatable_headers and name in message.headers:
            raise ClientRequestError(400, f"{name.decode()} comes twice")
        message.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        """Validate the head before the body is received; raises ClientRequestError."""
        message = self.incomplete
        assert message is not None
        message.method, message.is_reading_head = self._parser.get_method(), False
        length = message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.MAX_BODY_BYTES:
            raise ClientRequestError(413, "the body is over 64 KiB")
        body = length != b"0" or b"transfer-encoding" in message.headers
        if body and self._parser.should_upgrade():  # The parser would stop before the body.
            raise ClientRequestError(400, "an offer to upgrade takes no body")
        if message.headers.get(b"expect", b"").lower() == b"100-continue":
            self._sink.on_continue_expected()

    def on_body(self, data: bytes) -> None:
        """Append a fragment of the body; raises ClientRequestError if the body is too large."""
        message = self.incomplete
        assert message is not None
        message.body += data
        if len(message.body) > limits.MAX_BODY_BYTES:
            raise ClientRequestError(413, "the body is over 64 KiB")

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        message, self.incomplete = self.incomplete, None
        assert message is not None
        message.keep_alive = self._parser.should_keep_alive()
        self.requests.append(message)
        self._sink.on_request_read()
