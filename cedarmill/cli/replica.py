"""`cedarmill keeper` and `cedarmill steward`."""

import sys
from pathlib import Path

import click

from cedarmill.log import FORMATS

EXITS = "Exit codes: 0 ended by a signal; 2 bad input, or it could not start."
_CONF = click.option(
    "-c", "--conf", "path", required=True, type=click.Path(dir_okay=False), help="Its XML file."
)
_FORM = click.option("--log-format", type=click.Choice(FORMATS), default="text", show_default=True)


@click.command(epilog=EXITS)
@_CONF
@click.option("--init", is_flag=True, help="Format the disk for a new cluster, and end.")
@click.option(
    "--restore", type=click.Path(dir_okay=False, path_type=Path), help="With --init: begin from a backup."
)
@_FORM
def keeper(path: str, init: bool, restore: Path | None, log_format: str) -> None:
    """Run a keeper of the fleet's agreed log. It carries no reqs.

    \b
    Examples:
      cedarmill keeper -c keeper-0.xml --init
      cedarmill keeper -c keeper-0.xml --log-format json
      cedarmill keeper -c keeper-0.xml --init --restore fleet.backup
    """
    from cedarmill.conf.cluster import keeper as read
    from cedarmill.conf.document import ConfError
    from cedarmill.net.cluster.replica import initialise, main

    options = read(path)
    if restore is not None and not init:
        raise ConfError("--restore goes with --init: a keeper begins from a backup on an empty disk")
    if init:
        try:
            initialise(options, restore.read_bytes() if restore is not None else b"")
        except ValueError as error:
            raise ConfError(f"{restore or options.data}: {error}") from None
        click.echo(f"{options.data}: formatted for keeper {options.name} of cluster {options.cluster}")
        return
    sys.exit(main(options, log_format))


@click.command(epilog=EXITS)
@_CONF
@_FORM
def steward(path: str, log_format: str) -> None:
    """Run the steward of one machine: it starts, replaces and stops its units by the fleet's word.

    \b
    Example:
      cedarmill steward -c steward-0.xml
    """
    from cedarmill.conf.cluster import steward as read
    from cedarmill.net.cluster.supervisor import main

    sys.exit(main(read(path), log_format))
