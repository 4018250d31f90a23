"""The leader's assessment of all zones, made from the observation digests of all nodes.

`verdicts.py` counts the votes of the observer groups.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cedarmill.cluster.observations import verdicts
from cedarmill.cluster.observations.digest import ObservationDigest, median, share_of
from cedarmill.cluster.observations.verdicts import UNREACHED_SHARE, Digests, GroupFindings, ZoneVerdict

DIGEST_LIFETIME_US = 3_000_000  # maximum age of a digest that contributes to verdicts
DEMAND_LIFETIME_US = 30_000_000  # maximum age of a digest that contributes demand and slots


class ZoneAssessment(msgspec.Struct, array_like=True, frozen=True):
    """The assessment of one zone over all observer groups; shares and slots are in thousandths."""

    verdict: str  # value of a Verdict
    slots: int = 0
    slots_in_use: int = 0
    failed: int = 0  # share of attempts
    late: int = 0  # share of served requests
    demand: dict[str, int] = {}  # slots requested by the zone's clients, by scope
    observers: int = 0  # observer groups with recent attempts
    reason: str = ""
    demand_by_weight: dict[str, dict[int, int]] = {}  # the demand by scope, then by priority weight
    slots_occupied: int = 0  # by attempts of the zone's nodes, in any zone
    slots_served: int = 0  # mean number of slots whose requests were served recently, in any zone
    slots_allotted: int = 0  # slots_served if each request had run for all the time allotted to it
    rejected_locally: int = 0  # share of admitted requests that nodes rejected by their own estimates


class ClusterAssessment(msgspec.Struct, array_like=True, frozen=True):
    """The assessment of all zones, their links and their executor groups at one time."""

    zones: dict[str, ZoneAssessment]
    links: dict[str, str] = {}  # value of a LinkState, by `from>to`
    unobserved_zones: list[str] = []  # zones whose observers are silent or failing
    failing_groups: list[str] = []  # failing executor groups of healthy zones, as `zone/group`

    def demand_by_weight(self) -> dict[int, int]:
        """Return the slots requested in all zones, by priority weight (thousandths)."""
        total: dict[int, int] = {}
        for zone in self.zones.values():
            for by_weight in zone.demand_by_weight.values():
                for weight, slots in by_weight.items():
                    total[weight] = total.get(weight, 0) + slots
        return dict(sorted(total.items()))


class ReceivedDigest(NamedTuple):
    """A node's newest digest and the latest possible time of its creation in microseconds."""

    made_at: int
    digest: ObservationDigest


class ObservationCollector:
    """Holds the newest digest of each node for the leader."""

    def __init__(self) -> None:
        self.digests: dict[str, ReceivedDigest] = {}  # by node

    def accept(self, made_at: int, node: str, digest: ObservationDigest) -> None:
        """Store a digest made at `made_at` (microseconds), unless a newer one of the node is stored."""
        previous = self.digests.get(node)
        if previous is None or digest.sequence > previous.digest.sequence:
            self.digests[node] = ReceivedDigest(made_at, digest)

    def forget(self, nodes: Iterable[str]) -> None:
        """Remove the digests of nodes that have ended."""
        for node in nodes:
            self.digests.pop(node, None)

    def assess(self, now: int, zones: Iterable[str]) -> ClusterAssessment:
        """Assess the given zones from all digests that have not expired."""
        names = sorted(zones)
        fresh: Digests = {name: [] for name in names}
        retained: Digests = {name: [] for name in names}
        for node in sorted(self.digests):
            made_at, digest = self.digests[node]
            if digest.zone not in retained:
                continue
            if now - made_at <= DEMAND_LIFETIME_US:
                retained[digest.zone].append(digest)
            if now - made_at <= DIGEST_LIFETIME_US and not digest.unreliable:
                fresh[digest.zone].append(digest)
        return assess_zones(names, fresh, retained)


def assess_zones(names: list[str], fresh: Digests, retained: Digests) -> ClusterAssessment:
    """Assess all zones: verdicts come from fresh digests, demand and slots from all retained ones."""
    findings = verdicts.group_findings(names, fresh)
    failing_observers = [observer for observer in names if verdicts.are_observers_failing(observer, findings)]
    trusted_findings = {
        zone: {
            observer: finding
            for observer, finding in by_observer.items()
            if observer not in failing_observers
        }
        for zone, by_observer in findings.items()
    }
    verdict_by_zone = {zone: verdicts.verdict_on(zone, trusted_findings[zone]) for zone in names}
    zones = {
        zone: _assess_zone(zone, names, verdict_by_zone[zone], trusted_findings[zone], fresh, retained)
        for zone in names
    }
    return ClusterAssessment(
        zones,
        links=verdicts.failing_links(trusted_findings, verdict_by_zone),
        unobserved_zones=sorted(
            {*failing_observers, *(observer for observer in names if not fresh[observer])}
        ),
        failing_groups=verdicts.failing_groups(names, fresh, verdict_by_zone),
    )


def _assess_zone(
    zone: str,
    names: list[str],
    verdict: ZoneVerdict,
    findings: dict[str, GroupFindings],
    fresh: Digests,
    retained: Digests,
) -> ZoneAssessment:
    connected = [finding for finding in findings.values() if finding.unreached < UNREACHED_SHARE]
    groups = [verdicts.observations_of(zone, fresh[observer] or retained[observer]) for observer in names]
    groups = [group for group in groups if group]
    digests = fresh[zone]
    demand, by_weight = _sum_demand(retained[zone])
    return ZoneAssessment(
        verdict.verdict,
        slots=median(median(observation.slots for observation in group) for group in groups),
        slots_in_use=median(median(observation.slots_in_use for observation in group) for group in groups),
        failed=median(finding.failed for finding in connected),
        late=median(finding.late for finding in connected),
        demand=demand,
        observers=len(findings),
        reason=verdict.reason,
        demand_by_weight=by_weight,
        slots_occupied=sum(digest.slots_occupied for digest in digests),
        slots_served=sum(digest.slots_served for digest in digests),
        slots_allotted=sum(digest.slots_allotted for digest in digests),
        rejected_locally=share_of(
            sum(digest.rejected_locally for digest in digests), sum(digest.admitted for digest in digests)
        ),
    )


def _sum_demand(digests: list[ObservationDigest]) -> tuple[dict[str, int], dict[str, dict[int, int]]]:
    """Return the total demand by scope, and by scope and priority weight."""
    demand: dict[str, int] = {}
    by_weight: dict[str, dict[int, int]] = {}
    for digest in digests:
        for scope, slots in digest.demand.items():
            demand[scope] = demand.get(scope, 0) + slots
        for scope, weights in digest.demand_by_weight.items():
            sums = by_weight.setdefault(scope, {})
            for weight, slots in weights.items():
                sums[weight] = sums.get(weight, 0) + slots
    return demand, by_weight
