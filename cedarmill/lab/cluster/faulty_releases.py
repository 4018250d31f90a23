"""Bad versions of a node, for releases that have to be halted: never ready, ending, failing jobs."""

import os
import random
import sys
import time

LATE_S = 3600.0
LIVES_S = 2.0  # of one that ends by itself
BAD_PART = 0.2  # of the jobs that a failing one fails


def late() -> int:
    """It starts, and never listens."""
    time.sleep(LATE_S)
    return 0


def exiting() -> int:
    """It ends by itself."""
    time.sleep(LIVES_S)
    return 1


def failing(conf: str) -> int:
    """A real node that fails a fifth of what it has served."""
    from cedarmill.conf.settings import Settings
    from cedarmill.core.dispatch import Dispatch
    from cedarmill.core.requests import Failed, Served
    from cedarmill.net.node import main as run

    plain, dice = Dispatch.give_final_answer, random.Random(os.getpid())

    def answer(self, now, number, final):
        if isinstance(final, Served) and dice.random() < BAD_PART:
            final = Failed()
        plain(self, now, number, final)

    Dispatch.give_final_answer = answer
    return run("text", Settings(conf).options)


def main(kind: str, conf: str) -> int:
    """Run one; its exit code."""
    return {"late": late, "exiting": exiting, "failing": lambda: failing(conf)}[kind]()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
