"""What can happen to a client's connection, what follows of it, and how long each thing may take.

The table that joins them is in `core/client_session.py`. All times are whole microseconds.
"""

from dataclasses import dataclass
from enum import IntEnum, auto


@dataclass(frozen=True, slots=True)
class SessionTimes:
    """How long a client may hold its connection up (us)."""

    first_request: int  # till the first good request is whole, however its bytes come
    idle: int  # afterwards, between requests
    slow_request: int  # afterwards, for a request to arrive whole while its bytes keep coming
    stopped: int  # since the last byte of half a request
    unread: int  # for the loop to read what already waits at the socket, before a client counts as late
    linger: int  # for a client to read the last answer and close
    slow_reader: int  # the same for one that reads slowly, as long as it gets on
    room_linger: int  # for an idle client to close whose connection makes room for others
    room_error_linger: int  # for the error to leave that a stopped client gets as it makes room
    room_grace: int  # a client that sent something since then stays
    abort_again: int  # after a connection could not be aborted
    hang_up_check: int  # between two looks whether a client has gone from whom nothing is read for now


class SessionState(IntEnum):
    """What the connection is doing; in the first three it is open."""

    IDLE = auto()  # nothing is owed, and no request has begun to arrive
    RECEIVING = auto()  # a part of a request has come, and nothing is owed
    ANSWERING = auto()  # at least one request that was read has no answer; more may arrive
    CLOSING = auto()  # all is answered and the sending side has ended: the client reads it and closes
    GONE = auto()  # the client has left, or the connection was aborted: nothing is owed
    CLOSED = auto()  # the transport is lost


class SessionEvent(IntEnum):
    """What can happen to it."""

    REQUEST_BEGUN = auto()  # the first byte of a request was read
    REQUEST_READ = auto()  # a request is whole, or its fault is known: an answer is owed
    SERVICE_WANTED = auto()  # all bytes at hand are parsed, or an answer was given: what is next?
    ANSWER_WRITTEN = auto()
    LAST_ANSWER_WRITTEN = auto()  # the connection ends with it (`is_last_answer`)
    WRITING_BLOCKED = auto()  # the client does not read its answers
    WRITING_RESUMED = auto()
    READING_PAUSED = auto()
    READING_RESUMED = auto()
    READING_BROKEN = auto()  # reading cannot be resumed: as if the client sent no more
    CLIENT_ENDED_SENDING = auto()
    CLIENT_LEFT = auto()  # the system says so, or a write has failed
    CONNECTION_LOST = auto()  # the transport is done with
    ABORT_FAILED = auto()
    DEADLINE_PASSED = auto()  # `deadline`
    BYTES_UNREAD = auto()  # the reply to CHECK_UNREAD
    NOTHING_UNREAD = auto()
    READER_PROGRESSED = auto()  # the reply to CHECK_READER: it has taken some of what the loop still holds
    READER_STALLED = auto()
    HANG_UP_CHECK_DUE = auto()  # `hang_up_check_at`
    END_IF_IDLE = auto()  # the node ends or sends its clients away; nothing waits unread
    END_IDLE_FOR_ROOM = auto()  # another client needs the place of this idle one; nothing waits unread
    ROOM_WANTED = auto()  # another client needs the place of this one, which never sent a good request
    ROOM_CONFIRMED = auto()  # the reply to CHECK_ROOM: nothing waits unread
    ANSWER_ALL = auto()  # the process may be killed soon, or a callback raised


class SessionAction(IntEnum):
    """What the adapter has to do."""

    SERVE = auto()  # the next request that was read
    SERVE_IF_PRESENT = auto()  # the same, if the system does not say that its client has gone
    ANSWER_LATE = auto()  # the half request: its error is an answer that is owed, then SERVICE_WANTED
    ANSWER_OWED = auto()  # write an error for all that was read, in order, half a request included
    END_SENDING = auto()  # once all that was written has left; the connection closes when the client does
    WITHDRAW = auto()  # the open request and those that wait: their client has left
    ABORT = auto()  # the same, and abort the connection, whatever is not written
    PAUSE_READING = auto()
    RESUME_READING = auto()
    LIST_AS_IDLE = auto()  # it can make room for others
    CHECK_UNREAD = auto()  # whether bytes wait at the socket -> BYTES_UNREAD or NOTHING_UNREAD
    CHECK_ROOM = auto()  # whether bytes wait at the socket -> ROOM_CONFIRMED if not
    CHECK_READER = auto()  # whether it reads its last answer -> READER_PROGRESSED or READER_STALLED
    CHECK_CLIENT = auto()  # whether it is still there -> CLIENT_LEFT if not
