"""One client's connection: the transport on one side, the lifecycle's table on the other.

What is decided about waiting, lateness, making room and closing stands in `core/client_session.py`; here it
is carried out. What becomes of the requests is told by the hooks that `net/clients/session.py` fills in.
"""

import asyncio
from collections.abc import Callable
from operator import methodcaller

from cedarmill.core.client_session import SessionLifecycle
from cedarmill.core.client_session_events import SessionAction, SessionEvent
from cedarmill.core.timers import Timer
from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.loop import EventLoopDriver
from cedarmill.net.socket_state import TRANSPORT_ERRORS, bytes_unread, bytes_wait, peer_closed


class ClientConnection(asyncio.Protocol):
    """The owner of a client's transport, of its timers and of its end."""

    transport: asyncio.Transport  # from `connection_made` on

    def __init__(self, driver: EventLoopDriver, half_close_leaves: bool, unread_since: int | None) -> None:
        """`unread_since`: from when on its bytes may have waited unread in the backlog (us)."""
        self.driver = driver
        self.unread_since = unread_since  # also while reading is paused
        self.born = driver.now()
        self.lifecycle = SessionLifecycle(self.born, limits.TIMES, half_close_leaves=half_close_leaves)
        self.connected = False
        self._unwritten_before = 0  # while it closes: what the client had not read at the last look
        self._deadline: Timer | None = None
        self._deadline_at: int | None = None
        self._hang_up_check: Timer | None = None
        self._hang_up_check_at: int | None = None

    # What becomes of the requests.

    def withdraw(self) -> None:
        """Nothing is owed to the client any more: it has left."""
        raise NotImplementedError

    def answer_late(self) -> None:
        """The request that arrives has taken too long."""
        raise NotImplementedError

    def answer_owed(self) -> None:
        """The client has not read its answers for too long: what waits has an error, then the end."""
        raise NotImplementedError

    def abort(self) -> None:
        """Something raised: what was read has an error, then the end."""
        raise NotImplementedError

    def list_as_idle(self) -> None:
        """The connection can make room for others from now on."""
        raise NotImplementedError

    # The lifecycle's events and actions.

    def handle(self, event: SessionEvent) -> None:
        """Take an event and do what follows of it."""
        action = self.step(event)
        if action is not None:
            ACTIONS[action](self)

    def step(self, event: SessionEvent) -> SessionAction | None:
        """Take an event whose action the caller carries out."""
        lifecycle = self.lifecycle
        action = lifecycle.step(self.driver.now(), event)
        if lifecycle.deadline != self._deadline_at or lifecycle.hang_up_check_at != self._hang_up_check_at:
            self.set_timers()
        return action

    def set_timers(self) -> None:
        """Have the timers run as the lifecycle wants them."""
        lifecycle, timers = self.lifecycle, self.driver.timers
        if lifecycle.deadline != self._deadline_at:
            timers.cancel(self._deadline)
            self._deadline_at = due = lifecycle.deadline
            self._deadline = timers.add(due, self._deadline_passed) if due is not None else None
        if lifecycle.hang_up_check_at != self._hang_up_check_at:
            timers.cancel(self._hang_up_check)
            self._hang_up_check_at = due = lifecycle.hang_up_check_at
            self._hang_up_check = timers.add(due, self._hang_up_check_due) if due is not None else None

    def _deadline_passed(self, now: int) -> None:
        self._deadline_at = None
        self.guarded(lambda: self.handle(SessionEvent.DEADLINE_PASSED))

    def _hang_up_check_due(self, now: int) -> None:
        self._hang_up_check_at = None
        self.guarded(lambda: self.handle(SessionEvent.HANG_UP_CHECK_DUE))

    def guarded(self, call: Callable[[], object]) -> None:
        """Make a call that the transport did not ask for: an exception costs this connection only."""
        try:
            call()
        except Exception:
            log_event("defect", True, what="a turn of a session")
            self.abort()

    def _check_unread(self) -> None:
        self.handle(SessionEvent.BYTES_UNREAD if self.unread() else SessionEvent.NOTHING_UNREAD)

    def _check_room(self) -> None:
        if not self.unread():
            self.handle(SessionEvent.ROOM_CONFIRMED)

    def _check_reader(self) -> None:
        """Whether it has read some of what the loop still holds: what the system holds leaves by itself."""
        before, self._unwritten_before = self._unwritten_before, bytes_unread(self.transport)
        progressed = self._unwritten_before < before and self.transport.get_write_buffer_size()
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
        """End it when all that was written has left and the client has closed, or soon.

        The sending side ends first, and what still comes is read and dropped: a close over bytes that were
        not read resets the connection, and takes the last answer with it.
        """
        if self.transport.is_closing():  # the client was first
            return
        self.pause(False)
        self._unwritten_before = bytes_unread(self.transport)
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.transport.close()  # what was written still leaves

    def pause(self, pause: bool) -> None:
        """Stop or resume reading; what the system fails to do is tried again."""
        if pause == self.lifecycle.paused or self.transport.is_closing():
            return
        try:
            if pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
        except TRANSPORT_ERRORS:
            if not pause:
                self.handle(SessionEvent.READING_BROKEN)
            return  # not paused: what comes is bounded by `MAX_PIPELINED`, and it is tried again
        self.handle(SessionEvent.READING_PAUSED if pause else SessionEvent.READING_RESUMED)
        if pause:
            self.unread_since = self.unread_since or self.driver.now()

    # Whether the client is there.

    def client_left(self) -> bool | None:
        """Whether the client has gone, as the system knows it; None: it does not say."""
        if self.transport.is_closing():
            return True
        return peer_closed(self.transport, half_counts=self.lifecycle.half_close_leaves)

    def drop_if_left(self) -> bool:
        """Return whether the client has gone, though that is not read yet; then the session ends."""
        left = self.client_left() is True
        if left:
            self.drop()
        return left

    def unread(self) -> bool:
        """Whether bytes wait at the socket: a loop that was held up runs its timers before it reads them."""
        return bytes_wait(self.transport)

    def drop(self) -> None:
        """End the connection at once; what is not written stays so, what is open is withdrawn."""
        self.handle(SessionEvent.CLIENT_LEFT)

    def send(self, text: bytes) -> bool:
        """Whether it could be written: a connection that has just broken ends here, at once."""
        try:
            self.transport.write(text)
        except TRANSPORT_ERRORS:
            self.drop()
            return False
        return True


ACTIONS: dict[SessionAction, Callable[[ClientConnection], object]] = {
    SessionAction.ANSWER_LATE: methodcaller("answer_late"),
    SessionAction.ANSWER_OWED: methodcaller("answer_owed"),
    SessionAction.END_SENDING: methodcaller("_end_sending"),
    SessionAction.WITHDRAW: methodcaller("withdraw"),
    SessionAction.ABORT: methodcaller("_abort"),
    SessionAction.PAUSE_READING: methodcaller("pause", True),
    SessionAction.RESUME_READING: methodcaller("pause", False),
    SessionAction.LIST_AS_IDLE: methodcaller("list_as_idle"),
    SessionAction.CHECK_UNREAD: methodcaller("_check_unread"),
    SessionAction.CHECK_ROOM: methodcaller("_check_room"),
    SessionAction.CHECK_READER: methodcaller("_check_reader"),
    SessionAction.CHECK_CLIENT: methodcaller("drop_if_left"),
}
