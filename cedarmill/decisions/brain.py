"""The old name of the balancer's module, until the packages above are renamed."""

from cedarmill.decisions.balancer import PAYS_FLOOR, Brain

__all__ = ["PAYS_FLOOR", "Brain"]
