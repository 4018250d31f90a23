"""Former names of `fleet/traffic_plan/`, for modules that still use them."""

from cedarmill.fleet.traffic_plan.layout import ZoneLayout as Zoning
from cedarmill.fleet.traffic_plan.planner import PROBE_WEIGHT as TRIAL
from cedarmill.fleet.traffic_plan.planner import available_room as rooms
from cedarmill.fleet.traffic_plan.planner import demand_by_source as demands
from cedarmill.fleet.traffic_plan.planner import make_plan as plan
from cedarmill.fleet.traffic_plan.similarity import are_similar as same_news
from cedarmill.fleet.traffic_plan.state import TrafficState as Traffic
from cedarmill.fleet.traffic_plan.state import WeightRow as Row
from cedarmill.fleet.traffic_plan.state import WeightTable as Rows
from cedarmill.fleet.traffic_plan.state import ZoneState as Zone
from cedarmill.fleet.traffic_plan.weights import expected_load as load_of
from cedarmill.fleet.traffic_plan.weights import normalized as whole_row

__all__ = [
    "Row",
    "Rows",
    "TRIAL",
    "Traffic",
    "Zone",
    "Zoning",
    "demands",
    "load_of",
    "plan",
    "rooms",
    "same_news",
    "whole_row",
]
