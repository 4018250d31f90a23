"""Client sessions: serve the requests of one connection in order and send the final responses."""

import asyncio
from typing import TYPE_CHECKING, cast

from cedarmill.core.client_session_events import SessionAction, SessionEvent
from cedarmill.core.memory_budget import MIN_COUNTED_BYTES
from cedarmill.core.requests import Request
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.clients import limits, response, routes
from cedarmill.net.clients.connection import ACTION_HANDLERS, ClientConnection
from cedarmill.net.clients.request import ClientRequest, ClientRequestError, request_timeout_error
from cedarmill.net.clients.request_reader import RequestReader
from cedarmill.net.loop import guarded_callback

if TYPE_CHECKING:
    from cedarmill.net.clients.server import ClientServer

# Module-level aliases: an enum member lookup on its class is slow, and these are used for each request.
_REQUEST_BEGUN = SessionEvent.REQUEST_BEGUN
_REQUEST_READ = SessionEvent.REQUEST_READ
_SERVE_REQUESTED = SessionEvent.SERVE_REQUESTED
_LAST_ANSWER_WRITTEN = SessionEvent.LAST_ANSWER_WRITTEN
_ANSWER_WRITTEN = SessionEvent.ANSWER_WRITTEN
_SERVE_IF_PRESENT = SessionAction.SERVE_IF_PRESENT
_SERVE = SessionAction.SERVE


class ClientSession(ClientConnection):
    """One client connection: asyncio protocol, request sink and receiver of results from the dispatch."""

    def __init__(self, server: "ClientServer", unread_since: int | None = None) -> None:
        """`unread_since`: earliest time at which input may have been waiting in the accept backlog (us)."""
        super().__init__(server.driver, server.memory, server.options.half_close == "leaves", unread_since)
        self.server = server
        self.reader = RequestReader(self, server.used_headers)
        self.current_message: ClientRequest | None = None
        self.request: Request | None = None  # The dispatched request for `current_message`.
        self.discarded_bytes = 0  # Input after the last response.

    # Callbacks of the transport.

    @guarded_callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the session and start its timers."""
        self.transport, self.connected = cast(asyncio.Transport, transport), True
        self.server.add(self)
        self.set_timers()

    @guarded_callback
    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the session and withdraw its open request."""
        self.server.remove(self)
        self.reader.close()
        self.handle(SessionEvent.CONNECTION_LOST)

    @guarded_callback
    def eof_received(self) -> bool:
        """Treat the end of input as a disconnect, unless the settings allow half-closed clients.

        On False the loop closes the transport after flushing its output. A client that does not read delays
        the flush, so the open request is withdrawn here already.
        """
        self.handle(SessionEvent.CLIENT_ENDED_SENDING)
        return self.lifecycle.is_open

    @guarded_callback
    def resume_writing(self) -> None:
        """Serve queued requests again."""
        self.handle(SessionEvent.WRITING_RESUMED)
        self.serve_queued_requests()
        self.count_memory()

    @guarded_callback
    def data_received(self, data: bytes) -> None:
        """Parse input and serve complete requests; discard input after the last response."""
        lifecycle, reader = self.lifecycle, self.reader
        lifecycle.last_byte_at = self.driver.now()
        # Asked before the requests are served: what comes meanwhile has not waited.
        has_waiting_input = self.has_waiting_input()
        if lifecycle.is_open and not reader.is_stopped:
            reader.feed(data)
            if not has_waiting_input:
                self.unread_since = None
            self.serve_queued_requests()
            if len(data) >= MIN_COUNTED_BYTES or reader.incomplete is not None:
                self.count_memory()
        else:
            self.discarded_bytes += len(data)
            self.set_reading_paused(self.discarded_bytes > limits.MAX_DISCARDED_BYTES)

    # Callbacks of the request reader.

    def on_request_begun(self) -> None:
        """Record that a request has begun to arrive."""
        lifecycle = self.lifecycle
        lifecycle.step(lifecycle.last_byte_at, _REQUEST_BEGUN)
        self.server.unlist_idle(self)

    def on_request_read(self) -> None:
        """Record that a request was queued."""
        lifecycle, requests = self.lifecycle, self.reader.requests
        lifecycle.step(lifecycle.last_byte_at, _REQUEST_READ)
        if self.current_message is not None or len(requests) > 1 or lifecycle.is_write_blocked:
            routes.open_queued(self, requests[-1])

    def on_continue_expected(self) -> None:
        """Send `100 Continue`, unless an earlier request is still unanswered."""
        if self.current_message is None:
            self.send(response.CONTINUE)

    def is_connected(self) -> bool:
        """Return whether the client is still connected; drop the session if not.

        False also if the kernel cannot be queried: no work is started for a client that may be gone.
        """
        left = self.client_has_left()
        if left:
            self.drop()
        return left is False

    def withdraw(self) -> None:
        """Withdraw the open request and discard the queued ones, because the client has disconnected."""
        self._withdraw_request()
        for message in (*self.reader.requests, self.current_message):
            if message is not None:
                self.server.open_requests.remove(message)
        self.reader.requests.clear()
        self.current_message = None  # an attempt in flight may keep this session for long

    def reject_incomplete_request(self, fault: ClientRequestError) -> None:
        """Answer the incomplete request with an error, after the responses that precede it."""
        self.reader.reject(fault)
        self.serve_queued_requests()

    def list_as_idle(self) -> None:
        """Register the session as idle, so that the server may close it to make room."""
        self.server.list_idle(self)

    def request_bytes(self) -> int:
        """Return the bytes that are kept of requests."""
        current_bytes = self.current_message.allocated_bytes if self.current_message is not None else 0
        return current_bytes + self.reader.held_bytes

    # Operations that the server requests.

    @property
    def is_idle(self) -> bool:
        """Whether the session is open with no request pending or arriving."""
        lifecycle = self.lifecycle
        return lifecycle.is_open and not lifecycle.has_unanswered_requests and not lifecycle.is_receiving

    def abort(self) -> None:
        """Answer all requests that were read with 500 and close, after a callback raised an exception."""
        if not self.lifecycle.is_open or not self.connected:
            self.drop()
            return
        try:
            self.answer_all(500, 500)
        except Exception:
            log_event("defect", True, what="the end of a session")
            self.drop()

    def answer_before_kill(self) -> None:
        """Answer all pending requests now, because the process may be killed soon."""
        may_have_run = self.request is not None and self.server.dispatch.may_have_run(self.request)
        self.answer_all(502 if may_have_run else 503, 503)

    def answer_all(self, in_flight_status: int, unsent_status: int) -> None:
        """Answer all pending requests in order and close; nothing more is forwarded.

        The current request gets `in_flight_status`, queued and incomplete ones get `unsent_status`, and a
        rejected one gets its own error.
        """
        if not self.lifecycle.is_open:
            return
        self._withdraw_request()
        self.reader.stop_parsing()
        action = self.step(SessionEvent.ANSWER_ALL)
        if action is SessionAction.ANSWER_ALL_WITH_ERRORS:
            self._answer_pending(in_flight_status, unsent_status)
        elif action is not None:
            ACTION_HANDLERS[action](self)

    def answer_pending(self) -> None:
        """Answer queued requests with 503 and an incomplete one with 408: the client reads no responses."""
        if self.reader.incomplete is not None:
            self.reader.reject(request_timeout_error())
        self._answer_pending(503, 503)

    def _answer_pending(self, in_flight_status: int, unsent_status: int) -> None:
        requests, status = self.reader.requests, in_flight_status
        last = requests[-1] if requests else self.current_message
        if last is not None:
            last.keep_alive = False
        while self.lifecycle.is_open and (self.current_message is not None or requests):
            if self.current_message is None:
                self.step(_SERVE_REQUESTED)
                self.current_message, status = requests.popleft(), unsent_status
            fault = self.current_message.fault
            if fault is None:
                self.answer(status, response.error_body(status))
            else:
                self.answer(fault.status, str(fault).encode() + b"\n")
        if self.lifecycle.is_open:
            self.drop()

    # Requests in order.

    def serve_queued_requests(self) -> None:
        """Serve queued requests while the client reads its responses."""
        while True:
            action = self.step(_SERVE_REQUESTED)
            if action is _SERVE_IF_PRESENT:
                if self.drop_if_client_left():
                    return
            elif action is not _SERVE:
                break
            self._serve_next()
        if action is not None:
            ACTION_HANDLERS[action](self)

    def _serve_next(self) -> None:
        self.current_message = message = self.reader.requests.popleft()
        if message.fault is not None:
            self.answer(message.fault.status, str(message.fault).encode() + b"\n")
            return
        try:
            routes.serve(self, message)
        except ClientRequestError as fault:
            self.answer(fault.status, str(fault).encode() + b"\n")
        except Exception:
            log_event("defect", True, what="callback on a request")
            self.request = None
            self.answer(500, b"internal error\n")

    def open_request(self, now: int, due: int, arrival: api.RequestArrived) -> None:
        """Dispatch the current request, which is among the open ones and is to be answered by `due` (us)."""
        request = self.server.dispatch.arrive(now, self, self.current_message, due, arrival)
        if not request.answered:
            self.request = request

    def _withdraw_request(self) -> None:
        """Withdraw the open request, if any, so that no further attempt starts."""
        request, self.request = self.request, None
        if request is not None:
            self.server.dispatch.withdraw(self.driver.now(), request)

    def cancel_request(self) -> None:
        """Withdraw the open request as its caller asked and answer it with 502; the session continues."""
        if self.request is not None:
            self._withdraw_request()
            self._send_final_answer(502, b"recalled by its client\n")

    # Results from the dispatch.

    def send_result(self, result: bytes) -> None:
        """Send the result of an executor."""
        self._send_final_answer(200, result)

    def send_refusal(self, retry_after_us: int) -> None:
        """Answer 503: the request was not run; a `retry_after_us` of 0 omits Retry-After."""
        advice = b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b""
        self._send_final_answer(503, b"refused\n", advice)

    def send_failure(self) -> None:
        """Answer 502: the request failed."""
        self._send_final_answer(502, b"failed\n")

    def _send_final_answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        self.request = None
        self.answer(status, body, headers)
        if self.reader.requests:
            self.serve_queued_requests()

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Send the response to the current request; ignored once the session is closing."""
        message, self.current_message = self.current_message, None
        lifecycle, server = self.lifecycle, self.server
        if message is None:
            return
        server.open_requests.remove(message)
        if not lifecycle.is_open:
            return
        last = lifecycle.is_last_answer(message.keep_alive, server.closing or server.is_draining_clients)
        if self.send(response.compose(message, status, body, headers, last)):
            self.handle(_LAST_ANSWER_WRITTEN if last else _ANSWER_WRITTEN)
        self.memory.remove(self)  # the answer is kept from now on, whenever its request came
        if self.transport.get_write_buffer_size() >= MIN_COUNTED_BYTES or self.reader.requests:
            self.count_memory()
