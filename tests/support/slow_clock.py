"""A slow monotonic clock that a test advances, so that time-outs do not depend on the machine's speed.

Tests use `SlowClock`. This file is also the script that runs a module of the program on such a clock; its
command line comes from `SlowClock.command`. Only `time.monotonic_ns` is replaced. Timers of the event loop
follow the machine's clock, so they fire early on the slow clock, and the program waits again.
"""

import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parents[2]
# While a test waits up to 10 s for a condition, the node's clock advances by 0.1 s.
SLOWDOWN_FACTOR = 100
# The machine's clock at the start and the time that the test has added, both in nanoseconds.
_FIELDS = struct.Struct("qq")


class SlowClock:
    """The clock of all processes started by `command`, shared in a file; it starts at the machine's time."""

    def __init__(self, path: str) -> None:
        self.path, self._started_ns, self._advanced_ns = path, time.monotonic_ns(), 0
        Path(path).write_bytes(_FIELDS.pack(self._started_ns, 0))

    def command(self, module: str, *arguments: str) -> list[str]:
        """Return the command line that runs a module of the program on this clock."""
        return [sys.executable, __file__, self.path, module, *arguments]

    def advance(self, span_us: int) -> None:
        """Advance the clock by this time, at once in all processes."""
        self._advanced_ns += span_us * 1000
        with open(self.path, "r+b", buffering=0) as file:
            file.write(_FIELDS.pack(self._started_ns, self._advanced_ns))


def install(path: str) -> None:
    """Replace `time.monotonic_ns` of this process by the clock in this file."""
    machine_clock = time.monotonic_ns
    with open(path, "rb") as file:
        fields = mmap.mmap(file.fileno(), _FIELDS.size, access=mmap.ACCESS_READ)

    def monotonic_ns() -> int:
        started_ns, advanced_ns = _FIELDS.unpack_from(fields)
        return started_ns + (machine_clock() - started_ns) // SLOWDOWN_FACTOR + advanced_ns

    time.monotonic_ns = monotonic_ns


if __name__ == "__main__":
    install(sys.argv[1])
    sys.path[0] = str(ROOT)
    from tests.support.timer_guard import TimerGuard

    TimerGuard().install()
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
