"""`cedarmill conf check|show|schema`."""

import click


@click.group()
def conf() -> None:
    """Check and show settings in XML (cedarmill.xml)."""


@conf.command(epilog="Exit codes: 0 the file is good; 2 it is not, said in one line.")
@click.argument("path", type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check the file PATH whole.

    The first mistake is named with its file, line and element.

    \b
    Example:
      cedarmill conf check deploy/cedarmill.xml
    """
    from cedarmill.conf.settings import Settings

    Settings(path)
    click.echo(f"{path}: good")


@conf.command(epilog="Exit codes: 0 shown; 2 the file is not good, said in one line.")
@click.argument("path", type=click.Path(dir_okay=False), required=False)
def show(path: str | None) -> None:
    """Print each setting that holds, and where it comes from.

    Without PATH all defaults.

    \b
    Examples:
      cedarmill conf show
      cedarmill conf show deploy/cedarmill.xml
    """
    from cedarmill.conf.settings import Settings

    held = Settings(path).effective
    names, values = (max(len(row[column]) for row in held) for column in (0, 1))
    for name, value, origin in held:
        click.echo(f"{name:<{names}}  {value:<{values}}  {origin}")


@conf.command(epilog="Exit codes: 0 printed.")
@click.argument(
    "name", metavar="[NAME]", type=click.Choice(["cedarmill", "scenario", "types"]), default="cedarmill"
)
def schema(name: str) -> None:
    """Print a schema, for editors that check while one types.

    NAME is cedarmill (settings of a node), scenario (of the laboratory) or types (what both use).

    \b
    Example:
      cedarmill conf schema cedarmill > cedarmill.xsd
    """
    from cedarmill.conf.document import SCHEMAS

    click.echo((SCHEMAS / f"{name}.xsd").read_text(), nl=False)
