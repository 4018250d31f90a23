"""`cedarmill node`."""

import sys

import click

from cedarmill.log import FORMATS


@click.command(epilog="Exit codes: 0 ended by a signal; 2 it could not start, said in one line.")
@click.option("-c", "--conf", "path", type=click.Path(dir_okay=False), help="Our own settings (XML).")
@click.option("--log-format", type=click.Choice(FORMATS), default="text", show_default=True)
def node(path: str | None, log_format: str) -> None:
    """Start one node; LB_CONFIG names the platform's configuration (JSON).

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
