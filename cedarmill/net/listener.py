"""Listening sockets, and the one loop that takes connections from them."""

import asyncio
import enum
import errno
import socket
from collections.abc import Callable
from typing import Any

from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.loop import EventLoopDriver, callback

ACCEPT_AGAIN_US = 50_000  # after the system had no descriptor or memory for a connection
# accept(2): these tell of the one connection, or of the call, and the next may be well
SINGLE_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    )
)


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """Bound, listening and without blocking; raises OSError."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
        sock.listen(backlog)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


class Taken(enum.Enum):
    """What one round of accepting came to."""

    EMPTY = enum.auto()  # nobody waits any more
    MORE = enum.auto()  # the batch is full: others may wait
    NO_ROOM = enum.auto()  # the owner has no room for one more
    EXHAUSTED = enum.auto()  # the system has no descriptor or memory, or fails otherwise: later


class Acceptor:
    """Takes connections from one listening socket and opens a session for each.

    Connections that fail by themselves (`SINGLE_CONNECTION_ERRNOS`) are passed over. Where the system has no
    descriptor or memory, accepting rests for `ACCEPT_AGAIN_US`. A connection whose session does not open is
    closed. `has_room` is asked before each accept; an owner that says no resumes by `resume` or
    `resume_later`. `exhausted` hears that the system had nothing: an owner may let something go.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        sock: socket.socket,
        session: Callable[[], asyncio.Protocol],
        *,
        listener: str,
        batch: int,
        has_room: Callable[[], bool] = lambda: True,
        exhausted: Callable[[], None] = lambda: None,
    ) -> None:
        self.driver, self.listener, self.batch = driver, listener, batch
        self.port: int = sock.getsockname()[1]
        self._socket: socket.socket | None = sock
        self._session, self._has_room, self._exhausted = session, has_room, exhausted
        self._opening: dict[asyncio.Task[Any], socket.socket] = {}
        self._reads = False
        # since when connections may have waited: none has been taken then for want of room or descriptors
        self.held_since: int | None = None

    @property
    def opening(self) -> int:
        """Connections that were accepted and whose session is not open yet."""
        return len(self._opening)

    @property
    def closed(self) -> bool:
        """Whether the listening has ended."""
        return self._socket is None

    def resume(self, now: int = 0) -> None:
        """Take what comes; passed over once it is closed."""
        if self._socket is not None and not self._reads:
            self._reads = True
            self.driver.loop.add_reader(self._socket.fileno(), self._readable)

    def pause(self) -> None:
        """What comes waits in the backlog."""
        self._hold()
        if self._socket is not None and self._reads:
            self._reads = False
            self.driver.loop.remove_reader(self._socket.fileno())

    def _hold(self) -> None:
        if self.held_since is None:
            self.held_since = self.driver.now()

    def resume_later(self) -> None:
        """Pause, and resume after `ACCEPT_AGAIN_US`."""
        self.pause()
        self.driver.timers.add(self.driver.now() + ACCEPT_AGAIN_US, self.resume)

    def close(self) -> None:
        """End the listening; sessions stay. What still waits in the backlog is reset by the system."""
        self.pause()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    @callback
    def _readable(self) -> None:
        if self.take() is Taken.EXHAUSTED:
            self.resume_later()

    def take(self) -> Taken:
        """Accept one batch at most."""
        if self._socket is None:
            return Taken.EMPTY
        for _ in range(self.batch):
            if not self._has_room():
                self._hold()
                return Taken.NO_ROOM
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                self.held_since = None
                return Taken.EMPTY
            except OSError as error:
                if error.errno in SINGLE_CONNECTION_ERRNOS:
                    continue
                log_event("accept-failed", reason=error.strerror, listener=self.listener)
                self._exhausted()
                return Taken.EXHAUSTED
            self._open(sock)
        return Taken.MORE

    def _open(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        session = self._session()
        opening = self.driver.loop.connect_accepted_socket(lambda: session, sock)
        task = self.driver.loop.create_task(opening)
        self._opening[task] = sock
        task.add_done_callback(self._opened)

    @callback
    def _opened(self, task: asyncio.Task[Any]) -> None:
        sock = self._opening.pop(task)
        if task.cancelled() or task.exception() is not None:
            sock.close()  # no transport has taken it over
            reason = "cancelled" if task.cancelled() else task.exception()
            log_event("session-not-opened", reason=reason, listener=self.listener)
            self.resume()  # its place is free again

    def abort(self) -> None:
        """`callback` asks for it: a defect in one round must not end the listening."""
