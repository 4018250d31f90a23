"""What the system knows of a connection that the loop has not read yet: its end, and bytes that wait."""

import asyncio
import contextlib
import fcntl
import select
import termios
from array import array

HALF_CLOSED = select.POLLRDHUP  # it sends no more
BROKEN = select.POLLHUP | select.POLLERR  # both directions have ended, or it was reset
ASKS = 2  # one that fails is made once more
# what a method of a transport raises whose socket has broken or was closed
TRANSPORT_ERRORS = (OSError, RuntimeError, ValueError)


def _descriptor(transport: asyncio.Transport) -> int:
    """The socket's descriptor, -1 where it is closed; raises one of `TRANSPORT_ERRORS`."""
    sock = transport.get_extra_info("socket")
    return sock.fileno() if sock is not None else -1


def peer_closed(transport: asyncio.Transport, half_counts: bool = True) -> bool | None:
    """Whether the peer has closed or reset; None where the system does not say.

    `half_counts`: also where it only sends no more.
    """
    wanted = BROKEN | (HALF_CLOSED if half_counts else 0)
    for _ in range(ASKS):
        try:
            number = _descriptor(transport)
            if number < 0:
                return True
            poll = select.poll()
            poll.register(number, HALF_CLOSED if half_counts else 0)  # what is broken is told in any case
            return any(events & wanted for _, events in poll.poll(0))
        except TRANSPORT_ERRORS:
            continue
    return None


def hung_up(transport: asyncio.Transport, half_counts: bool = True) -> bool:
    """`peer_closed`, for a caller that uses no connection in doubt: unknown counts as closed."""
    return peer_closed(transport, half_counts) is not False


def bytes_unread(transport: asyncio.Transport) -> int:
    """How much of what was written the peer's machine has not taken: here, and in the system's buffer."""
    waiting = array("i", [0])
    with contextlib.suppress(*TRANSPORT_ERRORS):
        fcntl.ioctl(_descriptor(transport), termios.TIOCOUTQ, waiting)
    return transport.get_write_buffer_size() + waiting[0]


def bytes_wait(transport: asyncio.Transport) -> bool:
    """Whether bytes wait to be read; also where the system does not say, as they may."""
    waiting = array("i", [0])
    try:
        number = _descriptor(transport)
        if number < 0:
            return False
        fcntl.ioctl(number, termios.FIONREAD, waiting)
    except TRANSPORT_ERRORS:
        return True
    return waiting[0] > 0
