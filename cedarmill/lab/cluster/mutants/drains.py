"""Mutants of drains: when an executor is said to be drained, and whose word for it counts."""

from cedarmill.cluster import member_orders
from cedarmill.cluster.member_requests import MemberRequests
from cedarmill.cluster.messages import Heartbeat, Orders
from cedarmill.cluster.state import ClusterState, Member, Permit
from cedarmill.cluster.state_machine import dispatch, drains
from cedarmill.cluster.state_machine.commands import ConfirmDrained, ExpireSessions
from cedarmill.lab.cluster.mutants.patches import Patch
from cedarmill.lab.simulation.node import SimulatedNode


def drained_before_the_last_ack() -> list[Patch]:
    """Drained is said with one member still missing."""
    original = drains.check_drained

    def check_drained(state: ClusterState, permit: Permit) -> None:
        if len(permit.undrained_members) == 1 and permit.kind == "executor":
            permit.undrained_members = []
        original(state, permit)

    return [(drains, "check_drained", check_drained)]


def silent_ones_not_waited_for() -> list[Patch]:
    """A drain asks only those that have a session now."""

    def members_to_drain(state: ClusterState, permit: Permit) -> list[str]:
        if permit.holder.startswith("release:") or permit.kind != "executor":
            return []
        return sorted(member.key for member in state.members_of("node") if member.state == "live")

    return [(drains, "members_to_drain", members_to_drain)]


def silence_taken_for_an_end() -> list[Patch]:
    """A member whose session has run out counts as ended."""
    original = dispatch.HANDLERS[ExpireSessions]

    def expire_sessions(state: ClusterState, command: ExpireSessions) -> None:
        original(state, command)
        for key in command.silent:
            drains.member_ended(state, key)

    return [(dispatch.HANDLERS, ExpireSessions, expire_sessions)]


def sends_before_it_was_told() -> list[Patch]:
    """A node that has just started sends before it has heard what is out."""
    return [(SimulatedNode, "may_send", lambda self: True)]


def epoch_of_an_ack_not_asked() -> list[Patch]:
    """A member's word that it is done counts whatever grant it spoke of."""

    def confirm_drained(self: MemberRequests, now: int, key: str, heartbeat: Heartbeat) -> None:
        if epochs := _epochs_to_drain(self, key):
            command = ConfirmDrained(self._replica.cluster_time(now), key, epochs)
            self._replica.propose_once(now, f"done {key} {sorted(epochs.items())}", command)

    return [(MemberRequests, "confirm_drained", confirm_drained)]


def out_not_told() -> list[Patch]:
    """Members are not told of what was granted last."""
    original = member_orders.orders_for

    def orders_for(state: ClusterState, member: Member) -> Orders:
        orders = original(state, member)
        excluded = orders.excluded_executors
        if excluded:
            excluded.pop(max(excluded, key=lambda name: excluded[name]))
        return orders

    def confirm_drained(self: MemberRequests, now: int, key: str, heartbeat: Heartbeat) -> None:
        epochs = _epochs_to_drain(self, key)
        if epochs and heartbeat.orders_epoch >= max(epochs.values()):
            command = ConfirmDrained(self._replica.cluster_time(now), key, epochs)
            self._replica.propose_once(now, f"done {key}", command)

    return [(member_orders, "orders_for", orders_for), (MemberRequests, "confirm_drained", confirm_drained)]


def _epochs_to_drain(requests: MemberRequests, key: str) -> dict[str, int]:
    """Grants that wait for the member, by target: whatever it has said of them."""
    return {
        permit.target: permit.epoch
        for permit in requests._replica.state.permits.values()
        if permit.is_out_of_service and key in permit.undrained_members
    }
