"""Former names of `fleet/traffic_control/`, for modules that still use them."""

from typing import TYPE_CHECKING, Any

import msgspec

from cedarmill.fleet.traffic_control import intake, reports
from cedarmill.fleet.traffic_control.errors import InvalidLayoutError, TrafficError
from cedarmill.fleet.traffic_control.intake import record_assessment as observe
from cedarmill.fleet.traffic_control.ramps import slots_missing_without as short_without
from cedarmill.fleet.traffic_control.reports import route_weights as way
from cedarmill.fleet.traffic_control.schedule import due_times as due
from cedarmill.fleet.traffic_control.schedule import review as advance
from cedarmill.fleet.traffic_control.shedding import update_admission as shed
from cedarmill.fleet.traffic_control.zone_status import declare_lost as lose
from cedarmill.fleet.traffic_plan.layout import ZoneLayout

if TYPE_CHECKING:
    from cedarmill.fleet.state import ClusterState

__all__ = ["advance", "due", "lose", "observe", "set_up", "shed", "short_without", "shown", "way", "what_if"]


def set_up(world: "ClusterState", zoning: ZoneLayout) -> str:
    """`set_layout`; why not, where that cannot be."""
    try:
        intake.set_layout(world, zoning)
    except InvalidLayoutError as error:
        return str(error)
    return ""


def what_if(world: "ClusterState", name: str) -> dict[str, Any]:
    """`forecast_loss` as plain values."""
    try:
        found: dict[str, Any] = msgspec.to_builtins(reports.forecast_loss(world, name))
    except TrafficError as error:
        return {"error": str(error)}
    return found


def shown(world: "ClusterState") -> dict[str, Any]:
    """`traffic_report` as plain values."""
    found: dict[str, Any] = msgspec.to_builtins(reports.traffic_report(world))
    if world.traffic.assessment is None:
        found["groups"] = found.pop("groups")  # the order of keys in the answer to operators
    return found
