"""`cedarmill lab run|list|report|fleet`."""

import sys
from pathlib import Path

import click


@click.group()
def lab() -> None:
    """The laboratory: boxes, clients and faults on loopback sockets, real nodes between them."""


@lab.command(name="list", epilog="Exit codes: 0 listed.")
def list_() -> None:
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


@lab.command(epilog="Exit codes: 0 all rules were kept; 1 a rule was broken; 2 bad input or use.")
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=[1], multiple=True, show_default=True,
              help="Repeat it for several runs.")  # fmt: skip
@click.option("--side", "names", multiple=True, help="Only this side; repeat it for several.")
@click.option("-o", "--out", type=click.Path(file_okay=False, path_type=Path), default=Path("found"),
              show_default=True, help="The folder for the runs and the report.")  # fmt: skip
def run(scenario: str, seed: tuple[int, ...], names: tuple[str, ...], out: Path) -> None:
    """Play a scenario, shipped or from a file: each side with each seed, one after the other.

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
    stories = []
    for number in seed:
        for side in sides:
            with click.progressbar(length=1000, label=f"{read_in.name} {side.name} seed {number}",
                                   file=sys.stderr) as bar:  # fmt: skip
                story = play(
                    read_in, side, number, lambda done, bar=bar: bar.update(int(done * 1000) - bar.pos)
                )
                bar.update(1000 - bar.pos)
            path = out / f"{read_in.name}-{side.name}-{number}.json"
            path.write_bytes(msgspec.json.encode(story))
            stories.append(story)
    sys.exit(_tell(stories, out / f"{read_in.name}.html"))


@lab.command(epilog="Exit codes: 0 written, all rules were kept; 1 a rule was broken; 2 bad input or use.")
@click.argument("runs", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option("-o", "--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("report.html"),
              show_default=True)  # fmt: skip
def report(runs: tuple[Path, ...], out: Path) -> None:
    """Write one HTML file with tables and plots, for one run or several side by side.

    \b
    Example:
      cedarmill lab report found/abandon/abandon-*-1.json -o abandon.html
    """
    import msgspec

    from cedarmill.conf.document import ConfError
    from cedarmill.lab.history import History

    stories = []
    for path in runs:
        try:
            stories.append(msgspec.json.decode(path.read_bytes(), type=History))
        except msgspec.MsgspecError as error:
            raise ConfError(f"{path}: no run of the laboratory: {error}") from None
    sys.exit(_tell(stories, out))


@lab.command(epilog="Exit codes: 0 all laws were kept; 1 one was broken; 2 bad input or use.")
@click.argument("scenario", required=False)
@click.option("--list", "listed", is_flag=True, help="Name the scenarios that the package ships.")
@click.option("--nodes", type=click.IntRange(1, 200), help="Instead of the scenario's number.")
@click.option("--keepers", type=click.Choice(["0", "1", "3", "5"]), help="Instead of the scenario's number.")
@click.option("--seed", type=click.IntRange(0), default=[1], multiple=True, show_default=True,
              help="Repeat it for several runs.")  # fmt: skip
@click.option("-o", "--out", type=click.Path(file_okay=False, path_type=Path), default=Path("found"),
              show_default=True, help="The folder for histories, verdicts, logs and reports.")  # fmt: skip
def fleet(scenario: str | None, listed: bool, nodes: int | None, keepers: str | None, seed: tuple[int, ...],
          out: Path) -> None:  # fmt: skip
    """Play a scenario of many real processes with faults between them.

    \b
    Examples:
      cedarmill lab fleet --list
      cedarmill lab fleet doors
      cedarmill lab fleet drains --nodes 12 --keepers 3 --seed 1 --seed 2 --out found/drains
    """
    import dataclasses

    from cedarmill.conf.document import ConfError
    from cedarmill.lab.cluster import report as reports
    from cedarmill.lab.cluster.run import play
    from cedarmill.lab.cluster.scenario import read, shipped

    if listed:
        for name in shipped():
            click.echo(f"{name}: {read(name).about}")
        return
    if scenario is None:
        raise ConfError("name a scenario, or ask with --list")
    read_in = read(scenario)
    changes = {
        name: int(value) for name, value in (("nodes", nodes), ("replicas", keepers)) if value is not None
    }
    read_in = dataclasses.replace(read_in, layout=dataclasses.replace(read_in.layout, **changes))
    verdicts = []
    for number in seed:
        folder = out / f"{read_in.name}-{number}"
        with click.progressbar(length=1000, label=f"{read_in.name} seed {number}", file=sys.stderr) as bar:
            record = play(
                read_in, number, folder, lambda done, bar=bar: bar.update(int(done * 1000) - bar.pos)
            )
        verdicts.append(reports.write(record, folder))
    sys.exit(_tell_fleet(verdicts, out))


def _tell_fleet(verdicts: list, out: Path) -> int:
    """Print the table and the breaches; 1 where a law was broken."""
    from rich.console import Console
    from rich.table import Table

    from cedarmill.lab.cluster.report import table

    rows = Table("", *(f"{one.scenario}\nseed {one.seed}" for one in verdicts))
    for name, cells in table(verdicts):
        rows.add_row(name, *cells)
    Console().print(rows)
    for one in verdicts:
        for law, texts in one.invariants.items():
            for text in texts[:3]:
                click.echo(f"seed {one.seed}: {law}: {text}")
    click.echo(f"reports: {out}/*/report.html")
    return int(not all(one.kept for one in verdicts))


def _tell(stories: list, path: Path) -> int:
    """Print the table, write the report; 1 where a rule was broken."""
    from rich.console import Console
    from rich.table import Table

    from cedarmill.lab import report as reports
    from cedarmill.lab.checker import check_history

    table = Table("", *(f"{story.side}\nseed {story.seed}" for story in stories))
    for name, cells in reports.rows(stories):
        table.add_row(name, *cells)
    Console().print(table)
    broken = 0
    for story in stories:
        if not story.kept_promise:
            click.echo(f"{story.side} seed {story.seed}: this machine was late by {story.lag / 1000:.0f} ms")
        for rule, found in check_history(story).items():
            broken += len(found)
            for text in found[:3]:
                click.echo(f"{story.side} seed {story.seed}: {rule}: {text}")
    path.write_text(reports.page(stories))
    click.echo(f"report: {path}")
    return int(broken > 0)
