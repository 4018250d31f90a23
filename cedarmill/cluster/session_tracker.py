"""Failure detection of members at the leader: leases, probes of suspects, and rejection of mass losses.
No I/O.

The leader counts a lease from the arrival of a heartbeat; the holder counts it from the sending, shortened by
the bound on clock rates, so a lease ends first at its holder. A new leader counts every lease from its own
election. The time for which a leader was suspended is not counted as silence of any member. All times are
microseconds of the leader's monotonic clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.messages import ExecutorObservation, Heartbeat
from cedarmill.cluster.state import ClusterState, Member
from cedarmill.cluster.states import MemberState

# A session ends this long after its last heartbeat.
LEASE_US = 3_000_000
# The largest relative difference between the rates of two clocks, far above that of quartz oscillators.
CLOCK_RATE_BOUND = 0.01
# Other members probe a member that has sent no heartbeat for this long.
SUSPECT_SILENCE_US = 1_200_000
PROBERS_PER_SUSPECT = 3
PROBE_RESULT_VALIDITY_US = 2_500_000
# A longer gap between two rounds means that the leader itself was suspended.
STALL_THRESHOLD_US = 500_000
# Heartbeats arrive spread over this time, so the check for a mass loss counts a member as missing
# this long before its lease expires.
HEARTBEAT_SPREAD_US = 1_000_000
# So many members may fall silent together without the loss being rejected.
MAX_PLAUSIBLE_LOSSES = 2
# A larger share of the live members falling silent together is rejected as implausible.
MAX_MISSING_SHARE = 0.5
# Members in these states have a lease that can expire.
STATES_WITH_LEASE = frozenset({MemberState.LIVE, MemberState.UNREACHABLE})
# A part of each halt reason that reports a mass loss; `leader_duties` searches for it.
MASS_LOSS_MARKER = "at once"


def holder_lease_end(sent_at: int, lease_us: int) -> int:
    """Return the end of a lease at its holder, whose heartbeat was sent at `sent_at` by the same clock."""
    return sent_at + int(lease_us * (1 - 2 * CLOCK_RATE_BOUND))


@dataclass(slots=True)
class Session:
    """The leader's local data on a member, beyond the replicated state."""

    last_heartbeat_at: int
    was_suspended: bool = False  # reported by the member, whose observations are then unreliable
    request_counts: tuple[int, int, int, int] = (0, 0, 0, 0)
    executors: dict[str, ExecutorObservation] = field(default_factory=dict)
    has_full_report: bool = False  # whether this leader has a full report
    probed_at: int | None = None
    has_answered_probe: bool = False  # whether another member has recently reached the member

    def is_reachable(self, now: int) -> bool:
        """Return whether other members have recently reached the member."""
        return (
            self.has_answered_probe
            and self.probed_at is not None
            and now - self.probed_at < PROBE_RESULT_VALIDITY_US
        )


class ExpiredLeases(NamedTuple):
    """Keys of members whose lease has expired, grouped by the conclusion for each member.

    `mass_loss_reason` is the reason for drawing no conclusion: too many members are missing together.
    """

    silent: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()  # Other members still reach these.
    certainly_stopped: tuple[str, ...] = ()  # These stop by themselves when their lease expires.
    mass_loss_reason: str = ""


class SessionTracker:
    """Tracks the sessions of all members at the leader."""

    def __init__(self, now: int) -> None:
        self.by_key: dict[str, Session] = {}
        # Leases granted by the previous leader may last a full lease duration from this time.
        self.leases_counted_from = now
        self._last_round_at = now

    def record(self, now: int, key: str, heartbeat: Heartbeat) -> Session:
        """Update the session of a member from its heartbeat, and return it."""
        session = self.by_key.setdefault(key, Session(now))
        session.last_heartbeat_at = now
        session.was_suspended = heartbeat.was_suspended
        session.request_counts = heartbeat.request_counts
        session.executors.update(heartbeat.executors)
        for other, answered in heartbeat.probe_results.items():
            if answered or not heartbeat.was_suspended:  # A suspended prober proves no failure.
                self._record_probe_result(now, other, answered)
        return session

    def _record_probe_result(self, now: int, key: str, answered: bool) -> None:
        session = self.by_key.get(key)
        if session is not None:
            session.has_answered_probe = answered or session.is_reachable(now)
            session.probed_at = now

    def last_heartbeat_at(self, key: str) -> int:
        """Return when the last heartbeat of a member arrived, but no time before `leases_counted_from`."""
        session = self.by_key.get(key)
        return (
            max(self.leases_counted_from, session.last_heartbeat_at)
            if session is not None
            else self.leases_counted_from
        )

    def exclude_leader_stall(self, now: int) -> None:
        """Exclude a suspension of the leader from the silence of all members; called in each round."""
        gap = now - self._last_round_at
        self._last_round_at = now
        if gap <= STALL_THRESHOLD_US:
            return
        self.leases_counted_from = max(self.leases_counted_from, min(now, self.leases_counted_from + gap))
        for session in self.by_key.values():
            session.last_heartbeat_at += gap

    def suspects(self, now: int, state: ClusterState) -> dict[str, str]:
        """Return the addresses of the members to probe, by member key."""
        return {
            key: member.address
            for key, member in state.members.items()
            if _has_lease(member)
            and member.address
            and now - self.last_heartbeat_at(key) > SUSPECT_SILENCE_US
        }

    def expired(self, now: int, state: ClusterState) -> ExpiredLeases:
        """Classify the members whose lease has expired."""
        members = [member for member in state.members.values() if _has_lease(member)]
        lapsed = [member for member in members if now - self.last_heartbeat_at(member.key) > LEASE_US]
        reachable = {member.key for member in lapsed if self._is_reachable(now, member.key)}
        missing_members = [member for member in lapsed if member.key not in reachable]
        if missing_members and (reason := self._mass_loss_reason(now, members, reachable)):
            return ExpiredLeases(mass_loss_reason=reason)
        return ExpiredLeases(
            silent=tuple(member.key for member in missing_members),
            unreachable=tuple(m.key for m in lapsed if m.key in reachable and m.state == MemberState.LIVE),
            certainly_stopped=tuple(self._certainly_stopped(now, state)),
        )

    def _is_reachable(self, now: int, key: str) -> bool:
        session = self.by_key.get(key)
        return session is not None and session.is_reachable(now)

    def _mass_loss_reason(self, now: int, members: list[Member], reachable: set[str]) -> str:
        """Return why a loss is implausible if too many live members are missing or about to be, or ""."""
        live = [member for member in members if member.state == MemberState.LIVE]
        missing = sum(
            member.key not in reachable
            and now - self.last_heartbeat_at(member.key) > LEASE_US - HEARTBEAT_SPREAD_US
            for member in live
        )
        if missing > MAX_PLAUSIBLE_LOSSES and missing > MAX_MISSING_SHARE * len(live):
            return f"{missing} of {len(live)} members fell silent {MASS_LOSS_MARKER}"
        return ""

    def _certainly_stopped(self, now: int, state: ClusterState) -> Iterator[str]:
        """Yield the members that stop at lease expiry, and whose lease has certainly expired."""
        for member in state.members.values():
            expired = now - self.last_heartbeat_at(member.key) > LEASE_US
            if member.stops_at_lease_expiry and member.state != MemberState.ENDED and expired:
                yield member.key

    def forget_ended(self, state: ClusterState) -> None:
        """Remove the sessions of members that have ended."""
        ended = [
            key
            for key in self.by_key
            if key in state.members and state.members[key].state == MemberState.ENDED
        ]
        for key in ended:
            del self.by_key[key]


def _has_lease(member: Member) -> bool:
    return member.state in STATES_WITH_LEASE
