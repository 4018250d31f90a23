"""The commands `cedarmill lab run|list|report|cluster`."""

import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from cedarmill.cli.groups import add_with_old_name

if TYPE_CHECKING:
    from rich.table import Table

    from cedarmill.lab.cluster.report import Verdict
    from cedarmill.lab.history import History

PROGRESS_BAR_STEPS = 1000
MAX_PRINTED_BREACHES = 3  # per rule; the report lists all breaches

_SEED_OPTION = click.option(
    "--seed",
    type=click.IntRange(0),
    default=[1],
    multiple=True,
    show_default=True,
    help="Seed of the random numbers; may be repeated for several runs.",
)


@click.group()
def lab() -> None:
    """Test nodes and clusters in a laboratory on this machine.

    The laboratory starts real nodes on loopback sockets with emulated executors, discovery and clients,
    injects faults, and checks the recorded history against rules.
    """


@lab.command(name="list", epilog="Exit codes: 0 success.")
def list_scenarios() -> None:
    """List the scenarios shipped with the package, and their sides.

    \b
    Example:
      cedarmill lab list
    """
    from cedarmill.lab.scenario import read_scenario, shipped_scenarios

    for name in shipped_scenarios():
        scenario = read_scenario(name)
        sides = ", ".join(side.name for side in scenario.sides)
        click.echo(f"{name}: {scenario.about} ({scenario.length // 1_000_000} s; sides: {sides})")


@contextmanager
def _progress_bar(label: str) -> Iterator[Callable[[float], None]]:
    """Show a progress bar on standard error; yield a function that sets the finished share (0 to 1)."""
    with click.progressbar(length=PROGRESS_BAR_STEPS, label=label, file=sys.stderr) as bar:
        yield lambda finished_share: bar.update(int(finished_share * PROGRESS_BAR_STEPS) - bar.pos)
        bar.update(PROGRESS_BAR_STEPS - bar.pos)


@lab.command(epilog="Exit codes: 0 no rule is broken; 1 a rule is broken; 2 invalid input or usage.")
@click.argument("scenario")
@_SEED_OPTION
@click.option("--side", "side_names", multiple=True, help="Run only this side; may be repeated.")
@click.option(
    "-o",
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="Folder for the recorded runs and the report.",
)
def run(scenario: str, seed: tuple[int, ...], side_names: tuple[str, ...], out: Path) -> None:
    """Play SCENARIO, shipped or from a file, with one or a few nodes.

    The sides of a scenario differ in settings. Each side is played with each seed, one run after the other.

    \b
    Examples:
      cedarmill lab run rehearsal
      cedarmill lab run abandon --seed 1 --seed 2 --seed 3 --out found/abandon
      cedarmill lab run my.xml --side on
    """
    import msgspec

    from cedarmill.conf.document import ConfError
    from cedarmill.lab.run import play
    from cedarmill.lab.scenario import read_scenario

    loaded = read_scenario(scenario)
    sides = [side for side in loaded.sides if not side_names or side.name in side_names]
    if unknown := set(side_names) - {side.name for side in sides}:
        raise ConfError(f"{scenario}: no side named {sorted(unknown)[0]!r}")
    out.mkdir(parents=True, exist_ok=True)
    histories = []
    for run_seed in seed:
        for side in sides:
            with _progress_bar(f"{loaded.name} {side.name} seed {run_seed}") as progress:
                history = play(loaded, side, run_seed, progress)
            path = out / f"{loaded.name}-{side.name}-{run_seed}.json"
            path.write_bytes(msgspec.json.encode(history))
            histories.append(history)
    sys.exit(_report_histories(histories, out / f"{loaded.name}.html"))


@lab.command(epilog="Exit codes: 0 written, no rule is broken; 1 a rule is broken; 2 invalid input or usage.")
@click.argument("runs", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "-o",
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("report.html"),
    show_default=True,
    help="File to write.",
)
def report(runs: tuple[Path, ...], out: Path) -> None:
    """Write an HTML report with tables and plots of RUNS.

    RUNS are one or more files written by `lab run`; the report shows them side by side.

    \b
    Example:
      cedarmill lab report found/abandon/abandon-*-1.json -o abandon.html
    """
    import msgspec

    from cedarmill.conf.document import ConfError
    from cedarmill.lab.history import History

    histories = []
    for path in runs:
        try:
            histories.append(msgspec.json.decode(path.read_bytes(), type=History))
        except msgspec.MsgspecError as error:
            raise ConfError(f"{path}: not a recorded run of the laboratory: {error}") from None
    sys.exit(_report_histories(histories, out))


@click.command(
    epilog="Exit codes: 0 no invariant is broken; 1 an invariant is broken; 2 invalid input or usage."
)
@click.argument("scenario", required=False)
@click.option("--list", "list_only", is_flag=True, help="List the scenarios shipped with the package.")
@click.option("--nodes", type=click.IntRange(1, 200), help="Number of nodes, instead of the scenario's.")
@click.option(
    "--replicas",
    "--keepers",
    "replicas",
    type=click.Choice(["0", "1", "3", "5"]),
    help="Number of replicas, instead of the scenario's; --keepers is the old name.",
)
@_SEED_OPTION
@click.option(
    "-o",
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="Folder for histories, verdicts, logs and reports.",
)
def cluster(
    scenario: str | None,
    list_only: bool,
    nodes: int | None,
    replicas: str | None,
    seed: tuple[int, ...],
    out: Path,
) -> None:
    """Play SCENARIO with a cluster of many real processes.

    Faults are injected into processes, links and disks, and the history is checked against invariants.

    \b
    Examples:
      cedarmill lab cluster --list
      cedarmill lab cluster doors
      cedarmill lab cluster drains --nodes 12 --replicas 3 --seed 1 --seed 2 --out found/drains
    """
    from cedarmill.conf.document import ConfError
    from cedarmill.lab.cluster.scenario import read_scenario, shipped_scenarios

    if list_only:
        for name in shipped_scenarios():
            click.echo(f"{name}: {read_scenario(name).about}")
        return
    if scenario is None:
        raise ConfError("SCENARIO is required; --list shows the scenarios")
    options = (("nodes", nodes), ("replicas", replicas))
    layout_changes = {name: int(value) for name, value in options if value is not None}
    sys.exit(_print_verdicts(_play_clusters(scenario, layout_changes, seed, out), out))


def _play_clusters(
    scenario: str, layout_changes: dict[str, Any], seeds: Sequence[int], out: Path
) -> "list[Verdict]":
    """Play the scenario once per seed, with `layout_changes` applied to its layout; return the verdicts."""
    import dataclasses

    from cedarmill.lab.cluster import report as reports
    from cedarmill.lab.cluster.run import play
    from cedarmill.lab.cluster.scenario import read_scenario

    loaded = read_scenario(scenario)
    loaded = dataclasses.replace(loaded, layout=dataclasses.replace(loaded.layout, **layout_changes))
    verdicts = []
    for seed in seeds:
        folder = out / f"{loaded.name}-{seed}"
        with _progress_bar(f"{loaded.name} seed {seed}") as progress:
            record = play(loaded, seed, folder, progress)
        verdicts.append(reports.write_report(record, folder))
    return verdicts


add_with_old_name(lab, cluster, "fleet")


def _print_verdicts(verdicts: "Sequence[Verdict]", out: Path) -> int:
    """Print the table of verdicts and the breaches; return 1 if an invariant is broken, otherwise 0."""
    from rich.table import Table

    from cedarmill.lab.cluster.report import verdict_rows

    headings = (f"{verdict.scenario}\nseed {verdict.seed}" for verdict in verdicts)
    _print_table(Table("", *headings), verdict_rows(verdicts))
    for verdict in verdicts:
        for invariant, breaches in verdict.invariants.items():
            for breach in breaches[:MAX_PRINTED_BREACHES]:
                click.echo(f"seed {verdict.seed}: {invariant}: {breach}")
    click.echo(f"reports: {out}/*/report.html")
    return int(not all(verdict.kept for verdict in verdicts))


def _report_histories(histories: "Sequence[History]", path: Path) -> int:
    """Print the table and the breaches, and write the report; return 1 if a rule is broken, otherwise 0."""
    from rich.table import Table

    from cedarmill.lab import report as reports
    from cedarmill.lab.checker import check_history

    headings = (f"{history.side}\nseed {history.seed}" for history in histories)
    _print_table(Table("", *headings), reports.rows(histories))
    breach_count = 0
    for history in histories:
        label = f"{history.side} seed {history.seed}"
        if not history.kept_promise:
            click.echo(f"{label}: this machine was late by {history.lag / 1000:.0f} ms")
        for rule, breaches in check_history(history).items():
            breach_count += len(breaches)
            for breach in breaches[:MAX_PRINTED_BREACHES]:
                click.echo(f"{label}: {rule}: {breach}")
    path.write_text(reports.page(histories))
    click.echo(f"report: {path}")
    return int(breach_count > 0)


def _print_table(table: "Table", rows: Sequence[tuple[str, Sequence[str]]]) -> None:
    from rich.console import Console

    for name, cells in rows:
        table.add_row(name, *cells)
    Console().print(table)
