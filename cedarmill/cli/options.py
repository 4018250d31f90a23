"""Options that the commands which start a process share."""

import click

from cedarmill.log import FORMATS

SETTINGS_FILE = click.option(
    "-c", "--conf", "path", required=True, type=click.Path(dir_okay=False), help="Its settings, an XML file."
)
LOG_FORMAT = click.option(
    "--log-format",
    type=click.Choice(FORMATS),
    default="text",
    show_default=True,
    help="How to write the log to standard error.",
)
