"""Options shared by the commands that start a process."""

import click

from cedarmill.log import FORMATS

SETTINGS_FILE_OPTION = click.option(
    "-c", "--conf", "path", required=True, type=click.Path(dir_okay=False), help="XML file with its settings."
)
LOG_FORMAT_OPTION = click.option(
    "--log-format",
    type=click.Choice(FORMATS),
    default="text",
    show_default=True,
    help="Format of the log on standard error.",
)
