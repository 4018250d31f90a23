"""Estimates quantiles of request running times, to decide whether a request can still finish in time."""

import math

MIN_SAMPLES = 20  # Fewer samples yield no estimate.
INITIAL_STEP = 0.5  # step size in natural-log units; a class's running times span a small factor
MIN_STEP = 0.02  # lower bound on the step size, so that the estimate keeps following load changes


class RunningTimeQuantile:
    """Estimates one quantile of running times (us) by stochastic approximation (Robbins and Monro, 1951).

    The estimate moves in steps on a logarithmic scale and costs O(1) per sample.
    """

    __slots__ = ("count", "log_estimate", "quantile")

    def __init__(self, quantile: float) -> None:
        self.quantile, self.log_estimate, self.count = quantile, 0.0, 0

    def add_sample(self, sample: int) -> None:
        """Update the estimate with one measured running time (us)."""
        log_sample = math.log(max(1, sample))
        self.count += 1
        if self.count == 1:
            self.log_estimate = log_sample
            return
        step = max(MIN_STEP, INITIAL_STEP / math.sqrt(self.count))
        self.log_estimate += step * (self.quantile - (log_sample < self.log_estimate))

    def value(self) -> int:
        """Return the estimated quantile (us), or 0 while there are too few samples to reject requests."""
        return int(math.exp(self.log_estimate)) if self.count >= MIN_SAMPLES else 0
