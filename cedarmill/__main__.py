"""Entry point of `python -m cedarmill`, which runs one node."""

import sys

from cedarmill.net.node import main

sys.exit(main())
