"""Listener of the admin API: HTTP/1.1 with one request per connection.

The number of sessions is limited. A session whose request is incomplete is closed after `REQUEST_TIMEOUT_US`,
or earlier if a new session needs its place, so that slow callers cannot block the API.
"""

from collections.abc import Callable
from http import HTTPStatus

import httptools

from cedarmill.admin import routes
from cedarmill.admin.errors import RequestRejectedError
from cedarmill.admin.routes import AdminRequest, AdminResponse
from cedarmill.log import log_event
from cedarmill.net.bounded_sessions import BoundedListener, BoundedSession, ListenerLimits, OverflowPolicy
from cedarmill.net.loop import EventLoopDriver, guarded_callback

MAX_SESSIONS = 16  # Operators' tools make a few calls at a time.
MAX_DESCRIPTORS = MAX_SESSIONS + 1  # Includes the listening socket.
REQUEST_TIMEOUT_US = 2_000_000  # Requests are a line and a few headers.
RESPONSE_TIMEOUT_US = 1_000_000
MAX_REQUEST_BYTES = 8 * 1024  # Head and body together.
LIMITS = ListenerLimits(
    MAX_SESSIONS, MAX_SESSIONS, MAX_SESSIONS * 4, OverflowPolicy.OLDEST, REQUEST_TIMEOUT_US
)
RESPONSE_HEAD = (
    b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n"
)

Answer = Callable[[AdminResponse], None]  # Called later if the cluster decides first.


def _rejection(error: RequestRejectedError) -> AdminResponse:
    return AdminResponse(error.status, str(error).encode() + b"\n")


class AdminSession(BoundedSession):
    """Connection of one caller, closed after one request and its answer."""

    def __init__(self, server: "AdminServer") -> None:
        super().__init__(server)
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._received_bytes = 0

    def on_close(self) -> None:
        """Delete the parser to break its reference cycle with the session."""
        del self._parser

    def eof_received(self) -> bool:
        """Reject an incomplete request; do nothing if the request is answered already."""
        if not self.is_finished:
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, b"the call ended before it was whole\n"))
        return True

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Parse a part of the request; answer an invalid request with an error."""
        if self.is_finished:
            return
        self._received_bytes += len(data)
        try:
            if self._received_bytes > MAX_REQUEST_BYTES:
                raise RequestRejectedError(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the call is over 8 KiB"
                )
            self._parser.feed_data(data)
        except RequestRejectedError as rejected:
            self.answer(_rejection(rejected))
        except httptools.HttpParserUpgrade:
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, b"no upgrade here\n"))
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, RequestRejectedError):
                log_event("defect", cause, what="a call of the admin API")
                cause = RequestRejectedError(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")
            self.answer(_rejection(cause))
        except httptools.HttpParserError:
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, b"malformed HTTP\n"))

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Handle the complete request, or answer with the reason of its rejection."""
        method = self._parser.get_method()
        try:
            request = routes.parse_request(method, self._target)
        except RequestRejectedError as rejected:
            headers = b""
            if rejected.status == HTTPStatus.METHOD_NOT_ALLOWED:
                headers = b"Allow: %s\r\n" % routes.allowed_methods(self._target)
            self.answer(_rejection(rejected), headers, method)
            return
        # The response may wait for a lock or the cluster.
        self.set_deadline(REQUEST_TIMEOUT_US)
        self._server.handle(request, lambda response: self.answer(response, b"", method))

    def answer(self, response: AdminResponse, headers: bytes = b"", method: bytes = b"") -> None:
        """Send the response and close the connection; `headers` are complete lines."""
        if self.is_finished or not self.is_writable:
            return
        status, body = response.status, response.body
        message = RESPONSE_HEAD % (status, status.phrase.encode(), len(body), headers)
        self.set_deadline(RESPONSE_TIMEOUT_US)
        self.finish(message if method == b"HEAD" else message + body)

    def on_deadline(self) -> None:
        """Answer a late request with an error; abort if an answer has been sent but not read."""
        if self.is_finished:
            self.abort()
        else:
            self.answer(AdminResponse(HTTPStatus.REQUEST_TIMEOUT, b"the call did not arrive in time\n"))


class AdminServer(BoundedListener[AdminSession]):
    """Listener of the admin API; `handle` gets each request and the callback for its response."""

    def __init__(self, driver: EventLoopDriver, handle: Callable[[AdminRequest, Answer], None]) -> None:
        super().__init__(driver, "admin", LIMITS, lambda: AdminSession(self))
        self.handle = handle
