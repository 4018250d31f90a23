"""The old name of the balancer, until the packages above are renamed."""

from cedarmill.decisions.balancer import Balancer as Brain

__all__ = ["Brain"]
