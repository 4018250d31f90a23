"""One HTTP request of a client as it arrives, and what is wrong with it."""

import math

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class MalformedRequest(Exception):
    """A message that gets an error answer and goes no further."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class ClientRequest:
    """One HTTP request as it arrives."""

    __slots__ = ("began_at", "sent_at", "method", "target", "headers", "body", "head", "keep_alive", "fault")

    def __init__(self, now: int, unread_since: int | None = None) -> None:
        """`unread_since`: from when on (us) it may have waited unread; the client's time ran meanwhile."""
        self.began_at = now
        self.sent_at = now if unread_since is None else unread_since
        self.method, self.target, self.headers, self.body = b"", b"", {}, bytearray()
        self.head = self.keep_alive = True  # the head arrives first
        self.fault: MalformedRequest | None = None

    def number(self, name: bytes) -> int | None:
        """A header that holds a whole number."""
        text = self.headers.get(name)
        if text is None:
            return None
        if not text.isdigit() or len(text) > 15:
            raise MalformedRequest(400, f"bad {name.decode()}")
        return int(text)

    def figures(self) -> dict[str, float]:
        """The pairs of X-Call-Info."""
        found = {}
        for pair in filter(None, self.headers.get(b"x-call-info", b"").decode("latin-1").split(",")):
            name, _, value = pair.partition("=")
            try:
                found[name.strip()] = float(value)
            except ValueError:
                raise MalformedRequest(400, "bad x-call-info") from None
        if not all(0 <= value < math.inf for value in found.values()):
            raise MalformedRequest(400, "bad x-call-info")
        return found
