"""Tests of the resource bounds of a node with many executors, and short runs of every scenario."""

import unittest
from dataclasses import replace

from click.testing import CliRunner

from cedarmill.cli import main
from cedarmill.lab.scale import report
from cedarmill.lab.scale.bounds import NodeMeasurements, compare, violations
from cedarmill.lab.scale.run import ScalePlan, ScaleResult, execute_run
from cedarmill.lab.scale.scenarios import SCENARIOS

BASELINE = NodeMeasurements(
    cpu_s=1.0, peak_memory_mb=30.0, descriptors=80, connections=100, list_kb=32.0, share_served=1.0
)
AT_BOUND = NodeMeasurements(
    cpu_s=1.4 + 0.02 + 0.12 * 3.2,
    peak_memory_mb=45.0 + 8 + 4 * 3.2,
    descriptors=200,
    connections=290,
    list_kb=64.0 + 64 + 500 * 3.2,
    share_served=0.85,
)


class BoundsTest(unittest.TestCase):
    def test_measurements_at_every_bound_violate_none(self):
        self.assertEqual(violations(compare(BASELINE, AT_BOUND, 3200)), [])

    def test_each_measurement_over_its_bound_is_the_only_violation(self):
        values_over_bound = {
            "cpu_s": 1.81,
            "peak_memory_mb": 65.9,
            "descriptors": 201,
            "connections": 291,
            "list_kb": 1728.1,
            "share_served": 0.849,
        }
        for name, value in values_over_bound.items():
            with self.subTest(measurement=name):
                rows = violations(compare(BASELINE, replace(AT_BOUND, **{name: value}), 3200))
                self.assertEqual([row.field for row in rows], [name])

    def test_list_data_is_bounded_only_if_discovery_sends_changes(self):
        large_lists = replace(AT_BOUND, list_kb=1e6)
        self.assertEqual([row.field for row in violations(compare(BASELINE, large_lists, 3200))], ["list_kb"])
        self.assertEqual(violations(compare(BASELINE, large_lists, 3200, sends_changes=False)), [])

    def test_rows_compare_medians_with_the_baseline_size_of_the_same_scenario(self):
        def make_result(executor_count: int, seed: int, connections: int) -> ScaleResult:
            plan = ScalePlan(executor_count, "calm", seed)
            return ScaleResult(plan, replace(BASELINE, connections=connections), {}, 0, [])

        rows = report.compare_with_baseline(
            [
                make_result(200, 1, 100),
                make_result(3200, 1, 90),
                make_result(3200, 2, 300),
                make_result(3200, 3, 300),
            ]
        )
        row = next(row for row in rows if row.executors == 3200 and row.comparison.field == "connections")
        self.assertEqual((row.comparison.measured, row.least, row.most), (300, 90, 300))
        self.assertFalse(row.comparison.holds)
        self.assertIn(
            "| calm | 3200 | connections made | 100 | 300 (90 to 300) | 290 | **no** |",
            report.format_table(rows),
        )


class ShortRunTest(unittest.TestCase):
    """Each scenario with a real node: every request gets a response and the node exits with code 0."""

    def assert_scenario_succeeds(self, scenario: str) -> None:
        plan = ScalePlan(40, scenario, seed=1, duration_s=1.0, requests_per_second=20.0)
        result = execute_run(plan)
        self.assertEqual(result.exit_code, 0, result.log)
        self.assertFalse(
            [line for line in result.log if "Traceback" in line or " failed" in line], result.log
        )
        self.assertNotIn(0, result.status_counts, result.log)  # 0 counts requests without a response
        self.assertGreater(result.status_counts[200], 0)
        self.assertGreater(result.measurements.connections, 0)
        self.assertGreater(result.measurements.list_kb, 0)
        self.assertGreater(result.measurements.descriptors, 0)


for _scenario in SCENARIOS:
    setattr(
        ShortRunTest,
        f"test_{_scenario.replace('-', '_')}",
        lambda self, scenario=_scenario: self.assert_scenario_succeeds(scenario),
    )


class ScaleCommandTest(unittest.TestCase):
    def test_unknown_scenario_is_rejected_with_the_list_of_scenarios(self):
        invocation = CliRunner().invoke(main, ["lab", "scale", "--scenario", "storm"])
        self.assertEqual(invocation.exit_code, 2)
        self.assertIn("no scenario 'storm'; there are calm, replace", invocation.output)


if __name__ == "__main__":
    unittest.main()
