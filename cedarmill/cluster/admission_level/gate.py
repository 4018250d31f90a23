"""The node's admission gate, which rejects requests by the thresholds received from the cluster.

A threshold is fully enforced while the node's lease holds. After the lease expires, its enforcement fades out
and only the node's own estimates limit admission.
"""

from collections.abc import Mapping

from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.observations.digest import WHOLE

FADE_OUT_US = 10_000_000  # from the expiry of the lease until thresholds are no longer enforced
RETRY_AFTER_FACTORS = (0.5, 2.0)  # uniform range of Retry-After, in multiples of the request's slack
OVER_QUOTA_SHARE = 200  # thousandths of its priority weight that a request over quota keeps


class AdmissionGate:
    """The shedding thresholds that one node enforces."""

    def __init__(self) -> None:
        self.threshold = SheddingThreshold()
        self.scoped_thresholds: Mapping[str, SheddingThreshold] = {}
        self.lease_lapsed_at = -1  # microseconds; -1 while the lease holds

    def set_thresholds(
        self, threshold: SheddingThreshold, scoped: Mapping[str, SheddingThreshold] | None = None
    ) -> None:
        """Set the threshold for all requests and the stricter thresholds by scope."""
        self.threshold, self.scoped_thresholds = threshold, scoped or {}

    def enforced_share(self, now: int, lease_holds: bool) -> float:
        """Return the enforced share of the threshold, from 0 to 1, at `now` (microseconds)."""
        if lease_holds:
            self.lease_lapsed_at = -1
            return 1.0
        self.lease_lapsed_at = now if self.lease_lapsed_at < 0 else self.lease_lapsed_at
        return max(0.0, 1.0 - (now - self.lease_lapsed_at) / FADE_OUT_US)

    def rejects(self, now: int, lease_holds: bool, weight: int, sample: float, scope: str = "any") -> bool:
        """Return whether to reject a request; `sample` is drawn uniformly from 0 to 1."""
        threshold = self.scoped_thresholds.get(scope, self.threshold)
        if threshold.weight < 0 or weight > threshold.weight:
            return False
        share = 1.0 if weight < threshold.weight else threshold.share / WHOLE
        return sample < share * self.enforced_share(now, lease_holds)
