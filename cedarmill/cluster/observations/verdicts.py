"""What the observer groups say of zones, links and executor groups.

No observer, no zone of observers and no repeated digest outvotes the rest: the observers of one zone form one
observer group, and each group has one vote on each zone. This tells apart failing executors (all groups
report them), a failing link (one group reports one other zone), failing observers (one group reports most
other zones), high load (late requests without failures) and missing digests.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from cedarmill.cluster.observations.digest import (
    WHOLE,
    LocationObservation,
    ObservationDigest,
    median,
    share_of,
)

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


class ZoneVerdict(NamedTuple):
    """The verdict on a zone, and its reason."""

    verdict: Verdict
    reason: str = ""


class GroupFindings(msgspec.Struct, array_like=True, frozen=True):
    """What one observer group says of a zone or executor group; shares are thousandths."""

    failed: int
    late: int
    unreached: int
    attempts: int


Findings = dict[str, dict[str, GroupFindings]]  # by the zone observed, then by the observing zone
Digests = dict[str, list[ObservationDigest]]  # by the observing zone


def group_findings(names: list[str], fresh: Digests) -> Findings:
    """What each observer group says of each zone that its nodes report."""
    findings: Findings = {zone: {} for zone in names}
    for observer in names:
        locations = {location for digest in fresh[observer] for location in digest.observations}
        for zone in sorted(locations & findings.keys()):
            combined = combine_observations(observations_of(zone, fresh[observer]))
            if combined is not None:
                findings[zone][observer] = combined
    return findings


def observations_of(location: str, digests: list[ObservationDigest]) -> list[LocationObservation]:
    """The observations of one location in these digests."""
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


def observers_fail(observer: str, findings: Findings) -> bool:
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


def verdict_on(zone: str, findings: dict[str, GroupFindings]) -> ZoneVerdict:
    """The verdict on one zone by the findings of all observer groups."""
    if not findings:
        return ZoneVerdict(Verdict.UNKNOWN, "nobody has tried it lately")
    unreached_by = [observer for observer, one in findings.items() if one.unreached >= UNREACHED_SHARE]
    not_one_link = len(findings) > 1 or list(findings) == [zone]  # one other group may have a bad link
    if 2 * len(unreached_by) > len(findings) and not_one_link:
        return ZoneVerdict(Verdict.LOST, f"not reached by {', '.join(unreached_by)}")
    if len(unreached_by) == len(findings):
        return ZoneVerdict(Verdict.UNKNOWN, f"only {unreached_by[0]} has tried it, and does not reach it")
    failed = median(one.failed for observer, one in findings.items() if observer not in unreached_by)
    if failed >= FAILING_SHARE:
        return ZoneVerdict(Verdict.FAILING, f"{failed / 10:g}% of attempts fail")
    return ZoneVerdict(Verdict.WELL)


def failing_links(findings: Findings, verdicts: Mapping[str, ZoneVerdict]) -> dict[str, str]:
    """Links on which one group finds a zone bad that is not lost itself."""
    found: dict[str, str] = {}
    pairs = sorted((observer, zone) for zone, by_observer in findings.items() for observer in by_observer)
    for observer, zone in pairs:
        if observer == zone or verdicts[zone].verdict == Verdict.LOST:
            continue
        one = findings[zone][observer]
        others = [other for name, other in findings[zone].items() if name != observer]
        late = bool(others) and one.late >= LATE_SHARE > 2 * median(other.late for other in others)
        if one.unreached >= UNREACHED_SHARE:
            found[f"{observer}>{zone}"] = LinkState.GONE
        elif one.unreached >= DEGRADED_SHARE or late:
            found[f"{observer}>{zone}"] = LinkState.DEGRADED
    return found


def failing_groups(names: list[str], fresh: Digests, verdicts: Mapping[str, ZoneVerdict]) -> list[str]:
    """Executor groups that fail within a zone that is well as a whole."""
    digests = [digest for by_observer in fresh.values() for digest in by_observer]
    groups = sorted({location for digest in digests for location in digest.observations if "/" in location})
    found = []
    for group in groups:
        zone = group.partition("/")[0]
        if zone not in verdicts or verdicts[zone].verdict != Verdict.WELL:
            continue
        combined = [combine_observations(observations_of(group, fresh[observer])) for observer in names]
        findings = [one for one in combined if one is not None]
        if findings and median(one.failed for one in findings) >= FAILING_SHARE:
            found.append(group)
    return found
