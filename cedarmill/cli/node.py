"""`cedarmill node`."""

import sys

import click

from cedarmill.cli.options import LOG_FORMAT


@click.command(epilog="Exit codes: 0 ended by a signal; 2 it could not start, said in one line.")
@click.option(
    "-c",
    "--conf",
    "path",
    type=click.Path(dir_okay=False),
    help="Further settings, an XML file (see `conf`).",
)
@LOG_FORMAT
def node(path: str | None, log_format: str) -> None:
    """Run one node: it takes clients' requests and sends each to an executor.

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
