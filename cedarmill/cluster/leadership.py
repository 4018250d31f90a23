"""What a leader knows in addition to the agreed state; a new leader begins without any of it."""

from cedarmill.cluster.canary_comparison import CanaryComparison
from cedarmill.cluster.executor_health import ExecutorHealth
from cedarmill.cluster.observations.assessment import ObservationCollector
from cedarmill.cluster.session_tracker import SessionTracker


class Leadership:
    """Of one term in office. Times: us of the replica's monotonic clock, unless said otherwise."""

    def __init__(self, now: int, elected_at: int = 0, time_at_election: int = 0) -> None:
        """`time_at_election` is the cluster's time at `elected_at`."""
        self.elected_at = elected_at
        self.time_at_election = time_at_election
        self.sessions = SessionTracker(now)
        self.executors = ExecutorHealth()
        self.zones = ObservationCollector()
        self.comparisons: dict[int, CanaryComparison] = {}  # of new and old versions, by release

    def cluster_time(self, now: int) -> int:
        """The cluster's time (us)."""
        return self.time_at_election + now - self.elected_at
