"""Damping of executors whose health keeps changing, after route flap damping (RFC 2439).

Each change adds a penalty, which decays by half in a half-life. Over one threshold the executor is
suppressed; it is used again once the penalty has fallen under a lower one. A ceiling bounds the time that
this can take.
"""

from dataclasses import dataclass

PENALTY_PER_CHANGE = 1000.0  # RFC 2439, section 4.2, the figures of its example


@dataclass(frozen=True, slots=True)
class DampingOptions:
    """Thresholds in units of the penalty, durations in microseconds."""

    half_life_us: int = 15_000_000
    suppress_at: float = 3000.0
    reuse_below: float = 1000.0
    max_suppress_us: int = 60_000_000

    @property
    def ceiling(self) -> float:
        """The highest penalty: it falls to `reuse_below` in `max_suppress_us` (RFC 2439, section 4.2)."""
        return float(self.reuse_below * 2 ** (self.max_suppress_us / self.half_life_us))


class FlapDamping:
    """The penalty of one executor."""

    __slots__ = ("_counted_at", "_options", "_penalty", "suppressed")

    def __init__(self, options: DampingOptions, now: int) -> None:
        self._options = options
        self._penalty = 0.0
        self._counted_at = now
        self.suppressed = False

    def add_change(self, now: int) -> None:
        """Charge one change of the executor's health."""
        self._decay(now)
        self._penalty = min(self._options.ceiling, self._penalty + PENALTY_PER_CHANGE)
        self.suppressed |= self._penalty >= self._options.suppress_at

    def releases(self, now: int) -> bool:
        """Whether the time that has passed ends the suppression now; true once."""
        self._decay(now)
        if not self.suppressed or self._penalty >= self._options.reuse_below:
            return False
        self.suppressed = False
        return True

    def _decay(self, now: int) -> None:
        self._penalty *= 0.5 ** ((now - self._counted_at) / self._options.half_life_us)
        self._counted_at = now
