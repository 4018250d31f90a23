"""The leader's periodic work: proposing commands for expired leases, target health, zones and releases."""

from typing import TYPE_CHECKING

from cedarmill.cluster import canary_comparison
from cedarmill.cluster.session_tracker import LEASE_US, MASS_LOSS_MARKER, ExpiredLeases
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

ROUND_INTERVAL_US = 100_000
COMPARISON_INTERVAL_US = 1_000_000
ZONE_EVIDENCE_INTERVAL_US = 500_000
# While admission control is active, zone evidence is proposed this often even if it has not changed.
ADMISSION_EVIDENCE_INTERVAL_US = 1_000_000
REPLICA_SILENCE_TIMEOUT_US = 2_000_000
NEW_LEADER_HALT = "the new leader has not heard most nodes yet"


def ends_automatically(halt_reason: str) -> bool:
    """Return whether a halt ends without an operator, judging by its reason: the state stores no more."""
    return halt_reason == NEW_LEADER_HALT or MASS_LOSS_MARKER in halt_reason


class LeaderDuties:
    """Runs the periodic work of a replica while it is the leader."""

    def __init__(self, replica: "Replica", now: int) -> None:
        self._replica = replica
        self._last_round = now
        self._last_comparison = now
        self._last_evidence = now

    def on_elected(self, now: int) -> None:
        """Schedule the first round one interval after the replica's election."""
        self._last_round = now

    @property
    def due(self) -> int:
        """Time of the next round (us of the replica's monotonic clock)."""
        return self._last_round + ROUND_INTERVAL_US

    def is_due(self, now: int) -> bool:
        """Return whether a round is due."""
        return now >= self.due

    def run_round(self, now: int) -> None:
        """Run one round of the leader's periodic work."""
        replica = self._replica
        state, sessions = replica.state, replica.leadership.sessions
        sessions.exclude_leader_stall(now)
        self._last_round = now
        sessions.forget_ended(state)
        if replica.raft.log.term(replica.raft.commit_index) != replica.raft.term:
            return  # Entries of earlier terms may not be committed before one of this term is.
        expired = sessions.expired(now, state)
        targets, mass_failure = replica.leadership.executors.changes(now, sessions, state)
        halt_reason = mass_failure or expired.mass_loss_reason or self._new_leader_halt(now)
        self._expire_sessions(now, expired)
        self._update_targets(now, targets)
        # The end of a halt grants permits immediately, so the targets have to be up to date before.
        self._halt_grants(now, halt_reason)
        self._record_zone_evidence(now, halt_reason)
        self._advance_time(now)
        if now - self._last_comparison >= COMPARISON_INTERVAL_US:
            self._last_comparison = now
            self._compare_releases(now)

    def _expire_sessions(self, now: int, expired: ExpiredLeases) -> None:
        state = self._replica.state
        silent = tuple(key for key in expired.silent if state.members[key].state != MemberState.SILENT)
        undrained = {
            key
            for permit in state.permits.values()
            if permit.is_out_of_service
            for key in permit.undrained_members
        }
        stopped = tuple(key for key in expired.certainly_stopped if key in undrained)
        if silent or expired.unreachable or stopped:
            command = ExpireSessions(self._replica.cluster_time(now), silent, expired.unreachable, stopped)
            self._replica.propose(now, command)

    def _update_targets(self, now: int, observed: tuple[Target, ...]) -> None:
        targets = observed + self._replica_targets(now)
        if targets:
            self._replica.propose(now, UpdateTargets(self._replica.cluster_time(now), targets))

    def _replica_targets(self, now: int) -> tuple[Target, ...]:
        """Return the replicas whose health has changed; limits apply to them as to other targets."""
        replica, changed = self._replica, []
        for name in replica.raft.config:
            follower = replica.raft.progress.get(name)
            is_responsive = follower is not None and now - follower.last_contact <= REPLICA_SILENCE_TIMEOUT_US
            health = TargetHealth.HEALTHY if is_responsive or name == replica.name else TargetHealth.SILENT
            recorded = replica.state.targets.get(target_key("keeper", name))
            if recorded is None or recorded.health != health:
                changed.append(Target("keeper", name, health=health))
        return tuple(changed)

    def _halt_grants(self, now: int, reason: str) -> None:
        current = self._replica.state.halt_reason
        if reason != current and (reason or ends_automatically(current)):
            self._replica.propose(now, HaltGrants(self._replica.cluster_time(now), reason))

    def _new_leader_halt(self, now: int) -> str:
        """Return the reason to halt grants until most nodes have sent a full report, or "" if they have.

        A new leader's state may be outdated. The halt ends after one lease time even without these reports.
        """
        replica = self._replica
        leadership = replica.leadership
        if replica.state.halt_reason != NEW_LEADER_HALT or now - leadership.elected_at > LEASE_US:
            return ""
        nodes = [node for node in replica.state.members_of("node") if node.state != MemberState.SILENT]
        sessions = leadership.sessions.by_key
        reported = sum(node.key in sessions and sessions[node.key].has_full_report for node in nodes)
        return "" if 2 * reported > len(nodes) or not nodes else NEW_LEADER_HALT

    def _record_zone_evidence(self, now: int, halt_reason: str) -> None:
        """Propose changed zone evidence from the nodes' reports, unless a halt makes them unreliable."""
        replica = self._replica
        state, zones = replica.state, replica.leadership.zones
        if now - self._last_evidence < ZONE_EVIDENCE_INTERVAL_US or not state.zone_layout.regions:
            return
        self._last_evidence = now
        if halt_reason or state.halt_reason == NEW_LEADER_HALT:
            return
        members = state.members
        zones.forget(
            [key for key in zones.digests if key in members and members[key].state == MemberState.ENDED]
        )
        evidence = zones.assess(now, state.zone_layout.zones)
        time_us = replica.cluster_time(now)
        is_admission_update_due = (
            state.admission.active and time_us - state.traffic.assessed_at >= ADMISSION_EVIDENCE_INTERVAL_US
        )
        if is_admission_update_due or not are_similar(state.traffic.latest_assessment, evidence):
            replica.propose(now, RecordZoneEvidence(time_us, evidence))

    def _advance_time(self, now: int) -> None:
        time_us = self._replica.cluster_time(now)
        due = dispatch.next_due(self._replica.state)
        if due is not None and time_us >= due:
            self._replica.propose(now, AdvanceTime(time_us))

    def _compare_releases(self, now: int) -> None:
        """Compare the new version of each running release with the old one by the nodes' request counts."""
        state, comparisons = self._replica.state, self._replica.leadership.comparisons
        running = {release.id for release in rollout.releases_to_compare(state)}
        for release_id in [release_id for release_id in comparisons if release_id not in running]:
            del comparisons[release_id]
        counts = self._request_counts()
        for release_id in sorted(running):
            self._compare_release(now, release_id, counts)

    def _compare_release(
        self, now: int, release_id: int, counts: dict[str, canary_comparison.RequestCounts]
    ) -> None:
        release = self._replica.state.releases[release_id]
        comparison = self._replica.leadership.comparisons.setdefault(
            release_id, canary_comparison.CanaryComparison(counts)
        )
        comparison.update(counts, {step.unit for step in release.steps if step.state == StepState.NEW})
        halt_reason = canary_comparison.reason_to_halt(
            release.plan, comparison.new_counts, comparison.rest_counts
        )
        sample_size = min(comparison.new_counts.requests, comparison.rest_counts.requests)
        if halt_reason or release.compared_requests < release.plan.min_sample <= sample_size:
            command = RecordComparison(self._replica.cluster_time(now), release_id, halt_reason, sample_size)
            self._replica.propose_once(now, f"judged {release_id}", command)

    def _request_counts(self) -> dict[str, canary_comparison.RequestCounts]:
        """Return the request counts of each node's newest live incarnation, by the node's name."""
        newest: dict[str, tuple[int, canary_comparison.RequestCounts]] = {}
        for key, session in self._replica.leadership.sessions.by_key.items():
            member = self._replica.state.members.get(key)
            if member is None or member.kind != "node" or member.state != MemberState.LIVE:
                continue
            current = newest.get(member.name)
            if current is None or member.joined_at >= current[0]:
                newest[member.name] = (
                    member.joined_at,
                    canary_comparison.RequestCounts(*session.request_counts),
                )
        return {name: counts for name, (_, counts) in newest.items()}
