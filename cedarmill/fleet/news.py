"""Former names of `fleet/gossip_plan.py`, for modules that still use them."""

from cedarmill.fleet.gossip_plan import ExecutorReport as Fact
from cedarmill.fleet.gossip_plan import GossipPlan as Draw
from cedarmill.fleet.gossip_plan import ReportBoard as Board

__all__ = [
    "Board",
    "Draw",
    "Fact",
]
