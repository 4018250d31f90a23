"""Load balancer for executors: its decisions, and the node, cluster and tools built on them."""

from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import Settings

__all__ = ["Balancer", "Settings"]
