"""`cedarmill replica`."""

import sys
from pathlib import Path

import click

from cedarmill.cli.options import LOG_FORMAT, SETTINGS_FILE

EXIT_CODES = "Exit codes: 0 ended by a signal, or formatted; 2 bad input, or it could not start."


@click.command(epilog=EXIT_CODES)
@SETTINGS_FILE
@click.option("--init", is_flag=True, help="Format its data folder for a new cluster, and end.")
@click.option(
    "--restore",
    type=click.Path(dir_okay=False, path_type=Path),
    help="With --init: begin with the state in a file that `cluster backup` wrote.",
)
@LOG_FORMAT
def replica(path: str, init: bool, restore: Path | None, log_format: str) -> None:
    """Run one replica of the cluster's replicated log.

    Replicas agree on what all nodes of the cluster follow: permits, releases, traffic between zones,
    budgets. A cluster has one, three or five; clients' requests never pass through them.

    \b
    Examples:
      cedarmill replica -c replica-0.xml --init
      cedarmill replica -c replica-0.xml --log-format json
      cedarmill replica -c replica-0.xml --init --restore cluster.backup
    """
    from cedarmill.conf.cluster import read_replica_settings
    from cedarmill.conf.document import ConfError
    from cedarmill.net.cluster.replica import initialise, main

    options = read_replica_settings(path)
    if restore is not None and not init:
        raise ConfError("--restore goes with --init: a replica begins with a backup on an empty disk")
    if not init:
        sys.exit(main(options, log_format))
    try:
        initialise(options, restore.read_bytes() if restore is not None else b"")
    except ValueError as error:
        raise ConfError(f"{restore or options.data}: {error}") from None
    click.echo(f"{options.data}: formatted for keeper {options.name} of cluster {options.cluster}")
