"""The assessment of all zones, made by the leader from the digests of all nodes.

`verdicts.py` holds how the observers' votes are counted.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cedarmill.cluster.observations import verdicts
from cedarmill.cluster.observations.digest import ObservationDigest, median, share_of
from cedarmill.cluster.observations.verdicts import UNREACHED_SHARE, Digests, GroupFindings, ZoneVerdict

DIGEST_LIFETIME_US = 3_000_000  # for which a digest counts
DEMAND_LIFETIME_US = 30_000_000  # for which demand and slots of silent observers are kept


class ZoneAssessment(msgspec.Struct, array_like=True, frozen=True):
    """One zone as all observer groups together see it; shares are thousandths."""

    verdict: str  # a Verdict
    slots: int = 0
    slots_in_use: int = 0
    failed: int = 0  # share of attempts
    late: int = 0  # share of served requests
    demand: dict[str, int] = {}  # slots that its clients want, by scope
    observers: int = 0  # observer groups that have tried it
    reason: str = ""
    demand_by_weight: dict[str, dict[int, int]] = {}  # the demand by scope, then by priority weight
    slots_occupied: int = 0  # by attempts of its nodes, in any zone
    slots_served: int = 0  # mean number of slots whose requests were served lately, in any zone
    slots_allotted: int = 0  # the same, had each of these requests taken all the time that it may
    rejected_locally: int = 0  # share of admitted requests that nodes rejected by their own estimates


class ClusterAssessment(msgspec.Struct, array_like=True, frozen=True):
    """All that is known of the zones at one time."""

    zones: dict[str, ZoneAssessment]
    links: dict[str, str] = {}  # a LinkState by `from>to`
    blind_zones: list[str] = []  # whose observers are silent or fail themselves
    failing_groups: list[str] = []  # `zone/group` of executors that fail while the rest of the zone is well

    def demand_by_weight(self) -> dict[int, int]:
        """Slots wanted over all zones, by priority weight (thousandths)."""
        total: dict[int, int] = {}
        for zone in self.zones.values():
            for by_weight in zone.demand_by_weight.values():
                for weight, slots in by_weight.items():
                    total[weight] = total.get(weight, 0) + slots
        return dict(sorted(total.items()))


class ReceivedDigest(NamedTuple):
    """A node's newest digest, and when it was made or later (us)."""

    made_at: int
    digest: ObservationDigest


class ObservationCollector:
    """The leader's newest digest of each node."""

    def __init__(self) -> None:
        self.digests: dict[str, ReceivedDigest] = {}  # by node

    def accept(self, made_at: int, node: str, digest: ObservationDigest) -> None:
        """Keep a digest that was made at `made_at` or later, unless a newer one is known."""
        known = self.digests.get(node)
        if known is None or digest.sequence > known.digest.sequence:
            self.digests[node] = ReceivedDigest(made_at, digest)

    def forget(self, nodes: Iterable[str]) -> None:
        """Drop the digests of nodes that have ended."""
        for node in nodes:
            self.digests.pop(node, None)

    def assess(self, now: int, zones: Iterable[str]) -> ClusterAssessment:
        """Assess these zones by all digests that are not too old."""
        names = sorted(zones)
        fresh: Digests = {name: [] for name in names}
        kept: Digests = {name: [] for name in names}
        for node in sorted(self.digests):
            made_at, digest = self.digests[node]
            if digest.zone not in kept:
                continue
            if now - made_at <= DEMAND_LIFETIME_US:
                kept[digest.zone].append(digest)
            if now - made_at <= DIGEST_LIFETIME_US and not digest.unreliable:
                fresh[digest.zone].append(digest)
        return assess_zones(names, fresh, kept)


def assess_zones(names: list[str], fresh: Digests, kept: Digests) -> ClusterAssessment:
    """Assess all zones: verdicts by fresh digests, demand and slots by all that are kept."""
    findings = verdicts.group_findings(names, fresh)
    failing = [observer for observer in names if verdicts.observers_fail(observer, findings)]
    sound = {
        zone: {observer: one for observer, one in by_observer.items() if observer not in failing}
        for zone, by_observer in findings.items()
    }
    by_zone = {zone: verdicts.verdict_on(zone, sound[zone]) for zone in names}
    zones = {zone: _assess_zone(zone, names, by_zone[zone], sound[zone], fresh, kept) for zone in names}
    return ClusterAssessment(
        zones,
        links=verdicts.failing_links(sound, by_zone),
        blind_zones=sorted({*failing, *(observer for observer in names if not fresh[observer])}),
        failing_groups=verdicts.failing_groups(names, fresh, by_zone),
    )


def _assess_zone(
    zone: str,
    names: list[str],
    verdict: ZoneVerdict,
    findings: dict[str, GroupFindings],
    fresh: Digests,
    kept: Digests,
) -> ZoneAssessment:
    arrived = [one for one in findings.values() if one.unreached < UNREACHED_SHARE]
    by_group = [verdicts.observations_of(zone, fresh[observer] or kept[observer]) for observer in names]
    by_group = [group for group in by_group if group]
    own = fresh[zone]
    demand, by_weight = _demand(kept[zone])
    return ZoneAssessment(
        verdict.verdict,
        slots=median(median(one.slots for one in group) for group in by_group),
        slots_in_use=median(median(one.slots_in_use for one in group) for group in by_group),
        failed=median(one.failed for one in arrived),
        late=median(one.late for one in arrived),
        demand=demand,
        observers=len(findings),
        reason=verdict.reason,
        demand_by_weight=by_weight,
        slots_occupied=sum(digest.slots_occupied for digest in own),
        slots_served=sum(digest.slots_served for digest in own),
        slots_allotted=sum(digest.slots_allotted for digest in own),
        rejected_locally=share_of(
            sum(digest.rejected_locally for digest in own), sum(digest.admitted for digest in own)
        ),
    )


def _demand(digests: list[ObservationDigest]) -> tuple[dict[str, int], dict[str, dict[int, int]]]:
    """The sums by scope, and by scope and priority weight."""
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
