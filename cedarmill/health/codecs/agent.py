"""HAProxy's agent-check: one line of words that an agent tells of its server.

Source: HAProxy configuration manual, section 5.2, `agent-check` and `agent-send`. The reply is ASCII; its
first line counts, ended by CR, LF or the close; words stand in any order, divided by blanks, tabs or commas,
and are read without regard to case. What a reply does not name stays as it was.
"""

import re
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

MAX_REPLY = 1024  # bytes of the first line: HAProxy keeps one buffer, agents send some tens
MAX_REASON = 256  # characters that are kept of the text after `#`


class Status(StrEnum):
    """Operational state: whether the server works."""

    UP = "up"
    DOWN = "down"
    FAIL = "fail"
    STOPPED = "stopped"


class Admin(StrEnum):
    """Administrative state: whether it is wanted."""

    READY = "ready"
    DRAIN = "drain"
    MAINT = "maint"


# Each word to what it sets; the last of a kind holds, as HAProxy reads them.
WORDS: dict[str, tuple[str, Status | Admin]] = {
    "up": ("status", Status.UP),
    "down": ("status", Status.DOWN),
    "fail": ("status", Status.FAIL),
    "failed": ("status", Status.FAIL),
    "stopped": ("status", Status.STOPPED),
    "ready": ("admin", Admin.READY),
    "drain": ("admin", Admin.DRAIN),
    "maint": ("admin", Admin.MAINT),
}
_DIVIDERS = re.compile(r"[ \t,]+")
_PERCENT = re.compile(r"([0-9]{1,5})%")
_MAXCONN = re.compile(r"maxconn:([0-9]{1,9})", re.I)


class AgentError(ValueError):
    """A reply that says nothing, with the reason in one line."""


@dataclass(frozen=True, slots=True)
class AgentReply:
    """What one reply names; None: it does not, and what held goes on. `weight` is a percentage."""

    status: Status | None = None
    admin: Admin | None = None
    weight: int | None = None
    maxconn: int | None = None
    reason: str = ""
    unknown: tuple[str, ...] = field(default=(), compare=False)  # words passed over

    @property
    def says_something(self) -> bool:
        """Whether any state, weight or limit is named."""
        return any(value is not None for value in (self.status, self.admin, self.weight, self.maxconn))


def parse(line: bytes) -> AgentReply:
    """Read a first line, without its end; raises AgentError where it names nothing at all."""
    if len(line) > MAX_REPLY:
        raise AgentError(f"over {MAX_REPLY} bytes")
    text, _, reason = line.decode("latin-1").partition("#")
    found: dict[str, Any] = {}
    unknown = []
    for word in filter(None, _DIVIDERS.split(text.strip(" \t,"))):
        if (known := WORDS.get(word.lower())) is not None:
            found[known[0]] = known[1]
        elif match := _PERCENT.fullmatch(word):
            found["weight"] = int(match[1])
        elif match := _MAXCONN.fullmatch(word):
            found["maxconn"] = int(match[1])
        else:
            unknown.append(word[:32])
    clean = "".join(char if char.isprintable() else " " for char in reason.strip())[:MAX_REASON].strip()
    reply = AgentReply(**found, reason=clean, unknown=tuple(unknown))
    if not reply.says_something:
        raise AgentError("no word that an agent may say" if unknown else "an empty reply")
    return reply


def compose(reply: AgentReply) -> bytes:
    """The line for a reply, with its end; raises ValueError for a reason that would break the line."""
    words = [str(word) for word in (reply.admin, reply.status) if word is not None]
    if reply.weight is not None:
        words.append(f"{reply.weight}%")
    if reply.maxconn is not None:
        words.append(f"maxconn:{reply.maxconn}")
    if not words:
        raise ValueError("a reply that names nothing")
    if reply.reason:
        if not reply.reason.isprintable() or not reply.reason.isascii():
            raise ValueError(f"{reply.reason!r} does not fit into a line")
        words.append(f"#{reply.reason}")
    return " ".join(words).encode("ascii") + b"\n"


class AgentReader:
    """Collects one reply from the parts that arrive; what follows its first line is not read."""

    def __init__(self) -> None:
        self._line = bytearray()
        self.over = False

    def feed(self, data: bytes) -> AgentReply | None:
        """Take a part; the reply once its line is whole. Raises AgentError."""
        if self.over:
            return None
        self._line += data
        ends = [at for at in (self._line.find(b"\n"), self._line.find(b"\r")) if at >= 0]
        if ends:
            return self._end(min(ends))
        if len(self._line) > MAX_REPLY:
            self.over = True
            raise AgentError(f"over {MAX_REPLY} bytes without an end")
        return None

    def close(self) -> AgentReply | None:
        """The agent has closed: what came so far is the reply, as HAProxy takes it. Raises AgentError."""
        return None if self.over else self._end(len(self._line))

    def _end(self, at: int) -> AgentReply:
        self.over = True
        return parse(bytes(self._line[:at]))
