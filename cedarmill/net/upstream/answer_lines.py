"""The JSON lines of an executor's answer to an attempt.

A line without a field that the protocol requires is malformed: no default is taken for the executor's word.
"""

import sys

import msgspec

from cedarmill.decisions.interface import Outcome
from cedarmill.net.upstream.exchange_end import BreakReason, MalformedAnswer

# Final states of an attempt other than "done".
OUTCOME_BY_FINAL_STATE = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
NO_RESULT = (b"", b"null")
MAX_RESULT_BYTES = 64 * 1024  # the largest body of the protocol
OTHER_FIELDS_BYTES = 16 * 1024  # all other fields of a line
MAX_USUAL_LINE_BYTES = MAX_RESULT_BYTES + OTHER_FIELDS_BYTES  # without escapes
MAX_UNESCAPED_BYTES = 256 * 1024  # of a line without its escapes; beyond the protocol, but accepted
LINE_END = b"\n"
ESCAPE = b"\\"
MAX_ESCAPE_GROWTH_BYTES = 5  # the escape \u0001 takes six bytes for one
MAX_LINE_BYTES = MAX_USUAL_LINE_BYTES + MAX_RESULT_BYTES * MAX_ESCAPE_GROWTH_BYTES


class AttemptLine(msgspec.Struct):
    """One line of an executor's answer."""

    state: str
    id: str = ""  # empty only if the line has none
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")  # empty only if the line has none
    load: dict[str, float] | None = None

    def result_text(self) -> bytes:
        """Return the result as the body of the client's answer; raise MalformedAnswer if there is none."""
        text = bytes(self.result)
        if text in NO_RESULT:
            raise MalformedAnswer(BreakReason.RESULT_MISSING)
        return msgspec.json.decode(text, type=str).encode() if text[:1] == b'"' else text


class LineBuffer:
    """Splits an answer into lines, and keeps the incomplete one within its limits.

    JSON may take six bytes for one of the result, so a limit on the bytes alone would let an unescaped line
    take six times as much as any answer needs.
    """

    __slots__ = ("_escape_count", "_text")

    def __init__(self) -> None:
        self._text = bytearray()
        self._escape_count = 0  # upper bound of the escapes in `_text`

    @property
    def allocated_bytes(self) -> int:
        """Return the memory that the incomplete line takes."""
        return sys.getsizeof(self._text)

    @property
    def incomplete_line(self) -> bytes:
        """Return the line that has not ended."""
        return bytes(self._text)

    @property
    def is_overlong(self) -> bool:
        """Return whether the incomplete line is longer than any that the protocol allows."""
        return self._unescaped_bytes > MAX_USUAL_LINE_BYTES

    @property
    def _unescaped_bytes(self) -> int:
        """Return a lower bound of the incomplete line's length without escapes."""
        return len(self._text) - self._escape_count * MAX_ESCAPE_GROWTH_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the lines that they complete; raise MalformedAnswer for a line too long."""
        self._text += data
        self._escape_count += data.count(ESCAPE)
        if LINE_END in data:  # searches only the new bytes, since an answer may arrive in many small pieces
            *lines, rest = bytes(self._text).split(LINE_END)  # one split for all lines, which may be many
            self._text, self._escape_count = bytearray(rest), rest.count(ESCAPE)
            return lines
        if len(self._text) > MAX_LINE_BYTES or self._unescaped_bytes > MAX_UNESCAPED_BYTES:
            raise MalformedAnswer(BreakReason.LINE_TOO_LONG)
        return []


_LINE_DECODER = msgspec.json.Decoder(AttemptLine)


def decode_line(text: bytes, call_id: str) -> AttemptLine:
    """Decode a line of the answer to the request `call_id`; raise ValueError for any other line."""
    line = _LINE_DECODER.decode(text)
    if not line.id:
        raise MalformedAnswer(BreakReason.ID_MISSING)
    if line.id != call_id:
        raise ValueError("answer line names another request")
    return line
