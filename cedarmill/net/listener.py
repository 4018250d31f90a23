"""Listening sockets and the accept loop that all listeners of the node share."""

import asyncio
import enum
import errno
import socket
from collections.abc import Callable
from typing import Any

from cedarmill.core.timers import SingleTimer
from cedarmill.log import log_event
from cedarmill.net.config import Address
from cedarmill.net.loop import EventLoopDriver, guarded_callback

# Accepting pauses for this time when there are no descriptors or no memory.
ACCEPT_RETRY_US = 50_000
# Errors of accept(2) that concern a single connection or call; the next call may succeed.
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
    """Return a non-blocking socket that is bound and listening; raises OSError."""
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


class AcceptResult(enum.Enum):
    """Why a batch of accept calls ended."""

    BACKLOG_EMPTY = enum.auto()  # No connection is pending.
    BATCH_FULL = enum.auto()  # More connections may be pending.
    NO_ROOM = enum.auto()  # The owner is at its session limit.
    EXHAUSTED = enum.auto()  # The system has no descriptors or memory, or accept failed otherwise.


class Acceptor:
    """Accepts connections on one listening socket and opens a session for each.

    Errors of a single connection (`SINGLE_CONNECTION_ERRNOS`) are skipped. If the system has no descriptors
    or memory, accepting pauses for `ACCEPT_RETRY_US`. A connection whose session does not open is closed.
    `can_accept` is called before each accept; on False its owner later calls `resume` or `resume_later`.
    `on_exhausted` is called when the system has no descriptors or memory, so that the owner can free some.
    """

    def __init__(
        self,
        driver: EventLoopDriver,
        sock: socket.socket,
        open_session: Callable[[], asyncio.Protocol],
        *,
        listener: str,
        batch: int,
        can_accept: Callable[[], bool] = lambda: True,
        on_exhausted: Callable[[], None] = lambda: None,
    ) -> None:
        self.driver, self.listener, self.batch = driver, listener, batch
        self.port: int = sock.getsockname()[1]
        self._socket: socket.socket | None = sock
        self._open_session, self._can_accept, self._on_exhausted = open_session, can_accept, on_exhausted
        self._opening: dict[asyncio.Task[Any], socket.socket] = {}
        self._is_reading = False
        self._resume_timer = SingleTimer(driver.timers)
        # Earliest time at which connections may have been waiting in the backlog, or None (us).
        self.backlog_waiting_since: int | None = None

    @property
    def opening_count(self) -> int:
        """Number of accepted connections whose session is not open yet."""
        return len(self._opening)

    @property
    def is_closed(self) -> bool:
        """Whether the listening socket is closed."""
        return self._socket is None

    def resume(self, now: int = 0) -> None:
        """Start accepting connections; ignored once closed."""
        self._resume_timer.cancel()
        if self._socket is not None and not self._is_reading:
            self._is_reading = True
            self.driver.loop.add_reader(self._socket.fileno(), self._readable)

    def pause(self) -> None:
        """Stop accepting connections; new ones wait in the backlog."""
        self._mark_backlog_waiting()
        if self._socket is not None and self._is_reading:
            self._is_reading = False
            self.driver.loop.remove_reader(self._socket.fileno())

    def _mark_backlog_waiting(self) -> None:
        if self.backlog_waiting_since is None:
            self.backlog_waiting_since = self.driver.now()

    def resume_later(self) -> None:
        """Pause accepting for `ACCEPT_RETRY_US`."""
        self.pause()
        self._resume_timer.start(self.driver.now() + ACCEPT_RETRY_US, self.resume)

    def close(self) -> None:
        """Close the listening socket; the kernel resets pending connections, open sessions continue."""
        self.pause()
        self._resume_timer.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    @guarded_callback
    def _readable(self) -> None:
        if self.accept_batch() is AcceptResult.EXHAUSTED:
            self.resume_later()

    def accept_batch(self) -> AcceptResult:
        """Accept at most one batch of connections."""
        if self._socket is None:
            return AcceptResult.BACKLOG_EMPTY
        for _ in range(self.batch):
            if not self._can_accept():
                self._mark_backlog_waiting()
                return AcceptResult.NO_ROOM
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                self.backlog_waiting_since = None
                return AcceptResult.BACKLOG_EMPTY
            except OSError as error:
                if error.errno in SINGLE_CONNECTION_ERRNOS:
                    continue
                log_event("accept-failed", reason=error.strerror, listener=self.listener)
                self._on_exhausted()
                return AcceptResult.EXHAUSTED
            self._open(sock)
        return AcceptResult.BATCH_FULL

    def _open(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        session = self._open_session()
        connecting = self.driver.loop.connect_accepted_socket(lambda: session, sock)
        task = self.driver.loop.create_task(connecting)
        self._opening[task] = sock
        task.add_done_callback(self._opened)

    @guarded_callback
    def _opened(self, task: asyncio.Task[Any]) -> None:
        sock = self._opening.pop(task)
        if task.cancelled() or task.exception() is not None:
            sock.close()  # No transport owns the socket.
            reason = "cancelled" if task.cancelled() else task.exception()
            log_event("session-not-opened", reason=reason, listener=self.listener)
            self.resume()  # The failed session has freed its slot.

    def abort(self) -> None:
        """Do nothing: an exception in one batch must not end listening."""
