"""Base class of a client connection: connects an asyncio transport to the session state machine.

The state machine in `core/client_session.py` decides about waiting, timeouts, eviction and closing; this
module carries the decisions out. The subclass in `net/clients/session.py` implements the request hooks.
"""

import asyncio
from collections.abc import Callable
from operator import methodcaller

from cedarmill.core.client_session import SessionLifecycle
from cedarmill.core.client_session_events import SessionAction, SessionEvent, SessionState
from cedarmill.core.memory_budget import MemoryBudget, MessageKind
from cedarmill.core.timers import SingleTimer
from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.clients.request import ClientRequestError, request_timeout_error
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.socket_state import (
    TRANSPORT_ERRORS,
    has_unread_bytes,
    is_peer_closed,
    last_input_age_us,
    unacknowledged_bytes,
)


class ClientConnection(asyncio.Protocol):
    """Owns the transport and the timers of one client connection, and closes it."""

    transport: asyncio.Transport  # Set by `connection_made`.

    def __init__(
        self,
        driver: EventLoopDriver,
        memory: MemoryBudget,
        is_half_close_disconnect: bool,
        unread_since: int | None,
    ) -> None:
        """`unread_since`: earliest time at which input may have been waiting in the accept backlog (us)."""
        self.driver, self.memory = driver, memory
        self.unread_since = unread_since  # Also set while reading is paused.
        self.created_at = driver.now()
        self.lifecycle = SessionLifecycle(
            self.created_at, limits.TIMES, is_half_close_disconnect=is_half_close_disconnect
        )
        self.connected = False
        self._last_unacknowledged_bytes = 0  # Value of the previous progress check while closing.
        self._deadline_timer = SingleTimer(driver.timers)
        self._deadline_at: int | None = None
        self._presence_check_timer = SingleTimer(driver.timers)
        self._presence_check_at: int | None = None

    # Hooks that the subclass implements.

    def withdraw(self) -> None:
        """Withdraw the open request and discard the queued ones, because the client has disconnected."""
        raise NotImplementedError

    def reject_incomplete_request(self, fault: ClientRequestError) -> None:
        """Answer the incomplete request with an error, after the responses that precede it."""
        raise NotImplementedError

    def answer_pending(self) -> None:
        """Answer all pending requests with errors and close: the client did not read its output in time."""
        raise NotImplementedError

    def abort(self) -> None:
        """Answer all requests that were read with errors and close, after a callback raised an exception."""
        raise NotImplementedError

    def list_as_idle(self) -> None:
        """Register the connection as idle, so that the server may close it to make room for others."""
        raise NotImplementedError

    def request_bytes(self) -> int:
        """Return the bytes that are kept of requests."""
        raise NotImplementedError

    # Memory.

    def count_memory(self) -> None:
        """Count what is kept of the client's requests and of answers that it has not read."""
        self.memory.update(self, self.driver.now())

    def held_bytes(self) -> int:
        """Return the bytes of requests and of unread answers that are kept."""
        if self.lifecycle.state >= SessionState.GONE:
            return 0
        return self.request_bytes() + self.transport.get_write_buffer_size()

    def message_kind(self) -> MessageKind:
        """Return the kind of the messages that take most memory."""
        is_mostly_unread = self.transport.get_write_buffer_size() > self.request_bytes()
        return MessageKind.UNREAD_ANSWERS if is_mostly_unread else MessageKind.CLIENT_REQUEST

    def end_costly_message(self) -> bool:
        """Refuse the unfinished request, or close if the client does not read; return whether it did."""
        if self.lifecycle.is_open and self.lifecycle.is_receiving:
            self.reject_incomplete_request(ClientRequestError(503, "refused"))
            return True
        if not self.transport.get_write_buffer_size():
            return False  # Requests that were read whole are served.
        self.drop()
        return True

    # Events and actions of the state machine.

    def handle(self, event: SessionEvent) -> None:
        """Process an event and carry out the resulting action."""
        action = self.step(event)
        if action is not None:
            ACTION_HANDLERS[action](self)

    def step(self, event: SessionEvent) -> SessionAction | None:
        """Process an event and return the resulting action, which the caller carries out."""
        lifecycle = self.lifecycle
        action = lifecycle.step(self.driver.now(), event)
        if lifecycle.deadline != self._deadline_at or lifecycle.presence_check_at != self._presence_check_at:
            self.set_timers()
        return action

    def set_timers(self) -> None:
        """Reschedule the timers that no longer match the deadlines of the lifecycle."""
        lifecycle = self.lifecycle
        if lifecycle.deadline != self._deadline_at:
            self._deadline_at = lifecycle.deadline
            self._deadline_timer.start_or_cancel(self._deadline_at, self._deadline_passed)
        if lifecycle.presence_check_at != self._presence_check_at:
            self._presence_check_at = lifecycle.presence_check_at
            self._presence_check_timer.start_or_cancel(self._presence_check_at, self._presence_check_due)

    def _deadline_passed(self, now: int) -> None:
        self._deadline_at = None
        self.run_guarded(lambda: self.handle(SessionEvent.DEADLINE_PASSED))

    def _presence_check_due(self, now: int) -> None:
        self._presence_check_at = None
        self.run_guarded(lambda: self.handle(SessionEvent.PRESENCE_CHECK_DUE))

    def run_guarded(self, call: Callable[[], object]) -> None:
        """Run a call made outside of a transport callback; an exception aborts only this connection."""
        try:
            call()
        except Exception:
            log_event("defect", True, what="a turn of a session")
            self.abort()

    def answer_timeout(self) -> None:
        """Answer the incomplete request with a timeout error."""
        self.reject_incomplete_request(request_timeout_error())

    def _check_unread(self) -> None:
        self.handle(SessionEvent.BYTES_UNREAD if self.has_unread_input() else SessionEvent.NOTHING_UNREAD)

    def _check_evictable(self) -> None:
        if not self.has_unread_input():
            self.handle(SessionEvent.EVICTION_CONFIRMED)

    def _check_read_progress(self) -> None:
        """Report whether the client has read any of the data still in the transport's write buffer.

        Once the write buffer is empty, the kernel delivers the rest without the connection.
        """
        before, self._last_unacknowledged_bytes = (
            self._last_unacknowledged_bytes,
            unacknowledged_bytes(self.transport),
        )
        progressed = self._last_unacknowledged_bytes < before and self.transport.get_write_buffer_size()
        self.handle(SessionEvent.READER_PROGRESSED if progressed else SessionEvent.READER_STALLED)

    def _abort(self) -> None:
        self.withdraw()
        if not self.connected:
            return
        try:
            self.transport.abort()
        except TRANSPORT_ERRORS:
            self.handle(SessionEvent.ABORT_FAILED)

    def _end_sending(self) -> None:
        """Shut down the sending side; the connection closes when the client closes or a deadline passes.

        Input is still read and discarded: closing a socket with unread input resets the connection, and the
        client may lose the last response.
        """
        if self.transport.is_closing():  # The client closed first.
            return
        self.set_reading_paused(False)
        self._last_unacknowledged_bytes = unacknowledged_bytes(self.transport)
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.transport.close()  # Data already written is still sent.

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading; a failed call is retried later."""
        if paused == self.lifecycle.is_reading_paused or self.transport.is_closing():
            return
        try:
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
        except TRANSPORT_ERRORS:
            if not paused:
                self.handle(SessionEvent.READING_BROKEN)
            return  # Still reading: `MAX_PIPELINED_REQUESTS` bounds the input until the next try.
        self.handle(SessionEvent.READING_PAUSED if paused else SessionEvent.READING_RESUMED)
        if paused:
            self.unread_since = self.unread_since or self.driver.now()

    # Operations that the server and the transport request.

    def pause_writing(self) -> None:
        """Send no more responses until the client reads those already written."""
        self.lifecycle.step(self.driver.now(), SessionEvent.WRITING_BLOCKED)

    def end_if_idle(self, for_room: bool = False) -> None:
        """Close the connection if it is idle; `for_room`: a new client waits for a free slot."""
        self.handle(SessionEvent.EVICT_IDLE if for_room else SessionEvent.END_IF_IDLE)

    def make_room(self) -> bool:
        """Close unless a request is complete or still arriving; return whether the connection closes."""
        self.handle(SessionEvent.EVICTION_REQUESTED)
        if self.lifecycle.is_open:
            return False
        self.step(SessionEvent.EVICTION_REQUESTED)  # In a closing connection, this shortens the deadline.
        return True

    # Connection status.

    def client_has_left(self) -> bool | None:
        """Return whether the client has disconnected, or None if the kernel cannot be queried."""
        if self.transport.is_closing():
            return True
        return is_peer_closed(self.transport, half_close_counts=self.lifecycle.is_half_close_disconnect)

    def drop_if_client_left(self) -> bool:
        """End the session if the client has disconnected; return whether it has."""
        left = self.client_has_left() is True
        if left:
            self.drop()
        return left

    def has_unread_input(self) -> bool:
        """Return whether the socket has unread input; a delayed event loop runs timers before it reads."""
        return has_unread_bytes(self.transport)

    def has_waiting_input(self) -> bool:
        """Return whether unread input may have been waiting since `unread_since`."""
        return self.unread_since is not None and (self.lifecycle.is_reading_paused or self.has_unread_input())

    def latest_arrival(self) -> int:
        """Return the latest time at which the last input may have arrived (us), which is now if unknown."""
        return self.driver.now() - last_input_age_us(self.transport)

    def drop(self) -> None:
        """Abort the connection, discard unsent output and withdraw the open request."""
        self.handle(SessionEvent.CLIENT_LEFT)

    def send(self, text: bytes) -> bool:
        """Write data and return whether that succeeded; a broken connection is aborted."""
        try:
            self.transport.write(text)
        except TRANSPORT_ERRORS:
            self.drop()
            return False
        return True


ACTION_HANDLERS: dict[SessionAction, Callable[[ClientConnection], object]] = {
    SessionAction.ANSWER_TIMED_OUT: methodcaller("answer_timeout"),
    SessionAction.ANSWER_ALL_WITH_ERRORS: methodcaller("answer_pending"),
    SessionAction.END_SENDING: methodcaller("_end_sending"),
    SessionAction.WITHDRAW: methodcaller("withdraw"),
    SessionAction.ABORT: methodcaller("_abort"),
    SessionAction.PAUSE_READING: methodcaller("set_reading_paused", True),
    SessionAction.RESUME_READING: methodcaller("set_reading_paused", False),
    SessionAction.LIST_AS_IDLE: methodcaller("list_as_idle"),
    SessionAction.CHECK_UNREAD: methodcaller("_check_unread"),
    SessionAction.CHECK_EVICTABLE: methodcaller("_check_evictable"),
    SessionAction.CHECK_READER: methodcaller("_check_read_progress"),
    SessionAction.CHECK_CLIENT: methodcaller("drop_if_client_left"),
}
