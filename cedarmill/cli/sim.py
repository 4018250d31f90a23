"""`cedarmill sim`."""

import sys

import click


@click.command(epilog="Exit codes: 0 the input has ended; 1 the reader has gone; 2 malformed input.")
def sim() -> None:
    """Answer a simulator with the node's decisions.

    It reads batches of events from standard input and writes the actions that a node would take, without
    sockets and without a clock.

    \b
    Example:
      cedarmill sim < batches > replies
    """
    from cedarmill.sim.simhost import main

    sys.exit(main())
