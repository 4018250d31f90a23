"""Listeners with a limited number of short-lived sessions, the base of the admin API and health listeners.

All times are whole microseconds.
"""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar, cast

from cedarmill.core.timers import SingleTimer
from cedarmill.net.config import Address
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver, guarded_callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS

ABORT_RETRY_US = 50_000


class OverflowPolicy(enum.Enum):
    """Which session is closed when a connection arrives at the session limit."""

    OLDEST = enum.auto()
    NEWEST = enum.auto()


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of a listener."""

    max_sessions: int
    accept_batch: int  # Connections per loop iteration, held briefly beyond `max_sessions`.
    backlog: int
    overflow: OverflowPolicy
    first_request_us: int  # Time for a session to send its first request.


class BoundedSession(asyncio.Protocol):
    """A connection that is closed at the latest when its deadline passes."""

    transport: asyncio.Transport  # Set by `connection_made`.

    def __init__(self, listener: "BoundedListener[Any]") -> None:
        """`listener`: the owner, which counts the session against its limit."""
        self.driver = listener.driver
        self.is_finished = False  # The last data was sent; further input is ignored.
        self._listener = listener
        self._connected = False
        self._deadline_timer = SingleTimer(self.driver.timers)

    @guarded_callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the session, or abort the connection if the listener is at its limit."""
        self.transport, self._connected = cast(asyncio.Transport, transport), True
        if self._listener.add(self):
            self.set_deadline(self._listener.bounds.first_request_us)
            self.on_open()
        else:
            self.abort()

    @guarded_callback
    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the session."""
        self._connected = False
        self.cancel_deadline()
        self._listener.remove(self)
        self.on_close()

    @property
    def is_writable(self) -> bool:
        """Whether data can be sent."""
        return self._connected and not self.transport.is_closing()

    def on_open(self) -> None:
        """Hook: the connection is established."""

    def on_close(self) -> None:
        """Hook: the connection is closed; subclasses drop references that form cycles."""

    def on_deadline(self) -> None:
        """Hook: the deadline has passed; aborts the connection by default."""
        self.abort()

    def set_deadline(self, span: int) -> None:
        """Set the deadline: `on_deadline` is called after `span` microseconds."""
        self._deadline_timer.start(self.driver.now() + span, self._deadline_passed)

    def cancel_deadline(self) -> None:
        """Cancel the deadline."""
        self._deadline_timer.cancel()

    def _deadline_passed(self, now: int) -> None:
        self.on_deadline()

    def finish(self, text: bytes) -> None:
        """Send the last data and shut down the sending side, so that the peer closes the connection.

        Closing a socket with unread input would reset the connection before the peer has read the data.
        """
        self.is_finished = True
        if not self.send(text):
            return
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.transport.close()  # Data already written is still sent.

    def send(self, text: bytes) -> bool:
        """Write data and return whether that succeeded; a broken connection is aborted."""
        try:
            self.transport.write(text)
        except TRANSPORT_ERRORS:
            self.abort()
            return False
        return True

    def abort(self) -> None:
        """Abort the connection; a failed abort is retried."""
        if not self._connected:
            return
        try:
            self.transport.abort()
        except TRANSPORT_ERRORS:
            self.is_finished = True
            self._deadline_timer.start(self.driver.now() + ABORT_RETRY_US, lambda now: self.abort())


AnySession = TypeVar("AnySession", bound=BoundedSession)


class BoundedListener(Generic[AnySession]):
    """A listening socket and its sessions, oldest first."""

    _acceptor: Acceptor  # Set by `listen`.

    def __init__(
        self,
        driver: EventLoopDriver,
        name: str,
        bounds: ListenerLimits,
        open_session: Callable[[], AnySession],
    ) -> None:
        """`name`: the name of the listener in the log."""
        self.driver, self.name, self.bounds = driver, name, bounds
        self.port = 0
        self.sessions: dict[AnySession, None] = {}
        self._open_session = open_session

    def listen(self, address: Address) -> None:
        """Bind the address and start accepting; raises OSError."""
        drops_oldest = self.bounds.overflow is OverflowPolicy.OLDEST
        self._acceptor = Acceptor(
            self.driver,
            listening_socket(address, self.bounds.backlog),
            self._open_session,
            listener=self.name,
            batch=self.bounds.accept_batch,
            can_accept=self._can_accept,
            on_exhausted=self._drop_oldest if drops_oldest else lambda: None,
        )
        self.port = self._acceptor.port
        self._acceptor.resume()

    def add(self, session: AnySession) -> bool:
        """Register a session; return False if the listener is at its limit."""
        if self.bounds.overflow is OverflowPolicy.NEWEST and len(self.sessions) >= self.bounds.max_sessions:
            return False
        self.sessions[session] = None
        return True

    def remove(self, session: AnySession) -> None:
        """Unregister a session, if it is registered."""
        self.sessions.pop(session, None)

    def _can_accept(self) -> bool:
        """Return True always; at the limit the oldest session is dropped here, or the newest in `add`."""
        full = len(self.sessions) + self._acceptor.opening_count >= self.bounds.max_sessions
        if full and self.bounds.overflow is OverflowPolicy.OLDEST:
            self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        oldest = next(iter(self.sessions), None)
        if oldest is not None:
            del self.sessions[oldest]
            oldest.abort()
