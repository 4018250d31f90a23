"""`cedarmill sim`."""

import sys

import click


@click.command(epilog="Exit codes: 0 the input has ended; 1 the reader has gone; 2 malformed input.")
def sim() -> None:
    """Let the decisions speak the simulator's wire on the standard streams.

    \b
    Example:
      cedarmill sim < batches > replies
    """
    from cedarmill.sim.simhost import main

    sys.exit(main())
