"""Former name of `session_tracker.py` and `executor_health.py`, for users that are not changed yet."""

from cedarmill.fleet.executor_health import ExecutorHealth as Sights
from cedarmill.fleet.former_names import forward_assignments
from cedarmill.fleet.session_tracker import LEASE_US as LEASE
from cedarmill.fleet.session_tracker import MAX_MISSING_SHARE as MOST_PART
from cedarmill.fleet.session_tracker import SessionTracker as Sessions
from cedarmill.fleet.session_tracker import holder_lease_end as holders_end

__all__ = ["LEASE", "MOST_PART", "Sessions", "Sights", "holders_end"]

forward_assignments(
    __name__,
    {
        "LEASE": "cedarmill.fleet.session_tracker:LEASE_US",
        "MOST_PART": "cedarmill.fleet.session_tracker:MAX_MISSING_SHARE",
    },
)
