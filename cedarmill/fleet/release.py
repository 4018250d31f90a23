"""Former name of the modules on releases in `state_machine/`, for users that are not changed yet."""

from cedarmill.fleet.former_names import forward_assignments
from cedarmill.fleet.state_machine.release_states import move
from cedarmill.fleet.state_machine.rollout import _roll_back as _backward
from cedarmill.fleet.state_machine.rollout import order_unit as _want

__all__ = ["_backward", "_want", "move"]

forward_assignments(__name__, {"_backward": "cedarmill.fleet.state_machine.rollout:_roll_back"})
