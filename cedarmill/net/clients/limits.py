"""What one client connection may hold up or leave half sent: bytes, requests and times (us)."""

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
MAX_PIPELINED = 8
MAX_UNREAD = 1024 * 1024  # of what comes after the last answer is read and dropped
FIRST_US = 2_800_000  # for a session's first good request to arrive whole, however its bytes come
IDLE_US = 60_000_000  # afterwards, between requests
SLOW_US = 15_000_000  # afterwards, for a request to arrive whole while its bytes keep coming
# since the last byte of half a request: 3 s, less twice 0.15 s (read late, and ended late)
STOPPED_US = 2_700_000
UNREAD_US = 20_000  # for the loop to read what already waits at the socket, before a client counts as late
LINGER_US = 1_000_000  # for a client to read the last answer and close, though it may still be sending
ROOM_ERROR_LINGER_US = 20_000  # for the error to leave that a stopped client gets as it makes room
ABORT_AGAIN_US = 50_000  # after a connection could not be aborted
HANGUP_US = 50_000  # between two looks whether a client has gone from whom nothing is read for now
