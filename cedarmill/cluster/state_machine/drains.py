"""Drains: which members have to confirm that they are done with a target before it counts as drained."""

from cedarmill.cluster.state import ClusterState, Permit


def members_to_drain(state: ClusterState, permit: Permit) -> list[str]:
    """Keys of the members that have to be done with a target.

    A release starts a node's new process while the old one still answers what it holds: nobody is waited for.
    """
    if permit.holder.startswith("release:"):
        return []
    nodes = state.members_of("node")
    if permit.kind in ("executor", "zone"):
        return sorted(member.key for member in nodes)
    if permit.kind == "node":
        return sorted(member.key for member in nodes if member.name == permit.target)
    return []


def confirm(state: ClusterState, key: str, target: str, epoch: int) -> None:
    """A member has nothing left at a target and sends nothing there, by the grant of that epoch."""
    for permit in state.permits.values():
        if permit.out and permit.target == target and permit.epoch == epoch:
            if key in permit.undrained_members:
                permit.undrained_members.remove(key)
            check_drained(state, permit)


def check_drained(state: ClusterState, permit: Permit) -> None:
    """A target is drained once nobody is left to wait for."""
    if permit.out and not permit.undrained_members and not permit.drained_at:
        permit.drained_at = state.clock
        state.note(f"{permit.kind} {permit.target} is drained (permit {permit.id})")


def member_ended(state: ClusterState, key: str) -> None:
    """Its process is known to have ended: it has nothing in flight any longer."""
    for permit in state.permits.values():
        if key in permit.undrained_members:
            permit.undrained_members.remove(key)
            check_drained(state, permit)


def member_joined(state: ClusterState, key: str) -> None:
    """It gets its orders before it sends; until it confirms, what is not drained yet waits for it too."""
    for permit in state.permits.values():
        if not permit.out or permit.drained_at or key in permit.undrained_members:
            continue
        if key in members_to_drain(state, permit):
            permit.undrained_members.append(key)
