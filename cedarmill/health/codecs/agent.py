"""Codec of HAProxy's agent-check protocol, in which an agent reports its server's state in one line.

Source: HAProxy configuration manual, section 5.2, `agent-check` and `agent-send`. A reply is ASCII text; only
its first line counts, which ends with CR, LF or the end of the connection. The words of the line stand in any
order, are case-insensitive, and are separated by spaces, tabs or commas. Values not in a reply do not change.
"""

import re
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

MAX_REPLY_BYTES = 1024  # Limit of the first line; agents usually send some tens of bytes.
MAX_REASON = 256  # Characters; a longer text after `#` is truncated.


class Status(StrEnum):
    """Operational state of a server."""

    UP = "up"
    DOWN = "down"
    FAIL = "fail"
    STOPPED = "stopped"


class Admin(StrEnum):
    """Administrative state of a server, as set by its operator."""

    READY = "ready"
    DRAIN = "drain"
    MAINT = "maint"


# Maps each word to the field that it sets; the last word for a field wins, as in HAProxy.
REPLY_WORDS: dict[str, tuple[str, Status | Admin]] = {
    "up": ("status", Status.UP),
    "down": ("status", Status.DOWN),
    "fail": ("status", Status.FAIL),
    "failed": ("status", Status.FAIL),
    "stopped": ("status", Status.STOPPED),
    "ready": ("admin", Admin.READY),
    "drain": ("admin", Admin.DRAIN),
    "maint": ("admin", Admin.MAINT),
}
_SEPARATORS = re.compile(r"[ \t,]+")
_PERCENT = re.compile(r"([0-9]{1,5})%")
_MAXCONN = re.compile(r"maxconn:([0-9]{1,9})", re.I)


class AgentError(ValueError):
    """A reply is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class AgentReply:
    """Values of one reply, None where the reply omits one; `weight` is a percentage."""

    status: Status | None = None
    admin: Admin | None = None
    weight: int | None = None
    maxconn: int | None = None
    reason: str = ""
    unknown_words: tuple[str, ...] = field(default=(), compare=False)  # Ignored words.

    @property
    def sets_any_value(self) -> bool:
        """Return whether the reply sets any state, weight or limit."""
        return any(value is not None for value in (self.status, self.admin, self.weight, self.maxconn))


def parse(line: bytes) -> AgentReply:
    """Parse a reply line without its line ending; raise AgentError if the line sets no value."""
    if len(line) > MAX_REPLY_BYTES:
        raise AgentError(f"the reply is over {MAX_REPLY_BYTES} bytes")
    text, _, reason = line.decode("latin-1").partition("#")
    values: dict[str, Any] = {}
    unknown = []
    for word in filter(None, _SEPARATORS.split(text.strip(" \t,"))):
        if (setting := REPLY_WORDS.get(word.lower())) is not None:
            values[setting[0]] = setting[1]
        elif match := _PERCENT.fullmatch(word):
            values["weight"] = int(match[1])
        elif match := _MAXCONN.fullmatch(word):
            values["maxconn"] = int(match[1])
        else:
            unknown.append(word[:32])
    printable = "".join(char if char.isprintable() else " " for char in reason.strip())[:MAX_REASON].strip()
    reply = AgentReply(**values, reason=printable, unknown_words=tuple(unknown))
    if not reply.sets_any_value:
        raise AgentError("the reply has only unknown words" if unknown else "the reply is empty")
    return reply


def compose(reply: AgentReply) -> bytes:
    """Return the reply as a line with its line ending; raise ValueError for an empty or unprintable one."""
    words = [str(word) for word in (reply.admin, reply.status) if word is not None]
    if reply.weight is not None:
        words.append(f"{reply.weight}%")
    if reply.maxconn is not None:
        words.append(f"maxconn:{reply.maxconn}")
    if not words:
        raise ValueError("the reply sets no value")
    if reply.reason:
        if not reply.reason.isprintable() or not reply.reason.isascii():
            raise ValueError(f"reason {reply.reason!r} is not printable ASCII")
        words.append(f"#{reply.reason}")
    return " ".join(words).encode("ascii") + b"\n"


class AgentReader:
    """Collects the first line of a reply from chunks, and ignores all data after it."""

    def __init__(self) -> None:
        self._line = bytearray()
        self.is_finished = False

    def feed(self, data: bytes) -> AgentReply | None:
        """Add a chunk; return the reply once its line is complete. Raise AgentError for an invalid reply."""
        if self.is_finished:
            return None
        self._line += data
        line_ends = [index for index in (self._line.find(b"\n"), self._line.find(b"\r")) if index >= 0]
        if line_ends:
            return self._parse_line(min(line_ends))
        if len(self._line) > MAX_REPLY_BYTES:
            self.is_finished = True
            raise AgentError(f"the reply has over {MAX_REPLY_BYTES} bytes without a line ending")
        return None

    def close(self) -> AgentReply | None:
        """Return the unterminated line as the reply once the agent has closed, as HAProxy does."""
        return None if self.is_finished else self._parse_line(len(self._line))

    def _parse_line(self, length: int) -> AgentReply:
        self.is_finished = True
        return parse(bytes(self._line[:length]))
