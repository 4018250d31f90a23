"""State machine without I/O for one client connection: serving, waiting, time-outs and closing.

`SessionLifecycle.step(now, event)` returns the action to take, and TRANSITIONS lists all handled events. All
times are whole microseconds. The adapter (`net/clients/session.py`) owns the requests, their bytes and their
answers, and reports each request that it has read and each answer that it has written.

Two invariants hold. Each request that was read is answered once, in order, before the node ends the
connection, unless the client has left. The connection ends once: from CLOSING on no request is served, and no
event reopens the connection.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cedarmill.core.client_session_events import SessionAction, SessionEvent, SessionState, SessionTimes

# Module-level aliases avoid the slow lookup of enum members for every request.
_IDLE = SessionState.IDLE
_RECEIVING = SessionState.RECEIVING
_ANSWERING = SessionState.ANSWERING
_CLOSING = SessionState.CLOSING
_SERVE_IF_PRESENT = SessionAction.SERVE_IF_PRESENT
_SERVE = SessionAction.SERVE
_LIST_AS_IDLE = SessionAction.LIST_AS_IDLE


@dataclass(slots=True, eq=False)
class SessionLifecycle:
    """State of a connection; the adapter raises the events due at `deadline` and `presence_check_at` (us)."""

    opened_at: int
    times: SessionTimes
    is_half_close_disconnect: bool = True  # whether a half-close counts as a disconnect
    state: SessionState = SessionState.IDLE
    deadline: int | None = None
    presence_check_at: int | None = None
    has_sent_request: bool = False  # whether the client has sent a valid request
    queued_requests: int = 0  # requests that were read and are not yet served
    is_serving: bool = False  # whether a request is being served
    is_receiving: bool = False  # whether a request is partly received
    request_began_at: int = 0  # us: first byte of the request that is partly received
    first_request_since: int = 0  # us: start of the time-out for a first valid request
    last_byte_at: int = 0  # us: last byte received, set by the adapter
    has_unread_grace: bool = False  # whether the deadline was extended for unread bytes
    is_write_blocked: bool = False  # whether writes are blocked because the client does not read
    is_reading_paused: bool = False  # whether reading from the client is paused
    is_half_closed: bool = False  # whether the client sends no more but still reads
    close_by: int = 0  # us: latest end of the closing state for a slow reader

    def __post_init__(self) -> None:
        self.request_began_at = self.first_request_since = self.last_byte_at = self.close_by = self.opened_at
        self.deadline = self.opened_at + self.times.first_request

    def step(self, now: int, event: SessionEvent) -> SessionAction | None:
        """Handle an event and return the action to take, or None."""
        handler = TRANSITIONS.get((self.state, event))
        return handler(self, now) if handler is not None else None

    @property
    def is_open(self) -> bool:
        """Return whether requests are still read and served."""
        return self.state < _CLOSING

    @property
    def has_unanswered_requests(self) -> bool:
        """Return whether a request that was read has not been answered."""
        return self.is_serving or self.queued_requests > 0

    def is_last_answer(self, keep_alive: bool, draining: bool) -> bool:
        """Return whether the connection ends with the next answer; `draining` is true on a draining node.

        Requests that are queued or partly received keep a draining node's connection open.
        """
        if not keep_alive or (self.is_half_closed and not self.queued_requests):
            return True
        return draining and not self.queued_requests and not self.is_receiving

    # Requests and answers.

    def _request_begun(self, now: int) -> SessionAction | None:
        self.is_receiving, self.request_began_at = True, now
        if self.state is _IDLE:
            self.state = _RECEIVING
        return None

    def _request_read(self, now: int) -> SessionAction | None:
        self.is_receiving = False
        self.queued_requests += 1
        self.state = _ANSWERING
        return None

    def _serve_next(self, now: int) -> SessionAction | None:
        if not self.is_serving:
            if self.queued_requests and not self.is_write_blocked:
                self.queued_requests -= 1
                self.is_serving, self.deadline = True, None
                return _SERVE_IF_PRESENT if self.is_reading_paused else _SERVE
            if self.is_receiving:
                self._wait_for_client(now)
        if bool(self.queued_requests) == self.is_reading_paused:
            return None
        # Reading pauses while pipelined requests wait.
        return SessionAction.RESUME_READING if self.is_reading_paused else SessionAction.PAUSE_READING

    def _answer_written(self, now: int) -> SessionAction | None:
        self.is_serving = False
        self.first_request_since = now
        if not self.queued_requests:
            self.state = _RECEIVING if self.is_receiving else _IDLE
        self._wait_for_client(now)
        return self._list_if_idle()

    def _last_answer_written(self, now: int) -> SessionAction | None:
        self.is_serving = False
        return self._begin_closing(now)

    def _list_if_idle(self) -> SessionAction | None:
        idle = self.has_sent_request and self.state is _IDLE and not self.is_write_blocked
        return _LIST_AS_IDLE if idle else None

    def _wait_for_client(self, now: int) -> None:
        """Set the deadline by which the client must send more."""
        if not self.is_receiving:
            self.has_unread_grace = False
            self.deadline = now + (self.times.idle if self.has_sent_request else self.times.first_request)
            return
        complete_by = self.first_request_since + self.times.first_request
        if self.has_sent_request:
            complete_by = self.request_began_at + self.times.slow_request
        self.has_unread_grace = self.has_unread_grace and now >= complete_by
        self.deadline = min(complete_by, self.last_byte_at + self.times.stalled_request)

    def _writing_blocked(self, now: int) -> SessionAction | None:
        self.is_write_blocked = True
        return None

    def _writing_resumed(self, now: int) -> SessionAction | None:
        self.is_write_blocked = False
        return self._list_if_idle()

    def _reading_paused(self, now: int) -> SessionAction | None:
        self.is_reading_paused = True
        self.presence_check_at = now + self.times.presence_check_interval
        return None

    def _reading_resumed(self, now: int) -> SessionAction | None:
        self.is_reading_paused = False
        return None

    def _reading_broken(self, now: int) -> SessionAction | None:
        self.is_half_closed = True
        self.presence_check_at = now + self.times.presence_check_interval
        return None if self.has_unanswered_requests or not self.is_open else self._begin_closing(now)

    def _check_client(self, now: int) -> SessionAction | None:
        self.presence_check_at = None
        if not (self.is_reading_paused or self.is_half_closed):
            return None
        self.presence_check_at = now + self.times.presence_check_interval
        return SessionAction.CHECK_CLIENT

    def _deadline_passed(self, now: int) -> SessionAction | None:
        self.deadline = None
        return self._time_out(now) if self.has_unread_grace else SessionAction.CHECK_UNREAD

    def _extend_for_unread(self, now: int) -> SessionAction | None:
        self.has_unread_grace, self.deadline = True, now + self.times.unread_extension
        return None

    def _time_out(self, now: int) -> SessionAction | None:
        self.is_write_blocked = False  # pending answers are written even if the client does not read
        if self.has_unanswered_requests:
            return SessionAction.ANSWER_ALL_WITH_ERRORS
        return SessionAction.ANSWER_TIMED_OUT if self.is_receiving else self._begin_closing(now)

    def _closing_timed_out(self, now: int) -> SessionAction | None:
        self.deadline = None
        return SessionAction.CHECK_READER

    def _reader_progressed(self, now: int) -> SessionAction | None:
        if now >= self.close_by:
            return self._abort(now)
        self.deadline = now + self.times.linger
        return None

    def _check_evictable(self, now: int) -> SessionAction | None:
        return SessionAction.CHECK_EVICTABLE

    def _evict(self, now: int) -> SessionAction | None:
        """Evict the connection, unless a partly received request has recently made progress."""
        if not self.is_receiving:
            return self._abort(now)
        if self.last_byte_at > now - self.times.eviction_grace:
            return None
        return SessionAction.ANSWER_TIMED_OUT

    def _shorten_error_linger(self, now: int) -> SessionAction | None:
        return self._limit_deadline(now + self.times.eviction_error_linger)

    def _shorten_linger(self, now: int) -> SessionAction | None:
        return self._limit_deadline(now + self.times.eviction_linger)

    def _limit_deadline(self, latest: int) -> SessionAction | None:
        if self.deadline is None or self.deadline > latest:
            self.deadline = latest
        return None

    def _evict_idle(self, now: int) -> SessionAction | None:
        self._begin_closing(now)
        self.deadline = now + self.times.eviction_linger
        return SessionAction.END_SENDING

    # Only `_begin_closing`, `_mark_gone` and `_connection_lost` enter the last three states.

    def _begin_closing(self, now: int) -> SessionAction | None:
        self.state = _CLOSING
        self.deadline, self.close_by = now + self.times.linger, now + self.times.slow_reader
        return SessionAction.END_SENDING

    def _mark_gone(self) -> None:
        """Drop all requests of a client that has left."""
        self.state = SessionState.GONE
        self.queued_requests, self.is_serving = 0, False
        self.presence_check_at = None

    def _abort(self, now: int) -> SessionAction | None:
        self._mark_gone()
        return SessionAction.ABORT

    def _client_ended_sending(self, now: int) -> SessionAction | None:
        if self.has_unanswered_requests and not self.is_half_close_disconnect:
            self.is_half_closed = True
            return None
        self._mark_gone()
        self.deadline = now + self.times.linger  # bounds the close if the client does not read
        return SessionAction.WITHDRAW

    def _abort_failed(self, now: int) -> SessionAction | None:
        self.deadline = now + self.times.abort_retry_interval
        return None

    def _connection_lost(self, now: int) -> SessionAction | None:
        self._mark_gone()
        self.state = SessionState.CLOSED
        self.deadline = None
        return SessionAction.WITHDRAW

    def _answer_all(self, now: int) -> SessionAction | None:
        if self.is_receiving:
            self._request_read(now)
        if not self.has_unanswered_requests:
            return self._begin_closing(now)
        self.is_write_blocked = False
        return SessionAction.ANSWER_ALL_WITH_ERRORS


Handler = Callable[[SessionLifecycle, int], SessionAction | None]
_OPEN = (_IDLE, _RECEIVING, _ANSWERING)
_ENDING = (_CLOSING, SessionState.GONE)
_NOTHING_UNANSWERED = (_IDLE, _RECEIVING)
_TRANSITION_ROWS: tuple[tuple[tuple[SessionState, ...], SessionEvent, Handler], ...] = (
    (_OPEN, SessionEvent.REQUEST_BEGUN, SessionLifecycle._request_begun),
    (_OPEN, SessionEvent.REQUEST_READ, SessionLifecycle._request_read),
    (_OPEN, SessionEvent.SERVE_REQUESTED, SessionLifecycle._serve_next),
    ((_ANSWERING,), SessionEvent.ANSWER_WRITTEN, SessionLifecycle._answer_written),
    ((_ANSWERING,), SessionEvent.LAST_ANSWER_WRITTEN, SessionLifecycle._last_answer_written),
    (_OPEN, SessionEvent.WRITING_BLOCKED, SessionLifecycle._writing_blocked),
    (_OPEN, SessionEvent.WRITING_RESUMED, SessionLifecycle._writing_resumed),
    ((*_OPEN, _CLOSING), SessionEvent.READING_PAUSED, SessionLifecycle._reading_paused),
    ((*_OPEN, _CLOSING), SessionEvent.READING_RESUMED, SessionLifecycle._reading_resumed),
    ((*_OPEN, _CLOSING), SessionEvent.READING_BROKEN, SessionLifecycle._reading_broken),
    ((*_OPEN, _CLOSING), SessionEvent.PRESENCE_CHECK_DUE, SessionLifecycle._check_client),
    ((*_OPEN, *_ENDING), SessionEvent.CLIENT_ENDED_SENDING, SessionLifecycle._client_ended_sending),
    ((*_OPEN, *_ENDING), SessionEvent.CLIENT_LEFT, SessionLifecycle._abort),
    ((*_OPEN, *_ENDING), SessionEvent.CONNECTION_LOST, SessionLifecycle._connection_lost),
    ((*_OPEN, *_ENDING), SessionEvent.ABORT_FAILED, SessionLifecycle._abort_failed),
    (_OPEN, SessionEvent.DEADLINE_PASSED, SessionLifecycle._deadline_passed),
    (_OPEN, SessionEvent.BYTES_UNREAD, SessionLifecycle._extend_for_unread),
    (_OPEN, SessionEvent.NOTHING_UNREAD, SessionLifecycle._time_out),
    (_ENDING, SessionEvent.DEADLINE_PASSED, SessionLifecycle._closing_timed_out),
    (_ENDING, SessionEvent.READER_PROGRESSED, SessionLifecycle._reader_progressed),
    (_ENDING, SessionEvent.READER_STALLED, SessionLifecycle._abort),
    ((_IDLE,), SessionEvent.END_IF_IDLE, SessionLifecycle._begin_closing),
    ((_IDLE,), SessionEvent.EVICT_IDLE, SessionLifecycle._evict_idle),
    (_NOTHING_UNANSWERED, SessionEvent.EVICTION_REQUESTED, SessionLifecycle._check_evictable),
    (_NOTHING_UNANSWERED, SessionEvent.EVICTION_CONFIRMED, SessionLifecycle._evict),
    (_ENDING, SessionEvent.EVICTION_REQUESTED, SessionLifecycle._shorten_error_linger),
    (_ENDING, SessionEvent.EVICT_IDLE, SessionLifecycle._shorten_linger),
    (_OPEN, SessionEvent.ANSWER_ALL, SessionLifecycle._answer_all),
)
# Events without an entry for the current state are ignored.
TRANSITIONS: dict[tuple[SessionState, SessionEvent], Handler] = {
    (state, event): handler for states, event, handler in _TRANSITION_ROWS for state in states
}
