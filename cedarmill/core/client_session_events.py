"""States, events, actions and time limits of the client connections' state machine.

The transition table is in `core/client_session.py`. All times are whole microseconds.
"""

from dataclasses import dataclass
from enum import IntEnum, auto


@dataclass(frozen=True, slots=True)
class SessionTimes:
    """Time limits and intervals of a client connection (us)."""

    first_request: int  # time-out for receiving the first valid request completely
    idle: int  # time-out between requests after the first
    slow_request: int  # time-out for receiving a later request while bytes keep arriving
    stalled_request: int  # time-out since the last byte of an incomplete request
    unread_extension: int  # extension of the deadline for bytes that wait in the socket buffer
    linger: int  # time for a client to read the last answer and close
    slow_reader: int  # the same while a slow client makes progress
    eviction_linger: int  # time for an idle client to close when it is evicted
    eviction_error_linger: int  # time to send the error to a stalled client when it is evicted
    eviction_grace: int  # a client that sent a byte within this time is not evicted
    abort_retry_interval: int  # interval before a failed abort is retried
    presence_check_interval: int  # interval between checks for a disconnect while reading is paused


class SessionState(IntEnum):
    """State of a connection, which is open in the first three states."""

    IDLE = auto()  # no request is unanswered or partly received
    RECEIVING = auto()  # a request is partly received and none is unanswered
    ANSWERING = auto()  # at least one request is unanswered; more may arrive
    CLOSING = auto()  # all requests are answered and the node waits for the client to close
    GONE = auto()  # the client has left, or the connection was aborted
    CLOSED = auto()  # the transport is closed


class SessionEvent(IntEnum):
    """Event that the adapter reports to the state machine."""

    REQUEST_BEGUN = auto()  # the first byte of a request was read
    REQUEST_READ = auto()  # a request is complete or known to be malformed, and needs an answer
    SERVE_REQUESTED = auto()  # all received bytes are parsed, or an answer was written
    ANSWER_WRITTEN = auto()
    LAST_ANSWER_WRITTEN = auto()  # the answer for which `is_last_answer` was true
    WRITING_BLOCKED = auto()  # the write buffer is full because the client does not read
    WRITING_RESUMED = auto()
    READING_PAUSED = auto()
    READING_RESUMED = auto()
    READING_BROKEN = auto()  # reading cannot be resumed; treated as a half-close
    CLIENT_ENDED_SENDING = auto()
    CLIENT_LEFT = auto()  # the operating system reports a disconnect, or a write has failed
    CONNECTION_LOST = auto()  # the transport is closed
    ABORT_FAILED = auto()
    DEADLINE_PASSED = auto()  # the time `deadline` is reached
    BYTES_UNREAD = auto()  # result of CHECK_UNREAD
    NOTHING_UNREAD = auto()
    READER_PROGRESSED = auto()  # result of CHECK_READER: the client has read some of the buffered bytes
    READER_STALLED = auto()
    PRESENCE_CHECK_DUE = auto()  # the time `presence_check_at` is reached
    END_IF_IDLE = auto()  # the node stops or drains; no bytes wait unread
    EVICT_IDLE = auto()  # this idle connection is evicted; no bytes wait unread
    EVICTION_REQUESTED = auto()  # this connection, without a valid request so far, is to be evicted
    EVICTION_CONFIRMED = auto()  # result of CHECK_EVICTABLE: no bytes wait unread
    ANSWER_ALL = auto()  # the process may be killed soon, or a callback has raised an exception


class SessionAction(IntEnum):
    """Action that the adapter must take."""

    SERVE = auto()  # serve the next queued request
    SERVE_IF_PRESENT = auto()  # the same, unless the client is found to be disconnected
    ANSWER_TIMED_OUT = auto()  # queue a time-out error for the incomplete request, then SERVE_REQUESTED
    ANSWER_ALL_WITH_ERRORS = auto()  # answer all requests with an error, in order, also an incomplete one
    END_SENDING = auto()  # half-close after the pending writes, and wait for the client to close
    WITHDRAW = auto()  # withdraw all requests, because their client has left
    ABORT = auto()  # the same, and abort the connection without pending writes
    PAUSE_READING = auto()
    RESUME_READING = auto()
    LIST_AS_IDLE = auto()  # add the connection to those that can be evicted
    CHECK_UNREAD = auto()  # do bytes wait in the socket buffer: BYTES_UNREAD or NOTHING_UNREAD
    CHECK_EVICTABLE = auto()  # do bytes wait in the socket buffer: EVICTION_CONFIRMED if not
    CHECK_READER = auto()  # does the client read: READER_PROGRESSED or READER_STALLED
    CHECK_CLIENT = auto()  # is the client still connected: CLIENT_LEFT if not
