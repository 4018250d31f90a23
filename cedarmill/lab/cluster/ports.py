"""Free loopback ports for processes that have to know each other's addresses before they start."""

import random
import socket

FIRST_PORT, PORTS_END = 12_000, 32_000  # below those that systems give to outgoing connections
_RESERVED: list[socket.socket] = []


def free_port() -> int:
    """A port of loopback that nobody has now, and that the system gives to nobody by itself.

    It stays bound here, so that no other run takes it; who listens there says that it reuses addresses.
    """
    while True:
        reserved = socket.socket()
        try:
            reserved.bind(("127.0.0.1", random.SystemRandom().randrange(FIRST_PORT, PORTS_END)))
        except OSError:
            reserved.close()
            continue
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _RESERVED.append(reserved)
        port: int = reserved.getsockname()[1]
        return port
