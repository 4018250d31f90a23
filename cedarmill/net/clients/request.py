"""One HTTP request of a client as it arrives, and what is wrong with it."""

import math


class MalformedRequest(Exception):
    """A message that gets an error answer and goes no further."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class ClientRequest:
    """One HTTP request as it arrives."""

    __slots__ = ("began_at", "body", "fault", "head", "headers", "keep_alive", "method", "sent_at", "target")

    def __init__(self, now: int, unread_since: int | None = None) -> None:
        """`unread_since`: from when on (us) it may have waited unread; the client's time ran meanwhile."""
        self.began_at = now
        self.sent_at = now if unread_since is None else unread_since
        self.method = self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.head = self.keep_alive = True  # the head arrives first
        self.fault: MalformedRequest | None = None

    def number(self, name: bytes) -> int | None:
        """Return a header that holds a whole number; raises MalformedRequest."""
        text = self.headers.get(name)
        if text is None:
            return None
        if not text.isdigit() or len(text) > 15:
            raise MalformedRequest(400, f"bad {name.decode()}")
        return int(text)

    def figures(self) -> dict[str, float]:
        """Return the pairs of X-Call-Info; raises MalformedRequest."""
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
