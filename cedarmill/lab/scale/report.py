"""Reports on runs with different numbers of executors: rows compared with the bounds, a table, a plot."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, fields
from pathlib import Path

from cedarmill.lab.scale.bounds import BASELINE_EXECUTORS, BOUNDS, Comparison, NodeMeasurements, compare
from cedarmill.lab.scale.run import ScaleResult
from cedarmill.lab.scale.scenarios import SNAPSHOT_ONLY_SCENARIOS


@dataclass(frozen=True, slots=True)
class ReportRow:
    """One measurement in one scenario at one size.

    The comparison holds medians over the seeds; `least` and `most` are the extremes. The field names are keys
    of the JSON output.
    """

    scenario: str
    executors: int
    comparison: Comparison
    least: float
    most: float


def median_measurements(results: Sequence[ScaleResult]) -> NodeMeasurements:
    """Return the median of each measurement over the results."""
    names = [field.name for field in fields(NodeMeasurements)]
    return NodeMeasurements(
        **{
            name: statistics.median(getattr(result.measurements, name) for result in results)
            for name in names
        }
    )


def compare_with_baseline(results: Sequence[ScaleResult]) -> list[ReportRow]:
    """Compare each scenario and size with the baseline size of the same scenario.

    Raises KeyError if a scenario was not run at the baseline size.
    """
    results_by_case: dict[tuple[str, int], list[ScaleResult]] = {}
    for result in results:
        results_by_case.setdefault((result.plan.scenario, result.plan.executor_count), []).append(result)
    report_rows = []
    for (scenario, executor_count), group in sorted(results_by_case.items()):
        baseline = median_measurements(results_by_case[scenario, BASELINE_EXECUTORS])
        for comparison in compare(
            baseline,
            median_measurements(group),
            executor_count,
            sends_changes=scenario not in SNAPSHOT_ONLY_SCENARIOS,
        ):
            measured = [getattr(result.measurements, comparison.field) for result in group]
            report_rows.append(ReportRow(scenario, executor_count, comparison, min(measured), max(measured)))
    return report_rows


def format_table(report_rows: Sequence[ReportRow]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| scenario | executors | need | usual | measured (least to most) | bound | holds |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in report_rows:
        comparison = row.comparison
        spread = f"{comparison.measured:.3g} ({row.least:.3g} to {row.most:.3g})"
        cells = (
            row.scenario,
            row.executors,
            comparison.label,
            f"{comparison.usual:.3g}",
            spread,
            f"{comparison.limit:.3g}",
        )
        lines.append(f"| {' | '.join(map(str, cells))} | {'yes' if comparison.holds else '**no**'} |")
    return "\n".join(lines)


def save_plot(report_rows: Sequence[ReportRow], path: Path) -> None:
    """Save one chart per measurement: values by number of executors and their bounds, a line per scenario."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    count = len(BOUNDS) + 1
    figure, axes = pyplot.subplots(count, 1, figsize=(7, 3 * count), layout="constrained")
    labels = list(dict.fromkeys(row.comparison.label for row in report_rows))
    for axis, label in zip(axes, labels, strict=True):
        for scenario in dict.fromkeys(row.scenario for row in report_rows):
            scenario_rows = [
                row for row in report_rows if row.scenario == scenario and row.comparison.label == label
            ]
            sizes = [row.executors for row in scenario_rows]
            axis.plot(sizes, [row.comparison.measured for row in scenario_rows], marker="o", label=scenario)
            axis.plot(sizes, [row.comparison.limit for row in scenario_rows], linestyle=":", color="grey")
        axis.set_ylabel(label)
        axis.set_xlabel("executors")
    axes[0].legend(fontsize="x-small")
    figure.savefig(path)
    pyplot.close(figure)
