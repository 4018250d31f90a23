"""Queries to the kernel about a connection: closed by the peer, unread input, unacknowledged output."""

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios
from array import array

HALF_CLOSE_EVENTS = select.POLLRDHUP  # The peer has shut down its sending side.
FULL_CLOSE_EVENTS = select.POLLHUP | select.POLLERR  # Both directions are closed or reset.
MAX_ATTEMPTS = 2
# In struct tcp_info (tcp(7)): time since the last input, in ms of the system's clock tick.
LAST_INPUT_AGE = struct.Struct("=52xI")
CLOCK_TICK_ERROR_US = 11_000  # a tick takes up to 10 ms, and the age is rounded to 1 ms
# Errors that the methods of a transport raise when its socket is broken or closed.
TRANSPORT_ERRORS = (OSError, RuntimeError, ValueError)


def _descriptor(transport: asyncio.Transport) -> int:
    """Return the socket's descriptor or -1 if it is closed; raises one of `TRANSPORT_ERRORS`."""
    sock = transport.get_extra_info("socket")
    return sock.fileno() if sock is not None else -1


def is_peer_closed(transport: asyncio.Transport, half_close_counts: bool = True) -> bool | None:
    """Return whether the peer has closed or reset the connection, or None if the kernel cannot be queried.

    `half_close_counts`: whether a peer that has only shut down its sending side counts as closed.
    """
    closing_events = FULL_CLOSE_EVENTS | (HALF_CLOSE_EVENTS if half_close_counts else 0)
    for _ in range(MAX_ATTEMPTS):
        try:
            descriptor = _descriptor(transport)
            if descriptor < 0:
                return True
            poll = select.poll()
            # POLLHUP and POLLERR are reported even if not requested.
            poll.register(descriptor, HALF_CLOSE_EVENTS if half_close_counts else 0)
            return any(events & closing_events for _, events in poll.poll(0))
        except TRANSPORT_ERRORS:
            continue
    return None


def is_closed_or_unknown(transport: asyncio.Transport, half_close_counts: bool = True) -> bool:
    """Return whether the peer has closed the connection or its state cannot be queried."""
    return is_peer_closed(transport, half_close_counts) is not False


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the number of written bytes, buffered here or in the kernel, not acknowledged by the peer."""
    byte_count = array("i", [0])
    with contextlib.suppress(*TRANSPORT_ERRORS):
        fcntl.ioctl(_descriptor(transport), termios.TIOCOUTQ, byte_count)
    return transport.get_write_buffer_size() + byte_count[0]


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether the socket has unread input; True also if the kernel cannot be queried."""
    byte_count = array("i", [0])
    try:
        descriptor = _descriptor(transport)
        if descriptor < 0:
            return False
        fcntl.ioctl(descriptor, termios.FIONREAD, byte_count)
    except TRANSPORT_ERRORS:
        return True
    return byte_count[0] > 0


def last_input_age_us(transport: asyncio.Transport) -> int:
    """Return how long ago the last input arrived at the socket, at least (us); 0 if that is not known."""
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_INPUT_AGE.size)
        age_ms: int = LAST_INPUT_AGE.unpack(info)[0]
    except (*TRANSPORT_ERRORS, AttributeError, struct.error):
        return 0
    return max(0, age_ms * 1000 - CLOCK_TICK_ERROR_US)
