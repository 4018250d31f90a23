"""The command `cedarmill sim`."""

import sys

import click


@click.command(epilog="Exit codes: 0 end of input; 1 the reader closed the pipe; 2 malformed input.")
def sim() -> None:
    """Answer a simulator with the node's decisions.

    The command reads batches of events from standard input and writes the actions that a node would take. It
    uses neither sockets nor a clock.

    \b
    Example:
      cedarmill sim < batches > replies
    """
    from cedarmill.sim.simhost import main

    sys.exit(main())
