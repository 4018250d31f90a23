"""Whose request waits for what at one replica: for an index of the log, a confirmed read, or the leader."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.messages import ClientRequest


class Waiting(NamedTuple):
    """A request, and the token under which its reply is expected."""

    token: int
    request: ClientRequest


class Placed(NamedTuple):
    """A request that stands in the log, and the term of its entry."""

    term: int
    waiting: Waiting


class Forwarded(NamedTuple):
    """A request that was sent on to the leader: the asker's token, and when (us)."""

    token: int
    sent_at: int


class Origin(NamedTuple):
    """The replica that forwarded a request, and its number there."""

    replica: str
    number: int


@dataclass(slots=True)
class PendingRequests:
    """Requests without a reply. Tokens of the adapter are positive, those made here negative."""

    proposed: dict[int, Waiting] = field(default_factory=dict)  # by own token
    placed: dict[int, Placed] = field(default_factory=dict)  # by index of the log
    reads: dict[int, Waiting] = field(default_factory=dict)  # by own token
    forwarded: dict[int, Forwarded] = field(default_factory=dict)  # by number
    origins: dict[int, Origin] = field(default_factory=dict)  # by own token, at the leader
    last_token: int = 0

    def new_token(self) -> int:
        """A token of this replica's own."""
        self.last_token += 1
        return -self.last_token

    def forward(self, token: int, now: int) -> int:
        """Note a request as sent on to the leader; its number."""
        number = -self.new_token()
        self.forwarded[number] = Forwarded(token, now)
        return number

    def expire_forwarded(self, sent_before: int) -> Iterator[int]:
        """Tokens of requests that were forwarded before that and not answered; they wait no longer."""
        late = [number for number, one in self.forwarded.items() if one.sent_at < sent_before]
        for number in late:
            yield self.forwarded.pop(number).token

    def place(self, own_token: int, index: int, term: int) -> None:
        """A proposal has got its place in the log."""
        waiting = self.proposed.pop(own_token, None)
        if waiting is not None:
            self.placed[index] = Placed(term, waiting)

    def reject(self, own_token: int) -> Waiting | None:
        """A proposal or a read was rejected; whose it was."""
        return self.proposed.pop(own_token, None) or self.reads.pop(own_token, None)
