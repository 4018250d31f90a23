"""Former names of `fleet/canary_comparison.py`, for modules that still use them."""

from cedarmill.fleet.canary_comparison import CanaryComparison as Sides
from cedarmill.fleet.canary_comparison import RequestCounts as Counts
from cedarmill.fleet.canary_comparison import chance_if_alike as chance
from cedarmill.fleet.canary_comparison import reason_to_halt as worse

__all__ = [
    "Counts",
    "Sides",
    "chance",
    "worse",
]
