"""The JSON lines of an executor's answer to an attempt.

A line without a field that the protocol requires is malformed: no default is taken for the executor's word.
"""

import msgspec

from cedarmill.decisions.interface import Outcome
from cedarmill.net.upstream.exchange_end import BreakReason, MalformedAnswer
from cedarmill.net.upstream.line_buffer import LineText

# Final states of an attempt other than "done".
OUTCOME_BY_FINAL_STATE = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
NO_RESULT = (b"", b"null")


class AttemptLine(msgspec.Struct):
    """One line of an executor's answer."""

    state: str
    id: str = ""  # empty only if the line has none
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")  # empty only if the line has none
    load: dict[str, float] | None = None

    def result_text(self, result_start: bytes = b"") -> bytes:
        """Return the result as the body of the client's answer; raise MalformedAnswer if there is none.

        `result_start`: the begin of a string that was decoded before the line had ended.
        """
        text = bytes(self.result)
        if text in NO_RESULT:
            raise MalformedAnswer(BreakReason.RESULT_MISSING)
        if text[:1] == b'"':
            return result_start + msgspec.json.decode(text, type=str).encode()
        return text


_LINE_DECODER = msgspec.json.Decoder(AttemptLine)


def decode_line(line_text: LineText, call_id: str) -> AttemptLine:
    """Decode a line of the answer to the request `call_id`; raise ValueError for any other line."""
    line = _LINE_DECODER.decode(line_text.text)
    if line_text.result_start and not line_text.continues_with(bytes(line.result)):
        raise ValueError("a line with two results")
    if not line.id:
        raise MalformedAnswer(BreakReason.ID_MISSING)
    if line.id != call_id:
        raise ValueError("answer line names another request")
    return line
