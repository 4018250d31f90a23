"""Old names of `node.py`, for modules that still use them."""

from cedarmill.fleet.agree.node import Agree, Saved, Timing

__all__ = ["Agree", "Saved", "Timing"]
