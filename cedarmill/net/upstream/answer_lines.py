"""The JSON lines of an executor's answer to an attempt."""

import msgspec

from cedarmill.decisions.interface import Outcome

# Final states of an attempt other than "done".
OUTCOME_BY_FINAL_STATE = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


class AttemptLine(msgspec.Struct):
    """One line of an executor's answer."""

    state: str
    id: str = ""
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")
    load: dict[str, float] | None = None

    def result_text(self) -> bytes:
        """Return the result as the body of the client's answer."""
        text = bytes(self.result)
        return msgspec.json.decode(text, type=str).encode() if text[:1] == b'"' else text


_LINE_DECODER = msgspec.json.Decoder(AttemptLine)


def decode_line(text: bytes, call_id: str) -> AttemptLine:
    """Decode a line of the answer to the request `call_id`; raise ValueError for any other line."""
    line = _LINE_DECODER.decode(text)
    if line.id and line.id != call_id:
        raise ValueError("answer line names another request")
    return line
