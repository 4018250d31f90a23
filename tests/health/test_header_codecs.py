"""Header-borne health: HAProxy's send-state header and ORCA load reports, as their definitions give them."""

import base64
import struct
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cedarmill.health.codecs.load import HealthHeaderError, LoadReport
from cedarmill.health.codecs.orca import parse_binary, render_binary
from cedarmill.health.codecs.state import (
    CheckerView,
    ServerState,
    parse_load_report,
    parse_server_state,
)


class ServerStateHeader(unittest.TestCase):
    def test_the_manual_s_example(self):
        view = parse_server_state("UP 2/3; name=bck/srv2; node=lb1; weight=1/2; scur=13/22; qcur=0")
        self.assertEqual(view, CheckerView(ServerState.UP, (2, 3), "bck/srv2", "lb1", (1, 2), (13, 22), 0))

    def test_each_state_and_unknown_fields(self):
        for state in ServerState:
            with self.subTest(state):
                self.assertEqual(parse_server_state(f"{state.lower()}; later=1").state, state)
        self.assertEqual(parse_server_state("NOLB").transition, None)

    def test_broken_headers_are_refused_in_one_line(self):
        broken = ("", "HALF 1/2", "UP x/3", "UP; weight=1", "UP; scur", "UP; qcur=-1", "UP " + "1" * 5000)
        for value in broken:
            with self.subTest(value[:20]), self.assertRaises(HealthHeaderError) as raised:
                parse_server_state(value)
            self.assertNotIn("\n", str(raised.exception))


class OrcaReports(unittest.TestCase):
    def test_text_and_json_say_the_same(self):
        text = parse_load_report(
            "TEXT cpu_utilization=0.3, mem_utilization=0.8, rps_fractional=10, "
            "named_metrics.queue=4, utilization.slots=0.5"
        )
        document = (
            '{"cpu_utilization": 0.3, "mem_utilization": 0.8, "rps_fractional": 10, '
            '"named_metrics": {"queue": 4}, "utilization": {"slots": 0.5}}'
        )
        json = parse_load_report("JSON " + document)
        self.assertEqual(text, json)
        self.assertEqual(text, LoadReport(0.3, 0.8, None, 10.0, None, {"queue": 4.0}, {"slots": 0.5}))

    def test_names_not_known_are_passed_over(self):
        found = parse_load_report("TEXT later=1, cpu_utilization=1")
        self.assertEqual(found, LoadReport(cpu_utilization=1.0))

    def test_bad_reports_are_refused(self):
        for value in ("BIN AAAA", "TEXT cpu_utilization", "TEXT eps=-1", "TEXT eps=nan", "JSON [1]",
                      'JSON {"eps": true}', "JSON {", "TEXT eps=inf"):  # fmt: skip
            with self.subTest(value), self.assertRaises(HealthHeaderError):
                parse_load_report(value)


class OrcaBinary(unittest.TestCase):
    """The protobuf form, against bytes written out by hand from the definition's field numbers."""

    @staticmethod
    def encoded(raw: bytes) -> str:
        return base64.b64encode(raw).decode()

    def test_fields_by_their_numbers(self):
        def double(number: int, value: float) -> bytes:
            return bytes([number << 3 | 1]) + struct.pack("<d", value)

        entry = b"\x0a\x05slots" + double(2, 0.5)
        raw = double(1, 0.25) + double(2, 0.75) + double(6, 10.0) + double(7, 2.0) + double(9, 0.5)
        raw += bytes([5 << 3 | 2, len(entry)]) + entry + bytes([8 << 3 | 2, len(entry)]) + entry
        slots = {"slots": 0.5}
        report = LoadReport(0.25, 0.75, 0.5, 10.0, 2.0, slots, slots)
        self.assertEqual(parse_binary(self.encoded(raw)), report)

    def test_the_old_whole_rate_counts_where_no_other_is_told(self):
        self.assertEqual(parse_binary(self.encoded(b"\x18\x07")).rps_fractional, 7.0)

    def test_numbers_not_known_are_passed_over_and_padding_may_be_left_out(self):
        raw = b"\x80\x01\x05" + b"\x11" + struct.pack("<d", 0.5)  # field 16, then mem_utilization
        self.assertEqual(parse_binary(self.encoded(raw).rstrip("=")), LoadReport(mem_utilization=0.5))

    def test_binary_text_and_json_say_the_same_wherever_they_come(self):
        text = parse_load_report("TEXT cpu_utilization=0.3, eps=1, named_metrics.queue=4")
        self.assertEqual(parse_load_report("BIN " + render_binary(text)), text)

    def test_bad_ones_are_refused(self):
        minus = self.encoded(b"\x09" + struct.pack("<d", -1.0))
        nan = self.encoded(b"\x09" + struct.pack("<d", float("nan")))
        for value in ("!", "AAAA", self.encoded(b"\x09\x00"), minus, nan, "A" * 5000):
            with self.subTest(value[:20]), self.assertRaises(HealthHeaderError) as raised:
                parse_binary(value)
            self.assertNotIn("\n", str(raised.exception))

    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_report_or_refused(self, raw):
        try:
            report = parse_binary(self.encoded(raw))
        except HealthHeaderError:
            return
        self.assertEqual(parse_binary(render_binary(report)), report)
