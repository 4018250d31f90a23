"""An operator's side: one request to any replica that answers, with the same id at each. Blocking, for the
command line.
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

TRY_S = 1.5  # for one replica to answer, before the next is asked
ALL_S = 12.0  # for any of them: an election may be under way
PAUSE_S = 0.1  # before they are asked again: who is to lead is being settled
READ_BYTES = 65536  # of one read from the socket


class NoReplicaError(OSError):
    """No replica answered, and why each did not."""


def new_id() -> str:
    """Of a request: the same at every replica that is asked."""
    return secrets.token_hex(8)


class OperatorClient:
    """Asks replicas, beginning with the one that answered last."""

    def __init__(self, cluster: str, replicas: Sequence[str], name: str) -> None:
        self.cluster, self.name = cluster, name
        self.replicas = [Address.parse(text) for text in replicas]

    def ask(self, request: ClientRequest, wait_s: float = ALL_S) -> ClientReply:
        """Its answer, from whichever replica; raises NoReplicaError."""
        until = time.monotonic() + wait_s
        reasons: dict[str, str] = {}
        while time.monotonic() < until:
            for address in list(self.replicas):
                answer = self._ask_one(address, request)
                if not isinstance(answer, Unavailable):
                    self.replicas.remove(address)
                    self.replicas.insert(0, address)
                    return answer
                reasons[f"{address.host}:{address.port}"] = answer.reason
            time.sleep(PAUSE_S)
        raise NoReplicaError(
            "; ".join(f"{where}: {why}" for where, why in reasons.items()) or "no keeper is named"
        )

    def _ask_one(self, address: Address, request: ClientRequest) -> ClientReply:
        hello = Hello(self.cluster, self.name, MEMBER_ROLE)
        try:
            with socket.create_connection((address.host, address.port), TRY_S) as sock:
                sock.sendall(encode_frame(0, hello) + encode_frame(1, request))
                return self._read_answer(sock)
        except (OSError, InvalidFrame) as error:
            return Unavailable(str(error) or type(error).__name__)

    @staticmethod
    def _read_answer(sock: socket.socket) -> ClientReply:
        reader, until = FrameReader(), time.monotonic() + TRY_S
        while (left := until - time.monotonic()) > 0:
            sock.settimeout(left)
            data = sock.recv(READ_BYTES)
            if not data:
                return Unavailable("closed without an answer")
            for frame in reader.feed(data):
                if isinstance(frame.message, ConnectionRejected):
                    return Unavailable(frame.message.reason)
                if frame.number == 1:
                    answer: ClientReply = frame.message
                    return answer
        return Unavailable("no answer in time")
