"""Former names of `fleet/plan_follower.py`, for modules that still use them."""

from cedarmill.fleet.plan_follower import UNREACHED_STREAK as STREAK
from cedarmill.fleet.plan_follower import PlanFollower as Follower
from cedarmill.fleet.plan_follower import RoutingDecision as Use

__all__ = [
    "Follower",
    "STREAK",
    "Use",
]
