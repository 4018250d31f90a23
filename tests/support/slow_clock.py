"""A node whose clock runs slowly and is moved on by the test: its spans do not depend on the machine's speed.

`SlowClock` is the test's side; this file is also the script that runs a module of the program on such a clock
(`command` builds its command line). The program reads its clock by `time.monotonic_ns`; nothing else of it is
changed. Its event loop wakes by the machine's clock, too early by the program's, and waits again.
"""

import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parents[2]
SLOWER = 100  # times: in the 10 s that a test waits for a condition, the node sees 0.1 s pass
_FIELDS = struct.Struct("qq")  # ns: the machine's clock at the start, and how far the test has moved on


class SlowClock:
    """The clock of all processes started by `command`, held in a file; it starts at the machine's time."""

    def __init__(self, path: str) -> None:
        self.path, self._started_ns, self._moved_ns = path, time.monotonic_ns(), 0
        Path(path).write_bytes(_FIELDS.pack(self._started_ns, 0))

    def command(self, module: str, *arguments: str) -> list[str]:
        """The command line that runs a module of the program on this clock."""
        return [sys.executable, __file__, self.path, module, *arguments]

    def move_on(self, span_us: int) -> None:
        """So much later, at once, in all processes."""
        self._moved_ns += span_us * 1000
        with open(self.path, "r+b", buffering=0) as file:
            file.write(_FIELDS.pack(self._started_ns, self._moved_ns))


def install(path: str) -> None:
    """Let this process read the clock of that file."""
    real = time.monotonic_ns
    with open(path, "rb") as file:
        fields = mmap.mmap(file.fileno(), _FIELDS.size, access=mmap.ACCESS_READ)

    def monotonic_ns() -> int:
        started, moved = _FIELDS.unpack_from(fields)
        return started + (real() - started) // SLOWER + moved

    time.monotonic_ns = monotonic_ns


if __name__ == "__main__":
    install(sys.argv[1])
    sys.path[0] = str(ROOT)
    sys.argv = sys.argv[2:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
