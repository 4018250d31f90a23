"""The admin API's listener: HTTP/1.1, one request on each connection, answered at once.

A request is answered in the turn in which its last byte arrives: nothing it asks waits for I/O but the write
of a small file. Sessions are bounded; a caller that holds one without a whole request is ended after
`CALL_US`, and sooner when a new caller needs its place, so that slow callers cannot keep the API shut.
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

SESSIONS = 16  # open at once: an operator's tools make a few calls, not hundreds
DESCRIPTORS = SESSIONS + 1  # with the listening socket
CALL_US = 2_000_000  # for a request to arrive whole: requests are a line and a few headers
LINGER_US = 1_000_000  # for the caller to read the answer
MAX_CALL = 8 * 1024  # bytes of head and body together
BOUNDS = ListenerLimits(SESSIONS, SESSIONS, SESSIONS * 4, OverflowPolicy.OLDEST, CALL_US)
HEAD = b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n"

Answer = Callable[[AdminResponse], None]  # where a cluster is asked first, it comes later


def _rejection(error: RequestRejectedError) -> AdminResponse:
    return AdminResponse(error.status, str(error).encode() + b"\n")


class AdminSession(BoundedSession):
    """One caller's connection: one request, one answer, then the end."""

    def __init__(self, server: "AdminServer") -> None:
        super().__init__(server)
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0

    def on_close(self) -> None:
        """Let go of the parser, which refers back."""
        del self._parser

    def eof_received(self) -> bool:
        """Answer a caller that stops sending before its request is whole; one answered gets nothing more."""
        if not self.is_finished:
            self.answer(AdminResponse(HTTPStatus.BAD_REQUEST, b"the call ended before it was whole\n"))
        return True

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Read the request; what is wrong with it is answered at once."""
        if self.is_finished:
            return
        self._size += len(data)
        try:
            if self._size > MAX_CALL:
                raise RequestRejectedError(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the call is over 8 KiB"
                )
            self._parser.feed_data(data)
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
        """Take a part of the target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Carry the request out, or say why not."""
        method = self._parser.get_method()
        try:
            request = routes.parse_request(method, self._target)
        except RequestRejectedError as refused:
            headers = b""
            if refused.status == HTTPStatus.METHOD_NOT_ALLOWED:
                headers = b"Allow: %s\r\n" % routes.allowed_methods(self._target)
            self.answer(_rejection(refused), headers, method)
            return
        # from here on the caller waits for this process: a lock, or the cluster
        self.set_deadline(CALL_US)
        self._server.handle(request, lambda response: self.answer(response, b"", method))

    def answer(self, response: AdminResponse, headers: bytes = b"", method: bytes = b"") -> None:
        """Give the one answer, then end the connection; `headers` are whole lines."""
        if self.is_finished or not self.is_writable:
            return
        status, body = response.status, response.body
        text = HEAD % (status, status.phrase.encode(), len(body), headers)
        self.set_deadline(LINGER_US)
        self.finish(text if method == b"HEAD" else text + body)

    def on_deadline(self) -> None:
        """Say that the request took too long; an answer that is not read is given up."""
        if self.is_finished:
            self.abort()
        else:
            self.answer(AdminResponse(HTTPStatus.REQUEST_TIMEOUT, b"the call did not arrive in time\n"))


class AdminServer(BoundedListener[AdminSession]):
    """The listening socket of the admin API; `handle` is given each request and where its answer goes."""

    def __init__(self, driver: EventLoopDriver, handle: Callable[[AdminRequest, Answer], None]) -> None:
        super().__init__(driver, "admin", BOUNDS, lambda: AdminSession(self))
        self.handle = handle
