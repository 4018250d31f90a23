"""Former names of `fleet/observations/log.py`, for modules that still use them."""

from cedarmill.fleet.observations.log import LocationEstimate as Place
from cedarmill.fleet.observations.log import ObservationLog as Sightings

__all__ = [
    "Place",
    "Sightings",
]
