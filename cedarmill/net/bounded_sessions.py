"""Listeners for a few callers: sessions bounded in number and in time, and one end for each.

The admin API and the health listeners are built on it. Times are whole microseconds.
"""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar, cast

from cedarmill.core.timers import Timer
from cedarmill.net.config import Address
from cedarmill.net.listener import Acceptor, listening_socket
from cedarmill.net.loop import EventLoopDriver, callback
from cedarmill.net.socket_state import TRANSPORT_ERRORS

ABORT_AGAIN_US = 50_000  # after a connection could not be aborted


class Overflow(enum.Enum):
    """Who goes when a caller comes and all places are taken."""

    OLDEST = enum.auto()  # it has had its answer, or has held its place longest without a call
    NEWEST = enum.auto()


@dataclass(frozen=True, slots=True)
class SessionBounds:
    """What a listener holds open, and how long (us)."""

    sessions: int  # open at once
    accepts: int  # in one turn: so many descriptors more are held for a moment
    backlog: int
    overflow: Overflow
    first: int  # till a session has asked


class BoundedSession(asyncio.Protocol):
    """One caller's connection, which ends at its deadline at the latest."""

    transport: asyncio.Transport  # from `connection_made` on

    def __init__(self, listener: "BoundedListener[Any]") -> None:
        """`listener` holds its place."""
        self.driver = listener.driver
        self.over = False  # all has been said: what still comes is not read
        self._listener = listener
        self._connected = False
        self._deadline: Timer | None = None

    @callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, or end at once where there is none."""
        self.transport, self._connected = cast(asyncio.Transport, transport), True
        if self._listener.add(self):
            self.end_in(self._listener.bounds.first)
            self.opened()
        else:
            self.abort()

    @callback
    def connection_lost(self, error: Exception | None) -> None:
        """Give the place back."""
        self.driver.timers.cancel(self._deadline)
        self._listener.remove(self)
        self.closed()

    @property
    def writable(self) -> bool:
        """Whether something can be said to the caller."""
        return self._connected and not self.transport.is_closing()

    def opened(self) -> None:
        """The caller has connected."""

    def closed(self) -> None:
        """The connection is lost: let go of what refers back to the session."""

    def late(self) -> None:
        """The deadline has passed."""
        self.abort()

    def end_in(self, span: int) -> None:
        """Call `late` after that span, and not before (us)."""
        self.stay()
        self._deadline = self.driver.timers.add(self.driver.now() + span, self._on_deadline)

    def stay(self) -> None:
        """Set no deadline for now."""
        self.driver.timers.cancel(self._deadline)
        self._deadline = None

    def _on_deadline(self, now: int) -> None:
        self._deadline = None
        self.late()

    def finish(self, text: bytes) -> None:
        """Say the last, and let the caller close: closed here, unread input would reset it away."""
        self.over = True
        if not self.send(text):
            return
        try:
            self.transport.write_eof()
        except TRANSPORT_ERRORS:
            self.transport.close()  # what was written still leaves

    def send(self, text: bytes) -> bool:
        """Whether it could be written: a connection that has just broken ends here, at once."""
        try:
            self.transport.write(text)
        except TRANSPORT_ERRORS:
            self.abort()
            return False
        return True

    def abort(self) -> None:
        """End the connection at once; what fails is tried again."""
        if not self._connected:
            return
        try:
            self.transport.abort()
        except TRANSPORT_ERRORS:
            self.over = True
            self.stay()
            self._deadline = self.driver.timers.add(
                self.driver.now() + ABORT_AGAIN_US, lambda now: self.abort()
            )


AnySession = TypeVar("AnySession", bound=BoundedSession)


class BoundedListener(Generic[AnySession]):
    """One listening socket and its sessions, the oldest first."""

    _acceptor: Acceptor  # from `listen` on

    def __init__(
        self,
        driver: EventLoopDriver,
        name: str,
        bounds: SessionBounds,
        open_session: Callable[[], AnySession],
    ) -> None:
        """`name` stands for it in the log."""
        self.driver, self.name, self.bounds = driver, name, bounds
        self.port = 0
        self.sessions: dict[AnySession, None] = {}
        self._open_session = open_session

    def listen(self, address: Address) -> None:
        """Bind and accept; raises OSError."""
        drops_oldest = self.bounds.overflow is Overflow.OLDEST
        self._acceptor = Acceptor(
            self.driver,
            listening_socket(address, self.bounds.backlog),
            self._open_session,
            listener=self.name,
            batch=self.bounds.accepts,
            has_room=self._has_room,
            exhausted=self._drop_oldest if drops_oldest else lambda: None,
        )
        self.port = self._acceptor.port
        self._acceptor.resume()

    def add(self, session: AnySession) -> bool:
        """Take a place, if there is one."""
        if self.bounds.overflow is Overflow.NEWEST and len(self.sessions) >= self.bounds.sessions:
            return False
        self.sessions[session] = None
        return True

    def remove(self, session: AnySession) -> None:
        """Give its place back, if it has one."""
        self.sessions.pop(session, None)

    def _has_room(self) -> bool:
        """There always is: the session that comes, or the oldest one, goes."""
        full = len(self.sessions) + self._acceptor.opening >= self.bounds.sessions
        if full and self.bounds.overflow is Overflow.OLDEST:
            self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        oldest = next(iter(self.sessions), None)
        if oldest is not None:
            del self.sessions[oldest]
            oldest.abort()
