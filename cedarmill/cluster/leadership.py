"""A leader's volatile state, which is not replicated and starts empty after each election."""

from cedarmill.cluster.canary_comparison import CanaryComparison
from cedarmill.cluster.executor_health import ExecutorHealth
from cedarmill.cluster.observations.assessment import ObservationCollector
from cedarmill.cluster.session_tracker import SessionTracker


class Leadership:
    """The volatile state of one leadership term.

    Times are microseconds of the replica's monotonic clock, except for the cluster's time.
    """

    def __init__(self, now: int, elected_at: int = 0, time_at_election: int = 0) -> None:
        """Start a leadership term; `time_at_election` is the cluster's time (us) at `elected_at`."""
        self.elected_at = elected_at
        self.time_at_election = time_at_election
        self.sessions = SessionTracker(now)
        self.executors = ExecutorHealth()
        self.zones = ObservationCollector()
        self.comparisons: dict[int, CanaryComparison] = {}  # by release id

    def cluster_time(self, now: int) -> int:
        """Return the cluster's time (us) at a time of the replica's monotonic clock."""
        return self.time_at_election + now - self.elected_at
