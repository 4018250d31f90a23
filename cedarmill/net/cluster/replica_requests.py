"""Requests of members and operators at a replica, and the way of each answer back to its connection."""

from typing import NamedTuple

from cedarmill.cluster.messages import ClientReply
from cedarmill.net.framing import FramedConnection

MAX_SESSIONS = 4096  # connections of members and operators: nodes, supervisors, and a few operators


class OpenRequest(NamedTuple):
    """Where an answer goes: a connection, and the number that the other side gave its request."""

    connection: FramedConnection
    number: int


class RequestConnections:
    """Connections of members and operators, and their requests without an answer by token."""

    def __init__(self) -> None:
        self.connections: dict[FramedConnection, str] = {}  # the names that they gave
        self._open: dict[int, OpenRequest] = {}
        self._last_token = 0

    def refusal(self) -> str:
        """Why no further connection is taken; empty: one is."""
        if len(self.connections) < MAX_SESSIONS:
            return ""
        return f"{MAX_SESSIONS} connections are open already"

    def accept(self, connection: FramedConnection, name: str) -> None:
        """The other side has said hello."""
        connection.name = name
        self.connections[connection] = name

    def open(self, connection: FramedConnection, number: int) -> int:
        """A request has come; its token for `reply`."""
        self._last_token += 1
        self._open[self._last_token] = OpenRequest(connection, number)
        return self._last_token

    def reply(self, token: int, answer: object) -> None:
        """Answer a request, if its connection is still there."""
        request = self._open.pop(token, None)
        if request is not None:
            request.connection.send(request.number, answer)

    def answer_all(self, answer: ClientReply) -> None:
        """Give every open request the same answer."""
        for token in list(self._open):
            self.reply(token, answer)

    def forget(self, connection: FramedConnection) -> None:
        """A connection has ended: nobody waits for its answers."""
        if self.connections.pop(connection, None) is not None:
            self._open = {
                token: request
                for token, request in self._open.items()
                if request.connection is not connection
            }
