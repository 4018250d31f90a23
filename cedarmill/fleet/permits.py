"""Former name of the modules on permits in `state_machine/`, for users that are not changed yet."""

from cedarmill.fleet.former_names import forward_assignments
from cedarmill.fleet.state_machine.drains import check_drained as settle
from cedarmill.fleet.state_machine.drains import member_ended
from cedarmill.fleet.state_machine.drains import members_to_drain as need_of
from cedarmill.fleet.state_machine.limits import allowed, decide
from cedarmill.fleet.state_machine.limits import out_shares as out_parts
from cedarmill.fleet.state_machine.limits import slow_start_part as cold_part
from cedarmill.fleet.state_machine.permit_queue import grant_waiting as grant_all
from cedarmill.fleet.state_machine.permit_queue import in_order as in_turn
from cedarmill.fleet.state_machine.permit_states import move
from cedarmill.fleet.state_machine.permit_states import target_key as key_of

__all__ = [
    "allowed",
    "cold_part",
    "decide",
    "grant_all",
    "in_turn",
    "key_of",
    "member_ended",
    "move",
    "need_of",
    "out_parts",
    "settle",
]

_MACHINE = "cedarmill.fleet.state_machine"
forward_assignments(
    __name__,
    {
        "allowed": f"{_MACHINE}.limits:allowed",
        "cold_part": f"{_MACHINE}.limits:slow_start_part",
        "grant_all": f"{_MACHINE}.permit_queue:grant_waiting",
        "need_of": f"{_MACHINE}.drains:members_to_drain",
        "out_parts": f"{_MACHINE}.limits:out_shares",
        "settle": f"{_MACHINE}.drains:check_drained",
    },
)
