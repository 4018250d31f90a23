"""`cedarmill lab scale`: what a node needs as the number of executors grows, against stated bounds."""

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
    from cedarmill.lab.scale.report import Row

USUAL, LARGEST = 200, 3200


@lab.command(epilog="Exit codes: 0 all bounds hold; 1 one does not; 2 bad input or use.")
@click.option(
    "--executors",
    "sizes",
    type=click.IntRange(1, 4000),
    multiple=True,
    default=(USUAL, LARGEST),
    show_default=True,
    help="A size to play; may be given several times. 200, the usual size, is always played.",
)
@click.option("--scenario", "names", multiple=True, help="A scenario by its name; all, where none is given.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Runs of each.")
@click.option(
    "--seconds", type=click.FloatRange(1), default=15.0, show_default=True, help="Seconds of traffic."
)
@click.option("--at-once", type=click.IntRange(1), default=1, show_default=True, help="Runs side by side.")
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), help="Folder for table and plot.")
@click.option("--json", "as_json", is_flag=True, help="Print rows as JSON lines instead of a table.")
def scale(
    sizes: tuple[int, ...],
    names: tuple[str, ...],
    seeds: int,
    seconds: float,
    at_once: int,
    out: Path | None,
    as_json: bool,
) -> None:
    """Measure one node with few and with many executors.

    Each run starts one node between emulated executors, discovery and clients, and plays one scenario. CPU
    time, memory, connections, bytes of lists and the share served are compared with those at 200 executors.

    \b
    Examples:
      cedarmill lab scale
      cedarmill lab scale --executors 800 --seeds 3 --out found/scale
    """
    from cedarmill.lab.scale import report
    from cedarmill.lab.scale.run import ScalePlan, play
    from cedarmill.lab.scale.scenarios import SCENARIOS

    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        raise click.BadParameter(f"no scenario {unknown[0]!r}; there are {', '.join(SCENARIOS)}")
    plans = [
        ScalePlan(executors, name, seed, seconds)
        for name in names or SCENARIOS
        for executors in sorted({USUAL, *sizes})
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(at_once, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        found = report.rows(list(pool.map(play, plans)))
    _show(found, out, as_json)
    sys.exit(0 if all(row.comparison.holds for row in found) else 1)


def _show(found: "list[Row]", out: Path | None, as_json: bool) -> None:
    """Print the rows, and write table and plot where a folder is given."""
    from cedarmill.lab.scale import report

    table = report.table(found)
    click.echo("\n".join(json.dumps(asdict(row)) for row in found) if as_json else table)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "scale.md").write_text(table + "\n")
        report.plot(found, out / "scale.png")
