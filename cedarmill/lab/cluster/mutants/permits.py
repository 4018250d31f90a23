"""Mutants of permits: what counts as out, how limits are rounded, and what a snapshot or an id keeps."""

from cedarmill.cluster import replica
from cedarmill.cluster import state as cluster_state
from cedarmill.cluster.state import PER_MILLE, ClusterState, Limit, Permit, RequestOutcome
from cedarmill.cluster.state_machine import dispatch, drains, limits, permit_queue, permit_states
from cedarmill.cluster.state_machine.command import OperatorRequest
from cedarmill.cluster.state_machine.limits import OutShares
from cedarmill.lab.cluster.mutants.patches import Patch


def grant_counted_late() -> list[Patch]:
    """All that wait are granted by one count, made before the first of them."""

    def grant_waiting(state: ClusterState) -> list[Permit]:
        out = limits.out_shares(state)
        granted = [
            permit
            for permit in permit_queue.grant_order(state)
            if limits.evaluate(state, permit.kind, permit.target, dict(out)).answer == limits.Answer.NOW
        ]
        for permit in granted:
            permit_states.apply_event(state, permit, "grant")
            permit.undrained_members = drains.members_to_drain(state, permit)
            drains.check_drained(state, permit)
        return granted

    return [(permit_queue, "grant_waiting", grant_waiting)]


def lost_permit_forgotten() -> list[Patch]:
    """A permit whose holder fell silent no longer counts as out."""
    original = limits.out_shares

    def out_shares(state: ClusterState) -> OutShares:
        shares = original(state)
        for permit in state.permits.values():
            if permit.state == "lost":
                shares.pop(permit_states.target_key(permit.kind, permit.target), None)
        return shares

    return [(limits, "out_shares", out_shares)]


def losses_not_counted() -> list[Patch]:
    """Only what is out by plan counts, not what reports errors or is silent."""

    def out_shares(state: ClusterState) -> OutShares:
        out = [permit for permit in state.permits.values() if permit.is_out_of_service]
        return {permit_states.target_key(permit.kind, permit.target): PER_MILLE for permit in out}

    return [(limits, "out_shares", out_shares)]


def cold_not_counted() -> list[Patch]:
    """One that has just come back counts as whole."""
    return [(limits, "slow_start_missing_share", lambda state, target: 0)]


def shares_rounded_up() -> list[Patch]:
    """30 % of 8 are 3."""

    def max_out_count(limit: Limit, count: int) -> int:
        cap = min(count, limit.max_targets) if limit.max_targets >= 0 else count
        return min(cap, -(-count * limit.share // PER_MILLE)) if limit.share >= 0 else cap

    return [(limits, "max_out_count", max_out_count)]


def done_twice() -> list[Patch]:
    """A request that is repeated is carried out again."""

    def apply_request(state: ClusterState, request: OperatorRequest) -> RequestOutcome | None:
        outcome = dispatch.HANDLERS[type(request)](state, request)
        dispatch.advance(state)
        return outcome

    return [(dispatch, "_apply_request", apply_request)]


def snapshot_without_permits() -> list[Patch]:
    """What waits for a drain is not in the snapshot."""
    original = cluster_state.decode_snapshot

    def decode_snapshot(data: bytes) -> ClusterState:
        state = original(data)
        for permit in state.permits.values():
            permit.undrained_members = []
        return state

    return [(replica, "decode_snapshot", decode_snapshot)]
