"""Former name of `session.py`, for users that are not changed yet."""

from typing import TYPE_CHECKING, Any

from cedarmill.fleet.session import Connect as Dial
from cedarmill.fleet.session import FollowOrders as Follow
from cedarmill.fleet.session import LeaseExpired as Lapse
from cedarmill.fleet.session import LeaseHolds as Resume
from cedarmill.fleet.session import MemberIdentity, MemberReport
from cedarmill.fleet.session import MemberSession as Agent
from cedarmill.fleet.session import ProbeMember as Glance
from cedarmill.fleet.session import SendRequest as Say

__all__ = ["Agent", "Dial", "Facts", "Follow", "Glance", "Lapse", "Resume", "Say", "Who"]

_FIELDS = {
    "done": "drained",
    "seen": "executors",
    "ended": "ended_members",
    "counts": "request_counts",
    "wants": "budget_demand",
    "life": "incarnation",
    "stops": "stops_at_lease_expiry",
}

if TYPE_CHECKING:
    Facts, Who = MemberReport, MemberIdentity
else:

    def Facts(*values: Any, **fields: Any) -> MemberReport:  # noqa: N802
        """A MemberReport from the former names of its fields."""
        return MemberReport(*values, **{_FIELDS.get(name, name): value for name, value in fields.items()})

    def Who(*values: Any, **fields: Any) -> MemberIdentity:  # noqa: N802
        """A MemberIdentity from the former names of its fields."""
        return MemberIdentity(*values, **{_FIELDS.get(name, name): value for name, value in fields.items()})
