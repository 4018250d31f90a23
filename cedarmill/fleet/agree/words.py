"""Old names of `messages.py`, for modules that still use them."""

from cedarmill.fleet.agree.messages import *  # noqa: F403
