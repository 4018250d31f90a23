"""The clients' listening socket, the bound on their sessions, and the end of both."""

import socket
from itertools import islice

from cedarmill.core.dispatch import Dispatch
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.clients import limits
from cedarmill.net.clients.session import ClientSession
from cedarmill.net.config import Address
from cedarmill.net.listener import Acceptor, Taken, listening_socket
from cedarmill.net.loop import EventLoopDriver
from cedarmill.values import DeadlineOptions

BACKLOG_US = 500_000  # for the backlog to be taken at the end, where sessions are at their bound
BACKLOG_AGAIN_US = 20_000
BACKLOG_READ_US = 50_000  # before all has to be answered: for what was taken last to be read
ACCEPTS = 32  # in one turn: a flood of connections must not hold up the requests
BACKLOG = 1024
ONCE = frozenset(
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
    """The listening socket and its sessions."""

    dispatch: Dispatch  # set before `listen`
    _acceptor: Acceptor  # from `listen` on

    def __init__(
        self, driver: EventLoopDriver, settings: api.Settings, bound: int, options: DeadlineOptions
    ) -> None:
        self.driver, self.bound, self.options = driver, bound, options
        self.once = ONCE.union(name.encode() for name in options.sources)
        self.classes = {spec.name: n for n, spec in enumerate(settings.classes)}
        self.deadlines = [spec.deadline_us for spec in settings.classes]
        self.tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self.sessions: set[ClientSession] = set()
        self.unproven: dict[ClientSession, None] = {}  # no good request yet, the oldest first
        self.idle_sessions: dict[ClientSession, None] = {}  # the one that is idle longest first
        self.open_ids: dict[bytes, ClientSession] = {}
        self.draining = self.closing = False
        self.draining_clients = False  # each answer ends its connection, idle ones are closed
        self.answer_by = 0  # once the node is told to end: when all that was read has its answer
        self.port = 0

    def listen(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Bind and accept, or accept on a listening socket that the platform holds; raises OSError."""
        sock = inherited if inherited is not None else listening_socket(address, BACKLOG)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # taken on by accepted sockets
        sock.setblocking(False)
        self._acceptor = Acceptor(
            self.driver,
            sock,
            lambda: ClientSession(self, self._acceptor.held_since),
            listener="clients",
            batch=ACCEPTS,
            has_room=self._has_room,
        )
        self.port = self._acceptor.port
        self._acceptor.resume()

    def ready(self) -> bool:
        """Whether requests can be served."""
        return bool(self.dispatch.ready_executors) and not self.draining

    def _has_room(self) -> bool:
        """Whether one more session fits; at the bound others are asked to go."""
        if self._full():
            self._make_room()
            return False
        return True

    def _make_room(self) -> None:
        """At the bound those that never sent a good request go first, then those that are idle longest.

        Until they have gone, or where none can go, the backlog holds what is new.
        """
        now = self.driver.now()
        old = [session for session in islice(self.unproven, ACCEPTS) if session.born <= now - limits.GRACE_US]
        going = [session for session in old if session.give_way()]
        if not going:
            going = [session for session in islice(self.idle_sessions, ACCEPTS) if not session.unread()]
            for session in going:
                session.end_if_idle(for_room=True)
                self.idle_sessions.pop(session, None)
        if going:
            self._acceptor.pause()  # `remove` resumes
        else:
            log_event("sessions-full", bound=self.bound)
            self._acceptor.resume_later()

    def add(self, session: ClientSession) -> None:
        """A session is new: nothing is known of its client."""
        self.sessions.add(session)
        self.unproven[session] = None

    def prove(self, session: ClientSession) -> None:
        """It has sent a good request."""
        session.lifecycle.proven = True
        self.unproven.pop(session, None)

    def list_idle(self, session: ClientSession) -> None:
        """It is between requests and can make room, those that are idle longer before it."""
        self.idle_sessions[session] = None

    def unlist_idle(self, session: ClientSession) -> None:
        """A request begins to arrive."""
        self.idle_sessions.pop(session, None)

    def remove(self, session: ClientSession) -> None:
        """It has ended: there is room for another."""
        self.sessions.discard(session)
        self.unproven.pop(session, None)
        self.idle_sessions.pop(session, None)
        self._acceptor.resume()

    # The end of the node.

    def drain(self) -> None:
        """`/ready` says no; sessions serve on, as a client sent away now may find no other node."""
        self.draining = True

    def drain_clients(self, away: bool) -> None:
        """Send the clients away or take them again: `/ready` says so, and each answer ends its connection."""
        self.draining = self.draining_clients = away

    def stop_listening(self, take_backlog: bool = True) -> None:
        """Take what the backlog still holds, then no more; from now on an answer closes its session.

        The backlog of a socket that another process of the node shares is left to that process.
        """
        self.closing = True
        if take_backlog:
            self._take_backlog(min(self.driver.now() + BACKLOG_US, self.answer_by - BACKLOG_READ_US))
        else:
            self._acceptor.close()

    def _take_backlog(self, until: int) -> None:
        """Accept what waits, then close the socket; without room or descriptors it is tried for a while."""
        now = self.driver.now()
        taken = self._acceptor.take()
        if taken is Taken.EMPTY or now >= until:
            self._acceptor.close()
            return
        again = now if taken is Taken.MORE else now + BACKLOG_AGAIN_US
        self.driver.timers.add(again, lambda now: self._take_backlog(until))

    def answer_all(self, now: int) -> None:
        """The process may be killed soon: whoever still waits is answered now."""
        for session in list(self.sessions):
            session.guarded(session.answer_before_kill)

    def _full(self) -> bool:
        return len(self.sessions) + self._acceptor.opening >= self.bound

    def close_idle(self) -> None:
        """End the sessions that hold no request, nor one that has come and is not read yet."""
        for session in [session for session in self.sessions if session.idle and not session.unread()]:
            session.guarded(session.end_if_idle)

    def all_gone(self) -> bool:
        """Whether no session is left, nor one that opens or waits: whatever was answered has also left."""
        return not self.sessions and not self._acceptor.opening and self._acceptor.closed
