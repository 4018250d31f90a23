"""What a leader does by itself, ten times a second: expired leases, observed targets, due changes, evidence
of zones, and the comparison of versions in a release.
"""

from typing import TYPE_CHECKING

from cedarmill.cluster import canary_comparison
from cedarmill.cluster.session_tracker import AT_ONCE, LEASE_US, ExpiredLeases
from cedarmill.cluster.state import Target
from cedarmill.cluster.state_machine import dispatch, rollout
from cedarmill.cluster.state_machine.commands import (
    AdvanceTime,
    ExpireSessions,
    HaltGrants,
    RecordComparison,
    RecordZoneEvidence,
    UpdateTargets,
)
from cedarmill.cluster.state_machine.permit_states import target_key
from cedarmill.cluster.states import MemberState, StepState, TargetHealth
from cedarmill.cluster.traffic_plan.similarity import are_similar

if TYPE_CHECKING:
    from cedarmill.cluster.replica import Replica

INTERVAL_US = 100_000  # between two rounds
COMPARE_INTERVAL_US = 1_000_000
EVIDENCE_INTERVAL_US = 500_000  # between two looks at what nodes report of zones
ADMISSION_INTERVAL_US = 1_000_000  # between two reports of evidence while the admission level moves by it
REPLICA_SILENT_US = 2_000_000  # a replica that does not answer for so long counts as silent
NEW_LEADER_HALT = "the new leader has not heard most nodes yet"


def ends_by_itself(halt_reason: str) -> bool:
    """Whether a halt ends once what was observed is gone. The reason is all of it that the state holds."""
    return halt_reason == NEW_LEADER_HALT or AT_ONCE in halt_reason


class LeaderDuties:
    """Those of one replica, while it leads."""

    def __init__(self, replica: "Replica", now: int) -> None:
        self._replica = replica
        self._last_round = now
        self._last_comparison = now
        self._last_evidence = now

    def begin(self, now: int) -> None:
        """The replica has been elected."""
        self._last_round = now

    @property
    def due(self) -> int:
        """When the next round is due."""
        return self._last_round + INTERVAL_US

    def is_due(self, now: int) -> bool:
        """Whether a round is due."""
        return now >= self.due

    def carry_out(self, now: int) -> None:
        """One round."""
        replica = self._replica
        state, sessions = replica.state, replica.leadership.sessions
        sessions.excuse_stall(now)
        self._last_round = now
        sessions.forget_ended(state)
        if replica.raft.log.term(replica.raft.commit_index) != replica.raft.term:
            return  # entries of earlier terms are not known to be agreed yet
        expired = sessions.expired(now, state)
        targets, mass = replica.leadership.executors.changes(now, sessions, state)
        halt = mass or expired.disbelieved or self._new_leader_halt(now)
        self._expire(now, expired)
        self._update_targets(now, targets)
        self._halt_grants(now, halt)  # after the targets: the end of a halt grants at once
        self._record_zone_evidence(now, halt)
        self._advance_time(now)
        if now - self._last_comparison >= COMPARE_INTERVAL_US:
            self._last_comparison = now
            self._compare_releases(now)

    def _expire(self, now: int, expired: ExpiredLeases) -> None:
        state = self._replica.state
        silent = tuple(key for key in expired.silent if state.members[key].state != MemberState.SILENT)
        awaited = {key for permit in state.permits.values() if permit.out for key in permit.undrained_members}
        stopped = tuple(key for key in expired.certainly_stopped if key in awaited)
        if silent or expired.unreachable or stopped:
            command = ExpireSessions(self._replica.cluster_time(now), silent, expired.unreachable, stopped)
            self._replica.propose(now, command)

    def _update_targets(self, now: int, observed: tuple[Target, ...]) -> None:
        targets = observed + self._replica_targets(now)
        if targets:
            self._replica.propose(now, UpdateTargets(self._replica.cluster_time(now), targets))

    def _replica_targets(self, now: int) -> tuple[Target, ...]:
        """Replicas whose health has changed: taking them down is limited like anything else."""
        replica, found = self._replica, []
        for name in replica.raft.config:
            follower = replica.raft.progress.get(name)
            heard = follower is not None and now - follower.last_contact <= REPLICA_SILENT_US
            health = TargetHealth.WELL if heard or name == replica.name else TargetHealth.SILENT
            known = replica.state.targets.get(target_key("keeper", name))
            if known is None or known.health != health:
                found.append(Target("keeper", name, health=health))
        return tuple(found)

    def _halt_grants(self, now: int, reason: str) -> None:
        current = self._replica.state.halt_reason
        if reason != current and (reason or ends_by_itself(current)):
            self._replica.propose(now, HaltGrants(self._replica.cluster_time(now), reason))

    def _new_leader_halt(self, now: int) -> str:
        """A new leader grants nothing before most nodes have reported all: the state may be old."""
        replica = self._replica
        leadership = replica.leadership
        if replica.state.halt_reason != NEW_LEADER_HALT or now - leadership.elected_at > LEASE_US:
            return ""
        nodes = [node for node in replica.state.members_of("node") if node.state != MemberState.SILENT]
        sessions = leadership.sessions.by_key
        reported = sum(node.key in sessions and sessions[node.key].reported_all for node in nodes)
        return "" if 2 * reported > len(nodes) or not nodes else NEW_LEADER_HALT

    def _record_zone_evidence(self, now: int, halt: str) -> None:
        """What nodes report of zones, where it differs; nothing while it is not to be believed."""
        replica = self._replica
        state, zones = replica.state, replica.leadership.zones
        if now - self._last_evidence < EVIDENCE_INTERVAL_US or not state.zoning.regions:
            return
        self._last_evidence = now
        if halt or state.halt_reason == NEW_LEADER_HALT:
            return
        members = state.members
        zones.forget(
            [key for key in zones.digests if key in members and members[key].state == MemberState.ENDED]
        )
        evidence = zones.assess(now, state.zoning.zones)
        time_us = replica.cluster_time(now)
        moves = state.admission.active and time_us - state.traffic.assessed_at >= ADMISSION_INTERVAL_US
        if moves or not are_similar(state.traffic.latest_assessment, evidence):
            replica.propose(now, RecordZoneEvidence(time_us, evidence))

    def _advance_time(self, now: int) -> None:
        time_us = self._replica.cluster_time(now)
        due = dispatch.next_due(self._replica.state)
        if due is not None and time_us >= due:
            self._replica.propose(now, AdvanceTime(time_us))

    def _compare_releases(self, now: int) -> None:
        """Compare the new version of each running release with the rest, by what nodes report."""
        state, comparisons = self._replica.state, self._replica.leadership.comparisons
        running = {found.id for found in rollout.to_compare(state)}
        for release_id in [release_id for release_id in comparisons if release_id not in running]:
            del comparisons[release_id]
        counts = self._request_counts()
        for release_id in sorted(running):
            self._compare(now, release_id, counts)

    def _compare(self, now: int, release_id: int, counts: dict[str, canary_comparison.RequestCounts]) -> None:
        found = self._replica.state.releases[release_id]
        sides = self._replica.leadership.comparisons.setdefault(
            release_id, canary_comparison.CanaryComparison(counts)
        )
        sides.update(counts, {step.unit for step in found.steps if step.state == StepState.NEW})
        worse = canary_comparison.reason_to_halt(found.plan, sides.new, sides.rest)
        sample = min(sides.new.requests, sides.rest.requests)
        if worse or found.compared_requests < found.plan.min_sample <= sample:
            command = RecordComparison(self._replica.cluster_time(now), release_id, worse, sample)
            self._replica.propose_once(now, f"judged {release_id}", command)

    def _request_counts(self) -> dict[str, canary_comparison.RequestCounts]:
        """Requests of each node's newest live incarnation, by the node's name."""
        newest: dict[str, tuple[int, canary_comparison.RequestCounts]] = {}
        for key, session in self._replica.leadership.sessions.by_key.items():
            member = self._replica.state.members.get(key)
            if member is None or member.kind != "node" or member.state != MemberState.LIVE:
                continue
            known = newest.get(member.name)
            if known is None or member.joined_at >= known[0]:
                newest[member.name] = (
                    member.joined_at,
                    canary_comparison.RequestCounts(*session.request_counts),
                )
        return {name: counts for name, (_, counts) in newest.items()}
