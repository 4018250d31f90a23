"""A blocking client for the command line, which sends an operator's request to any replica that answers.

A request has the same id at every replica, so that a retry does not take effect twice.
"""

import secrets
import socket
import time
from collections.abc import Sequence

from cedarmill.cluster.messages import (
    MEMBER_ROLE,
    ClientReply,
    ClientRequest,
    ConnectionRejected,
    Hello,
    Unavailable,
)
from cedarmill.net.config import Address
from cedarmill.net.framing import FrameReader, InvalidFrame, encode_frame

REPLICA_TIMEOUT_S = 1.5
TOTAL_TIMEOUT_S = 12.0  # long enough for an election
ROUND_DELAY_S = 0.1  # between rounds of requests to all replicas
READ_BYTES = 65536  # maximum size of one read from the socket


class NoReplicaError(OSError):
    """Raised when no replica answers a request; the message has the reason for each replica."""


def new_request_id() -> str:
    """Return a random id for a request."""
    return secrets.token_hex(8)


class OperatorClient:
    """Sends requests to replicas, first to the replica that answered last."""

    def __init__(self, cluster: str, replicas: Sequence[str], name: str) -> None:
        self.cluster, self.name = cluster, name
        self.replicas = [Address.parse(text) for text in replicas]

    def send(self, request: ClientRequest, timeout_s: float = TOTAL_TIMEOUT_S) -> ClientReply:
        """Send a request to the replicas in turn, and return the first reply. Raises NoReplicaError."""
        deadline = time.monotonic() + timeout_s
        reasons: dict[str, str] = {}
        while time.monotonic() < deadline:
            for address in list(self.replicas):
                answer = self._ask_replica(address, request)
                if not isinstance(answer, Unavailable):
                    self.replicas.remove(address)
                    self.replicas.insert(0, address)
                    return answer
                reasons[f"{address.host}:{address.port}"] = answer.reason
            time.sleep(ROUND_DELAY_S)
        raise NoReplicaError(
            "; ".join(f"{replica}: {reason}" for replica, reason in reasons.items())
            or "no replica address is configured"
        )

    def _ask_replica(self, address: Address, request: ClientRequest) -> ClientReply:
        hello = Hello(self.cluster, self.name, MEMBER_ROLE)
        try:
            with socket.create_connection((address.host, address.port), REPLICA_TIMEOUT_S) as sock:
                sock.sendall(encode_frame(0, hello) + encode_frame(1, request))
                return self._read_answer(sock)
        except (OSError, InvalidFrame) as error:
            return Unavailable(str(error) or type(error).__name__)

    @staticmethod
    def _read_answer(sock: socket.socket) -> ClientReply:
        reader, deadline = FrameReader(), time.monotonic() + REPLICA_TIMEOUT_S
        while (remaining_s := deadline - time.monotonic()) > 0:
            sock.settimeout(remaining_s)
            data = sock.recv(READ_BYTES)
            if not data:
                return Unavailable("the connection was closed without a reply")
            for frame in reader.feed(data):
                if isinstance(frame.message, ConnectionRejected):
                    return Unavailable(frame.message.reason)
                if frame.number == 1:
                    answer: ClientReply = frame.message
                    return answer
        return Unavailable("no reply received in time")
