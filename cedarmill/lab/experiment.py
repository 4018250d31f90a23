"""What every run of the laboratory rests on: one clock, random streams of one seed, an own event loop."""

import asyncio
import gc
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import numpy
import uvloop

Result = TypeVar("Result")
Progress = Callable[[float], None]  # is told which share of the run is over, from 0 to 1


class RunClock:
    """The monotonic clock of a run: calling it gives the microseconds since the run's start."""

    def __init__(self) -> None:
        self._started_at = self._now()

    def __call__(self) -> int:
        """The time now."""
        return self._now() - self._started_at

    def restart(self) -> int:
        """Count from now on; how far the clock had come (us)."""
        elapsed = self()
        self._started_at += elapsed
        return elapsed

    @staticmethod
    def _now() -> int:
        return time.monotonic_ns() // 1000


def ignore_progress(share: float) -> None:
    """Nobody watches."""


def random_generator(seed: numpy.random.SeedSequence) -> numpy.random.Generator:
    """A random stream of its own for each part of a run: a draw more in one moves none in another."""
    return numpy.random.Generator(numpy.random.PCG64(seed))


def freeze_garbage() -> None:
    """Collect garbage once, before the measured part: a collection in its midst would show as lag."""
    gc.collect()
    gc.freeze()


def run_in_folder(
    main: Callable[[Path], Coroutine[Any, Any, Result]], prefix: str, folder: Path | None = None
) -> Result:
    """Run on an event loop of its own, in `folder` or a temporary one; what `main` returns."""
    with (
        tempfile.TemporaryDirectory(prefix=prefix) as temporary,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(main(folder or Path(temporary)))
