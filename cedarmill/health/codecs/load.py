"""Load report, size limits and error shared by the codecs of health headers."""

from dataclasses import dataclass, field

MAX_HEADER_BYTES = 4096  # Valid headers have some tens of bytes.
MAX_METRICS = 64  # Per table of a report; the rest is ignored.


class HealthHeaderError(ValueError):
    """A health header is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an executor as reported by it; utilisations are fractions, None means not reported."""

    cpu_utilization: float | None = None
    mem_utilization: float | None = None
    application_utilization: float | None = None
    rps_fractional: float | None = None  # Requests per second.
    eps: float | None = None  # Errors per second.
    named_metrics: dict[str, float] = field(default_factory=dict)
    utilization: dict[str, float] = field(default_factory=dict)
