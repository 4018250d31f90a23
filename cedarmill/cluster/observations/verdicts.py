"""Verdicts on zones, links and executor groups by vote of the observer groups.

The observers of one zone form an observer group, and each group has one vote on each zone, so that no single
observer, zone or repeated digest outvotes the rest. The votes distinguish failing executors (reported by all
groups), a failing link (one group reports one other zone), failing observers (one group reports most other
zones), high load (late requests without failures) and missing digests.
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

MIN_ATTEMPTS = 4  # of one node, below which its attempts are pooled with those of others
UNREACHED_SHARE = 500  # thousandths of attempts without a connection that mark a zone as unreached
DEGRADED_LINK_SHARE = 100  # thousandths of attempts without a connection that mark a link as degraded
FAILING_SHARE = 150  # thousandths of failed attempts that mark executors as failing
LATE_SHARE = 300  # thousandths of late requests that mark a link as degraded


class Verdict(StrEnum):
    """The combined verdict of all observer groups on a zone."""

    HEALTHY = "well"
    FAILING = "ill"
    LOST = "lost"
    UNKNOWN = "unknown"


class LinkState(StrEnum):
    """The fault of a link from one zone to another."""

    GONE = "gone"
    DEGRADED = "thin"


class ZoneVerdict(NamedTuple):
    """The verdict on a zone and its reason."""

    verdict: Verdict
    reason: str = ""


class GroupFindings(msgspec.Struct, array_like=True, frozen=True):
    """One observer group's findings on a zone or executor group; shares are in thousandths."""

    failed: int
    late: int
    unreached: int
    attempts: int


Findings = dict[str, dict[str, GroupFindings]]  # by observed zone, then by observing zone
Digests = dict[str, list[ObservationDigest]]  # by observing zone


def group_findings(names: list[str], fresh: Digests) -> Findings:
    """Return the findings of each observer group on each zone that its nodes report."""
    findings: Findings = {zone: {} for zone in names}
    for observer in names:
        locations = {location for digest in fresh[observer] for location in digest.observations}
        for zone in sorted(locations & findings.keys()):
            combined = combine_observations(observations_of(zone, fresh[observer]))
            if combined is not None:
                findings[zone][observer] = combined
    return findings


def observations_of(location: str, digests: list[ObservationDigest]) -> list[LocationObservation]:
    """Return the observations of one location in the given digests."""
    return [digest.observations[location] for digest in digests if location in digest.observations]


def combine_observations(observations: list[LocationObservation]) -> GroupFindings | None:
    """Return one observer group's findings, or None without any attempt.

    The findings are medians over the observers with at least MIN_ATTEMPTS attempts. If too few observers have
    that many, all attempts are pooled, where each observer counts for at most twice the median number.
    """
    with_attempts = [observation for observation in observations if observation.attempts]
    if not with_attempts:
        return None
    attempts = sum(observation.attempts for observation in with_attempts)
    with_min_attempts = [observation for observation in with_attempts if observation.attempts >= MIN_ATTEMPTS]
    if len(with_min_attempts) >= min(2, len(with_attempts)):
        failed, late, unreached = (
            median(shares) for shares in zip(*map(_outcome_shares, with_min_attempts), strict=True)
        )
        return GroupFindings(
            failed, late, unreached, sum(observation.attempts for observation in with_min_attempts)
        )
    return GroupFindings(*_outcome_shares(_pool_observations(with_attempts)), attempts)


def _outcome_shares(observation: LocationObservation) -> tuple[int, int, int]:
    """Return the shares (thousandths) of failed, late and unreached attempts."""
    arrived = observation.attempts - observation.unreached
    return (
        share_of(observation.failed, arrived),
        share_of(observation.late, arrived),
        share_of(observation.unreached, observation.attempts),
    )


def _pool_observations(with_attempts: list[LocationObservation]) -> LocationObservation:
    max_counted = 2 * max(1, median(observation.attempts for observation in with_attempts))
    attempts = failed = late = unreached = 0
    for observation in with_attempts:
        counted = min(observation.attempts, max_counted) * WHOLE
        attempts += observation.attempts * counted // observation.attempts
        failed += observation.failed * counted // observation.attempts
        late += observation.late * counted // observation.attempts
        unreached += observation.unreached * counted // observation.attempts
    return LocationObservation(attempts=attempts, failed=failed, late=late, unreached=unreached)


def are_observers_failing(observer: str, findings: Findings) -> bool:
    """Return whether a group reports most zones as bad and other groups contradict most of these reports."""
    observed = [zone for zone, by_observer in findings.items() if observer in by_observer]
    bad_zones = [zone for zone in observed if _is_failing_or_unreached(findings[zone][observer])]
    if len(bad_zones) < 2 or 2 * len(bad_zones) <= len(observed):
        return False
    contradicted_count = 0
    for zone in bad_zones:
        others = [finding for name, finding in findings[zone].items() if name != observer]
        contradicting = sum(not _is_failing_or_unreached(finding) for finding in others)
        contradicted_count += bool(others) and 2 * contradicting > len(others)
    return 2 * contradicted_count > len(bad_zones)


def _is_failing_or_unreached(finding: GroupFindings) -> bool:
    return finding.unreached >= UNREACHED_SHARE or finding.failed >= UNREACHED_SHARE


def verdict_on(zone: str, findings: dict[str, GroupFindings]) -> ZoneVerdict:
    """Return the verdict on one zone from the findings of all observer groups."""
    if not findings:
        return ZoneVerdict(Verdict.UNKNOWN, "no observer has recent attempts")
    unreached_by = [
        observer for observer, finding in findings.items() if finding.unreached >= UNREACHED_SHARE
    ]
    # A single other group may have a faulty link to the zone.
    is_not_single_link = len(findings) > 1 or list(findings) == [zone]
    if 2 * len(unreached_by) > len(findings) and is_not_single_link:
        return ZoneVerdict(Verdict.LOST, f"unreachable from {', '.join(unreached_by)}")
    if len(unreached_by) == len(findings):
        return ZoneVerdict(Verdict.UNKNOWN, f"only observed by {unreached_by[0]}, which cannot connect")
    failed = median(finding.failed for observer, finding in findings.items() if observer not in unreached_by)
    if failed >= FAILING_SHARE:
        return ZoneVerdict(Verdict.FAILING, f"{failed / 10:g}% of attempts fail")
    return ZoneVerdict(Verdict.HEALTHY)


def failing_links(findings: Findings, verdicts: Mapping[str, ZoneVerdict]) -> dict[str, str]:
    """Return the faulty links, by `from>to`, to zones that are not lost themselves."""
    links: dict[str, str] = {}
    pairs = sorted((observer, zone) for zone, by_observer in findings.items() for observer in by_observer)
    for observer, zone in pairs:
        if observer == zone or verdicts[zone].verdict == Verdict.LOST:
            continue
        finding = findings[zone][observer]
        others = [other for name, other in findings[zone].items() if name != observer]
        late = bool(others) and finding.late >= LATE_SHARE > 2 * median(other.late for other in others)
        if finding.unreached >= UNREACHED_SHARE:
            links[f"{observer}>{zone}"] = LinkState.GONE
        elif finding.unreached >= DEGRADED_LINK_SHARE or late:
            links[f"{observer}>{zone}"] = LinkState.DEGRADED
    return links


def failing_groups(names: list[str], fresh: Digests, verdicts: Mapping[str, ZoneVerdict]) -> list[str]:
    """Return the failing executor groups of zones that are healthy as a whole."""
    digests = [digest for by_observer in fresh.values() for digest in by_observer]
    groups = sorted({location for digest in digests for location in digest.observations if "/" in location})
    failing = []
    for group in groups:
        zone = group.partition("/")[0]
        if zone not in verdicts or verdicts[zone].verdict != Verdict.HEALTHY:
            continue
        combined = [combine_observations(observations_of(group, fresh[observer])) for observer in names]
        findings = [finding for finding in combined if finding is not None]
        if findings and median(finding.failed for finding in findings) >= FAILING_SHARE:
            failing.append(group)
    return failing
