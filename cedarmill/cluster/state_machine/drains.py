"""Drains: a target is drained once every member that may send to it has confirmed the drain."""

from cedarmill.cluster.state import ClusterState, Permit


def members_to_drain(state: ClusterState, permit: Permit) -> list[str]:
    """Return the keys of the members that have to confirm the drain of a permit's target.

    A release needs no confirmation: it starts a node's new process while the old one finishes its requests.
    """
    if permit.holder.startswith("release:"):
        return []
    nodes = state.members_of("node")
    if permit.kind in ("executor", "zone"):
        return sorted(member.key for member in nodes)
    if permit.kind == "node":
        return sorted(member.key for member in nodes if member.name == permit.target)
    return []


def confirm_drain(state: ClusterState, key: str, target: str, epoch: int) -> None:
    """Record a member's confirmation that it has drained a target under the grant of an epoch."""
    for permit in state.permits.values():
        if permit.is_out_of_service and permit.target == target and permit.epoch == epoch:
            if key in permit.undrained_members:
                permit.undrained_members.remove(key)
            check_drained(state, permit)


def check_drained(state: ClusterState, permit: Permit) -> None:
    """Mark a permit's target as drained if no confirmation is outstanding."""
    if permit.is_out_of_service and not permit.undrained_members and not permit.drained_at:
        permit.drained_at = state.clock
        state.log_for_operators(f"{permit.kind} {permit.target} is drained (permit {permit.id})")


def member_ended(state: ClusterState, key: str) -> None:
    """Stop waiting for the confirmations of a member whose process has certainly ended."""
    for permit in state.permits.values():
        if key in permit.undrained_members:
            permit.undrained_members.remove(key)
            check_drained(state, permit)


def member_joined(state: ClusterState, key: str) -> None:
    """Require a new member's confirmation for each drain in progress that involves the member."""
    for permit in state.permits.values():
        if not permit.is_out_of_service or permit.drained_at or key in permit.undrained_members:
            continue
        if key in members_to_drain(state, permit):
            permit.undrained_members.append(key)
