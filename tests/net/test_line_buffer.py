"""Lines of an answer come out of the buffer as they went in, however they are cut and escaped."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarmill.net.upstream.answer_lines import decode_line
from cedarmill.net.upstream.line_buffer import COMPACT_BYTES, LineBuffer

PIECES = ("a" * 500, '"', "\\", "\\u", "\u00e9", "\u4e2d", "\U0001f600", "\n", "\x01", "/", '{"result":', "}")
LONG = 3 * COMPACT_BYTES


def served(line: bytes, step: int) -> bytes:
    """Return the result of the only line that a buffer returns for this input in reads of `step` bytes."""
    buffer, lines = LineBuffer(), []
    for start in range(0, len(line), step):
        lines += buffer.feed(line[start : start + step])
    (line_text,) = lines
    return decode_line(line_text, "c1").result_text(line_text.result_start)


class Results(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from(PIECES), min_size=1, max_size=6),
        st.permutations(("id", "state", "from", "load", "result")),
        st.booleans(),
        st.integers(97, 2000),
    )
    def test_a_long_result_is_the_same_however_it_comes(self, pieces, names, ensure_ascii, step):
        """Guards against a result that no executor gave."""
        result = "".join(pieces) * (LONG // len("".join(pieces)) + 1)
        fields = {"id": "c1", "state": "done", "from": 's}"{\\', "load": {"x{": 1.5}, "result": result}
        line = json.dumps({name: fields[name] for name in names}, ensure_ascii=ensure_ascii) + "\n"
        self.assertEqual(served(line.encode(), step), result.encode())

    def test_a_line_with_two_results_is_malformed(self):
        long = "a" * LONG
        for key in ("result", "r\\u0065sult"):
            line = f'{{"id":"c1","state":"done","result":"{long}","{key}":"b"}}\n'
            with self.subTest(key), self.assertRaises(ValueError):
                served(line.encode(), 1000)

    def test_a_result_that_is_no_string_is_kept_as_it_came(self):
        value = json.dumps({"a": ["\u00e9" * (LONG // 2)]})
        line = f'{{"id":"c1","state":"done","result":{value}}}'
        for step in (1000, COMPACT_BYTES, len(line)):  # the end of the line comes alone with the last
            with self.subTest(step=step):
                self.assertEqual(served(line.encode() + b"\n", step), value.encode())

    def test_an_escaped_result_takes_no_more_memory_than_its_bytes(self):
        buffer, line = LineBuffer(), b'{"id":"c1","state":"done","result":"' + b"\\u0001" * 65_536
        for start in range(0, len(line), 1000):
            buffer.feed(line[start : start + 1000])
            self.assertLess(buffer.allocated_bytes, 65_536 + 2 * COMPACT_BYTES)


if __name__ == "__main__":
    unittest.main()
