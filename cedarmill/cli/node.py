"""The command `cedarmill node`."""

import sys

import click

from cedarmill.cli.options import LOG_FORMAT_OPTION


@click.command(epilog="Exit codes: 0 stopped by a signal; 2 the node could not start, with a one-line error.")
@click.option(
    "-c",
    "--conf",
    "path",
    type=click.Path(dir_okay=False),
    help="XML file with further settings (see `conf`).",
)
@LOG_FORMAT_OPTION
def node(path: str | None, log_format: str) -> None:
    """Run one node, which forwards clients' requests to executors.

    The environment variable LB_CONFIG names the node's configuration (JSON).

    \b
    Examples:
      LB_CONFIG=example/config.json cedarmill node
      LB_CONFIG=node.json cedarmill node -c deploy/cedarmill.xml --log-format json
    """
    from cedarmill.net.node import main
    from cedarmill.values import Options

    options = Options()
    if path is not None:
        from cedarmill.conf.settings import Settings

        options = Settings(path).options
    sys.exit(main(log_format, options))
