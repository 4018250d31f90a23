"""Client sessions: the requests of one connection, served one after the other, and their final answers."""

import asyncio
from typing import TYPE_CHECKING, cast

from cedarmill.core.client_session_events import SessionAction, SessionEvent
from cedarmill.core.requests import Request
from cedarmill.decisions import interface as api
from cedarmill.log import log_event
from cedarmill.net.clients import limits, response, routes
from cedarmill.net.clients.connection import ACTIONS, ClientConnection
from cedarmill.net.clients.request import ClientRequest, MalformedRequest
from cedarmill.net.clients.request_reader import RequestReader
from cedarmill.net.loop import callback

if TYPE_CHECKING:
    from cedarmill.net.clients.server import ClientServer

# bound once: looking a member up in its class takes ten times as long, and these come with each request
_REQUEST_BEGUN = SessionEvent.REQUEST_BEGUN
_REQUEST_READ = SessionEvent.REQUEST_READ
_SERVICE_WANTED = SessionEvent.SERVICE_WANTED
_LAST_ANSWER_WRITTEN = SessionEvent.LAST_ANSWER_WRITTEN
_ANSWER_WRITTEN = SessionEvent.ANSWER_WRITTEN
_SERVE_IF_PRESENT = SessionAction.SERVE_IF_PRESENT
_SERVE = SessionAction.SERVE


def _too_late() -> MalformedRequest:
    return MalformedRequest(408, "the request did not arrive in time")


class ClientSession(ClientConnection):
    """One connection of a client: a port of the dispatch, and what the transport calls."""

    def __init__(self, clients: "ClientServer", unread_since: int | None = None) -> None:
        """`unread_since`: from when on its bytes may have waited unread in the backlog (us)."""
        super().__init__(clients.driver, clients.options.half_close == "leaves", unread_since)
        self.clients = clients
        self.reader = RequestReader(self, clients.once)
        self.answering: ClientRequest | None = None
        self.request: Request | None = None  # of the dispatch's, for `answering`
        self.call_id = b""  # of the request that is open
        self.passed_over = 0  # bytes that came after the last answer

    # What the transport calls.

    @callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport, self.connected = cast(asyncio.Transport, transport), True
        self.clients.add(self)
        self.set_timers()

    @callback
    def connection_lost(self, error: Exception | None) -> None:
        """It has ended: nothing is owed to its client any more."""
        self.clients.remove(self)
        self.reader.close()
        self.handle(SessionEvent.CONNECTION_LOST)

    @callback
    def eof_received(self) -> bool:
        """The client sends no more: it has gone, unless the settings say that it may still read.

        False: the loop closes the transport once all that was written has left. Who does not read may keep
        it from leaving, so what the client's going ends is ended here.
        """
        self.handle(SessionEvent.CLIENT_ENDED_SENDING)
        return self.lifecycle.open

    def pause_writing(self) -> None:
        """The client does not read its answers: it gets no more until it does."""
        self.lifecycle.step(self.driver.now(), SessionEvent.WRITING_BLOCKED)

    @callback
    def resume_writing(self) -> None:
        """The client reads again."""
        self.handle(SessionEvent.WRITING_RESUMED)
        self.advance()

    @callback
    def data_received(self, data: bytes) -> None:
        """Read what came, and serve what is whole."""
        lifecycle, reader = self.lifecycle, self.reader
        lifecycle.heard_at = self.driver.now()
        if lifecycle.open and not reader.faulty:
            reader.feed(data)
            self.advance()
        else:
            self.passed_over += len(data)
            self.pause(self.passed_over > limits.MAX_UNREAD)
        if self.unread_since is not None and not lifecycle.paused and not self.unread():
            self.unread_since = None  # from now on bytes are read as they come

    # What the reader calls.

    def request_begun(self) -> None:
        """The first byte of a request has come."""
        lifecycle = self.lifecycle
        lifecycle.step(lifecycle.heard_at, _REQUEST_BEGUN)
        self.clients.unlist_idle(self)

    def request_read(self) -> None:
        """One more request has to be answered."""
        lifecycle = self.lifecycle
        lifecycle.step(lifecycle.heard_at, _REQUEST_READ)

    def continue_wanted(self) -> None:
        """Say that the body may come, where no answer is to come before it."""
        if self.answering is None:
            self.send(response.CONTINUE)

    def present(self) -> bool:
        """Whether the client is known to be still there; one that has left is withdrawn here.

        Where the system does not say, nothing is begun: its close may lie too long ago.
        """
        left = self.client_left()
        if left:
            self.drop()
        return left is False

    def withdraw(self) -> None:
        """Give up what is open and what waits: the client has left."""
        self.reader.requests.clear()
        self._withdraw_request()

    def answer_late(self) -> None:
        """Answer the half request, behind all that is owed before it."""
        self.reader.reject(_too_late())
        self.advance()

    def list_as_idle(self) -> None:
        """Make room for others from now on."""
        self.clients.list_idle(self)

    # What the server asks.

    @property
    def idle(self) -> bool:
        """Whether nothing is owed, and no request has begun to arrive."""
        lifecycle = self.lifecycle
        return lifecycle.open and not lifecycle.owes and not lifecycle.arriving

    def abort(self) -> None:
        """One of this session's callbacks raised (`callback` asks for it): what was read gets its error."""
        if not self.lifecycle.open or not self.connected:
            self.drop()
            return
        try:
            self.answer_all(500, 500)
        except Exception:
            log_event("defect", True, what="the end of a session")
            self.drop()

    def end_if_idle(self, for_room: bool = False) -> None:
        """End it if it is idle; `for_room`: a new client waits for its place."""
        self.handle(SessionEvent.END_IDLE_FOR_ROOM if for_room else SessionEvent.END_IF_IDLE)

    def give_way(self) -> bool:
        """Make room for another session, where nothing whole is lost by it; whether this one goes."""
        self.handle(SessionEvent.ROOM_WANTED)
        if self.lifecycle.open:
            return False
        self.step(SessionEvent.ROOM_WANTED)  # the error that it got now has little time to leave
        return True

    def answer_before_kill(self) -> None:
        """Answer all that is owed now: the process may be killed soon."""
        forwarded = self.request is not None and any(attempt.written for attempt in self.request.attempts)
        self.answer_all(502 if forwarded else 503, 503)

    def answer_all(self, in_flight: int, unsent: int) -> None:
        """Answer all that is owed now, in order, and end; nothing more is forwarded.

        The statuses are for the request that may have been forwarded, and for those that were not, half a
        one included; one that has a fault is told of it.
        """
        if not self.lifecycle.open:
            return
        self._withdraw_request()
        self.reader.take_all()
        action = self.step(SessionEvent.ANSWER_ALL)
        if action is SessionAction.ANSWER_OWED:
            self._answer_owed(in_flight, unsent)
        elif action is not None:
            ACTIONS[action](self)

    def answer_owed(self) -> None:
        """Refuse what waits behind answers that the client does not read; half a request is late."""
        if self.reader.arriving is not None:
            self.reader.reject(_too_late())
        self._answer_owed(503, 503)

    def _answer_owed(self, in_flight: int, unsent: int) -> None:
        requests, status = self.reader.requests, in_flight
        last = requests[-1] if requests else self.answering
        if last is not None:
            last.keep_alive = False
        while self.lifecycle.open and (self.answering is not None or requests):
            if self.answering is None:
                self.step(_SERVICE_WANTED)
                self.answering, status = requests.popleft(), unsent
            fault = self.answering.fault
            if fault is None:
                self.answer(status, response.error_body(status))
            else:
                self.answer(fault.status, str(fault).encode() + b"\n")
        if self.lifecycle.open:
            self.drop()

    # One request after the other.

    def advance(self) -> None:
        """Serve what waits, as long as the client takes its answers."""
        while True:
            action = self.step(_SERVICE_WANTED)
            if action is _SERVE_IF_PRESENT:
                if self.drop_if_left():
                    return
            elif action is not _SERVE:
                break
            self._serve_next()
        if action is not None:
            ACTIONS[action](self)

    def _serve_next(self) -> None:
        self.answering = message = self.reader.requests.popleft()
        if message.fault is not None:
            self.answer(message.fault.status, str(message.fault).encode() + b"\n")
            return
        try:
            routes.serve(self, message)
        except MalformedRequest as fault:
            self.answer(fault.status, str(fault).encode() + b"\n")
        except Exception:
            log_event("defect", True, what="callback on a request")
            self._release()
            self.answer(500, b"internal error\n")

    def open_request(self, now: int, call_id: bytes, due: int, arrival: api.RequestArrived) -> None:
        """Hand the request in service to the dispatch, which answers it by `due` (us)."""
        self.clients.open_ids[call_id] = self
        self.call_id = call_id
        request = self.clients.dispatch.arrive(now, self, self.answering, due, arrival)
        if not request.answered:
            self.request = request

    def _release(self) -> None:
        """Hold the request open no longer."""
        self.request = None
        if self.clients.open_ids.get(self.call_id) is self:
            del self.clients.open_ids[self.call_id]

    def _withdraw_request(self) -> None:
        """Have nothing more start for the open request, if there is one."""
        request = self.request
        if request is not None:
            self._release()
            self.clients.dispatch.withdraw(self.driver.now(), request)

    def recalled(self) -> None:
        """Its client has left by word: nothing starts for the request, and the session goes on."""
        if self.request is not None:
            self._withdraw_request()
            self._final(502, b"recalled by its client\n")

    # The final answers, as the core gives them.

    def served(self, result: bytes) -> None:
        """Answer with the result of an executor."""
        self._final(200, result)

    def refused(self, retry_after_us: int) -> None:
        """Answer that nothing has run; 0: without advice when to come again."""
        advice = b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b""
        self._final(503, b"refused\n", advice)

    def failed(self) -> None:
        """Answer that the request failed."""
        self._final(502, b"failed\n")

    def _final(self, status: int, body: bytes, headers: bytes = b"") -> None:
        self._release()
        self.answer(status, body, headers)
        if self.reader.requests:
            self.advance()

    def answer(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Write the one answer of the request in service; passed over once the session has ended."""
        message, self.answering = self.answering, None
        lifecycle, clients = self.lifecycle, self.clients
        if message is None or not lifecycle.open:
            return
        last = lifecycle.is_last_answer(message.keep_alive, clients.closing or clients.draining_clients)
        if self.send(response.compose(message, status, body, headers, last)):
            self.handle(_LAST_ANSWER_WRITTEN if last else _ANSWER_WRITTEN)
