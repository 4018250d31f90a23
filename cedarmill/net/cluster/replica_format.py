"""What a replica's disk holds when its cluster begins, or begins again from a backup."""

import contextlib
import dataclasses

from cedarmill.cluster import budget_grants
from cedarmill.cluster.budget_grants import Budget
from cedarmill.cluster.raft.messages import Peer, Snapshot
from cedarmill.cluster.session_tracker import LEASE_US
from cedarmill.cluster.state import ClusterState, Limit, decode_snapshot, encode_snapshot
from cedarmill.cluster.traffic_control import intake
from cedarmill.cluster.traffic_control.errors import InvalidLayoutError
from cedarmill.cluster.traffic_plan.layout import ZoneLayout
from cedarmill.store.files import Directory
from cedarmill.store.replica_store import ReplicaStore
from cedarmill.store.snapshots import decode_backup
from cedarmill.values import ReplicaOptions

FIRST = 1  # index and term of what a cluster begins with
GENERATION_BITS = 40  # an epoch has the generation above so many bits, which hold an entry's index


def disk_name(cluster: str, name: str) -> str:
    """Of the disks with which a cluster begins; all others are named by chance."""
    return f"{cluster}/{name}/1"


def first_snapshot(options: ReplicaOptions, backup: bytes = b"") -> Snapshot:
    """What all replicas of a new cluster begin with, to the last byte; or of one restored from a backup.

    A restored one has a generation more, and counts what was granted as out until it is proved back. Raises
    StoreError.
    """
    config = {
        name: Peer(address, True, disk_name(options.cluster, name))
        for name, address in sorted(options.peers.items())
    }
    if not backup:
        return Snapshot(FIRST, FIRST, config, encode_snapshot(_new_state(options)))
    before = decode_backup(backup)
    state = _restored_state(options, before)
    return Snapshot(before.index, max(before.term, FIRST), config, encode_snapshot(state))


def _new_state(options: ReplicaOptions) -> ClusterState:
    state = ClusterState(
        options.cluster,
        limits=[Limit(*dataclasses.astuple(limit)) for limit in options.limits],
        slow_start_us=options.slow_start_us,
        slow_start_share=options.slow_start_share,
    )
    budget_grants.set_budgets(state, [Budget(*budget) for budget in options.budgets])
    if options.regions:
        layout = ZoneLayout(
            {name: list(zones) for name, zones in sorted(options.regions.items())},
            dict(sorted(options.costs.items())),
            options.safe_share,
            options.sheds_load,
            options.gossip,
        )
        with contextlib.suppress(InvalidLayoutError):  # no zones are planned then
            intake.set_layout(state, layout)
    return state


def _restored_state(options: ReplicaOptions, backup: Snapshot) -> ClusterState:
    state = decode_snapshot(backup.data)
    state.generation, state.cluster = state.generation + 1, options.cluster
    for permit in state.permits.values():
        if permit.state == "granted":
            permit.state = "lost"
    state.index, state.orders_epoch = backup.index, state.generation << GENERATION_BITS | backup.index
    state.budget_grants = {}
    state.budgets_dealt_from = state.clock + LEASE_US  # what was leased after the backup may still hold
    state.note("restored from a backup: what was granted counts as out till it is back")
    return state


def initialise(options: ReplicaOptions, backup: bytes = b"", files: Directory | None = None) -> None:
    """Format this replica's disk for a new cluster, or one restored from a backup.

    Raises StoreError (the directory is not empty, say) or OSError.
    """
    store = ReplicaStore(
        files or Directory(options.data),
        options.cluster,
        options.name,
        disk_name(options.cluster, options.name),
    )
    try:
        store.write_snapshot(first_snapshot(options, backup), [])
    finally:
        store.close()
