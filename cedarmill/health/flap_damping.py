"""Damping of executors whose health changes often, modelled on route flap damping (RFC 2439).

Each change adds to a penalty that decays exponentially. An executor is suppressed when its penalty reaches a
threshold, and used again when the penalty falls below a lower one. A ceiling on the penalty bounds the time
of suppression.
"""

from dataclasses import dataclass

PENALTY_PER_CHANGE = 1000.0  # Example value of RFC 2439, section 4.2.


@dataclass(frozen=True, slots=True)
class DampingOptions:
    """Penalty thresholds, and durations in microseconds."""

    half_life_us: int = 15_000_000
    suppress_at: float = 3000.0
    reuse_below: float = 1000.0
    max_suppress_us: int = 60_000_000

    @property
    def ceiling(self) -> float:
        """Return the penalty that decays to `reuse_below` in `max_suppress_us` (RFC 2439, section 4.2)."""
        return float(self.reuse_below * 2 ** (self.max_suppress_us / self.half_life_us))


class FlapDamping:
    """Penalty and suppression of one executor."""

    __slots__ = ("_decayed_at", "_options", "_penalty", "is_suppressed")

    def __init__(self, options: DampingOptions, now: int) -> None:
        self._options = options
        self._penalty = 0.0
        self._decayed_at = now
        self.is_suppressed = False

    def add_change(self, now: int) -> None:
        """Add the penalty of one health change."""
        self._decay(now)
        self._penalty = min(self._options.ceiling, self._penalty + PENALTY_PER_CHANGE)
        self.is_suppressed |= self._penalty >= self._options.suppress_at

    def end_suppression(self, now: int) -> bool:
        """End the suppression if the penalty has decayed enough; return whether it ended in this call."""
        self._decay(now)
        if not self.is_suppressed or self._penalty >= self._options.reuse_below:
            return False
        self.is_suppressed = False
        return True

    def _decay(self, now: int) -> None:
        self._penalty *= 0.5 ** ((now - self._decayed_at) / self._options.half_life_us)
        self._decayed_at = now
