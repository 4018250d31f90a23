"""Old names of fields, until the packages above are renamed: each is a property that stands for the new one.

Types keep their old names at the end of `interface.py`, in `brain.py` and in `memory.py`. Nothing in this
package uses any of them.
"""

from operator import attrgetter
from typing import Any

from cedarmill.decisions import interface
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.snapshot import Snapshot
from cedarmill.decisions.state import Attempt, Executor

_EXECUTOR = {"worker": "executor"}
_NAMES: dict[type[Any], dict[str, str]] = {
    interface.EndpointEntry: _EXECUTOR,
    interface.AttemptStarted: _EXECUTOR,
    interface.AttemptProgress: _EXECUTOR,
    interface.StreamStarted: _EXECUTOR,
    interface.AttemptEnded: _EXECUTOR,
    interface.ProbeEnded: _EXECUTOR,
    interface.SiblingLoad: _EXECUTOR,
    interface.Send: _EXECUTOR,
    interface.Probe: _EXECUTOR,
    Attempt: _EXECUTOR,
    Executor: {
        "base": "capacity",
        "cold_log": "slow_start.sends",
        "held": "held_slots",
        "own": "attempts",
        "strikes": "consecutive_failures",
    },
    Balancer: {"workers": "executors", "slots": "state.learned.slots_by_kind"},
    Snapshot: {"workers": "executors", "means": "class_times"},
}


def _property(path: str) -> property:
    """A property that reads and sets what stands at a path of attributes."""
    owner, _, name = path.rpartition(".")

    def assign(instance: Any, value: Any) -> None:
        setattr(attrgetter(owner)(instance) if owner else instance, name, value)

    return property(attrgetter(path), assign)


def _means(balancer: Balancer) -> list[list[float]]:
    return [[times.mean_us, times.log_ratio, times.count] for times in balancer.state.learned.class_times]


def install() -> None:
    """Give the types their old names."""
    for owner, names in _NAMES.items():
        for old, path in names.items():
            setattr(owner, old, _property(path))
    setattr(Balancer, "means", property(_means))  # noqa: B010 - the type has no such name
