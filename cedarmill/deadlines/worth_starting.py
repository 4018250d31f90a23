"""What is still worth starting: a quantile of each class's running times, learned in O(1) a sample."""

import math

ENOUGH_SAMPLES = 20  # samples before a quantile is believed
FIRST_STEP = 0.5  # the first step, in the log of the time: times of a class lie within a factor of a few
LEAST_STEP = 0.02  # the smallest step: it goes on following a load that changes


class RunningTimeQuantile:
    """One quantile of running times (us), by steps in the log of the time (Robbins and Monro, 1951)."""

    __slots__ = ("count", "log", "part")

    def __init__(self, part: float) -> None:
        self.part, self.log, self.count = part, 0.0, 0

    def learn(self, sample: int) -> None:
        """Take one running time (us)."""
        log = math.log(max(1, sample))
        self.count += 1
        if self.count == 1:
            self.log = log
            return
        step = max(LEAST_STEP, FIRST_STEP / math.sqrt(self.count))
        self.log += step * (self.part - (log < self.log))

    def value(self) -> int:
        """The quantile (us); 0 while too little is known to turn anybody away."""
        return int(math.exp(self.log)) if self.count >= ENOUGH_SAMPLES else 0
