"""The command `cedarmill lab scale`: checks the resource use of a node at growing numbers of executors."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cedarmill.cli.lab import lab

if TYPE_CHECKING:
    from cedarmill.lab.scale.report import ReportRow

BASELINE_EXECUTORS, MAX_DEFAULT_EXECUTORS = 200, 3200


@lab.command(epilog="Exit codes: 0 all bounds hold; 1 a bound is exceeded; 2 invalid input or usage.")
@click.option(
    "--executors",
    "sizes",
    type=click.IntRange(1, 4000),
    multiple=True,
    default=(BASELINE_EXECUTORS, MAX_DEFAULT_EXECUTORS),
    show_default=True,
    help="Number of executors; may be repeated. The baseline of 200 always runs.",
)
@click.option(
    "--scenario", "scenario_names", multiple=True, help="Name of a scenario, may be repeated; default: all."
)
@click.option(
    "--seeds", type=click.IntRange(1), default=1, show_default=True, help="Runs per scenario and size."
)
@click.option(
    "--seconds",
    type=click.FloatRange(1),
    default=15.0,
    show_default=True,
    help="Duration of the traffic, in seconds.",
)
@click.option(
    "--at-once", type=click.IntRange(1), default=1, show_default=True, help="Number of runs in parallel."
)
@click.option(
    "--out", type=click.Path(path_type=Path, file_okay=False), help="Folder for the table and the plot."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines instead of a table.")
def scale(
    sizes: tuple[int, ...],
    scenario_names: tuple[str, ...],
    seeds: int,
    seconds: float,
    at_once: int,
    out: Path | None,
    as_json: bool,
) -> None:
    """Measure one node with few and with many executors.

    Each run starts one node with emulated executors, discovery and clients, and plays one scenario. CPU
    time, memory, connections, list bytes and the share served are compared with those at 200 executors.

    \b
    Examples:
      cedarmill lab scale
      cedarmill lab scale --executors 800 --seeds 3 --out found/scale
    """
    from cedarmill.lab.scale import report
    from cedarmill.lab.scale.run import ScalePlan, execute_run
    from cedarmill.lab.scale.scenarios import SCENARIOS

    unknown = [name for name in scenario_names if name not in SCENARIOS]
    if unknown:
        raise click.BadParameter(f"no scenario {unknown[0]!r}; there are {', '.join(SCENARIOS)}")
    plans = [
        ScalePlan(executors, name, seed, seconds)
        for name in scenario_names or SCENARIOS
        for executors in sorted({BASELINE_EXECUTORS, *sizes})
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(at_once, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        rows = report.compare_with_baseline(list(pool.map(execute_run, plans)))
    _output_rows(rows, out, as_json)
    sys.exit(0 if all(row.comparison.holds for row in rows) else 1)


def _output_rows(rows: "list[ReportRow]", out: Path | None, as_json: bool) -> None:
    """Print the rows, and write the table and the plot to `out` if it is given."""
    from cedarmill.lab.scale import report

    table = report.format_table(rows)
    click.echo("\n".join(json.dumps(asdict(row)) for row in rows) if as_json else table)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "scale.md").write_text(table + "\n")
        report.save_plot(rows, out / "scale.png")
