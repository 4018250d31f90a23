"""Tests of the codecs of HAProxy's send-state header and of ORCA load reports."""

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


class ServerStateHeaderTest(unittest.TestCase):
    def test_example_of_the_haproxy_manual_is_parsed(self):
        view = parse_server_state("UP 2/3; name=bck/srv2; node=lb1; weight=1/2; scur=13/22; qcur=0")
        self.assertEqual(view, CheckerView(ServerState.UP, (2, 3), "bck/srv2", "lb1", (1, 2), (13, 22), 0))

    def test_each_state_is_parsed_and_unknown_fields_are_ignored(self):
        for state in ServerState:
            with self.subTest(state):
                self.assertEqual(parse_server_state(f"{state.lower()}; later=1").state, state)
        self.assertEqual(parse_server_state("NOLB").transition, None)

    def test_invalid_headers_are_rejected_with_a_one_line_message(self):
        broken = ("", "HALF 1/2", "UP x/3", "UP; weight=1", "UP; scur", "UP; qcur=-1", "UP " + "1" * 5000)
        for value in broken:
            with self.subTest(value[:20]), self.assertRaises(HealthHeaderError) as raised:
                parse_server_state(value)
            self.assertNotIn("\n", str(raised.exception))


class OrcaReportTest(unittest.TestCase):
    def test_text_and_json_forms_give_the_same_report(self):
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

    def test_unknown_names_are_ignored(self):
        found = parse_load_report("TEXT later=1, cpu_utilization=1")
        self.assertEqual(found, LoadReport(cpu_utilization=1.0))

    def test_invalid_reports_are_rejected(self):
        for value in ("BIN AAAA", "TEXT cpu_utilization", "TEXT eps=-1", "TEXT eps=nan", "JSON [1]",
                      'JSON {"eps": true}', "JSON {", "TEXT eps=inf"):  # fmt: skip
            with self.subTest(value), self.assertRaises(HealthHeaderError):
                parse_load_report(value)


class OrcaBinaryTest(unittest.TestCase):
    """The protobuf form, tested with bytes built from the field numbers of the definition."""

    @staticmethod
    def encoded(raw: bytes) -> str:
        return base64.b64encode(raw).decode()

    def test_each_field_is_parsed(self):
        def double(number: int, value: float) -> bytes:
            return bytes([number << 3 | 1]) + struct.pack("<d", value)

        entry = b"\x0a\x05slots" + double(2, 0.5)
        raw = double(1, 0.25) + double(2, 0.75) + double(6, 10.0) + double(7, 2.0) + double(9, 0.5)
        raw += bytes([5 << 3 | 2, len(entry)]) + entry + bytes([8 << 3 | 2, len(entry)]) + entry
        slots = {"slots": 0.5}
        report = LoadReport(0.25, 0.75, 0.5, 10.0, 2.0, slots, slots)
        self.assertEqual(parse_binary(self.encoded(raw)), report)

    def test_deprecated_rps_field_is_used_if_rps_fractional_is_absent(self):
        self.assertEqual(parse_binary(self.encoded(b"\x18\x07")).rps_fractional, 7.0)

    def test_unknown_fields_are_ignored_and_base64_padding_is_optional(self):
        raw = b"\x80\x01\x05" + b"\x11" + struct.pack("<d", 0.5)  # Field 16, then mem_utilization.
        self.assertEqual(parse_binary(self.encoded(raw).rstrip("=")), LoadReport(mem_utilization=0.5))

    def test_binary_form_gives_the_same_report_as_the_text_form(self):
        text = parse_load_report("TEXT cpu_utilization=0.3, eps=1, named_metrics.queue=4")
        self.assertEqual(parse_load_report("BIN " + render_binary(text)), text)

    def test_invalid_binary_reports_are_rejected(self):
        minus = self.encoded(b"\x09" + struct.pack("<d", -1.0))
        nan = self.encoded(b"\x09" + struct.pack("<d", float("nan")))
        for value in ("!", "AAAA", self.encoded(b"\x09\x00"), minus, nan, "A" * 5000):
            with self.subTest(value[:20]), self.assertRaises(HealthHeaderError) as raised:
                parse_binary(value)
            self.assertNotIn("\n", str(raised.exception))

    @given(st.binary(max_size=200))
    def test_random_bytes_are_parsed_or_rejected(self, raw):
        try:
            report = parse_binary(self.encoded(raw))
        except HealthHeaderError:
            return
        self.assertEqual(parse_binary(render_binary(report)), report)
