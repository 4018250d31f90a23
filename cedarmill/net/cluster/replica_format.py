"""Formats the disk of a replica for a new cluster, or for a cluster restored from a backup."""

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

INITIAL_INDEX_AND_TERM = 1  # log index and term of the first snapshot of a new cluster
# An epoch holds the index of a log entry in its low bits, and the generation above them.
EPOCH_INDEX_BITS = 40


def initial_disk_name(cluster: str, name: str) -> str:
    """Return the name of a disk formatted for a new cluster; disks added later get random names."""
    return f"{cluster}/{name}/1"


def initial_snapshot(options: ReplicaOptions, backup: bytes = b"") -> Snapshot:
    """Return the first snapshot of a new or restored cluster, identical on all replicas to the byte.

    A restored cluster has the next generation, and its granted permits count as out of service until their
    targets are proved to be back. Raises StoreError.
    """
    config = {
        name: Peer(address, True, initial_disk_name(options.cluster, name))
        for name, address in sorted(options.peers.items())
    }
    if not backup:
        return Snapshot(
            INITIAL_INDEX_AND_TERM, INITIAL_INDEX_AND_TERM, config, encode_snapshot(_initial_state(options))
        )
    backup_snapshot = decode_backup(backup)
    state = _restored_state(options, backup_snapshot)
    return Snapshot(
        backup_snapshot.index,
        max(backup_snapshot.term, INITIAL_INDEX_AND_TERM),
        config,
        encode_snapshot(state),
    )


def _initial_state(options: ReplicaOptions) -> ClusterState:
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
        # An invalid layout leaves the cluster without zone planning.
        with contextlib.suppress(InvalidLayoutError):
            intake.set_layout(state, layout)
    return state


def _restored_state(options: ReplicaOptions, backup: Snapshot) -> ClusterState:
    state = decode_snapshot(backup.data)
    state.generation, state.cluster = state.generation + 1, options.cluster
    for permit in state.permits.values():
        if permit.state == "granted":
            permit.state = "lost"
    state.index, state.orders_epoch = backup.index, state.generation << EPOCH_INDEX_BITS | backup.index
    state.budget_grants = {}
    state.budgets_leased_from = state.clock + LEASE_US  # leases granted after the backup may still be valid
    state.log_for_operators("restored from a backup: what was granted counts as out till it is back")
    return state


def initialise(options: ReplicaOptions, backup: bytes = b"", directory: Directory | None = None) -> None:
    """Format the disk of a replica for a new cluster, or for a cluster restored from a backup.

    Raises StoreError, for example if the directory is not empty, or OSError.
    """
    store = ReplicaStore(
        directory or Directory(options.data),
        options.cluster,
        options.name,
        initial_disk_name(options.cluster, options.name),
    )
    try:
        store.write_snapshot(initial_snapshot(options, backup), [])
    finally:
        store.close()
