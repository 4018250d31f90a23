"""The digest of bounded size in which one node reports what it observes of zones.

Slots, demand and shares are whole thousandths, so that every replica computes alike. All structs here are
written as arrays: the order of fields is their form on the wire.
"""

from collections.abc import Iterable, Mapping

import msgspec

WHOLE = 1000  # thousandths that make up one
SCOPES = ("zone", "region", "any")  # how far a request may go from the zone it came to, strictest first
MAX_LOCATIONS = 32  # zones and executor groups in a digest


class LocationObservation(msgspec.Struct, array_like=True, frozen=True):
    """One zone's executors, or one group of them, by one node: its estimates, and its attempts lately."""

    executors: int = 0  # that requests may be sent to
    slots: int = 0  # that they are estimated to have; of those in slow start a part
    slots_in_use: int = 0  # by requests of any node
    attempts: int = 0  # that ended
    failed: int = 0  # of the attempts: with an error, or broken off
    late: int = 0  # of the attempts: served late
    unreached: int = 0  # of the attempts: no connection came about
    age_us: int = 0  # since the newest of these attempts


class ObservationDigest(msgspec.Struct, array_like=True, frozen=True):
    """One node's view; one whose `sequence` is not greater than that of the last counts nothing."""

    sequence: int
    zone: str
    demand: dict[str, int] = {}  # slots that its clients want, by scope
    observations: dict[str, LocationObservation] = {}  # by zone, or `zone/group`
    plan_epoch: int = 0  # of the traffic plan that it follows
    unreachable_zones: list[str] = []  # that the plan routes to, and that it does not reach
    unreliable: bool = False  # the process was suspended: what it observed says nothing
    demand_by_weight: dict[str, dict[int, int]] = {}  # the demand by scope, then by priority weight
    slots_occupied: int = 0  # by its own attempts, in any zone
    slots_served: int = 0  # mean number of slots whose requests were served lately, in any zone
    slots_allotted: int = 0  # the same, had each of these requests taken all the time that it may
    admitted: int = 0  # requests lately that the admission level did not reject
    rejected_locally: int = 0  # of the admitted: rejected by the node's own estimates


def limit_locations(
    observations: Mapping[str, LocationObservation],
) -> dict[str, LocationObservation]:
    """At most MAX_LOCATIONS of them: zones before groups, larger ones before smaller."""
    order = sorted(
        observations, key=lambda location: ("/" in location, -observations[location].slots, location)
    )
    return {location: observations[location] for location in order[:MAX_LOCATIONS]}


def share_of(part: int, whole: int) -> int:
    """The part in thousandths of the whole, rounded down; 0 of nothing."""
    return part * WHOLE // whole if whole else 0


def median(values: Iterable[int]) -> int:
    """The middle value; of two middle ones the mean, rounded down; 0 of none."""
    ordered = sorted(values)
    if not ordered:
        return 0
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) // 2
