"""Faults that a soak of the real program has to find, planted from outside: a script that runs the program.

`timer-not-cancelled` lets `SingleTimer.start` forget the timer before, as the handles of timers once did.
"""

import runpy
import sys
from pathlib import Path

from tests.support.system_call_faults import FaultPlan

ROOT = Path(__file__).parents[2]


def mutant_command(plan: FaultPlan) -> list[str]:
    """Return the command line of the program with the planted fault; the fault plan is not used."""
    return [sys.executable, "-m", "tests.soak.mutants"]


def plant_timer_that_is_not_cancelled() -> None:
    """Let a timer that is started again leave the earlier one running."""
    from cedarmill.core.timers import Callback, SingleTimer

    def start(timer: SingleTimer, due: int, callback: Callback) -> None:
        timer._handle = timer._timers.add(due, callback)

    SingleTimer.start = start  # type: ignore[method-assign]


if __name__ == "__main__":
    plant_timer_that_is_not_cancelled()
    sys.argv = ["cedarmill"]
    runpy.run_module("cedarmill", run_name="__main__", alter_sys=True)
