"""A node's side of the admission level: whether a request is rejected at once.

A threshold is obeyed while the node's lease holds; after that it fades, and the node's own estimates decide.
"""

from collections.abc import Mapping

from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.observations.digest import WHOLE

FADE_US = 10_000_000  # after a lease has lapsed, until a threshold is not obeyed any longer
RETRY_AFTER_FACTORS = (0.5, 2.0)  # times its slack, evenly: when the client of a rejected request may retry
OVER_QUOTA_SHARE = 200  # thousandths of its priority weight that a request beyond its tenant's quota has


class AdmissionGate:
    """The thresholds that one node was told."""

    def __init__(self) -> None:
        self.threshold = SheddingThreshold()
        self.scoped_thresholds: Mapping[str, SheddingThreshold] = {}
        self.lapsed_at = -1  # when the lease did (us); -1: it holds

    def set_thresholds(
        self, threshold: SheddingThreshold, scoped: Mapping[str, SheddingThreshold] | None = None
    ) -> None:
        """The threshold of all requests, and stricter ones by scope."""
        self.threshold, self.scoped_thresholds = threshold, scoped or {}

    def strength(self, now: int, lease_holds: bool) -> float:
        """The share of its threshold that a node obeys at `now` (us)."""
        if lease_holds:
            self.lapsed_at = -1
            return 1.0
        self.lapsed_at = now if self.lapsed_at < 0 else self.lapsed_at
        return max(0.0, 1.0 - (now - self.lapsed_at) / FADE_US)

    def rejects(self, now: int, lease_holds: bool, weight: int, sample: float, scope: str = "any") -> bool:
        """Whether a request of that priority weight is rejected; `sample`: drawn evenly from 0 to 1."""
        threshold = self.scoped_thresholds.get(scope, self.threshold)
        if threshold.weight < 0 or weight > threshold.weight:
            return False
        share = 1.0 if weight < threshold.weight else threshold.share / WHOLE
        return sample < share * self.strength(now, lease_holds)
