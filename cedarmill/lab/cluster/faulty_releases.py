"""Bad versions of a node, for releases that have to be halted: never ready, ending, failing jobs."""

import os
import random
import sys
import time
from collections.abc import Callable

LATE_S = 3600.0
LIVES_S = 2.0  # of one that ends by itself
FAILED_SHARE = 0.2  # of the jobs that a failing one fails


def late() -> int:
    """It starts, and never listens."""
    time.sleep(LATE_S)
    return 0


def exiting() -> int:
    """It ends by itself."""
    time.sleep(LIVES_S)
    return 1


def failing(settings: str) -> int:
    """A real node that fails a fifth of what it has served."""
    from cedarmill.conf.settings import Settings
    from cedarmill.core.dispatch import Dispatch
    from cedarmill.core.requests import Failed, FinalAnswer, Served
    from cedarmill.net import node

    original, generator = Dispatch.give_final_answer, random.Random(os.getpid())

    def give_final_answer(self: Dispatch, now: int, number: int, answer: FinalAnswer) -> None:
        if isinstance(answer, Served) and generator.random() < FAILED_SHARE:
            answer = Failed()
        original(self, now, number, answer)

    setattr(Dispatch, "give_final_answer", give_final_answer)  # noqa: B010  what a release breaks
    return node.main("text", Settings(settings).options)


def main(kind: str, settings: str) -> int:
    """Run one; its exit code."""
    kinds: dict[str, Callable[[], int]] = {
        "late": late,
        "exiting": exiting,
        "failing": lambda: failing(settings),
    }
    return kinds[kind]()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
