"""The observation digest of bounded size in which a node reports its view of the zones.

Slots, demand and shares are integers in thousandths, so that every replica computes the same results. The
structs are encoded as arrays, so the order of their fields is part of the wire format.
"""

from collections.abc import Iterable, Mapping

import msgspec

WHOLE = 1000  # thousandths in a whole
SCOPES = ("zone", "region", "any")  # where a request may be served, strictest first
MAX_LOCATIONS = 32  # zones and executor groups in one digest


class LocationObservation(msgspec.Struct, array_like=True, frozen=True):
    """One node's estimates and recent attempts for the executors of a zone or of an executor group."""

    executors: int = 0  # eligible for requests
    slots: int = 0  # estimated; executors in slow start count in part
    slots_in_use: int = 0  # estimated, by requests of all nodes
    attempts: int = 0  # that have ended
    failed: int = 0  # attempts that ended with an error or were aborted
    late: int = 0  # attempts that were served late
    unreached: int = 0  # attempts without a connection
    age_us: int = 0  # time since the newest attempt


class ObservationDigest(msgspec.Struct, array_like=True, frozen=True):
    """One node's observations; a digest with a `sequence` no greater than the last one is ignored."""

    sequence: int
    zone: str
    demand: dict[str, int] = {}  # slots requested by the node's clients, by scope
    observations: dict[str, LocationObservation] = {}  # by zone or `zone/group`
    plan_epoch: int = 0  # of the traffic plan in effect
    unreachable_zones: list[str] = []  # zones in the plan that the node cannot reach
    unreliable: bool = False  # set after the process was suspended; its observations are void
    demand_by_weight: dict[str, dict[int, int]] = {}  # the demand by scope, then by priority weight
    slots_occupied: int = 0  # by the node's own attempts, in any zone
    slots_served: int = 0  # mean number of slots whose requests were served recently, in any zone
    slots_allotted: int = 0  # slots_served if each request had run for all the time allotted to it
    admitted: int = 0  # recent requests that the admission level did not reject
    rejected_locally: int = 0  # admitted requests that the node rejected by its own estimates


def limit_locations(
    observations: Mapping[str, LocationObservation],
) -> dict[str, LocationObservation]:
    """Return at most MAX_LOCATIONS observations, zones before groups and larger before smaller ones."""
    order = sorted(
        observations, key=lambda location: ("/" in location, -observations[location].slots, location)
    )
    return {location: observations[location] for location in order[:MAX_LOCATIONS]}


def share_of(part: int, whole: int) -> int:
    """Return the part in thousandths of the whole, rounded down; 0 for an empty whole."""
    return part * WHOLE // whole if whole else 0


def median(values: Iterable[int]) -> int:
    """Return the median, rounded down; 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return 0
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) // 2
