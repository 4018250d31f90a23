"""The commands `cedarmill conf check|show|schema`."""

import click


@click.group()
def conf() -> None:
    """Check and show settings in XML (cedarmill.xml)."""


@conf.command(epilog="Exit codes: 0 the file is valid; 2 it is not, with a one-line error.")
@click.argument("path", type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Validate the whole settings file PATH.

    The first error is reported with its file, line and element.

    \b
    Example:
      cedarmill conf check deploy/cedarmill.xml
    """
    from cedarmill.conf.settings import Settings

    Settings(path)
    click.echo(f"{path}: good")


@conf.command(epilog="Exit codes: 0 printed; 2 the file is not valid, with a one-line error.")
@click.argument("path", type=click.Path(dir_okay=False), required=False)
def show(path: str | None) -> None:
    """Print each effective setting and its origin.

    Without PATH, the defaults are printed.

    \b
    Examples:
      cedarmill conf show
      cedarmill conf show deploy/cedarmill.xml
    """
    from cedarmill.conf.settings import Settings

    settings = Settings(path).effective
    name_width, value_width = (max(len(row[column]) for row in settings) for column in (0, 1))
    for name, value, origin in settings:
        click.echo(f"{name:<{name_width}}  {value:<{value_width}}  {origin}")


@conf.command(epilog="Exit codes: 0 printed.")
@click.argument(
    "name", metavar="[NAME]", type=click.Choice(["cedarmill", "scenario", "types"]), default="cedarmill"
)
def schema(name: str) -> None:
    """Print an XML schema, for editors that validate while typing.

    NAME is cedarmill (settings of a node), scenario (of the laboratory) or types (shared by both).

    \b
    Example:
      cedarmill conf schema cedarmill > cedarmill.xsd
    """
    from cedarmill.conf.document import SCHEMA_DIRECTORY

    click.echo((SCHEMA_DIRECTORY / f"{name}.xsd").read_text(), nl=False)
