"""Former name of `replica.py`, for users that are not changed yet."""

from cedarmill.fleet.former_names import forward_assignments
from cedarmill.fleet.replica import Replica as Keeper
from cedarmill.fleet.replica import Reply
from cedarmill.fleet.replica import StoreSnapshot as Snap
from cedarmill.fleet.state import decode_snapshot as thaw

__all__ = ["Keeper", "Reply", "Snap", "thaw"]

forward_assignments(__name__, {"thaw": "cedarmill.fleet.replica:decode_snapshot"})
