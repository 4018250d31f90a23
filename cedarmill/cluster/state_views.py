"""JSON views of the replicated state for operators, with the keys of `cedarmill cluster --json`."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from cedarmill.cluster import budget_grants
from cedarmill.cluster.messages import ReadRequest
from cedarmill.cluster.session_tracker import LEASE_US
from cedarmill.cluster.state import PER_MILLE, ClusterState, Limit, Permit, Release
from cedarmill.cluster.state_machine import limits
from cedarmill.cluster.states import MemberState, PermitState
from cedarmill.cluster.traffic_control import reports
from cedarmill.cluster.traffic_control.errors import TrafficError

if TYPE_CHECKING:
    from cedarmill.cluster.replica import Replica

Row = dict[str, Any]


def render(replica: "Replica", now: int, request: ReadRequest) -> bytes:
    """Return the requested view as JSON, or for a backup the snapshot as MessagePack."""
    if request.view == "backup":
        return msgspec.msgpack.encode(replica.snapshot())
    view = VIEWS.get(request.view)
    content = {"error": f"no part {request.view!r}"} if view is None else view(replica, now, request)
    return msgspec.json.encode(content)


def _seconds(duration_us: int, digits: int) -> float:
    return round(duration_us / 1e6, digits)


def _status(replica: "Replica", now: int, request: ReadRequest) -> Row:
    state, raft = replica.state, replica.raft
    live_kinds = [member.kind for member in state.members.values() if member.state == MemberState.LIVE]
    return {
        "cluster": state.cluster,
        "generation": state.generation,
        "leader": replica.name,
        "term": raft.term,
        "agreed": raft.commit_index,
        "epoch": state.orders_epoch,
        "halted": state.halt_reason,
        "clock_s": state.clock / 1e6,
        "keepers": _replicas(replica, now),
        "out": sorted(permit.target for permit in state.permits.values() if permit.is_out_of_service),
        "waiting": sum(permit.state == PermitState.WAITING for permit in state.permits.values()),
        "members": {kind: live_kinds.count(kind) for kind in ("node", "steward")},
    }


def _replicas(replica: "Replica", now: int) -> dict[str, Row]:
    rows: dict[str, Row] = {}
    for name, peer in replica.raft.config.items():
        rows[name] = {"address": peer.address, "votes": peer.is_voter, "disk": peer.disk}
        follower = replica.raft.progress.get(name)
        if follower is not None:
            rows[name]["match"] = follower.match_index
            rows[name]["silent_s"] = _seconds(now - follower.last_contact, 2)
    return rows


def _members(replica: "Replica", now: int, request: ReadRequest) -> list[Row]:
    sessions, rows = replica.leadership.sessions, []
    for member in replica.state.members.values():
        row = msgspec.to_builtins(member)
        session = sessions.by_key.get(member.key)
        row["counts"] = list(session.request_counts) if session is not None else []
        row["heard_s"] = _seconds(now - sessions.last_heartbeat_at(member.key), 2)
        rows.append(row)
    return rows


def _limits(replica: "Replica", now: int, request: ReadRequest) -> list[Row]:
    """Return a row for each limit and scope, with the number of targets allowed out and currently out."""
    state, rows = replica.state, []
    out_shares = limits.out_shares(state)
    for limit in state.limits:
        target_scopes = {limits.scope_of(limit, target) for target in state.targets.values()}
        scopes = sorted(scope for scope in target_scopes if scope is not None)
        rows += [_limit_row(state, limit, scope, out_shares) for scope in scopes or [""]]
    return rows


def _limit_row(state: ClusterState, limit: Limit, scope: str, out_shares: dict[str, int]) -> Row:
    target_keys = [key for key, target in state.targets.items() if limits.scope_of(limit, target) == scope]
    return {
        "limit": limit.describe(),
        "scope": scope,
        "of": len(target_keys),
        "allowed": limits.max_out_count(limit, len(target_keys)),
        "out": sum(out_shares.get(key, 0) for key in target_keys) / PER_MILLE,
        "kind": limit.kind,
        "per": limit.scope,
        "most": limit.max_targets,
        "share": limit.share,
        "capacity_left": limit.capacity_left,
    }


def _permits(replica: "Replica", now: int, request: ReadRequest) -> list[Row]:
    """Return the permits whose ids are requested, or all permits if the request names none."""
    state = replica.state
    ids = request.names
    permits = [permit for permit in state.permits.values() if not ids or str(permit.id) in ids]
    return [_permit_row(state, permit) for permit in permits]


def _permit_row(state: ClusterState, permit: Permit) -> Row:
    row: Row = msgspec.to_builtins(permit)
    row["age_s"] = _seconds(state.clock - (permit.granted_at or permit.requested_at), 1)
    return row


def _releases(replica: "Replica", now: int, request: ReadRequest) -> list[Row]:
    return [_release_row(replica, release) for release in replica.state.releases.values()]


def _release_row(replica: "Replica", release: Release) -> Row:
    row: Row = msgspec.to_builtins(release)
    plan = release.plan
    row["plan"] = {"version": plan.version, "groups": plan.groups, "width": plan.max_concurrent}
    row["age_s"] = _seconds(replica.state.clock - release.state_since, 1)
    comparison = replica.leadership.comparisons.get(release.id)
    row["new"] = list(comparison.new_counts) if comparison is not None else []
    row["rest"] = list(comparison.rest_counts) if comparison is not None else []
    return row


def _peers(replica: "Replica", now: int, request: ReadRequest) -> dict[str, str]:
    """Return the addresses of live nodes, by name."""
    members = replica.state.members.values()
    nodes = [member for member in members if member.kind == "node" and member.state == MemberState.LIVE]
    return {node.name: node.address for node in nodes if node.address}


def _budgets(replica: "Replica", now: int, request: ReadRequest) -> list[Row]:
    """Return each budget with its settings, its leases and the demand of each member."""
    state, rows = replica.state, []
    for name, budget in state.budgets.items():
        grants = state.budget_grants.get(name, {})
        leases = {
            key: {"rate": grant.rate, "counts": grant.counted_rate, "want": grant.demand}
            for key, grant in sorted(grants.items())
        }
        row = {
            "name": name,
            "rate": budget.rate,
            "floor": budget.floor,
            "leased": budget_grants.granted_rate(grants),
            "most": budget.grantable,
            "wanted": sum(grant.demand for grant in grants.values()),
            "slices": leases,
        }
        rows.append(row)
    return rows


def _admission(replica: "Replica", now: int, request: ReadRequest) -> Row:
    state = replica.state
    return {"fleet": state.admission, "tight": state.scoped_admission, "offered": _offered_load(state)}


def _offered_load(state: ClusterState) -> dict[str, dict[int, int]]:
    """Return the clients' demand for slots by zone and priority weight, both numbers in thousandths."""
    offered_by_zone: dict[str, dict[int, int]] = {}
    zones = state.traffic.assessment.zones if state.traffic.assessment is not None else {}
    for name, zone in zones.items():
        offered = offered_by_zone.setdefault(name, {})
        for by_weight in zone.demand_by_weight.values():
            for weight, slots in by_weight.items():
                offered[weight] = offered.get(weight, 0) + slots
    return offered_by_zone


def _dry_run(replica: "Replica", now: int, request: ReadRequest) -> list[Row]:
    """Return the decision that a permit request for each target, taken in order, would get now."""
    verdicts = limits.dry_run(replica.state, request.kind or "executor", request.names)
    return [
        {"target": name, "verdict": verdict.answer, "reasons": list(verdict.reasons)}
        for name, verdict in verdicts
    ]


def _zones(replica: "Replica", now: int, request: ReadRequest) -> Row:
    """Return the traffic plan, how many nodes follow it, and which zones the nodes cannot reach."""
    state = replica.state
    row: Row = msgspec.to_builtins(reports.traffic_report(state))
    if state.traffic.assessment is None:
        # Moves the key to the end of the report, to keep the order of keys in the answer.
        row["groups"] = row.pop("groups")
    digests = [digest for at, digest in replica.leadership.zones.digests.values() if now - at < LEASE_US]
    row["follow"] = sum(digest.plan_epoch == state.traffic.epoch for digest in digests)
    row["told"] = len(digests)
    row["cannot"] = sorted(
        {f"{digest.zone}>{zone}" for digest in digests for zone in digest.unreachable_zones}
    )
    return row


def _what_if(replica: "Replica", now: int, request: ReadRequest) -> Row:
    """Return the forecast of loads after the loss of a zone."""
    zone = request.names[0] if request.names else ""
    try:
        row: Row = msgspec.to_builtins(reports.forecast_loss(replica.state, zone))
    except TrafficError as error:
        return {"error": str(error)}
    return row


View = Callable[["Replica", int, ReadRequest], object]
VIEWS: dict[str, View] = {
    "status": _status,
    "members": _members,
    "targets": lambda replica, now, request: list(replica.state.targets.values()),
    "limits": _limits,
    "permits": _permits,
    "releases": _releases,
    "units": lambda replica, now, request: list(replica.state.units.values()),
    "peers": _peers,
    "log": lambda replica, now, request: replica.state.log,
    "budgets": _budgets,
    "admission": _admission,
    "would": _dry_run,
    "zones": _zones,
    "what-if": _what_if,
    "world": lambda replica, now, request: replica.state,
}
