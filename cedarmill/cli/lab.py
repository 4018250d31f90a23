"""`cedarmill lab run|list|report`."""

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
    from cedarmill.lab.story import Story

    stories = []
    for path in runs:
        try:
            stories.append(msgspec.json.decode(path.read_bytes(), type=Story))
        except msgspec.MsgspecError as error:
            raise ConfError(f"{path}: no run of the laboratory: {error}") from None
    sys.exit(_tell(stories, out))


def _tell(stories: list, path: Path) -> int:
    """Print the table, write the report; 1 where a rule was broken."""
    from rich.console import Console
    from rich.table import Table

    from cedarmill.lab import report as reports
    from cedarmill.lab.judge import judge

    table = Table("", *(f"{story.side}\nseed {story.seed}" for story in stories))
    for name, cells in reports.rows(stories):
        table.add_row(name, *cells)
    Console().print(table)
    broken = 0
    for story in stories:
        if not story.kept_promise:
            click.echo(f"{story.side} seed {story.seed}: this machine was late by {story.lag / 1000:.0f} ms")
        for rule, found in judge(story).items():
            broken += len(found)
            for text in found[:3]:
                click.echo(f"{story.side} seed {story.seed}: {rule}: {text}")
    path.write_text(reports.page(stories))
    click.echo(f"report: {path}")
    return int(broken > 0)
