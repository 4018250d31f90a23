"""The server for client connections: listening socket, session limit, draining and shutdown."""

import socket
from itertools import islice

from cedarmill.core.dispatch import Dispatch
from cedarmill.core.memory_budget import MemoryBudget
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.clients.open_requests import OpenRequests
from cedarmill.net.clients.session import ClientSession
from cedarmill.net.config import Address
from cedarmill.net.listener import Acceptor, AcceptResult, listening_socket
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import DeadlineOptions

# At shutdown the rest of the backlog is accepted within this time, with retries at this interval.
BACKLOG_DRAIN_US = 500_000
BACKLOG_RETRY_US = 20_000
# This time before `answer_by` is reserved for reading requests on the connections accepted last.
BACKLOG_READ_US = 50_000
# The number of connections per loop iteration is limited so that open requests are not delayed.
ACCEPT_BATCH = 32
LISTEN_BACKLOG = 1024
USED_HEADERS = frozenset(
    (
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget-ms",
        b"x-again",
        b"x-call-cost",
        b"x-call-info",
        b"idempotency-key",
        b"content-type",
        b"host",
    )
)


class ClientServer:
    """Accepts client connections and keeps track of their sessions."""

    dispatch: Dispatch  # Set by the owner before `listen`.
    _acceptor: Acceptor  # Set by `listen`.

    def __init__(
        self,
        driver: EventLoopDriver,
        settings: api.Settings,
        max_sessions: int,
        options: DeadlineOptions,
        memory: MemoryBudget | None = None,
    ) -> None:
        """`memory`: counts the messages that the sessions keep."""
        self.driver, self.max_sessions, self.options = driver, max_sessions, options
        self.memory = memory or MemoryBudget()
        self.used_headers = USED_HEADERS.union(name.encode() for name in options.sources)
        self.classes = {spec.name: n for n, spec in enumerate(settings.classes)}
        self.deadlines = [spec.deadline_us for spec in settings.classes]
        self.tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self.sessions: set[ClientSession] = set()
        self.unproven_sessions: dict[ClientSession, None] = {}  # Oldest session first.
        self.idle_sessions: dict[ClientSession, None] = {}  # Longest idle session first.
        self.open_requests = OpenRequests(driver, max(self.deadlines))
        self.is_draining = self.closing = False
        self.is_draining_clients = False  # Connections close after their next response.
        # Time by which all requests must be answered (us); 0 before the shutdown.
        self.answer_by = 0
        self.port = 0

    def listen(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Start accepting connections, on the inherited listening socket if there is one; raises OSError."""
        sock = inherited if inherited is not None else listening_socket(address, LISTEN_BACKLOG)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # Accepted sockets inherit the option.
        sock.setblocking(False)
        self._acceptor = Acceptor(
            self.driver,
            sock,
            lambda: ClientSession(self, self._acceptor.backlog_waiting_since),
            listener="clients",
            batch=ACCEPT_BATCH,
            can_accept=self._can_accept,
        )
        self.port = self._acceptor.port
        self._acceptor.resume()

    def is_ready(self) -> bool:
        """Return whether the node can serve requests."""
        return bool(self.dispatch.ready_executors) and not self.is_draining

    def _can_accept(self) -> bool:
        """Return whether one more session is allowed; at the limit, try to evict others."""
        if self._is_full():
            self._make_room()
            return False
        return True

    def _make_room(self) -> None:
        """Evict sessions: first those that never sent a valid request, then the ones idle for longest.

        New connections stay in the backlog until a session has closed.
        """
        now = self.driver.now()
        candidates = [
            session
            for session in islice(self.unproven_sessions, ACCEPT_BATCH)
            if session.created_at <= now - limits.MIN_SESSION_AGE_US
        ]
        leaving = [session for session in candidates if session.make_room()]
        if not leaving:
            leaving = [
                session
                for session in islice(self.idle_sessions, ACCEPT_BATCH)
                if not session.has_unread_input()
            ]
            for session in leaving:
                session.end_if_idle(for_room=True)
                self.idle_sessions.pop(session, None)
        if leaving:
            self._acceptor.pause()  # `remove` resumes accepting.
        else:
            log_event("sessions-full", bound=self.max_sessions)
            self._acceptor.resume_later()

    def add(self, session: ClientSession) -> None:
        """Register a new session."""
        self.sessions.add(session)
        self.memory.add_connection()
        self.unproven_sessions[session] = None

    def record_valid_request(self, session: ClientSession) -> None:
        """Record that the session has sent a valid request."""
        session.lifecycle.has_sent_request = True
        self.unproven_sessions.pop(session, None)

    def list_idle(self, session: ClientSession) -> None:
        """Append the session to the idle sessions, which may be closed to make room."""
        self.idle_sessions[session] = None

    def unlist_idle(self, session: ClientSession) -> None:
        """Remove the session from the idle sessions."""
        self.idle_sessions.pop(session, None)

    def remove(self, session: ClientSession) -> None:
        """Unregister a closed session, and resume accepting."""
        self.sessions.discard(session)
        self.memory.remove_connection()
        self.memory.remove(session)
        self.unproven_sessions.pop(session, None)
        self.idle_sessions.pop(session, None)
        self._acceptor.resume()

    # Draining and shutdown.

    def start_draining(self) -> None:
        """Report not ready, but keep serving: clients may not have found another node yet."""
        self.is_draining = True

    def set_draining_clients(self, active: bool) -> None:
        """Start or stop draining clients: `/ready` fails, and connections close after their next response."""
        self.is_draining = self.is_draining_clients = active

    def stop_listening(self, accept_backlog: bool = True) -> None:
        """Accept the rest of the backlog, then close the socket; later responses close their connections.

        `accept_backlog`: False for a socket shared with another process, which accepts the backlog itself.
        """
        self.closing = True
        if accept_backlog:
            self._accept_backlog(min(self.driver.now() + BACKLOG_DRAIN_US, self.answer_by - BACKLOG_READ_US))
        else:
            self._acceptor.close()

    def _accept_backlog(self, give_up_at: int) -> None:
        """Accept until the backlog is empty or `give_up_at` has passed, then close the socket."""
        now = self.driver.now()
        result = self._acceptor.accept_batch()
        if result is AcceptResult.BACKLOG_EMPTY or now >= give_up_at:
            self._acceptor.close()
            return
        retry_at = now if result is AcceptResult.BATCH_FULL else now + BACKLOG_RETRY_US
        self.driver.timers.add(retry_at, lambda now: self._accept_backlog(give_up_at))

    def answer_all(self, now: int) -> None:
        """Answer all pending requests now, because the process may be killed soon."""
        for session in list(self.sessions):
            session.run_guarded(session.answer_before_kill)

    def _is_full(self) -> bool:
        return len(self.sessions) + self._acceptor.opening_count >= self.max_sessions

    def close_idle(self) -> None:
        """Close the sessions without a request in service and without unread input."""
        for session in [
            session for session in self.sessions if session.is_idle and not session.has_unread_input()
        ]:
            session.run_guarded(session.end_if_idle)

    def all_sessions_closed(self) -> bool:
        """Return whether listening has ended and no session is open or opening."""
        return not self.sessions and not self._acceptor.opening_count and self._acceptor.is_closed
