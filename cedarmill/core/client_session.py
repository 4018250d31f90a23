"""One client's connection as a state machine without I/O: when to serve, to wait, to call it late, to end it.

`SessionLifecycle.step(now, event)` returns what has to be done; TRANSITIONS names all that changes the state.
All times are whole microseconds. The requests themselves, their bytes and their answers belong to the adapter
(`net/clients/session.py`), which counts here what it has read and what it has answered.

Two rules above the table. Each request that was read is answered once, in the order of reading, before the
node ends the connection, unless the client has left. And the connection ends once: from CLOSING on nothing is
served any more, and no state leads back to an open one.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cedarmill.core.client_session_events import SessionAction, SessionEvent, SessionState, SessionTimes

# bound once: looking a member up in its class takes ten times as long, and this runs for each request
_IDLE = SessionState.IDLE
_RECEIVING = SessionState.RECEIVING
_ANSWERING = SessionState.ANSWERING
_CLOSING = SessionState.CLOSING
_SERVE_IF_PRESENT = SessionAction.SERVE_IF_PRESENT
_SERVE = SessionAction.SERVE
_LIST_AS_IDLE = SessionAction.LIST_AS_IDLE


@dataclass(slots=True, eq=False)
class SessionLifecycle:
    """One connection's state; `deadline` and `hang_up_check_at` are when their events have to come (us)."""

    born_at: int
    times: SessionTimes
    half_close_leaves: bool = True  # a client that ends its sending has gone, whatever it is owed
    state: SessionState = SessionState.IDLE
    deadline: int | None = None
    hang_up_check_at: int | None = None
    proven: bool = False  # it has sent a good request
    queued: int = 0  # requests that were read and wait for the one in service
    in_service: bool = False
    arriving: bool = False  # a part of a request has come
    began_at: int = 0  # the request that arrives
    asked_since: int = 0  # from when on it may send, unless proven: its birth or its last answer
    heard_at: int = 0  # its last byte; the adapter sets it
    granted_unread: bool = False  # what waited unread at its deadline was given time
    blocked: bool = False  # it does not read its answers
    paused: bool = False  # it is not read for now
    half_closed: bool = False  # it sends no more, but still reads
    ends_by: int = 0  # how long a slow reader may take while it closes

    def __post_init__(self) -> None:
        self.began_at = self.asked_since = self.heard_at = self.ends_by = self.born_at
        self.deadline = self.born_at + self.times.first_request

    def step(self, now: int, event: SessionEvent) -> SessionAction | None:
        """Take one event at its time and return what has to be done, if anything."""
        handler = TRANSITIONS.get((self.state, event))
        return handler(self, now) if handler is not None else None

    @property
    def open(self) -> bool:
        """Whether what is read is still served."""
        return self.state < _CLOSING

    @property
    def owes(self) -> bool:
        """Whether a request that was read has no answer."""
        return self.in_service or self.queued > 0

    def is_last_answer(self, keep_alive: bool, draining: bool) -> bool:
        """Whether the connection ends with the next answer; `draining`: the node sends its clients away.

        What was read has its answer before that, and half a request may still become whole.
        """
        if not keep_alive or (self.half_closed and not self.queued):
            return True
        return draining and not self.queued and not self.arriving

    # Requests and answers.

    def _request_begun(self, now: int) -> SessionAction | None:
        self.arriving, self.began_at = True, now
        if self.state is _IDLE:
            self.state = _RECEIVING
        return None

    def _request_read(self, now: int) -> SessionAction | None:
        self.arriving = False
        self.queued += 1
        self.state = _ANSWERING
        return None

    def _next(self, now: int) -> SessionAction | None:
        if not self.in_service:
            if self.queued and not self.blocked:
                self.queued -= 1
                self.in_service, self.deadline = True, None
                return _SERVE_IF_PRESENT if self.paused else _SERVE
            if self.arriving:
                self._wait_for_client(now)
        if bool(self.queued) == self.paused:
            return None
        # a client that sends ahead is read no further for now
        return SessionAction.RESUME_READING if self.paused else SessionAction.PAUSE_READING

    def _answer_written(self, now: int) -> SessionAction | None:
        self.in_service = False
        self.asked_since = now
        if not self.queued:
            self.state = _RECEIVING if self.arriving else _IDLE
        self._wait_for_client(now)
        return self._listed_as_idle()

    def _last_answer_written(self, now: int) -> SessionAction | None:
        self.in_service = False
        return self._end(now)

    def _listed_as_idle(self) -> SessionAction | None:
        idle = self.proven and self.state is _IDLE and not self.blocked
        return _LIST_AS_IDLE if idle else None

    def _wait_for_client(self, now: int) -> None:
        """Give it its time for what it sends next."""
        if not self.arriving:
            self.granted_unread = False
            self.deadline = now + (self.times.idle if self.proven else self.times.first_request)
            return
        whole_by = self.asked_since + self.times.first_request
        if self.proven:
            whole_by = self.began_at + self.times.slow_request
        self.granted_unread = self.granted_unread and now >= whole_by
        self.deadline = min(whole_by, self.heard_at + self.times.stopped)

    def _block(self, now: int) -> SessionAction | None:
        self.blocked = True
        return None

    def _unblock(self, now: int) -> SessionAction | None:
        self.blocked = False
        return self._listed_as_idle()

    def _paused(self, now: int) -> SessionAction | None:
        self.paused = True
        self.hang_up_check_at = now + self.times.hang_up_check
        return None

    def _resumed(self, now: int) -> SessionAction | None:
        self.paused = False
        return None

    def _reading_broken(self, now: int) -> SessionAction | None:
        self.half_closed = True
        self.hang_up_check_at = now + self.times.hang_up_check
        return None if self.owes or not self.open else self._end(now)

    def _check_client(self, now: int) -> SessionAction | None:
        self.hang_up_check_at = None
        if not (self.paused or self.half_closed):
            return None
        self.hang_up_check_at = now + self.times.hang_up_check
        return SessionAction.CHECK_CLIENT

    def _deadline_passed(self, now: int) -> SessionAction | None:
        self.deadline = None
        return self._late(now) if self.granted_unread else SessionAction.CHECK_UNREAD

    def _grant_unread(self, now: int) -> SessionAction | None:
        self.granted_unread, self.deadline = True, now + self.times.unread
        return None

    def _late(self, now: int) -> SessionAction | None:
        self.blocked = False  # what is owed is written now, whether the client reads it or not
        if self.owes:
            return SessionAction.ANSWER_OWED
        return SessionAction.ANSWER_LATE if self.arriving else self._end(now)

    def _late_to_close(self, now: int) -> SessionAction | None:
        self.deadline = None
        return SessionAction.CHECK_READER

    def _reader_progressed(self, now: int) -> SessionAction | None:
        if now >= self.ends_by:
            return self._abort(now)
        self.deadline = now + self.times.linger
        return None

    def _check_room(self, now: int) -> SessionAction | None:
        return SessionAction.CHECK_ROOM

    def _make_room(self, now: int) -> SessionAction | None:
        """A client in the middle of a request stays while it sends, and else gets its error."""
        if not self.arriving:
            return self._abort(now)
        if self.heard_at > now - self.times.room_grace:
            return None
        return SessionAction.ANSWER_LATE

    def _end_sooner(self, now: int) -> SessionAction | None:
        return self._end_by(now + self.times.room_error_linger)

    def _end_soon(self, now: int) -> SessionAction | None:
        return self._end_by(now + self.times.room_linger)

    def _end_by(self, soon: int) -> SessionAction | None:
        if self.deadline is None or self.deadline > soon:
            self.deadline = soon
        return None

    def _end_idle_for_room(self, now: int) -> SessionAction | None:
        self._end(now)
        self.deadline = now + self.times.room_linger
        return SessionAction.END_SENDING

    # The end: `_end`, `_leave` and `_closed` are the only ways to the last three states.

    def _end(self, now: int) -> SessionAction | None:
        self.state = _CLOSING
        self.deadline, self.ends_by = now + self.times.linger, now + self.times.slow_reader
        return SessionAction.END_SENDING

    def _leave(self) -> None:
        """Nothing is owed to a client that has left."""
        self.state = SessionState.GONE
        self.queued, self.in_service = 0, False
        self.hang_up_check_at = None

    def _abort(self, now: int) -> SessionAction | None:
        self._leave()
        return SessionAction.ABORT

    def _client_ended_sending(self, now: int) -> SessionAction | None:
        if self.owes and not self.half_close_leaves:
            self.half_closed = True
            return None
        self._leave()
        self.deadline = now + self.times.linger  # who does not read keeps the loop from closing
        return SessionAction.WITHDRAW

    def _abort_failed(self, now: int) -> SessionAction | None:
        self.deadline = now + self.times.abort_again
        return None

    def _closed(self, now: int) -> SessionAction | None:
        self._leave()
        self.state = SessionState.CLOSED
        self.deadline = None
        return SessionAction.WITHDRAW

    def _answer_all(self, now: int) -> SessionAction | None:
        if self.arriving:
            self._request_read(now)
        if not self.owes:
            return self._end(now)
        self.blocked = False
        return SessionAction.ANSWER_OWED


Handler = Callable[[SessionLifecycle, int], SessionAction | None]
_OPEN = (_IDLE, _RECEIVING, _ANSWERING)
_ENDING = (_CLOSING, SessionState.GONE)
_OWING_NOTHING = (_IDLE, _RECEIVING)
_ROWS: tuple[tuple[tuple[SessionState, ...], SessionEvent, Handler], ...] = (
    (_OPEN, SessionEvent.REQUEST_BEGUN, SessionLifecycle._request_begun),
    (_OPEN, SessionEvent.REQUEST_READ, SessionLifecycle._request_read),
    (_OPEN, SessionEvent.SERVICE_WANTED, SessionLifecycle._next),
    ((_ANSWERING,), SessionEvent.ANSWER_WRITTEN, SessionLifecycle._answer_written),
    ((_ANSWERING,), SessionEvent.LAST_ANSWER_WRITTEN, SessionLifecycle._last_answer_written),
    (_OPEN, SessionEvent.WRITING_BLOCKED, SessionLifecycle._block),
    (_OPEN, SessionEvent.WRITING_RESUMED, SessionLifecycle._unblock),
    ((*_OPEN, _CLOSING), SessionEvent.READING_PAUSED, SessionLifecycle._paused),
    ((*_OPEN, _CLOSING), SessionEvent.READING_RESUMED, SessionLifecycle._resumed),
    ((*_OPEN, _CLOSING), SessionEvent.READING_BROKEN, SessionLifecycle._reading_broken),
    ((*_OPEN, _CLOSING), SessionEvent.HANG_UP_CHECK_DUE, SessionLifecycle._check_client),
    ((*_OPEN, *_ENDING), SessionEvent.CLIENT_ENDED_SENDING, SessionLifecycle._client_ended_sending),
    ((*_OPEN, *_ENDING), SessionEvent.CLIENT_LEFT, SessionLifecycle._abort),
    ((*_OPEN, *_ENDING), SessionEvent.CONNECTION_LOST, SessionLifecycle._closed),
    ((*_OPEN, *_ENDING), SessionEvent.ABORT_FAILED, SessionLifecycle._abort_failed),
    (_OPEN, SessionEvent.DEADLINE_PASSED, SessionLifecycle._deadline_passed),
    (_OPEN, SessionEvent.BYTES_UNREAD, SessionLifecycle._grant_unread),
    (_OPEN, SessionEvent.NOTHING_UNREAD, SessionLifecycle._late),
    (_ENDING, SessionEvent.DEADLINE_PASSED, SessionLifecycle._late_to_close),
    (_ENDING, SessionEvent.READER_PROGRESSED, SessionLifecycle._reader_progressed),
    (_ENDING, SessionEvent.READER_STALLED, SessionLifecycle._abort),
    ((_IDLE,), SessionEvent.END_IF_IDLE, SessionLifecycle._end),
    ((_IDLE,), SessionEvent.END_IDLE_FOR_ROOM, SessionLifecycle._end_idle_for_room),
    (_OWING_NOTHING, SessionEvent.ROOM_WANTED, SessionLifecycle._check_room),
    (_OWING_NOTHING, SessionEvent.ROOM_CONFIRMED, SessionLifecycle._make_room),
    (_ENDING, SessionEvent.ROOM_WANTED, SessionLifecycle._end_sooner),
    (_ENDING, SessionEvent.END_IDLE_FOR_ROOM, SessionLifecycle._end_soon),
    (_OPEN, SessionEvent.ANSWER_ALL, SessionLifecycle._answer_all),
)
# What is not named changes nothing.
TRANSITIONS: dict[tuple[SessionState, SessionEvent], Handler] = {
    (state, event): handler for states, event, handler in _ROWS for state in states
}
