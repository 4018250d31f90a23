"""Entry point of `python -m cedarmill.cli`, for use where the `cedarmill` script is not on PATH."""

import sys

from cedarmill.cli import main

sys.exit(main(prog_name="cedarmill"))
