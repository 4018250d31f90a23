"""Whether the other side of a connection has closed, asked of the system while nothing is read from it."""

import asyncio
import select

HALF_CLOSED = select.POLLRDHUP  # it sends no more
BROKEN = select.POLLHUP | select.POLLERR  # both directions have ended, or it was reset


def hung_up(transport: asyncio.Transport, half_counts: bool = True) -> bool:
    """Whether the peer has closed or reset; `half_counts`: also where it only sends no more."""
    number = transport.get_extra_info("socket").fileno()
    if number < 0:
        return True
    poll = select.poll()
    poll.register(number, HALF_CLOSED if half_counts else 0)  # what is broken is told in any case
    wanted = BROKEN | (HALF_CLOSED if half_counts else 0)
    return any(events & wanted for _, events in poll.poll(0))
