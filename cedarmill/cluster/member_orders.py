"""Derives the orders for each member from the replicated state."""

from cedarmill.cluster import budget_grants
from cedarmill.cluster.admission_level import controller
from cedarmill.cluster.admission_level.state import SheddingThreshold
from cedarmill.cluster.messages import Orders
from cedarmill.cluster.observations.digest import SCOPES
from cedarmill.cluster.state import ClusterState, Member
from cedarmill.cluster.state_machine import rollout
from cedarmill.cluster.traffic_control import reports


def orders_for(state: ClusterState, member: Member) -> Orders:
    """Return the complete current orders for a member."""
    if member.kind == "node":
        return _node_orders(state, member)
    drain_epoch = _drain_clients_epoch(state, member)
    units = rollout.orders_for_supervisor(state, member.name) if member.kind == "steward" else {}
    return Orders(state.orders_epoch, drain_clients_epoch=drain_epoch, units=units)


def _node_orders(state: ClusterState, member: Member) -> Orders:
    return Orders(
        state.orders_epoch,
        excluded_executors=_excluded_executors(state),
        drain_clients_epoch=_drain_clients_epoch(state, member),
        routes=reports.route_weights(state, member.zone),
        admission_threshold=state.admission.threshold,
        scoped_thresholds=_scoped_thresholds(state, member.zone),
        budget_leases=budget_grants.rates_of(state, member.key),
        membership_epoch=state.membership_epoch if state.zone_layout.gossip else 0,
    )


def _excluded_executors(state: ClusterState) -> dict[str, int]:
    permits = state.permits.values()
    return {
        permit.target: permit.epoch
        for permit in permits
        if permit.is_out_of_service and permit.kind == "executor"
    }


def _drain_clients_epoch(state: ClusterState, member: Member) -> int:
    """Return the epoch of the permit to drain this node's clients, or 0; releases drain no clients."""
    epoch = 0
    for permit in state.permits.values():
        is_for_member = permit.is_out_of_service and permit.kind == "node" and permit.target == member.name
        if is_for_member and not permit.holder.startswith("release:"):
            epoch = permit.epoch
    return epoch


def _scoped_thresholds(state: ClusterState, zone: str) -> dict[str, SheddingThreshold]:
    return {
        bound: controller.threshold_of(state, zone, bound)
        for bound in SCOPES
        if f"{zone}/{bound}" in state.scoped_admission
    }
