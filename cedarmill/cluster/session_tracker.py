"""Which members are alive: leases by the leader's own clock, probes of suspects, and disbelief of mass loss.
No I/O.

A lease is counted by its giver from when the heartbeat came, by its holder from when it was sent, and shorter
by the bound on clock rates: it ends at the holder first. A new leader counts every lease from its own
election. A leader that stood still counts the time that it was away for nobody. All times are microseconds
of the leader's monotonic clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarmill.cluster.messages import ExecutorObservation, Heartbeat
from cedarmill.cluster.state import ClusterState, Member
from cedarmill.cluster.states import MemberState

LEASE_US = 3_000_000  # that a session holds without a heartbeat
CLOCK_RATE_BOUND = 0.01  # by which one process's clock may run faster than another's: far over a quartz's
SUSPECT_AFTER_US = 1_200_000  # without a heartbeat: others are asked to probe
PROBERS = 3  # members that probe each suspect
PROBE_RESULT_US = 2_500_000  # for which the result of a probe counts
STALL_US = 500_000  # between two rounds of the leader's own: then it stood still
SPREAD_US = 1_000_000  # before its lease expires a member counts as missing already: heartbeats come spread
FEW = 2  # members that may fall silent at once and be believed
MAX_MISSING_SHARE = 0.5  # of all live members: more at once is not believed
SESSION_STATES = frozenset({MemberState.LIVE, MemberState.UNREACHABLE})  # of members whose lease counts
AT_ONCE = "at once"  # part of each halt reason that tells of mass loss


def holder_lease_end(sent_at: int, lease_us: int) -> int:
    """When a lease ends at its holder, whose heartbeat left at `sent_at`, both by the holder's clock."""
    return sent_at + int(lease_us * (1 - 2 * CLOCK_RATE_BOUND))


@dataclass(slots=True)
class Session:
    """What a leader knows of a member in addition to what is agreed."""

    heard_at: int
    was_suspended: bool = False  # by its own report: what it observes proves nothing
    request_counts: tuple[int, int, int, int] = (0, 0, 0, 0)
    executors: dict[str, ExecutorObservation] = field(default_factory=dict)
    reported_all: bool = False  # to this leader
    probed_at: int | None = None
    reachable: bool = False  # for others, by the last probes

    def reachable_now(self, now: int) -> bool:
        """Whether others have reached it lately."""
        return self.reachable and self.probed_at is not None and now - self.probed_at < PROBE_RESULT_US


class ExpiredLeases(NamedTuple):
    """Keys of members whose lease has expired, by what is believed of each.

    `disbelieved` says why nothing is believed: too many are missing at once.
    """

    silent: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()  # others reach them
    certainly_stopped: tuple[str, ...] = ()  # they stop by themselves when their lease has expired
    disbelieved: str = ""


class SessionTracker:
    """A leader's view of the members' sessions."""

    def __init__(self, now: int) -> None:
        self.by_key: dict[str, Session] = {}
        self.counted_from = now  # leases that the leader before has given may hold as long from here
        self._checked_at = now

    def record(self, now: int, key: str, heartbeat: Heartbeat) -> Session:
        """A heartbeat has come."""
        session = self.by_key.setdefault(key, Session(now))
        session.heard_at = now
        session.was_suspended = heartbeat.was_suspended
        session.request_counts = heartbeat.request_counts
        session.executors.update(heartbeat.executors)
        for other, answered in heartbeat.probe_results.items():
            if answered or not heartbeat.was_suspended:  # one that stood still accuses nobody
                self._record_probe(now, other, answered)
        return session

    def _record_probe(self, now: int, key: str, answered: bool) -> None:
        session = self.by_key.get(key)
        if session is not None:
            session.reachable = answered or session.reachable_now(now)
            session.probed_at = now

    def heard_at(self, key: str) -> int:
        """When a member was last heard; one never heard by this leader counts from its election."""
        session = self.by_key.get(key)
        return max(self.counted_from, session.heard_at) if session is not None else self.counted_from

    def excuse_stall(self, now: int) -> None:
        """To be called in each round: time for which the leader itself stood still is nobody's silence."""
        gap = now - self._checked_at
        self._checked_at = now
        if gap <= STALL_US:
            return
        self.counted_from = max(self.counted_from, min(now, self.counted_from + gap))
        for session in self.by_key.values():
            session.heard_at += gap

    def suspects(self, now: int, state: ClusterState) -> dict[str, str]:
        """Members to probe, and their addresses."""
        return {
            key: member.address
            for key, member in state.members.items()
            if _has_session(member) and member.address and now - self.heard_at(key) > SUSPECT_AFTER_US
        }

    def expired(self, now: int, state: ClusterState) -> ExpiredLeases:
        """What to believe of members whose lease has expired."""
        members = [member for member in state.members.values() if _has_session(member)]
        over = [member for member in members if now - self.heard_at(member.key) > LEASE_US]
        reachable = {member.key for member in over if self._reachable(now, member.key)}
        gone = [member for member in over if member.key not in reachable]
        if gone and (reason := self._mass_loss(now, members, reachable)):
            return ExpiredLeases(disbelieved=reason)
        return ExpiredLeases(
            silent=tuple(member.key for member in gone),
            unreachable=tuple(m.key for m in over if m.key in reachable and m.state == MemberState.LIVE),
            certainly_stopped=tuple(self._certainly_stopped(now, state)),
        )

    def _reachable(self, now: int, key: str) -> bool:
        session = self.by_key.get(key)
        return session is not None and session.reachable_now(now)

    def _mass_loss(self, now: int, members: list[Member], reachable: set[str]) -> str:
        """Why the loss is not believed, if too many live members are missing or about to be."""
        live = [member for member in members if member.state == MemberState.LIVE]
        missing = sum(
            member.key not in reachable and now - self.heard_at(member.key) > LEASE_US - SPREAD_US
            for member in live
        )
        if missing > FEW and missing > MAX_MISSING_SHARE * len(live):
            return f"{missing} of {len(live)} members fell silent {AT_ONCE}"
        return ""

    def _certainly_stopped(self, now: int, state: ClusterState) -> Iterator[str]:
        """Those that stop by themselves when their lease has expired: it has, wherever they are."""
        for member in state.members.values():
            expired = now - self.heard_at(member.key) > LEASE_US
            if member.stops_at_lease_expiry and member.state != MemberState.ENDED and expired:
                yield member.key

    def forget_ended(self, state: ClusterState) -> None:
        """Drop members that have ended."""
        ended = [
            key
            for key in self.by_key
            if key in state.members and state.members[key].state == MemberState.ENDED
        ]
        for key in ended:
            del self.by_key[key]


def _has_session(member: Member) -> bool:
    return member.state in SESSION_STATES
