"""The operators' door: a listener of its own, one HTTP/1.1 call on each connection, answered at once.

A call is answered in the turn in which its last byte arrives: nothing it asks waits for I/O but the write
of a small file. Sessions are bounded; a caller that holds one without a whole call is ended after
`CALL_US`, and sooner when a new caller needs its place, so that slow callers cannot keep the door shut.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import httptools

from cedarmill.admin import routes
from cedarmill.admin.errors import RequestRejectedError
from cedarmill.admin.routes import AdminRequest, AdminResponse
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver, callback

SESSIONS = 16  # open at once: an operator's tools make a few calls, not hundreds
DESCRIPTORS = SESSIONS + 1  # with the listening socket
CALL_US = 2_000_000  # for a call to arrive whole: calls are a line and a few headers
LINGER_US = 1_000_000  # for the caller to read the answer
MAX_CALL = 8 * 1024  # bytes of head and body together
HEAD = b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n"


Answer = Callable[[AdminResponse], None]  # where a fleet is asked first, it comes later


def _rejection(error: RequestRejectedError) -> AdminResponse:
    return AdminResponse(error.status, str(error).encode() + b"\n")


class AdminSession(asyncio.Protocol):
    """One caller's connection: one call, one answer, then the end."""

    def __init__(self, door: "AdminServer") -> None:
        self.door, self.driver = door, door.driver
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.over = False  # answered: what still comes is not read
        self.deadline = None

    @callback
    def connection_made(self, transport) -> None:
        self.transport = transport
        self.door.came(self)
        self.deadline = self.driver.timers.add(self.driver.now() + CALL_US, self._late)

    @callback
    def connection_lost(self, error) -> None:
        self.driver.timers.cancel(self.deadline)
        self.door.left(self)
        self.parser = None

    def eof_received(self) -> bool:
        """A caller that stops sending before its call is whole gets its no; one answered, nothing."""
        if not self.over:
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, b"the call ended before it was whole\n"))
        return True

    @callback
    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.size += len(data)
        try:
            if self.size > MAX_CALL:
                raise RequestRejectedError(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the call is over 8 KiB"
                )
            self.parser.feed_data(data)
        except RequestRejectedError as refused:
            self.answer(_rejection(refused))
        except httptools.HttpParserUpgrade:
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, b"no upgrade here\n"))
        except httptools.HttpParserCallbackError as error:
            fault = error.__context__
            if not isinstance(fault, RequestRejectedError):
                log_event("defect", fault, what="a call of the admin API")
                fault = RequestRejectedError(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")
            self.answer(_rejection(fault))
        except httptools.HttpParserError:
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, b"malformed HTTP\n"))

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        method = self.parser.get_method()
        try:
            request = routes.parse_request(method, self.target)
        except RequestRejectedError as refused:
            more = b""
            if refused.status == HTTPStatus.METHOD_NOT_ALLOWED:
                more = b"Allow: %s\r\n" % routes.allowed_methods(self.target)
            self.answer(_rejection(refused), more, method)
            return
        # from here on the caller waits for this process: a lock, or the fleet
        self.driver.timers.cancel(self.deadline)
        self.deadline = self.driver.timers.add(self.driver.now() + CALL_US, self._late)
        self.door.obey(request, lambda response: self.answer(response, b"", method))

    def answer(self, response: AdminResponse, more: bytes = b"", method: bytes = b"") -> None:
        """The one answer, then the end of the connection."""
        if self.over or self.transport is None or self.transport.is_closing():
            return
        self.over = True
        status, body = response.status, response.body
        text = HEAD % (status, status.phrase.encode(), len(body), more)
        self.transport.write(text if method == b"HEAD" else text + body)
        self.transport.write_eof()  # not closed here: unread input would reset the answer away
        self.driver.timers.cancel(self.deadline)
        self.deadline = self.driver.timers.add(self.driver.now() + LINGER_US, lambda now: self.abort())

    def _late(self, now: int) -> None:
        self.deadline = None
        if self.over:
            self.abort()
        else:
            self.answer(AdminResponse(HTTPStatus.REQUEST_TIMEOUT, b"the call did not arrive in time\n"))

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class AdminServer:
    """The listening socket of the door and its sessions, the oldest first."""

    def __init__(self, driver: EventLoopDriver, obey: Callable[[AdminRequest, Answer], None]) -> None:
        self.driver, self.obey = driver, obey
        self.sessions: dict[AdminSession, None] = {}
        self.port = 0
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> None:
        """Bind and accept; raises OSError."""
        self._acceptor = Acceptor(
            self.driver,
            listening_socket(address, SESSIONS * 4),
            lambda: AdminSession(self),
            listener="admin",
            batch=SESSIONS,
            has_room=self._has_room,
            exhausted=self._make_room,
        )
        self.port = self._acceptor.port
        self._acceptor.resume()

    def _has_room(self) -> bool:
        """There always is: at the bound the oldest session goes."""
        if len(self.sessions) + self._acceptor.opening >= SESSIONS:
            self._make_room()
        return True

    def _make_room(self) -> None:
        """The oldest session goes: it has had its answer or has held its place longest without a call."""
        for session in self.sessions:
            del self.sessions[session]
            session.abort()
            return

    def came(self, session: AdminSession) -> None:
        self.sessions[session] = None

    def left(self, session: AdminSession) -> None:
        self.sessions.pop(session, None)
