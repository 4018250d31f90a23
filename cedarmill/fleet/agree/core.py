"""Old names of `state.py`, for modules that still use them."""

from cedarmill.fleet.agree.state import PersistentState as Saved
from cedarmill.fleet.agree.state import Timing

__all__ = ["Saved", "Timing"]
