"""A listening socket of the node's and the reader that takes its connections, switched on and off."""

import socket

from cedarmill.net.config import Address


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """Bound, listening and without blocking; raises OSError."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


class Accepting:
    """Switches the loop's reader of `_socket` that calls `_accept`; the class that takes it in has `turn`."""

    _socket: socket.socket | None = None
    _accepting = False

    def _accept(self) -> object: ...

    def _accept_on(self, now: int = 0) -> None:
        if self._socket is not None and not self._accepting:
            self._accepting = True
            self.turn.loop.add_reader(self._socket.fileno(), self._accept)

    def _accept_off(self) -> None:
        if self._accepting:
            self._accepting = False
            self.turn.loop.remove_reader(self._socket.fileno())
