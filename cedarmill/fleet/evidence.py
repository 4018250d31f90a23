"""Former names of `fleet/observations/`, for modules that still use them."""

from cedarmill.fleet.observations.assessment import DEMAND_LIFETIME_US as KEPT_US
from cedarmill.fleet.observations.assessment import DIGEST_LIFETIME_US as NEWS_US
from cedarmill.fleet.observations.assessment import ClusterAssessment as Evidence
from cedarmill.fleet.observations.assessment import ObservationCollector as Desk
from cedarmill.fleet.observations.assessment import ZoneAssessment as ZoneNews
from cedarmill.fleet.observations.digest import MAX_LOCATIONS as MOST_PLACES
from cedarmill.fleet.observations.digest import SCOPES as BOUNDS
from cedarmill.fleet.observations.digest import WHOLE, median
from cedarmill.fleet.observations.digest import LocationObservation as Seen
from cedarmill.fleet.observations.digest import ObservationDigest as Digest
from cedarmill.fleet.observations.digest import limit_locations as bounded
from cedarmill.fleet.observations.digest import share_of as share
from cedarmill.fleet.observations.verdicts import FAILING_SHARE as FAILING
from cedarmill.fleet.observations.verdicts import LATE_SHARE as LATE
from cedarmill.fleet.observations.verdicts import MIN_ATTEMPTS as FEW
from cedarmill.fleet.observations.verdicts import UNREACHED_SHARE as GONE
from cedarmill.fleet.observations.verdicts import GroupFindings as Voice

__all__ = [
    "BOUNDS",
    "Desk",
    "Digest",
    "Evidence",
    "FAILING",
    "FEW",
    "GONE",
    "KEPT_US",
    "LATE",
    "MOST_PLACES",
    "NEWS_US",
    "Seen",
    "Voice",
    "WHOLE",
    "ZoneNews",
    "bounded",
    "median",
    "share",
]
