"""Former name of `state_views.py` and `member_orders.py`, for users that are not changed yet."""

from cedarmill.fleet.former_names import forward_assignments
from cedarmill.fleet.member_orders import orders_for as orders
from cedarmill.fleet.operator_requests import submit_reply as did
from cedarmill.fleet.state_views import render as show

__all__ = ["did", "orders", "show"]

forward_assignments(__name__, {"orders": "cedarmill.fleet.member_orders:orders_for"})
