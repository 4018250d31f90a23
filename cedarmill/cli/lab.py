"""`cedarmill lab run|list|report|cluster`."""

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

PROGRESS_STEPS = 1000
MOST_BREACHES = 3  # that are printed of one rule; the report has all of them

_SEED = click.option(
    "--seed",
    type=click.IntRange(0),
    default=[1],
    multiple=True,
    show_default=True,
    help="What chance draws from; repeat it for several runs.",
)


@click.group()
def lab() -> None:
    """Try nodes and clusters in a laboratory on this machine.

    It starts real nodes on loopback sockets between emulated executors, discovery and clients, brings
    faults upon them, and checks what was served against rules.
    """


@lab.command(name="list", epilog="Exit codes: 0 listed.")
def list_scenarios() -> None:
    """Name the scenarios that the package ships, and their sides.

    \b
    Example:
      cedarmill lab list
    """
    from cedarmill.lab.scenario import read, shipped

    for name in shipped():
        scenario = read(name)
        sides = ", ".join(side.name for side in scenario.sides)
        click.echo(f"{name}: {scenario.about} ({scenario.length // 1_000_000} s; sides: {sides})")


@contextmanager
def _progress(label: str) -> Iterator[Callable[[float], None]]:
    """A bar on standard error; what it gives takes how much is done, from 0 to 1."""
    with click.progressbar(length=PROGRESS_STEPS, label=label, file=sys.stderr) as bar:
        yield lambda done: bar.update(int(done * PROGRESS_STEPS) - bar.pos)
        bar.update(PROGRESS_STEPS - bar.pos)


@lab.command(epilog="Exit codes: 0 all rules were kept; 1 a rule was broken; 2 bad input or use.")
@click.argument("scenario")
@_SEED
@click.option("--side", "names", multiple=True, help="Only this side; repeat it for several.")
@click.option(
    "-o",
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="The folder for the runs and the report.",
)
def run(scenario: str, seed: tuple[int, ...], names: tuple[str, ...], out: Path) -> None:
    """Play SCENARIO, shipped or from a file, with one node or a few.

    Its sides differ in settings; each is played with each seed, one after the other.

    \b
    Examples:
      cedarmill lab run rehearsal
      cedarmill lab run abandon --seed 1 --seed 2 --seed 3 --out found/abandon
      cedarmill lab run my.xml --side on
    """
    import msgspec

    from cedarmill.conf.document import ConfError
    from cedarmill.lab.run import play
    from cedarmill.lab.scenario import read

    read_in = read(scenario)
    sides = [side for side in read_in.sides if not names or side.name in names]
    if unknown := set(names) - {side.name for side in sides}:
        raise ConfError(f"{scenario}: no side {sorted(unknown)[0]!r}")
    out.mkdir(parents=True, exist_ok=True)
    histories = []
    for number in seed:
        for side in sides:
            with _progress(f"{read_in.name} {side.name} seed {number}") as progress:
                history = play(read_in, side, number, progress)
            path = out / f"{read_in.name}-{side.name}-{number}.json"
            path.write_bytes(msgspec.json.encode(history))
            histories.append(history)
    sys.exit(_report_histories(histories, out / f"{read_in.name}.html"))


@lab.command(epilog="Exit codes: 0 written, all rules were kept; 1 a rule was broken; 2 bad input or use.")
@click.argument("runs", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "-o",
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("report.html"),
    show_default=True,
    help="The file to write.",
)
def report(runs: tuple[Path, ...], out: Path) -> None:
    """Write an HTML file with tables and plots of one or several RUNS.

    RUNS are files that `lab run` wrote; they stand side by side.

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
            raise ConfError(f"{path}: no run of the laboratory: {error}") from None
    sys.exit(_report_histories(histories, out))


@click.command(epilog="Exit codes: 0 all invariants were kept; 1 one was broken; 2 bad input or use.")
@click.argument("scenario", required=False)
@click.option("--list", "listed", is_flag=True, help="Name the scenarios that the package ships.")
@click.option(
    "--nodes", type=click.IntRange(1, 200), help="How many nodes, instead of the scenario's number."
)
@click.option(
    "--replicas",
    "--keepers",
    "replicas",
    type=click.Choice(["0", "1", "3", "5"]),
    help="How many replicas, instead of the scenario's number; --keepers is the old name.",
)
@_SEED
@click.option(
    "-o",
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found"),
    show_default=True,
    help="The folder for histories, verdicts, logs and reports.",
)
def cluster(
    scenario: str | None,
    listed: bool,
    nodes: int | None,
    replicas: str | None,
    seed: tuple[int, ...],
    out: Path,
) -> None:
    """Play SCENARIO with a cluster of many real processes.

    Faults are brought upon processes, links and disks; invariants of the whole history are checked.

    \b
    Examples:
      cedarmill lab cluster --list
      cedarmill lab cluster doors
      cedarmill lab cluster drains --nodes 12 --replicas 3 --seed 1 --seed 2 --out found/drains
    """
    from cedarmill.conf.document import ConfError
    from cedarmill.lab.cluster.scenario import read, shipped

    if listed:
        for name in shipped():
            click.echo(f"{name}: {read(name).about}")
        return
    if scenario is None:
        raise ConfError("name a scenario, or ask with --list")
    given = (("nodes", nodes), ("replicas", replicas))
    changes = {name: int(value) for name, value in given if value is not None}
    sys.exit(_print_verdicts(_play_clusters(scenario, changes, seed, out), out))


def _play_clusters(
    scenario: str, changes: dict[str, Any], seeds: Sequence[int], out: Path
) -> "list[Verdict]":
    """Play the scenario with each seed, with other numbers of processes where `changes` names them."""
    import dataclasses

    from cedarmill.lab.cluster import report as reports
    from cedarmill.lab.cluster.run import play
    from cedarmill.lab.cluster.scenario import read

    read_in = read(scenario)
    read_in = dataclasses.replace(read_in, layout=dataclasses.replace(read_in.layout, **changes))
    verdicts = []
    for seed in seeds:
        folder = out / f"{read_in.name}-{seed}"
        with _progress(f"{read_in.name} seed {seed}") as progress:
            record = play(read_in, seed, folder, progress)
        verdicts.append(reports.write(record, folder))
    return verdicts


add_with_old_name(lab, cluster, "fleet")


def _print_verdicts(verdicts: "Sequence[Verdict]", out: Path) -> int:
    """Print the table and the breaches; 1 where an invariant was broken."""
    from rich.table import Table

    from cedarmill.lab.cluster.report import table

    heads = (f"{one.scenario}\nseed {one.seed}" for one in verdicts)
    _print_table(Table("", *heads), table(verdicts))
    for one in verdicts:
        for invariant, breaches in one.invariants.items():
            for text in breaches[:MOST_BREACHES]:
                click.echo(f"seed {one.seed}: {invariant}: {text}")
    click.echo(f"reports: {out}/*/report.html")
    return int(not all(one.kept for one in verdicts))


def _report_histories(histories: "Sequence[History]", path: Path) -> int:
    """Print the table and the breaches, write the report; 1 where a rule was broken."""
    from rich.table import Table

    from cedarmill.lab import report as reports
    from cedarmill.lab.checker import check_history

    heads = (f"{history.side}\nseed {history.seed}" for history in histories)
    _print_table(Table("", *heads), reports.rows(histories))
    broken = 0
    for history in histories:
        label = f"{history.side} seed {history.seed}"
        if not history.kept_promise:
            click.echo(f"{label}: this machine was late by {history.lag / 1000:.0f} ms")
        for rule, breaches in check_history(history).items():
            broken += len(breaches)
            for text in breaches[:MOST_BREACHES]:
                click.echo(f"{label}: {rule}: {text}")
    path.write_text(reports.page(histories))
    click.echo(f"report: {path}")
    return int(broken > 0)


def _print_table(table: "Table", rows: Sequence[tuple[str, Sequence[str]]]) -> None:
    from rich.console import Console

    for name, cells in rows:
        table.add_row(name, *cells)
    Console().print(table)
