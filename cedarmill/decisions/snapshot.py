"""What a brain has learned, as plain values that outlive its process: taken out, and laid over a new brain.

Nothing is decided here. Times are ages (us before the moment of taking out), so that a process on another
clock can lay them over; the brain's own fading then does to old news what it always does. Workers go by
discovery's names, since numbers are a process's own. Jobs that are out stay with the brain that sent them;
what they hold is told apart (`out`), again and again while both processes live.
"""

import math
from collections.abc import Mapping

import msgspec

from cedarmill.decisions.brain import Brain
from cedarmill.decisions.state import Worker

SAME_US = 20_000  # two processes tell one start by so much apart: it is listed in whole milliseconds
_PLAIN = ("slots", "waiting", "errors", "ill", "pace", "health", "strikes")  # copied as they are
_TIMES = ("since", "heard_at", "lowered_at", "trial_at")  # 0 there: never


class WorkerMemory(msgspec.Struct):
    """One worker, its jobs out counted in `base` and `memory_base` (None: unbounded)."""

    slots: float
    waiting: float
    errors: float
    ill: float
    pace: float
    health: float
    strikes: int
    base: float
    memory_base: float | None
    ages: dict[str, int]  # of _TIMES; a time to come has a negative age
    cold_log: list[tuple[int, float]]  # age and work of what it was sent while cold


class Memory(msgspec.Struct):
    """All that is worth keeping of a brain."""

    workers: dict[str, WorkerMemory]
    means: list[tuple[float, float, int]]
    loads: list[tuple[float, int]]
    slots: dict[int, float]
    busy: tuple[float, float]
    zones: tuple[float, float]
    errors: float
    idle: float
    run: float
    pays: float


def remember(brain: Brain, names: Mapping[int, str], now: int) -> Memory:
    """What `brain` has learned by `now` (us); `names` are discovery's, by the brain's numbers."""
    workers = {names[n]: _worker(worker, now) for n, worker in brain.workers.items() if n in names}
    loads = [(load, now - since) for load, since in brain.loads]
    return Memory(workers, [(run, log, seen) for run, log, seen in brain.means], loads, dict(brain.slots),
                  (brain.busy[0], brain.busy[1]), (brain.zones[0], brain.zones[1]), brain.errors, brain.idle,
                  brain.run, brain.pays)  # fmt: skip


def _worker(worker: Worker, now: int) -> WorkerMemory:
    memory = worker.memory_base
    return WorkerMemory(
        *(getattr(worker, name) for name in _PLAIN),
        base=worker.base, memory_base=memory if memory < math.inf else None,
        ages={name: now - at for name in _TIMES if (at := getattr(worker, name))},
        cold_log=[(now - at, work) for at, work in worker.cold_log],
    )  # fmt: skip


def recall(brain: Brain, memory: Memory, now: int) -> bool:
    """Lay what was learned of jobs over a brain that knows nothing yet; whether it fits the settings."""
    if len(memory.means) != len(brain.means) or len(memory.loads) != len(brain.loads):
        return False
    brain.means = [list(mean) for mean in memory.means]
    brain.loads = [(load, now - age) for load, age in memory.loads]
    named = range(len(brain.settings.kinds))  # other kinds are numbered as each process meets them
    brain.slots = {kind: slots for kind, slots in memory.slots.items() if kind in named}
    brain.busy, brain.zones = list(memory.busy), list(memory.zones)
    brain.errors, brain.idle, brain.run, brain.pays = memory.errors, memory.idle, memory.run, memory.pays
    brain.heir = True
    return True


def recall_worker(worker: Worker, kept: WorkerMemory, now: int) -> bool:
    """Lay what was learned of a worker over its record; False if that is of an earlier process of it.

    A start later than the listed one is of a worker put back by hand: cold from then on.
    """
    listed, since = worker.since, now - kept.ages["since"] if "since" in kept.ages else 0
    if worker.own or listed > since + SAME_US:
        return False
    for name in _PLAIN:
        setattr(worker, name, getattr(kept, name))
    for name in _TIMES:
        setattr(worker, name, now - kept.ages[name] if name in kept.ages else 0)
    worker.since = listed if abs(since - listed) <= SAME_US else since
    worker.base, worker.memory_base = kept.base, math.inf if kept.memory_base is None else kept.memory_base
    worker.cold_log = [(now - age, work) for age, work in kept.cold_log]
    return True


def out(brain: Brain, names: Mapping[int, str]) -> dict[str, tuple[float, float]]:
    """Slots and memory that this brain's own jobs hold, by discovery's names."""
    return {names[n]: (worker.held - worker.beside, worker.memory_held - worker.memory_beside)
            for n, worker in brain.workers.items() if n in names and worker.held > worker.beside}  # fmt: skip
