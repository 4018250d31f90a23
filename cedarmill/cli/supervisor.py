"""`cedarmill supervisor`."""

import sys

import click

from cedarmill.cli.options import LOG_FORMAT, SETTINGS_FILE

EXIT_CODES = "Exit codes: 0 ended by a signal; 2 bad input, or it could not start."


@click.command(epilog=EXIT_CODES)
@SETTINGS_FILE
@LOG_FORMAT
def supervisor(path: str, log_format: str) -> None:
    """Run the process supervisor of one machine.

    It starts the processes that its settings name, holds their listening sockets, starts anew what has
    ended, and replaces processes by another version where a release of the cluster says so.

    \b
    Example:
      cedarmill supervisor -c supervisor-0.xml
    """
    from cedarmill.conf.cluster import read_supervisor_settings
    from cedarmill.net.cluster.supervisor import main

    sys.exit(main(read_supervisor_settings(path), log_format))
