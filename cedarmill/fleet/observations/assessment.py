"""The assessment of all zones, made by the leader from the digests of all nodes.

No observer, no zone of observers and no repeated digest outvotes the rest: the observers of one zone form one
observer group, and each group has one vote on each zone. This tells apart failing executors (all groups
report them), a failing link (one group reports one other zone), failing observers (one group reports most
other zones), high load (late requests without failures) and missing digests.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from cedarmill.fleet.former_names import former_field
from cedarmill.fleet.observations.digest import (
    WHOLE,
    LocationObservation,
    ObservationDigest,
    median,
    share_of,
)

DIGEST_LIFETIME_US = 3_000_000  # for which a digest counts
DEMAND_LIFETIME_US = 30_000_000  # for which demand and slots of silent observers are kept
MIN_ATTEMPTS = 4  # of a node, below which its shares count only together with others'
UNREACHED_SHARE = 500  # thousandths of attempts without a connection: the zone is not reached
DEGRADED_SHARE = 100  # the same, of a link that loses some
FAILING_SHARE = 150  # thousandths of attempts that fail: the executors are failing
LATE_SHARE = 300  # thousandths of served requests that are late


class Verdict(StrEnum):
    """What the observer groups together say of a zone."""

    WELL = "well"
    FAILING = "ill"
    LOST = "lost"
    UNKNOWN = "unknown"


class LinkState(StrEnum):
    """What is wrong with the link from one zone to another."""

    GONE = "gone"
    DEGRADED = "thin"


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

    worths = former_field("demand_by_weight")


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


class GroupFindings(msgspec.Struct, array_like=True, frozen=True):
    """What one observer group says of a zone or executor group; shares are thousandths."""

    failed: int
    late: int
    unreached: int
    attempts: int


Findings = dict[str, dict[str, GroupFindings]]  # by the zone observed, then by the observing zone
Digests = dict[str, list[ObservationDigest]]  # by the observing zone


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

    held = former_field("digests")
    take = former_field("accept")
    look = former_field("assess")


def assess_zones(names: list[str], fresh: Digests, kept: Digests) -> ClusterAssessment:
    """Assess all zones: verdicts by fresh digests, demand and slots by all that are kept."""
    findings = _findings(names, fresh)
    failing = [observer for observer in names if _observers_fail(observer, findings)]
    sound = {
        zone: {observer: one for observer, one in by_observer.items() if observer not in failing}
        for zone, by_observer in findings.items()
    }
    verdicts = {zone: _verdict(zone, sound[zone]) for zone in names}
    zones = {zone: _assess_zone(zone, names, verdicts[zone], sound[zone], fresh, kept) for zone in names}
    blind = sorted({*failing, *(observer for observer in names if not fresh[observer])})
    return ClusterAssessment(
        zones, _failing_links(sound, verdicts), blind, _failing_groups(names, fresh, verdicts)
    )


def _findings(names: list[str], fresh: Digests) -> Findings:
    findings: Findings = {zone: {} for zone in names}
    for observer in names:
        locations = {location for digest in fresh[observer] for location in digest.observations}
        for zone in sorted(locations & findings.keys()):
            combined = combine_observations(_observations_of(zone, fresh[observer]))
            if combined is not None:
                findings[zone][observer] = combined
    return findings


def _observations_of(location: str, digests: list[ObservationDigest]) -> list[LocationObservation]:
    return [digest.observations[location] for digest in digests if location in digest.observations]


def combine_observations(observations: list[LocationObservation]) -> GroupFindings | None:
    """One group's findings: the median of observers with enough attempts; None: nobody has tried.

    Where too few observers have enough, all attempts are pooled; no observer counts for more than twice the
    median number of attempts.
    """
    tried = [one for one in observations if one.attempts]
    if not tried:
        return None
    attempts = sum(one.attempts for one in tried)
    sure = [one for one in tried if one.attempts >= MIN_ATTEMPTS]
    if len(sure) >= min(2, len(tried)):
        failed, late, unreached = (median(shares) for shares in zip(*map(_shares, sure), strict=True))
        return GroupFindings(failed, late, unreached, sum(one.attempts for one in sure))
    return GroupFindings(*_shares(_pooled(tried)), attempts)


def _shares(one: LocationObservation) -> tuple[int, int, int]:
    """Thousandths that failed, were late and never arrived."""
    arrived = one.attempts - one.unreached
    return (
        share_of(one.failed, arrived),
        share_of(one.late, arrived),
        share_of(one.unreached, one.attempts),
    )


def _pooled(tried: list[LocationObservation]) -> LocationObservation:
    cap = 2 * max(1, median(one.attempts for one in tried))
    attempts = failed = late = unreached = 0
    for one in tried:
        counted = min(one.attempts, cap) * WHOLE
        attempts += one.attempts * counted // one.attempts
        failed += one.failed * counted // one.attempts
        late += one.late * counted // one.attempts
        unreached += one.unreached * counted // one.attempts
    return LocationObservation(attempts=attempts, failed=failed, late=late, unreached=unreached)


def _observers_fail(observer: str, findings: Findings) -> bool:
    """Whether they report most zones as bad, and the others contradict them on most of these."""
    observed = [zone for zone, by_observer in findings.items() if observer in by_observer]
    bad = [zone for zone in observed if _is_bad(findings[zone][observer])]
    if len(bad) < 2 or 2 * len(bad) <= len(observed):
        return False
    contradicted = 0
    for zone in bad:
        others = [one for name, one in findings[zone].items() if name != observer]
        denials = sum(not _is_bad(one) for one in others)
        contradicted += bool(others) and 2 * denials > len(others)
    return 2 * contradicted > len(bad)


def _is_bad(one: GroupFindings) -> bool:
    return one.unreached >= UNREACHED_SHARE or one.failed >= UNREACHED_SHARE


def _verdict(zone: str, findings: dict[str, GroupFindings]) -> tuple[Verdict, str]:
    """Of one zone, and its reason."""
    if not findings:
        return Verdict.UNKNOWN, "nobody has tried it lately"
    unreached_by = [observer for observer, one in findings.items() if one.unreached >= UNREACHED_SHARE]
    not_one_link = len(findings) > 1 or list(findings) == [zone]  # one other group may have a bad link
    if 2 * len(unreached_by) > len(findings) and not_one_link:
        return Verdict.LOST, f"not reached by {', '.join(unreached_by)}"
    if len(unreached_by) == len(findings):
        return Verdict.UNKNOWN, f"only {unreached_by[0]} has tried it, and does not reach it"
    failed = median(one.failed for observer, one in findings.items() if observer not in unreached_by)
    if failed >= FAILING_SHARE:
        return Verdict.FAILING, f"{failed / 10:g}% of attempts fail"
    return Verdict.WELL, ""


def _assess_zone(
    zone: str,
    names: list[str],
    verdict: tuple[Verdict, str],
    findings: dict[str, GroupFindings],
    fresh: Digests,
    kept: Digests,
) -> ZoneAssessment:
    arrived = [one for one in findings.values() if one.unreached < UNREACHED_SHARE]
    by_group = [_observations_of(zone, fresh[observer] or kept[observer]) for observer in names]
    by_group = [group for group in by_group if group]
    own = fresh[zone]
    demand, by_weight = _demand(kept[zone])
    return ZoneAssessment(
        verdict[0],
        slots=median(median(one.slots for one in group) for group in by_group),
        slots_in_use=median(median(one.slots_in_use for one in group) for group in by_group),
        failed=median(one.failed for one in arrived),
        late=median(one.late for one in arrived),
        demand=demand,
        observers=len(findings),
        reason=verdict[1],
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


def _failing_links(findings: Findings, verdicts: Mapping[str, tuple[str, str]]) -> dict[str, str]:
    """Links on which one group finds a zone bad that is not lost itself."""
    found: dict[str, str] = {}
    pairs = sorted((observer, zone) for zone, by_observer in findings.items() for observer in by_observer)
    for observer, zone in pairs:
        if observer == zone or verdicts[zone][0] == Verdict.LOST:
            continue
        one = findings[zone][observer]
        others = [other for name, other in findings[zone].items() if name != observer]
        late = bool(others) and one.late >= LATE_SHARE > 2 * median(other.late for other in others)
        if one.unreached >= UNREACHED_SHARE:
            found[f"{observer}>{zone}"] = LinkState.GONE
        elif one.unreached >= DEGRADED_SHARE or late:
            found[f"{observer}>{zone}"] = LinkState.DEGRADED
    return found


def _failing_groups(names: list[str], fresh: Digests, verdicts: Mapping[str, tuple[str, str]]) -> list[str]:
    """Executor groups that fail within a zone that is well as a whole."""
    digests = [digest for by_observer in fresh.values() for digest in by_observer]
    groups = sorted({location for digest in digests for location in digest.observations if "/" in location})
    found = []
    for group in groups:
        zone = group.partition("/")[0]
        if verdicts.get(zone, ("",))[0] != Verdict.WELL:
            continue
        combined = [combine_observations(_observations_of(group, fresh[observer])) for observer in names]
        findings = [one for one in combined if one is not None]
        if findings and median(one.failed for one in findings) >= FAILING_SHARE:
            found.append(group)
    return found
