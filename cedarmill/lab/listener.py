"""Listening on loopback, as all stand-ins of the laboratory do."""

import asyncio
from collections.abc import Callable

LOOPBACK = "127.0.0.1"
# A connection that finds no place opens only a second later, when the kernel asks again.
LISTEN_BACKLOG = 1024


async def listen_on_loopback(protocol: Callable[[], asyncio.BaseProtocol], port: int = 0) -> asyncio.Server:
    """Listen on that port, or on a free one; raises OSError."""
    return await asyncio.get_running_loop().create_server(protocol, LOOPBACK, port, backlog=LISTEN_BACKLOG)


def port_of(server: asyncio.Server) -> int:
    """At which it listens."""
    port: int = server.sockets[0].getsockname()[1]
    return port
