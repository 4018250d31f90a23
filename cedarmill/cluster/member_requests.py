"""Handles members' heartbeats at the leader, and proposes the reported changes to the replicated log."""

from typing import TYPE_CHECKING

from cedarmill.cluster import member_orders
from cedarmill.cluster.budget_grants import is_demand_similar
from cedarmill.cluster.messages import Heartbeat, HeartbeatReply
from cedarmill.cluster.session_tracker import LEASE_US, PROBERS_PER_SUSPECT
from cedarmill.cluster.state import ClusterState, Member, UnitReport, generation_of
from cedarmill.cluster.state_machine.commands import (
    AcknowledgeOrders,
    AdoptUnknownGrants,
    ConfirmDrained,
    EndMember,
    RegisterMember,
    RestoreSession,
    SetBudgetDemand,
    UpdateUnits,
)
from cedarmill.cluster.states import MemberState

if TYPE_CHECKING:
    from cedarmill.cluster.replica import Replica


class MemberRequests:
    """Handles the heartbeats that one replica receives while it is the leader."""

    def __init__(self, replica: "Replica") -> None:
        self._replica = replica

    @property
    def _state(self) -> ClusterState:
        return self._replica.state

    def on_heartbeat(self, now: int, token: int, heartbeat: Heartbeat) -> None:
        """Record a member's report; the reply is sent after this replica's leadership is confirmed."""
        key, replica = heartbeat.member_key, self._replica
        leadership = replica.leadership
        session = leadership.sessions.record(now, key, heartbeat)
        is_term_current = heartbeat.term == replica.raft.term
        session.has_full_report |= is_term_current
        if heartbeat.kind == "node":
            leadership.executors.changed_names.update(heartbeat.executors)
            if heartbeat.digest is not None and is_term_current and heartbeat.leader_timestamp >= 0:
                made_at = min(now, heartbeat.leader_timestamp + heartbeat.timestamp_age_us)
                leadership.zones.accept(made_at, key, heartbeat.digest)
        self._propose_changes(now, key, heartbeat)
        replica.router.reply_when_confirmed(now, token, heartbeat)

    def _propose_changes(self, now: int, key: str, heartbeat: Heartbeat) -> None:
        member = self._state.members.get(key)
        if member is None:
            self._register_member(now, key, heartbeat)
        elif member.state == MemberState.ENDED:
            return
        elif heartbeat.leaving:
            command = EndMember(self._replica.cluster_time(now), key, "its own word")
            self._replica.propose_once(now, f"end {key}", command)
        else:
            self._update_member(now, key, member, heartbeat)

    def _register_member(self, now: int, key: str, heartbeat: Heartbeat) -> None:
        command = RegisterMember(
            self._replica.cluster_time(now),
            heartbeat.kind,
            heartbeat.name,
            heartbeat.incarnation,
            heartbeat.zone,
            heartbeat.address,
            heartbeat.version,
            heartbeat.stops_at_lease_expiry,
            heartbeat.unit_type,
        )
        self._replica.propose_once(now, f"join {key}", command)

    def _update_member(self, now: int, key: str, member: Member, heartbeat: Heartbeat) -> None:
        if member.state != MemberState.LIVE:
            command = RestoreSession(self._replica.cluster_time(now), key)
            self._replica.propose_once(now, f"back {key}", command)
        self.confirm_drained(now, key, heartbeat)
        self._update_budgets(now, key, heartbeat)
        self._update_units(now, key, heartbeat)
        self._end_reported_members(now, heartbeat)

    def confirm_drained(self, now: int, key: str, heartbeat: Heartbeat) -> None:
        """Propose the grants that a member has drained, and its grants that the state does not contain."""
        time_us = self._replica.cluster_time(now)
        unknown = self._unknown_grants(heartbeat)
        if unknown:
            command = AdoptUnknownGrants(time_us, key, unknown)
            self._replica.propose_once(now, f"held {key} {sorted(unknown)}", command)
        drained = {
            permit.target: permit.epoch
            for permit in self._state.permits.values()
            if permit.is_out_of_service
            and key in permit.undrained_members
            and heartbeat.drained.get(permit.target) == permit.epoch
        }
        if drained:
            confirmation = ConfirmDrained(time_us, key, drained)
            self._replica.propose_once(now, f"done {key} {sorted(drained.items())}", confirmation)

    def _unknown_grants(self, heartbeat: Heartbeat) -> dict[str, int]:
        """Return the grants of earlier generations that the member follows and the state does not contain."""
        return {
            name: epoch
            for name, epoch in heartbeat.held_grants.items()
            if generation_of(epoch) < self._state.generation and not self._is_target_out(name)
        }

    def _is_target_out(self, key: str) -> bool:
        kind, _, target = key.partition(":")
        permits = self._state.permits.values()
        return any(
            permit.is_out_of_service and (permit.kind, permit.target) == (kind, target) for permit in permits
        )

    def _update_budgets(self, now: int, key: str, heartbeat: Heartbeat) -> None:
        """Propose a node's changed budget demand, and its acknowledgement of reduced budget leases."""
        state = self._state
        if heartbeat.kind != "node" or not state.budgets:
            return
        time_us, epoch = self._replica.cluster_time(now), heartbeat.orders_epoch
        grants = [by_member[key] for by_member in state.budget_grants.values() if key in by_member]
        if any(grant.previous_rate > grant.rate and grant.epoch <= epoch for grant in grants):
            acknowledgement = AcknowledgeOrders(time_us, key, epoch)
            self._replica.propose_once(now, f"follows {key} {epoch}", acknowledgement)
        changed = not is_demand_similar(state.budget_grants, key, heartbeat.budget_demand)
        if changed or len(grants) < len(state.budgets):
            demand = SetBudgetDemand(time_us, key, heartbeat.budget_demand)
            self._replica.propose_once(now, f"wants {key}", demand)

    def _update_units(self, now: int, key: str, heartbeat: Heartbeat) -> None:
        has_difference = any(
            self._unit_differs(name, UnitReport(*unit)) for name, unit in heartbeat.units.items()
        )
        if has_difference:
            command = UpdateUnits(self._replica.cluster_time(now), heartbeat.name, heartbeat.units)
            self._replica.propose_once(now, f"units {key} {heartbeat.sequence}", command)

    def _unit_differs(self, name: str, report: UnitReport) -> bool:
        unit = self._state.units.get(name)
        if unit is None:
            return True
        is_order_applied = report.applied_epoch == unit.ordered_epoch  # Exits before the order are ignored.
        exits = report.unexpected_exits if is_order_applied else unit.unexpected_exits
        known = (unit.version, unit.state, unit.unexpected_exits, unit.applied_epoch)
        return known != (report.version, report.state, exits, report.applied_epoch)

    def _end_reported_members(self, now: int, heartbeat: Heartbeat) -> None:
        """Propose the end of members whose processes a supervisor has observed to end."""
        for key in heartbeat.ended_members:
            member = self._state.members.get(key)
            if member is not None and member.state != MemberState.ENDED:
                command = EndMember(self._replica.cluster_time(now), key, f"steward {heartbeat.name}")
                self._replica.propose_once(now, f"end {key}", command)

    def reply_to(self, now: int, heartbeat: Heartbeat) -> HeartbeatReply:
        """Return the reply to a heartbeat: a lease, newer orders, and members to probe."""
        state, term = self._state, self._replica.raft.term
        member = state.members.get(heartbeat.member_key)
        if member is None or member.state == MemberState.ENDED:
            return HeartbeatReply(heartbeat.sequence, 0, term)
        has_unknown_grants = bool(self._unknown_grants(heartbeat))
        is_up_to_date = heartbeat.orders_epoch == state.orders_epoch
        orders = None if has_unknown_grants or is_up_to_date else member_orders.orders_for(state, member)
        lease_us = LEASE_US if member.state == MemberState.LIVE and not has_unknown_grants else 0
        members_to_probe = self._members_to_probe(now, member.key)
        return HeartbeatReply(heartbeat.sequence, lease_us, term, orders, members_to_probe, now)

    def _members_to_probe(self, now: int, key: str) -> dict[str, str]:
        """Return the addresses of the suspects that this member has to probe; a few members probe each."""
        sessions = self._replica.leadership.sessions
        suspects = sessions.suspects(now, self._state)
        if not suspects:
            return {}
        probers = sorted(other for other in sessions.by_key if other not in suspects)
        addresses = {}
        for suspect, address in suspects.items():
            first = sum(suspect.encode()) % max(1, len(probers))
            if key in (probers[first:] + probers[:first])[:PROBERS_PER_SUSPECT]:
                addresses[suspect] = address
        return addresses
