"""What a hop keeps back of a budget: learned from measured times, bounded, never more than is there.

The hop that passes a budget on subtracts: it alone can measure its own round trip to the next one, and its
own lag. Each side of a link that subtracted for it would give the same time away twice.
"""

from cedarmill.values import DeadlineOptions

# RFC 6298, section 2: alpha, beta, K
MEAN_GAIN = 1 / 8
SPREAD_GAIN = 1 / 4
SPREADS = 4
BUDGET_PARTS = 10  # a margin takes at most one of these parts of the budget: a short one must not vanish


class BoundEstimate:
    """A time that is measured again and again, and a bound that it seldom passes (RFC 6298, us)."""

    __slots__ = ("mean", "spread")

    def __init__(self) -> None:
        self.mean = -1.0
        self.spread = 0.0

    def learn(self, sample: int) -> None:
        """Take one measurement (us)."""
        if self.mean < 0:
            self.mean, self.spread = float(sample), sample / 2
            return
        self.spread += (abs(self.mean - sample) - self.spread) * SPREAD_GAIN
        self.mean += (sample - self.mean) * MEAN_GAIN

    def bound(self) -> int:
        """The bound (us); 0 while nothing is measured."""
        return int(self.mean + SPREADS * self.spread) if self.mean >= 0 else 0


class Margins:
    """The margins of one node: towards its clients, and towards each executor."""

    def __init__(self, options: DeadlineOptions) -> None:
        self.options = options
        self.learned = options.margin == "learned"
        self.lag = BoundEstimate()  # from a deadline to the sweep that obeys it
        self.round_trips: dict[int, BoundEstimate] = {}  # to each executor and back

    def _within(self, margin: int, budget: int) -> int:
        options = self.options
        margin = min(max(margin, options.margin_floor_us), options.margin_us)
        return min(margin, budget // BUDGET_PARTS)

    def for_answer(self, budget: int) -> int:
        """Return what is kept back (us) so that the answer leaves in time: this node's own lag."""
        if not self.learned:
            return min(self.options.margin_us, budget // BUDGET_PARTS)
        return self._within(self.lag.bound(), budget)

    def remaining_for_executor(self, executor: int, rest: int) -> int:
        """Return what an executor is told of the rest (us): less the way there and back, 0 to the rest."""
        if not self.learned or rest <= 0:
            return max(0, rest)
        round_trip = self.round_trips.get(executor)
        return rest - self._within(round_trip.bound() if round_trip else 0, rest)

    def record_round_trip(self, executor: int, took: int) -> None:
        """Learn a round trip to an executor (us): one that opens a connection is the network's alone."""
        if self.learned:
            self.round_trips.setdefault(executor, BoundEstimate()).learn(took)

    def record_lag(self, lag: int) -> None:
        """Learn that a deadline was obeyed so much after it was due (us)."""
        if self.learned:
            self.lag.learn(max(0, lag))
