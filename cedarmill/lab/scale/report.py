"""What runs at several sizes come to: rows against the bounds, a table, a plot."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, fields
from pathlib import Path

from cedarmill.lab.scale.bounds import BOUNDS, USUAL_EXECUTORS, Comparison, Needs, compare
from cedarmill.lab.scale.run import ScaleResult
from cedarmill.lab.scale.scenarios import WHOLE_LIST_SCENARIOS


@dataclass(frozen=True, slots=True)
class Row:
    """One need in one scenario at one size: medians over the seeds, and the spread of what was measured."""

    scenario: str
    executors: int
    comparison: Comparison
    least: float
    most: float


def median_needs(results: Sequence[ScaleResult]) -> Needs:
    """The median of each need."""
    names = [field.name for field in fields(Needs)]
    return Needs(
        **{name: statistics.median(getattr(result.needs, name) for result in results) for name in names}
    )


def rows(results: Sequence[ScaleResult]) -> list[Row]:
    """Every scenario and size against the usual size of the same scenario.

    Raises KeyError where the usual size was not played.
    """
    groups: dict[tuple[str, int], list[ScaleResult]] = {}
    for result in results:
        groups.setdefault((result.plan.scenario, result.plan.executors), []).append(result)
    found = []
    for (scenario, executors), group in sorted(groups.items()):
        usual = median_needs(groups[scenario, USUAL_EXECUTORS])
        for comparison in compare(
            usual, median_needs(group), executors, tells_changes=scenario not in WHOLE_LIST_SCENARIOS
        ):
            measured = [getattr(result.needs, comparison.field) for result in group]
            found.append(Row(scenario, executors, comparison, min(measured), max(measured)))
    return found


def table(found: Sequence[Row]) -> str:
    """The rows as a Markdown table."""
    lines = [
        "| scenario | executors | need | usual | measured (least to most) | bound | holds |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in found:
        one = row.comparison
        spread = f"{one.measured:.3g} ({row.least:.3g} to {row.most:.3g})"
        cells = (row.scenario, row.executors, one.label, f"{one.usual:.3g}", spread, f"{one.limit:.3g}")
        lines.append(f"| {' | '.join(map(str, cells))} | {'yes' if one.holds else '**no**'} |")
    return "\n".join(lines)


def plot(found: Sequence[Row], path: Path) -> None:
    """One picture a need: what was measured by size, a line a scenario, and the bound of the calm one."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    count = len(BOUNDS) + 1
    figure, axes = pyplot.subplots(count, 1, figsize=(7, 3 * count), layout="constrained")
    labels = list(dict.fromkeys(row.comparison.label for row in found))
    for axis, label in zip(axes, labels, strict=True):
        for scenario in dict.fromkeys(row.scenario for row in found):
            mine = [row for row in found if row.scenario == scenario and row.comparison.label == label]
            sizes = [row.executors for row in mine]
            axis.plot(sizes, [row.comparison.measured for row in mine], marker="o", label=scenario)
            axis.plot(sizes, [row.comparison.limit for row in mine], linestyle=":", color="grey")
        axis.set_ylabel(label)
        axis.set_xlabel("executors")
    axes[0].legend(fontsize="x-small")
    figure.savefig(path)
    pyplot.close(figure)
