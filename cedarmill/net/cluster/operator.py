"""An operator's side: one question to any keeper that answers, with the same id at each. Blocking, for
commands.
"""

import secrets
import socket
import time
from collections.abc import Sequence

from cedarmill.cluster.messages import ClientReply, ClientRequest, ConnectionRejected, Hello, Unavailable
from cedarmill.net.config import Address
from cedarmill.net.framing import FrameReader, InvalidFrame, encode_frame

TRY_S = 1.5  # for one keeper to answer, before the next is asked
ALL_S = 12.0  # for any of them: an election may be under way


class NoReplicaError(OSError):
    """No keeper answered, and why each did not."""


def new_id() -> str:
    """Of a request: the same at every keeper that is asked."""
    return secrets.token_hex(8)


class OperatorClient:
    """Asks keepers, beginning with the one that answered last."""

    def __init__(self, cluster: str, keepers: Sequence[str], name: str) -> None:
        self.cluster, self.name = cluster, name
        self.keepers = [Address.parse(text) for text in keepers]

    def ask(self, ask: ClientRequest, wait_s: float = ALL_S) -> ClientReply:
        """Its answer, from whichever keeper; raises NoKeeper."""
        until, reasons = time.monotonic() + wait_s, {}
        while time.monotonic() < until:
            for address in list(self.keepers):
                answer = self._one(address, ask)
                if not isinstance(answer, Unavailable):
                    self.keepers.remove(address)
                    self.keepers.insert(0, address)
                    return answer
                reasons[f"{address.host}:{address.port}"] = answer.reason
            time.sleep(0.1)  # not at once again: who is to lead is being settled
        raise NoReplicaError(
            "; ".join(f"{where}: {why}" for where, why in reasons.items()) or "no keeper is named"
        )

    def _one(self, address: Address, ask: ClientRequest) -> ClientReply:
        try:
            with socket.create_connection((address.host, address.port), TRY_S) as sock:
                sock.sendall(encode_frame(0, Hello(self.cluster, self.name, "client")) + encode_frame(1, ask))
                return self._answer(sock)
        except (OSError, InvalidFrame) as error:
            return Unavailable(str(error) or type(error).__name__)

    @staticmethod
    def _answer(sock: socket.socket) -> ClientReply:
        reader, until = FrameReader(), time.monotonic() + TRY_S
        while (left := until - time.monotonic()) > 0:
            sock.settimeout(left)
            data = sock.recv(65536)
            if not data:
                return Unavailable("closed without an answer")
            for number, word in reader.feed(data):
                if isinstance(word, ConnectionRejected):
                    return Unavailable(word.reason)
                if number == 1:
                    return word
        return Unavailable("no answer in time")
