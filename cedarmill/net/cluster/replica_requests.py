"""Requests of members and operators to a replica, and the connections for their replies."""

from typing import NamedTuple

from cedarmill.cluster.messages import ClientReply
from cedarmill.net.framing import FramedConnection

MAX_CONNECTIONS = 4096  # from nodes, supervisors and operators


class OpenRequest(NamedTuple):
    """A request without a reply yet: its connection, and its number on that connection."""

    connection: FramedConnection
    number: int


class RequestConnections:
    """Holds the connections of members and operators, and their open requests by token."""

    def __init__(self) -> None:
        self.connections: dict[FramedConnection, str] = {}  # names from the hello messages
        self._open_requests: dict[int, OpenRequest] = {}
        self._last_token = 0

    def rejection_reason(self) -> str:
        """Return why a further connection must be rejected, or an empty string."""
        if len(self.connections) < MAX_CONNECTIONS:
            return ""
        return f"the limit of {MAX_CONNECTIONS} open connections is reached"

    def accept(self, connection: FramedConnection, name: str) -> None:
        """Register a connection after its hello."""
        connection.name = name
        self.connections[connection] = name

    def register(self, connection: FramedConnection, number: int) -> int:
        """Register a request, and return its token for `reply`."""
        self._last_token += 1
        self._open_requests[self._last_token] = OpenRequest(connection, number)
        return self._last_token

    def reply(self, token: int, answer: object) -> None:
        """Send the reply to a request, unless its connection has ended."""
        request = self._open_requests.pop(token, None)
        if request is not None:
            request.connection.send(request.number, answer)

    def reply_to_all(self, answer: ClientReply) -> None:
        """Send the same reply to every open request."""
        for token in list(self._open_requests):
            self.reply(token, answer)

    def remove(self, connection: FramedConnection) -> None:
        """Remove a connection that has ended, and its open requests."""
        if self.connections.pop(connection, None) is not None:
            self._open_requests = {
                token: request
                for token, request in self._open_requests.items()
                if request.connection is not connection
            }
