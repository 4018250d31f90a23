"""What both forms of header-borne health share: the load report as plain values, and the error."""

from dataclasses import dataclass, field

MAX_HEADER = 4096  # bytes: a checker's or executor's header is some tens; more is no header of these
MAX_METRICS = 64  # named metrics that are kept of one report


class StateError(ValueError):
    """A header that says nothing that can be used, with the reason in one line."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an executor reports of its load; utilisations are fractions (1.0 is all), None where not named."""

    cpu_utilization: float | None = None
    mem_utilization: float | None = None
    application_utilization: float | None = None
    rps_fractional: float | None = None  # requests a second
    eps: float | None = None  # errors a second
    named_metrics: dict[str, float] = field(default_factory=dict)
    utilization: dict[str, float] = field(default_factory=dict)
