"""Turns a client's bytes into whole requests, and into faults that have an error as their answer."""

from collections import deque
from typing import Protocol

import httptools

from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.clients.request import ClientRequest, MalformedRequest
from cedarmill.net.loop import EventLoopDriver


class RequestSink(Protocol):
    """What the reader tells of: the client's session."""

    driver: EventLoopDriver
    unread_since: int | None  # from when on the bytes at hand may have waited unread (us)

    def request_begun(self) -> None:
        """The first byte of a request has come."""

    def request_read(self) -> None:
        """One more request stands in `requests`, whole or with its fault."""

    def continue_wanted(self) -> None:
        """The client waits for word before it sends the body."""


class RequestReader:
    """The HTTP parser of one connection; `requests` are read and not served yet, `arriving` is half a one."""

    __slots__ = ("_head_bytes", "_once", "_parser", "_sink", "arriving", "faulty", "requests")

    def __init__(self, sink: RequestSink, once: frozenset[bytes]) -> None:
        """`once`: headers, in small letters, that may not come twice."""
        self._sink, self._once = sink, once
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self.arriving: ClientRequest | None = None
        self.requests: deque[ClientRequest] = deque()
        self.faulty = False  # the input has gone wrong: nothing more is read from it

    def close(self) -> None:
        """Let go of the parser and the sink: cycles with them would keep bodies till a full collection."""
        self.arriving = None
        del self._parser, self._sink

    def feed(self, data: bytes) -> None:
        """Read the next bytes; what is wrong with them becomes a request with its fault."""
        try:
            self._parser.feed_data(data)
            if self.arriving is not None and not self.arriving.method:
                self._head_bytes += len(data)  # a header is told only when it is whole
                if self._head_bytes > limits.MAX_HEAD:
                    raise MalformedRequest(431, "the head is too large")
        except httptools.HttpParserUpgrade:  # the message is whole, what follows it is not read
            self.faulty = True
            self.requests[-1].keep_alive = False
        except httptools.HttpParserCallbackError as error:
            self.reject(error.__context__)
        except httptools.HttpParserError:
            self.reject(MalformedRequest(400, "malformed HTTP"))
        except MalformedRequest as fault:
            self.reject(fault)

    def reject(self, fault: BaseException | None) -> None:
        """Make of the request that arrives one with an error as its answer, and read no more."""
        if not isinstance(fault, MalformedRequest):
            log_event("defect", fault, what="callback on a message")
            fault = MalformedRequest(500, "internal error")
        message, self.arriving = self.arriving or ClientRequest(self._sink.driver.now()), None
        message.body = bytearray()  # not kept for a client that may linger, nor in the error's frames
        fault.__traceback__ = None
        message.fault, message.keep_alive, self.faulty = fault, False, True
        self.requests.append(message)
        self._sink.request_read()

    def take_all(self) -> None:
        """Read no more, and count half a request among those that have an answer to get."""
        if self.arriving is not None:
            self.requests.append(self.arriving)
        self.arriving, self.faulty = None, True

    # httptools calls these.

    def on_message_begin(self) -> None:
        """Begin a request; raises MalformedRequest where too many wait already."""
        if (
            len(self.requests) >= limits.MAX_PIPELINED
            or sum(len(ahead.body) for ahead in self.requests) > limits.MAX_BODY
        ):
            raise MalformedRequest(400, "too many requests at once")
        self.arriving, self._head_bytes = ClientRequest(self._sink.driver.now(), self._sink.unread_since), 0
        self._sink.request_begun()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        message = self.arriving
        assert message is not None  # the parser began it
        message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; raises MalformedRequest where it is one too many."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > limits.MAX_HEAD:
            raise MalformedRequest(431, "the head is too large")
        name, message = name.lower(), self.arriving
        assert message is not None
        if not message.head:
            return  # a trailer changes nothing
        if name in self._once and name in message.headers:
            raise MalformedRequest(400, f"{name.decode()} comes twice")
        message.headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        """Check the head before the body comes; raises MalformedRequest."""
        message = self.arriving
        assert message is not None
        message.method, message.head = self._parser.get_method(), False
        length = message.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.MAX_BODY:
            raise MalformedRequest(413, "the body is over 64 KiB")
        body = length != b"0" or b"transfer-encoding" in message.headers
        if body and self._parser.should_upgrade():  # the parser would stop before it
            raise MalformedRequest(400, "an offer to upgrade takes no body")
        if message.headers.get(b"expect", b"").lower() == b"100-continue":
            self._sink.continue_wanted()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body; raises MalformedRequest where it is too large."""
        message = self.arriving
        assert message is not None
        message.body += data
        if len(message.body) > limits.MAX_BODY:
            raise MalformedRequest(413, "the body is over 64 KiB")

    def on_message_complete(self) -> None:
        """Count the request as read."""
        message, self.arriving = self.arriving, None
        assert message is not None
        message.keep_alive = self._parser.should_keep_alive()
        self.requests.append(message)
        self._sink.request_read()
