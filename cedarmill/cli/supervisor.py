"""The command `cedarmill supervisor`."""

import sys

import click

from cedarmill.cli.options import LOG_FORMAT_OPTION, SETTINGS_FILE_OPTION

EXIT_CODES = "Exit codes: 0 stopped by a signal; 2 invalid input, or the supervisor could not start."


@click.command(epilog=EXIT_CODES)
@SETTINGS_FILE_OPTION
@LOG_FORMAT_OPTION
def supervisor(path: str, log_format: str) -> None:
    """Run the process supervisor of one machine.

    It starts the processes named in its settings, holds their listening sockets, restarts processes that
    have exited, and replaces processes by another version when a release of the cluster requires it.

    \b
    Example:
      cedarmill supervisor -c supervisor-0.xml
    """
    from cedarmill.conf.cluster import read_supervisor_settings
    from cedarmill.net.cluster.supervisor import main

    sys.exit(main(read_supervisor_settings(path), log_format))
