"""Former name of `state.py`, for users that are not changed yet."""

from typing import TYPE_CHECKING, Any

from cedarmill.fleet.state import EPOCH_INDEX_BITS as EPOCH_BITS
from cedarmill.fleet.state import PER_MILLE as WHOLE
from cedarmill.fleet.state import ClusterState, Limit, Member, Permit, Release, Target, Unit
from cedarmill.fleet.state import ReleasePlan as Plan
from cedarmill.fleet.state import RequestOutcome as Done
from cedarmill.fleet.state import UnitStep as Step
from cedarmill.fleet.state import decode_snapshot as thaw
from cedarmill.fleet.state import encode_snapshot as freeze

__all__ = [
    "EPOCH_BITS",
    "WHOLE",
    "Done",
    "Limit",
    "Member",
    "Permit",
    "Plan",
    "Release",
    "Step",
    "Target",
    "Unit",
    "World",
    "freeze",
    "thaw",
]

_FIELDS = {"cold_us": "slow_start_us", "cold_share": "slow_start_share"}

if TYPE_CHECKING:
    World = ClusterState
else:

    def World(*values: Any, **fields: Any) -> ClusterState:  # noqa: N802
        """A ClusterState from the former names of its fields."""
        return ClusterState(*values, **{_FIELDS.get(name, name): value for name, value in fields.items()})
