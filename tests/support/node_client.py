"""Clients for tests of a node: for requests and for the admin API."""

import http.client
import select
import socket

from tests.support.stand_in_server import WAIT


class Client(http.client.HTTPConnection):
    """One client connection to a node."""

    count = 0  # requests sent by all clients; the latest X-Call-Id

    def __init__(self, port: int) -> None:
        super().__init__("127.0.0.1", port, timeout=WAIT)
        self.headers = http.client.HTTPMessage()  # headers of the last answer

    def ask(
        self,
        job_class: str = "pin",
        budget: object = 6000,
        path: str = "/api",
        body: bytes = b"a body",
        **headers: str,
    ) -> "Client":
        """Send a request with this X-Budget-Ms, body and further headers."""
        Client.count += 1
        default_headers = {
            "X-Call-Id": f"{Client.count:016x}",
            "X-Call-Class": job_class,
            "X-Caller": "acme",
            "X-Budget-Ms": str(budget),
            "X-Call-Info": "slots=1,memory=0.500",
        }
        self.request("POST", path, body, {**default_headers, **headers})
        return self

    def answered(self, wait_s: float) -> bool:
        """Return whether an answer begins to arrive within this time."""
        poll = select.poll()  # unlike select.select, it takes any descriptor
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(wait_s * 1000))

    def answer(self) -> tuple[int, bytes]:
        """Wait for the answer and return its status and body."""
        answer = self.getresponse()
        self.headers = answer.headers
        return answer.status, answer.read()


def call_admin_api(port: int, method: str, path: str) -> tuple[int, bytes]:
    """Send an admin API call on a new connection, as the command line does; return status and body."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n".encode())
        return read_answer(sock)


def read_answer(sock: socket.socket) -> tuple[int, bytes]:
    """Read an answer up to the end of its connection and return its status and body."""
    text = b""
    while chunk := sock.recv(4096):
        text += chunk
    head, _, body = text.partition(b"\r\n\r\n")
    return int(head.split()[1]), body
