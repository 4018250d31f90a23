"""What a run of zones came to, and the invariants that it is judged by."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cedarmill.lab.simulation.zones.setup import Incident

MAX_CROSSED_IN_CALM = 0.02
MIN_SERVED = 0.98  # of what could be served at rest
MAX_RETURNING_LOAD = 1.4


@dataclass(slots=True)
class ZoneResult:
    """Shares of 1, times in s."""

    policy: str
    served: float
    possible: float  # what an all-knowing plan serves in the steady part, and `steady` what was served of it
    steady: float
    crossed: float  # of all that was sent: to another zone while the own had room
    worst_loads: list[float]  # of the fullest zone, by the second
    overload_time: float  # that a receiver was longest over its safe load by what others sent
    zones_fallen: int
    changes: int  # of zones' states
    returning_load: float  # the most load of a zone while it was brought back
    settled: float  # after the incident till what is served stays near its last level
    digest: str = ""
    violations: list[str] = field(default_factory=list)  # seen on the way, as `invariant: time: what`


# by invariant: whether a result breaks it
INVARIANTS: dict[str, Callable[[ZoneResult, Incident], bool]] = {
    "no receiver over its safe load": lambda one, incident: one.overload_time > incident.max_overload,
    "no zone falls over": lambda one, incident: one.zones_fallen > 0,
    "near while that is safe": lambda one, incident: (
        incident.name == "calm" and one.crossed > MAX_CROSSED_IN_CALM
    ),
    "serves what could be served": lambda one, incident: one.steady < MIN_SERVED,
    "a zone that returns is not overfilled": lambda one, incident: one.returning_load > MAX_RETURNING_LOAD,
}


def violations(result: ZoneResult, incident: Incident) -> list[str]:
    """All invariants that a run broke: those seen on the way, and those of its figures."""
    found = {text.partition(": ")[0] for text in result.violations}
    return sorted(found | {name for name, broken in INVARIANTS.items() if broken(result, incident)})
