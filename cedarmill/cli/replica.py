"""The command `cedarmill replica`."""

import sys
from pathlib import Path

import click

from cedarmill.cli.options import LOG_FORMAT_OPTION, SETTINGS_FILE_OPTION

EXIT_CODES = (
    "Exit codes: 0 stopped by a signal, or formatted; 2 invalid input, or the replica could not start."
)


@click.command(epilog=EXIT_CODES)
@SETTINGS_FILE_OPTION
@click.option("--init", is_flag=True, help="Format the data folder for a new cluster, and exit.")
@click.option(
    "--restore",
    type=click.Path(dir_okay=False, path_type=Path),
    help="With --init: restore the state from a file written by `cluster backup`.",
)
@LOG_FORMAT_OPTION
def replica(path: str, init: bool, restore: Path | None, log_format: str) -> None:
    """Run one replica of the cluster's replicated log.

    Replicas agree on the permits, releases, budgets and traffic between zones that all nodes of the cluster
    follow. A cluster has one, three or five replicas; clients' requests never pass through them.

    \b
    Examples:
      cedarmill replica -c replica-0.xml --init
      cedarmill replica -c replica-0.xml --log-format json
      cedarmill replica -c replica-0.xml --init --restore cluster.backup
    """
    from cedarmill.conf.cluster import read_replica_settings
    from cedarmill.conf.document import ConfError
    from cedarmill.net.cluster.replica import main
    from cedarmill.net.cluster.replica_format import initialise

    options = read_replica_settings(path)
    if restore is not None and not init:
        raise ConfError("--restore requires --init: a backup can only be restored into an empty data folder")
    if not init:
        sys.exit(main(options, log_format))
    try:
        initialise(options, restore.read_bytes() if restore is not None else b"")
    except ValueError as error:
        raise ConfError(f"{restore or options.data}: {error}") from None
    click.echo(f"{options.data}: formatted for keeper {options.name} of cluster {options.cluster}")
