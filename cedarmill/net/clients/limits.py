"""Limits of one client connection: bytes, pipelined requests and timeouts (microseconds)."""

from cedarmill.core.client_session_events import SessionTimes

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024  # target, header fields and trailer fields of one request
MAX_SESSION_BYTES = MAX_BODY_BYTES + MAX_HEAD_BYTES  # all requests that a session holds at a time
MAX_PIPELINED_REQUESTS = 8
# Reading is paused after this much input has been discarded behind the last response.
MAX_DISCARDED_BYTES = 1024 * 1024
# Younger sessions are not closed to make room for others.
MIN_SESSION_AGE_US = 150_000
# A client is owed an error 3 s after it connects or stops sending; a node may accept, time out and answer
# 0.15 s late each.
STALLED_REQUEST_US = 2_500_000
TIMES = SessionTimes(
    first_request=STALLED_REQUEST_US,
    idle=60_000_000,
    slow_request=15_000_000,
    stalled_request=STALLED_REQUEST_US,
    unread_extension=20_000,
    linger=1_000_000,
    slow_reader=15_000_000,
    eviction_linger=200_000,
    eviction_error_linger=20_000,
    eviction_grace=MIN_SESSION_AGE_US,
    abort_retry_interval=50_000,
    presence_check_interval=50_000,
)
