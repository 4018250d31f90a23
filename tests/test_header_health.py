"""Header-borne health: HAProxy's send-state header and ORCA load reports, as their definitions give them."""

import unittest

from cedarmill.health.wire.state import (
    CheckerView,
    LoadReport,
    ServerState,
    StateError,
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
        self.assertEqual(parse_server_state("NOLB").going, None)

    def test_broken_headers_are_refused_in_one_line(self):
        broken = ("", "HALF 1/2", "UP x/3", "UP; weight=1", "UP; scur", "UP; qcur=-1", "UP " + "1" * 5000)
        for value in broken:
            with self.subTest(value[:20]), self.assertRaises(StateError) as raised:
                parse_server_state(value)
            self.assertNotIn("\n", str(raised.exception))


class OrcaReports(unittest.TestCase):
    def test_text_and_json_say_the_same(self):
        text = parse_load_report("TEXT cpu_utilization=0.3, mem_utilization=0.8, rps_fractional=10, "
                                 "named_metrics.queue=4, utilization.slots=0.5")
        document = ('{"cpu_utilization": 0.3, "mem_utilization": 0.8, "rps_fractional": 10, '
                    '"named_metrics": {"queue": 4}, "utilization": {"slots": 0.5}}')
        json = parse_load_report("JSON " + document)
        self.assertEqual(text, json)
        self.assertEqual(text, LoadReport(0.3, 0.8, None, 10.0, None, {"queue": 4.0}, {"slots": 0.5}))

    def test_names_not_known_are_passed_over(self):
        found = parse_load_report("TEXT later=1, cpu_utilization=1")
        self.assertEqual(found, LoadReport(cpu_utilization=1.0))

    def test_bad_reports_are_refused(self):
        for value in ("BIN AAAA", "TEXT cpu_utilization", "TEXT eps=-1", "TEXT eps=nan", "JSON [1]",
                      'JSON {"eps": true}', "JSON {", "TEXT eps=inf"):  # fmt: skip
            with self.subTest(value), self.assertRaises(StateError):
                parse_load_report(value)
