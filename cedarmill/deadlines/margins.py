"""Safety margins that a hop subtracts from a request's budget, fixed or learned from measured times.

Only the hop that passes a budget on subtracts a margin, because it can measure its own lag and the round trip
to the next hop. If both ends of a link subtracted one, the same time would be deducted twice.
"""

from cedarmill.values import DeadlineOptions

# The estimator's alpha, beta and K in RFC 6298, section 2.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_MULTIPLE = 4
MARGIN_BUDGET_DIVISOR = 10  # A margin is at most the budget divided by this, so that short budgets survive.


class LatencyBoundEstimator:
    """Estimates an upper bound (us) that a repeatedly measured latency seldom exceeds, as in RFC 6298."""

    __slots__ = ("deviation", "mean")

    def __init__(self) -> None:
        self.mean = -1.0
        self.deviation = 0.0

    def add_sample(self, sample: int) -> None:
        """Update the estimate with one measured latency (us)."""
        if self.mean < 0:
            self.mean, self.deviation = float(sample), sample / 2
            return
        self.deviation += (abs(self.mean - sample) - self.deviation) * DEVIATION_GAIN
        self.mean += (sample - self.mean) * MEAN_GAIN

    def upper_bound(self) -> int:
        """Return the estimated upper bound (us), or 0 before the first sample."""
        return int(self.mean + DEVIATION_MULTIPLE * self.deviation) if self.mean >= 0 else 0


class Margins:
    """Computes one node's margins, both for answers to its clients and for requests to each executor."""

    def __init__(self, options: DeadlineOptions) -> None:
        self.options = options
        self.is_learned = options.margin == "learned"
        self.lag = LatencyBoundEstimator()  # delay between a deadline and the timer sweep that handles it
        self.round_trips: dict[int, LatencyBoundEstimator] = {}  # by executor number

    def _clamp(self, margin: int, budget: int) -> int:
        options = self.options
        margin = min(max(margin, options.margin_floor_us), options.margin_us)
        return min(margin, budget // MARGIN_BUDGET_DIVISOR)

    def answer_margin(self, budget: int) -> int:
        """Return the margin (us) that covers this node's own lag, so that the answer leaves in time."""
        if not self.is_learned:
            return min(self.options.margin_us, budget // MARGIN_BUDGET_DIVISOR)
        return self._clamp(self.lag.upper_bound(), budget)

    def executor_budget(self, executor: int, remaining: int) -> int:
        """Return the budget (us) to send to an executor: the remaining time less the network round trip."""
        if not self.is_learned or remaining <= 0:
            return max(0, remaining)
        round_trip = self.round_trips.get(executor)
        return remaining - self._clamp(round_trip.upper_bound() if round_trip else 0, remaining)

    def record_round_trip(self, executor: int, round_trip_us: int) -> None:
        """Record the network round trip (us) that opening a connection to an executor took."""
        if self.is_learned:
            self.round_trips.setdefault(executor, LatencyBoundEstimator()).add_sample(round_trip_us)

    def record_lag(self, lag: int) -> None:
        """Record how long after a deadline (us) the node handled its expiry."""
        if self.is_learned:
            self.lag.add_sample(max(0, lag))
