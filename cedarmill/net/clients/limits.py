"""What one client connection may hold up or leave half sent: bytes, requests and times (us)."""

from cedarmill.core.client_session_events import SessionTimes

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
MAX_PIPELINED = 8
MAX_UNREAD = 1024 * 1024  # bytes after the last answer that are read and dropped
GRACE_US = 150_000  # a session younger than that makes no room for others
STOPPED_US = 2_700_000  # since the last byte of half a request: 3 s, less twice 0.15 s (read and ended late)
TIMES = SessionTimes(
    first_request=2_800_000,
    idle=60_000_000,
    slow_request=15_000_000,
    stopped=STOPPED_US,
    unread=20_000,
    linger=1_000_000,
    slow_reader=15_000_000,
    room_linger=200_000,
    room_error_linger=20_000,
    room_grace=GRACE_US,
    abort_again=50_000,
    hang_up_check=50_000,
)
