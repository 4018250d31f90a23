"""An HTTP request of a client and the error for a request that is rejected."""

import math
import sys


class ClientRequestError(Exception):
    """A request that is answered with an HTTP error and not dispatched."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def request_timeout_error() -> ClientRequestError:
    """Return the error for a request that stays incomplete for too long."""
    return ClientRequestError(408, "the request did not arrive in time")


class ClientRequest:
    """An HTTP request, filled in by the parser as its parts arrive."""

    __slots__ = (
        "body",
        "earliest_sent_at",
        "fault",
        "first_byte_at",
        "head_bytes",
        "headers",
        "is_reading_head",
        "keep_alive",
        "method",
        "open_id",
        "target",
    )

    def __init__(self, now: int, unread_since: int | None = None) -> None:
        """`unread_since`: earliest time at which the request may have been waiting unread, or None (us).

        The client's deadline counts from that time.
        """
        self.first_byte_at = now
        self.earliest_sent_at = now if unread_since is None else unread_since
        self.method = self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.head_bytes = 0  # of the target and the header fields, once the head is complete
        self.body = bytearray()
        self.is_reading_head = self.keep_alive = True
        self.fault: ClientRequestError | None = None
        self.open_id: bytes | None = None  # the id under which it is among the open requests

    @property
    def held_bytes(self) -> int:
        """Return an upper bound of the bytes that are kept of the request."""
        return self.head_bytes + len(self.body)

    @property
    def allocated_bytes(self) -> int:
        """Return the memory that the head and the body take."""
        return self.head_bytes + sys.getsizeof(self.body)

    def discard_content(self) -> None:
        """Free the headers and the body of a request that is not forwarded."""
        self.headers, self.body, self.head_bytes = {}, bytearray(), 0

    def integer_header(self, name: bytes) -> int | None:
        """Return the value of an integer header or None; raises ClientRequestError for any other value."""
        text = self.headers.get(name)
        if text is None:
            return None
        if not text.isdigit() or len(text) > 15:
            raise ClientRequestError(400, f"bad {name.decode()}")
        return int(text)

    def call_info(self) -> dict[str, float]:
        """Return the key-value pairs of X-Call-Info; raises ClientRequestError for an invalid value."""
        found = {}
        for pair in filter(None, self.headers.get(b"x-call-info", b"").decode("latin-1").split(",")):
            name, _, value = pair.partition("=")
            try:
                found[name.strip()] = float(value)
            except ValueError:
                raise ClientRequestError(400, "bad x-call-info") from None
        if not all(0 <= value < math.inf for value in found.values()):
            raise ClientRequestError(400, "bad x-call-info")
        return found
