"""Former name of `state_machine/`, for users that are not changed yet."""

from cedarmill.fleet.command_types import *  # noqa: F403
from cedarmill.fleet.former_names import forward_assignments
from cedarmill.fleet.state import RequestOutcome as Done
from cedarmill.fleet.state_machine.dispatch import HANDLERS as _APPLY
from cedarmill.fleet.state_machine.dispatch import _apply_request as _once
from cedarmill.fleet.state_machine.dispatch import advance as _settle
from cedarmill.fleet.state_machine.dispatch import apply, encode
from cedarmill.fleet.state_machine.dispatch import next_due as due
from cedarmill.fleet.state_machine.permit_states import open_permit as open_for

__all__ = ["_APPLY", "Done", "_once", "_settle", "apply", "due", "encode", "open_for"]

forward_assignments(__name__, {"_once": "cedarmill.fleet.state_machine.dispatch:_apply_request"})
