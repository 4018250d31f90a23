"""Dispatcher decisions by a preemptive connection pool."""

from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.interface import Settings

__all__ = ["Balancer", "Settings"]
