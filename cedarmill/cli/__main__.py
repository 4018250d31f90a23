"""`python -m cedarmill.cli`: the command, where it is not on the path."""

import sys

from cedarmill.cli import main

sys.exit(main(prog_name="cedarmill"))
