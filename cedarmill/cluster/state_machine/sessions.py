"""Commands for member sessions (nodes and process supervisors): registration, expiry, restoration and end."""

from cedarmill.cluster import budget_grants
from cedarmill.cluster.state import ClusterState, Member, Target
from cedarmill.cluster.state_machine import drains
from cedarmill.cluster.state_machine.command import Command, Handlers
from cedarmill.cluster.state_machine.permit_states import apply_event, target_key
from cedarmill.cluster.states import MemberState, PermitState, TargetHealth

ENDED_MEMBER_RETENTION_US = 600_000_000
MAX_LEASE_EXPIRIES = 8  # latest lease expiries kept for each member


class RegisterMember(Command, tag="joined", frozen=True):
    """Register a process that has opened a session; `incarnation` distinguishes processes of one name."""

    kind: str
    name: str
    incarnation: str
    zone: str
    address: str
    version: str
    stops_at_lease_expiry: bool
    unit_type: str = ""


class ExpireSessions(Command, tag="lapsed", frozen=True):
    """Record expired leases, by member key.

    Other members still reach the `unreachable` members, and are not known to reach the `silent` ones. The
    `certainly_stopped` members stop sending at lease expiry and have done so by now.
    """

    silent: tuple[str, ...]
    unreachable: tuple[str, ...] = ()
    certainly_stopped: tuple[str, ...] = ()


class RestoreSession(Command, tag="back", frozen=True):
    """Restore the session of a member whose lease had expired."""

    member_key: str


class EndMember(Command, tag="ended", frozen=True):
    """Record that a process has ended, as reported by the process or its supervisor."""

    member_key: str
    reason: str


def register_member(state: ClusterState, command: RegisterMember) -> None:
    """Add an incarnation of a member; ignore an incarnation that has ended."""
    member = Member(
        kind=command.kind,
        name=command.name,
        incarnation=command.incarnation,
        zone=command.zone,
        address=command.address,
        version=command.version,
        stops_at_lease_expiry=command.stops_at_lease_expiry,
        state_since=state.clock,
        joined_at=state.clock,
    )
    existing = state.members.get(member.key)
    if existing is not None and existing.state == MemberState.ENDED:
        return
    state.members[member.key] = member
    drains.member_joined(state, member.key)
    _note_membership_change(state, member)
    if member.kind == "node":
        _register_node_target(state, member, command.unit_type)
    state.orders_epoch = state.epoch
    _remove_ended_members(state)


def _register_node_target(state: ClusterState, member: Member, unit_type: str) -> None:
    key = target_key("node", member.name)
    target = state.targets.setdefault(key, Target("node", member.name))
    target.zone, target.type = member.zone, unit_type
    _update_node_health(state, member.name)


def _remove_ended_members(state: ClusterState) -> None:
    for key, member in list(state.members.items()):
        if member.state == MemberState.ENDED and state.clock - member.state_since > ENDED_MEMBER_RETENTION_US:
            del state.members[key]


def _update_node_health(state: ClusterState, name: str) -> None:
    """Set a node's health: `well` if any incarnation is live or unreachable, and `silent` otherwise."""
    target = state.targets.get(target_key("node", name))
    if target is None:
        return
    incarnations = [m for m in state.members.values() if m.kind == "node" and m.name == name]
    is_present = any(member.state in (MemberState.LIVE, MemberState.UNREACHABLE) for member in incarnations)
    health = TargetHealth.HEALTHY if is_present else TargetHealth.SILENT
    if target.health != health:
        target.health, target.health_since = health, state.clock


def _change_state(state: ClusterState, key: str, new_state: MemberState) -> Member | None:
    """Set a member's state; return None if the member is unknown, has ended or is already in that state."""
    member = state.members.get(key)
    if member is None or member.state in (new_state, MemberState.ENDED):
        return None
    member.state, member.state_since = new_state, state.clock
    if member.kind == "node":
        _update_node_health(state, member.name)
    _note_membership_change(state, member)
    return member


def _note_membership_change(state: ClusterState, member: Member) -> None:
    """Make gossiping nodes refresh their peer lists after a change of the nodes."""
    if state.zone_layout.gossip and member.kind == "node":
        state.membership_epoch = state.orders_epoch = state.epoch


def expire_sessions(state: ClusterState, command: ExpireSessions) -> None:
    """Mark members whose leases have expired, and release their budget leases."""
    for key in command.silent:
        if (member := _change_state(state, key, MemberState.SILENT)) is not None:
            member.lease_expiries = [*member.lease_expiries, state.clock][-MAX_LEASE_EXPIRIES:]
            state.log_for_operators(f"{member.kind} {member.name} is silent")
            _lose_supervised_permits(state, member)
    for key in command.unreachable:
        if (member := _change_state(state, key, MemberState.UNREACHABLE)) is not None:
            state.log_for_operators(
                f"{member.kind} {member.name} reaches no keeper, others reach it: it serves on"
            )
    for key in command.certainly_stopped:
        drains.member_ended(state, key)
    for key in (*command.silent, *command.unreachable):
        budget_grants.release(state, key)  # a lease ends at the holder before it ends here


def _supervises(state: ClusterState, member: Member, unit_name: str) -> bool:
    unit = state.units.get(unit_name)
    return unit is not None and unit.supervisor == member.name


def _lose_supervised_permits(state: ClusterState, member: Member) -> None:
    """Mark permits as lost for units that a silent supervisor was updating; they still count as out."""
    if member.kind != "steward":
        return
    for permit in state.permits.values():
        is_held_by_release = permit.kind == "node" and permit.holder.startswith("release:")
        if is_held_by_release and _supervises(state, member, permit.target):
            apply_event(state, permit, "lose")


def restore_session(state: ClusterState, command: RestoreSession) -> None:
    """Mark a member as live again; a supervisor also regains the lost permits of its units."""
    member = _change_state(state, command.member_key, MemberState.LIVE)
    if member is None:
        return
    state.log_for_operators(f"{member.kind} {member.name} is back")
    if member.kind != "steward":
        return
    for permit in state.permits.values():
        if permit.state == PermitState.LOST and _supervises(state, member, permit.target):
            apply_event(state, permit, "find")


def record_end(state: ClusterState, command: EndMember) -> None:
    """Mark a member as ended, as reported by its process or its supervisor."""
    end_member(state, command.member_key, command.reason)


def end_member(state: ClusterState, key: str, reason: str) -> None:
    """Mark a member as ended, drop its outstanding drain confirmations and release its budget leases."""
    member = _change_state(state, key, MemberState.ENDED)
    if member is None:
        return
    state.log_for_operators(f"{member.kind} {member.name} has ended: {reason}")
    drains.member_ended(state, key)
    budget_grants.release(state, key)


HANDLERS: Handlers = {
    RegisterMember: register_member,
    ExpireSessions: expire_sessions,
    RestoreSession: restore_session,
    EndMember: record_end,
}
