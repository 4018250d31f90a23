"""Who is there in the simulation of zones, what its model takes for given, what an incident is made of."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from numpy.typing import NDArray

if TYPE_CHECKING:
    from cedarmill.lab.simulation.zones.simulation import ZoneSimulation

Array = NDArray[Any]

STEP = 0.1  # s
STEPS_PER_SECOND = 10
US = 1_000_000  # a second, for the parts that count microseconds
REQUEST_TIME = 0.2  # s, mean of a request
MAX_PROMPT_WAIT = 0.4  # s that a request may wait and be in time
MAX_WAIT = 1.5  # s that a request waits at the most: then it is lost
SCOPE_SHARES = {"any": 0.7, "region": 0.2, "zone": 0.1}  # of demand, by how far it may go
SAFE_LOAD = 900  # thousandths
POLICIES = ("alone", "static", "agreed")  # who decides where requests go
NO_TIME = -1e9  # s, long before the start


@dataclass(frozen=True, slots=True)
class ZoneSetup:
    """Who is there."""

    regions: int = 3
    zones: int = 3  # of a region
    nodes: int = 27
    executors: int = 135
    slots: int = 4  # of an executor
    load: float = 0.7  # of all slots


def _always(now: float) -> bool:
    return True


@dataclass(slots=True)
class Incident:
    """What happens, and when (s); `calm` changes nothing."""

    name: str
    about: str
    change: Callable[[ZoneSimulation, float], None]  # called before each step
    load: float = 0.7
    length: float = 60.0
    steady: tuple[float, float] = (30.0, 60.0)  # when it is compared with an all-knowing plan
    has_leader: Callable[[float], bool] = _always  # whether a leader of the log is there at a time
    digest_delay: float = 0.0
    half_hear: bool = False  # only half of the nodes hear of plans in the last second before the leader dies
    max_overload: float = 1.0  # s that a receiver may be over its safe load
