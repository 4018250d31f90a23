"""Requests that wait at one replica for a log entry, a leadership confirmation or the leader's reply."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.messages import ClientRequest


class WaitingRequest(NamedTuple):
    """A request, and the token that its reply has to carry."""

    token: int
    request: ClientRequest


class LoggedRequest(NamedTuple):
    """A request whose command is in the log, and the term of its log entry."""

    term: int
    waiting: WaitingRequest


class ForwardedRequest(NamedTuple):
    """A request that was forwarded to the leader: the client's token, and the send time (us)."""

    token: int
    sent_at: int


class ForwardOrigin(NamedTuple):
    """The replica that forwarded a request, and the number of the request at that replica."""

    replica: str
    number: int


@dataclass(slots=True)
class PendingRequests:
    """Holds unanswered requests. Tokens of the adapter are positive; tokens created here are negative."""

    proposed: dict[int, WaitingRequest] = field(default_factory=dict)  # by internal token
    logged: dict[int, LoggedRequest] = field(default_factory=dict)  # by log index
    reads: dict[int, WaitingRequest] = field(default_factory=dict)  # by internal token
    forwarded: dict[int, ForwardedRequest] = field(default_factory=dict)  # by request number
    origins: dict[int, ForwardOrigin] = field(default_factory=dict)  # by internal token, at the leader
    last_token: int = 0

    def new_token(self) -> int:
        """Return a new, unique internal token."""
        self.last_token += 1
        return -self.last_token

    def forward(self, token: int, now: int) -> int:
        """Record a request as forwarded to the leader, and return its number."""
        number = -self.new_token()
        self.forwarded[number] = ForwardedRequest(token, now)
        return number

    def expire_forwarded(self, sent_before: int) -> Iterator[int]:
        """Remove the requests that were forwarded before the given time, and yield their tokens."""
        expired = [number for number, one in self.forwarded.items() if one.sent_at < sent_before]
        for number in expired:
            yield self.forwarded.pop(number).token

    def record_log_index(self, own_token: int, index: int, term: int) -> None:
        """Record the log index and term of a proposal."""
        waiting = self.proposed.pop(own_token, None)
        if waiting is not None:
            self.logged[index] = LoggedRequest(term, waiting)

    def pop_rejected(self, own_token: int) -> WaitingRequest | None:
        """Remove a rejected proposal or read, and return the request that waited for it."""
        return self.proposed.pop(own_token, None) or self.reads.pop(own_token, None)
