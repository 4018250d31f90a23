"""Sessions of members (nodes and process supervisors): joining, lease expiry, return and end."""

from cedarmill.cluster import budget_grants
from cedarmill.cluster.state import ClusterState, Member, Target
from cedarmill.cluster.state_machine import drains
from cedarmill.cluster.state_machine.command import Command, Handlers
from cedarmill.cluster.state_machine.permit_states import move, target_key
from cedarmill.cluster.states import MemberState, PermitState, TargetHealth

ENDED_KEPT_US = 600_000_000  # how long an incarnation that has ended is still listed
LAPSES_KEPT = 8  # lease expiries remembered of each member


class RegisterMember(Command, tag="joined", frozen=True):
    """A process has opened a session; `incarnation` tells it from earlier processes of the same name."""

    kind: str
    name: str
    incarnation: str
    zone: str
    address: str
    version: str
    stops_at_lease_expiry: bool
    unit_type: str = ""


class ExpireSessions(Command, tag="lapsed", frozen=True):
    """Leases have expired, by member key.

    `unreachable` members are still reached by others. `certainly_stopped` members stop sending when their
    lease has expired, and have done so by now.
    """

    silent: tuple[str, ...]
    unreachable: tuple[str, ...] = ()
    certainly_stopped: tuple[str, ...] = ()


class RestoreSession(Command, tag="back", frozen=True):
    """A session whose lease had expired is renewed."""

    member_key: str


class EndMember(Command, tag="ended", frozen=True):
    """A process has ended, as it or its process supervisor reports."""

    member_key: str
    reason: str


def register(state: ClusterState, command: RegisterMember) -> None:
    """Enter a new incarnation of a member; one that has ended does not return."""
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
    known = state.members.get(member.key)
    if known is not None and known.state == MemberState.ENDED:
        return
    state.members[member.key] = member
    drains.member_joined(state, member.key)
    _note_membership_change(state, member)
    if member.kind == "node":
        _register_node_target(state, member, command.unit_type)
    state.orders_epoch = state.epoch
    _forget_ended(state)


def _register_node_target(state: ClusterState, member: Member, unit_type: str) -> None:
    key = target_key("node", member.name)
    target = state.targets.setdefault(key, Target("node", member.name))
    target.zone, target.type = member.zone, unit_type
    _update_node_health(state, member.name)


def _forget_ended(state: ClusterState) -> None:
    for key, member in list(state.members.items()):
        if member.state == MemberState.ENDED and state.clock - member.state_since > ENDED_KEPT_US:
            del state.members[key]


def _update_node_health(state: ClusterState, name: str) -> None:
    """A node is there while any of its incarnations is."""
    target = state.targets.get(target_key("node", name))
    if target is None:
        return
    incarnations = [m for m in state.members.values() if m.kind == "node" and m.name == name]
    present = any(member.state in (MemberState.LIVE, MemberState.UNREACHABLE) for member in incarnations)
    health = TargetHealth.WELL if present else TargetHealth.SILENT
    if target.health != health:
        target.health, target.health_since = health, state.clock


def _change_state(state: ClusterState, key: str, new_state: MemberState) -> Member | None:
    """Set a member's state; None where it is unknown, has ended, or is in that state already."""
    member = state.members.get(key)
    if member is None or member.state in (new_state, MemberState.ENDED):
        return None
    member.state, member.state_since = new_state, state.clock
    if member.kind == "node":
        _update_node_health(state, member.name)
    _note_membership_change(state, member)
    return member


def _note_membership_change(state: ClusterState, member: Member) -> None:
    """Nodes that gossip are to ask again who is there."""
    if state.zoning.gossip and member.kind == "node":
        state.membership_epoch = state.orders_epoch = state.epoch


def expire(state: ClusterState, command: ExpireSessions) -> None:
    """Mark members whose lease has expired; their budget leases end with it."""
    for key in command.silent:
        if (member := _change_state(state, key, MemberState.SILENT)) is not None:
            member.lease_expiries = [*member.lease_expiries, state.clock][-LAPSES_KEPT:]
            state.note(f"{member.kind} {member.name} is silent")
            _lose_supervised_permits(state, member)
    for key in command.unreachable:
        if (member := _change_state(state, key, MemberState.UNREACHABLE)) is not None:
            state.note(f"{member.kind} {member.name} reaches no keeper, others reach it: it serves on")
    for key in command.certainly_stopped:
        drains.member_ended(state, key)
    for key in (*command.silent, *command.unreachable):
        budget_grants.release(state, key)  # the lease has ended at its holder before it ended here


def _supervises(state: ClusterState, member: Member, unit_name: str) -> bool:
    unit = state.units.get(unit_name)
    return unit is not None and unit.supervisor == member.name


def _lose_supervised_permits(state: ClusterState, member: Member) -> None:
    """A unit that a silent supervisor was replacing may be out, and nobody can tell: it counts as out."""
    if member.kind != "steward":
        return
    for permit in state.permits.values():
        by_release = permit.kind == "node" and permit.holder.startswith("release:")
        if by_release and _supervises(state, member, permit.target):
            move(state, permit, "lose")


def restore(state: ClusterState, command: RestoreSession) -> None:
    """A silent member is back, and with a supervisor the permits of its units."""
    member = _change_state(state, command.member_key, MemberState.LIVE)
    if member is None:
        return
    state.note(f"{member.kind} {member.name} is back")
    if member.kind != "steward":
        return
    for permit in state.permits.values():
        if permit.state == PermitState.LOST and _supervises(state, member, permit.target):
            move(state, permit, "find")


def end(state: ClusterState, command: EndMember) -> None:
    """The process is known to have ended: nothing waits for it any longer."""
    end_member(state, command.member_key, command.reason)


def end_member(state: ClusterState, key: str, reason: str) -> None:
    """Mark a member as ended and free what it held."""
    member = _change_state(state, key, MemberState.ENDED)
    if member is None:
        return
    state.note(f"{member.kind} {member.name} has ended: {reason}")
    drains.member_ended(state, key)
    budget_grants.release(state, key)


HANDLERS: Handlers = {
    RegisterMember: register,
    ExpireSessions: expire,
    RestoreSession: restore,
    EndMember: end,
}
