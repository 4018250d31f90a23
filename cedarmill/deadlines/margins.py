"""What a hop keeps back of a budget: learned from measured times, bounded, never more than is there.

The hop that passes a budget on subtracts: it alone can measure its own round trip to the next one, and its
own lag. Each side of a link that subtracted for it would give the same time away twice.
"""

from cedarmill.values import DeadlineOptions

GAIN, SPREAD_GAIN, SPREADS = 1 / 8, 1 / 4, 4  # RFC 6298, section 2: alpha, beta, K
SHARE = 10  # a margin takes at most this part of the budget: a short one must not vanish in it


class Estimate:
    """A time that is measured again and again, and a bound that it seldom passes (RFC 6298)."""

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
        self.mean += (sample - self.mean) * GAIN

    def bound(self) -> int:
        """The bound (us); 0 while nothing is measured."""
        return int(self.mean + SPREADS * self.spread) if self.mean >= 0 else 0


class Margins:
    """The margins of one node: towards its clients, and towards each backend."""

    def __init__(self, options: DeadlineOptions) -> None:
        self.options = options
        self.learned = options.margin == "learned"
        self.lag = Estimate()  # from a deadline to the sweep that obeys it
        self.trips: dict[int, Estimate] = {}  # to each backend and back

    def _within(self, margin: int, budget: int) -> int:
        options = self.options
        margin = min(max(margin, options.margin_floor_us), options.margin_us)
        return min(margin, budget // SHARE)

    def answer(self, budget: int) -> int:
        """Kept back so that the answer leaves in time: this node's own lag."""
        if not self.learned:
            return min(self.options.margin_us, budget // SHARE)
        return self._within(self.lag.bound(), budget)

    def passed_on(self, worker: int, rest: int) -> int:
        """What a backend is told of the rest: less the way there and back, at least 0, at most the rest."""
        if not self.learned or rest <= 0:
            return max(0, rest)
        trip = self.trips.get(worker)
        return rest - self._within(trip.bound() if trip else 0, rest)

    def trip(self, worker: int, took: int) -> None:
        """A round trip to a backend was measured (us): one that opens a connection is the network's alone."""
        if self.learned:
            self.trips.setdefault(worker, Estimate()).learn(took)

    def late(self, by: int) -> None:
        """A deadline was obeyed so much after it was due (us)."""
        if self.learned:
            self.lag.learn(max(0, by))
