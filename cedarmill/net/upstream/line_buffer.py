"""Splits an executor's answer into lines, and keeps the incomplete one in little more memory than its result.

JSON may take six bytes for one byte of the result. So once a line is long, the part of its result that has
come is decoded at once, and only its bytes are kept.
"""

import re
import sys
from typing import NamedTuple

import msgspec

from cedarmill.net.upstream.exchange_end import BreakReason, MalformedAnswer

MAX_RESULT_BYTES = 64 * 1024  # the largest body of the protocol
MAX_USUAL_LINE_BYTES = MAX_RESULT_BYTES + 16 * 1024  # with all other fields, its result decoded
MAX_LINE_BYTES = 256 * 1024  # beyond the protocol, but accepted
COMPACT_BYTES = 16 * 1024  # of a line that are kept as they came
LINE_END = b"\n"
UTF8_CONTINUATION_MASK, UTF8_CONTINUATION, UTF8_LEAD = 0xC0, 0x80, 0xC0
MAX_UTF8_BYTES = 4

# A line up to the begin of its result, if that is a string; other members may have objects without objects.
_STRING = rb'"(?:[^"\\]|\\.)*+"'
_FLAT_OBJECT = rb'\{(?:[^{}"]|' + _STRING + rb")*+\}"
_MEMBER = rb'\s*+(?!"result")' + _STRING + rb"\s*+:\s*+(?:" + _STRING + rb"|" + _FLAT_OBJECT
_MEMBER += rb'|[^\s",{}\[\]]++)\s*+,'
RESULT_START = re.compile(rb"\s*+\{(?:" + _MEMBER + rb')*+\s*+"result"\s*+:\s*+"', re.DOTALL)
# Whole characters of a JSON string; the two halves of a surrogate pair are one.
_SURROGATES = rb"[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
_CODE_UNIT = rb"[0-9a-cefA-CEF][0-9a-fA-F]{3}|[dD][0-7][0-9a-fA-F]{2}"
CHARACTERS = re.compile(
    rb'(?:[^"\\]++|\\["\\/bfnrt]|\\u(?:' + _CODE_UNIT + rb"|" + _SURROGATES + rb"))*+", re.DOTALL
)


class LineText(NamedTuple):
    """A whole line of JSON whose result may lack its begin, which is decoded already."""

    text: bytes
    result_start: bytes = b""
    result_at: int = 0  # where the string begins in `text` whose begin is in `result_start`

    def continues_with(self, result: bytes) -> bool:
        """Return whether `result` in `text` is the string whose begin is in `result_start`."""
        return self.text.startswith(result, self.result_at)


def whole_characters(text: bytes) -> int:
    """Return the length of the whole characters at the begin of a JSON string's text."""
    match = CHARACTERS.match(text)
    end = match.end() if match is not None else 0
    for _ in range(MAX_UTF8_BYTES):
        if not end or text[end - 1] & UTF8_CONTINUATION_MASK != UTF8_CONTINUATION:
            break
        end -= 1
    return end - 1 if end and text[end - 1] >= UTF8_LEAD else end


class LineBuffer:
    """The incomplete line of an answer; all other lines are returned as they end.

    A long line is kept in parts of similar size. One buffer that grows would leave gaps in the heap, of which
    many lines that grow at the same time cannot make use.
    """

    __slots__ = ("_compact_at", "_parts", "_parts_bytes", "_result_at", "_text")

    def __init__(self) -> None:
        self._begin_line(b"")

    def _begin_line(self, text: bytes) -> None:
        self._text = bytearray(text)  # the end of the line, and all before its result if `_result_at` is set
        self._parts: list[bytes] = []  # of the decoded result if `_result_at` is set, else of the text
        self._parts_bytes = 0
        self._result_at: int | None = None  # where the rest of the result begins in `_text`, if known
        self._compact_at = COMPACT_BYTES

    @property
    def allocated_bytes(self) -> int:
        """Return the memory that the incomplete line takes."""
        return sys.getsizeof(self._text) + self._parts_bytes

    @property
    def is_overlong(self) -> bool:
        """Return whether the incomplete line is longer than any that the protocol allows."""
        return self._size > MAX_USUAL_LINE_BYTES

    @property
    def _size(self) -> int:
        return len(self._text) + self._parts_bytes

    def feed(self, data: bytes) -> list[LineText]:
        """Add bytes and return the lines that they complete; raise ValueError for an unusable line."""
        if LINE_END in data:  # searches only the new bytes, since an answer may arrive in many small pieces
            return self._take_lines(data)
        self._text += data
        if len(self._text) >= self._compact_at:
            self._compact()
        if self._size > MAX_LINE_BYTES:
            raise MalformedAnswer(BreakReason.LINE_TOO_LONG)
        return []

    def incomplete_line(self) -> LineText:
        """Return the line that has not ended."""
        return self._to_line(bytes(self._text))

    def _to_line(self, text: bytes) -> LineText:
        """Return the line that ends with `text`."""
        start = b"".join(self._parts)
        return (
            LineText(start + text) if self._result_at is None else LineText(text, start, self._result_at - 1)
        )

    def _take_lines(self, data: bytes) -> list[LineText]:
        first, *others = data.split(LINE_END)  # one split for all lines, which may be many
        rest = others.pop()
        has_begun = self._text or self._parts
        lines = [self._to_line(bytes(self._text) + first) if has_begun else LineText(first)]
        lines += map(LineText, others)
        if rest or has_begun:
            self._begin_line(rest)
        return lines

    def _compact(self) -> None:
        """Move the text that has come into a part, decoded if it belongs to a result that is a string."""
        if not self._parts and (match := RESULT_START.match(self._text)) is not None:
            self._result_at = match.end()
        start = self._result_at or 0
        text = bytes(self._text[start:])
        if self._result_at is None:
            self._add_part(text)
        else:
            text = text[: whole_characters(text)]
            self._add_part(msgspec.json.decode(b'"%s"' % text, type=str).encode())
        del self._text[start : start + len(text)]
        self._compact_at = len(self._text) + COMPACT_BYTES

    def _add_part(self, part: bytes) -> None:
        self._parts.append(part)
        self._parts_bytes += len(part)
