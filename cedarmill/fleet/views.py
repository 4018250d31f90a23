"""What is agreed, as members are told it and operators see it; no I/O."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.fleet import overload, permits, release, slices, traffic
from cedarmill.fleet.agree.words import Snapshot
from cedarmill.fleet.command_types import ActRelease, AnyRequest, NewRelease
from cedarmill.fleet.evidence import BOUNDS
from cedarmill.fleet.members import LEASE
from cedarmill.fleet.messages import (
    Orders,
    ReadRequest,
    SubmitReply,
)
from cedarmill.fleet.overload import Cut
from cedarmill.fleet.state import ClusterState, Member, Release, RequestOutcome, encode_snapshot

if TYPE_CHECKING:
    from cedarmill.fleet.keeper import Keeper


def orders(world: ClusterState, member: Member) -> Orders:
    """What a member is to follow now, whole."""
    out, away, units = {}, 0, {}
    for permit in world.permits.values():
        if not permit.out:
            continue
        if permit.kind == "executor":
            out[permit.target] = permit.epoch
        elif (
            permit.kind == "node"
            and permit.target == member.name
            and not permit.holder.startswith("release:")
        ):
            away = permit.epoch
    if member.kind == "steward":
        units = release.orders(world, member.name)
    way = traffic.way(world, member.zone) if member.kind == "node" else None
    purse = slices.word(world, member.key) if member.kind == "node" else {}
    cut, tight = Cut(), {}
    if member.kind == "node":
        cut = world.admission.cut
        mine = [bound for bound in BOUNDS if f"{member.zone}/{bound}" in world.scoped_admission]
        tight = {bound: overload.cut_of(world, member.zone, bound) for bound in mine}
    peers = world.membership_epoch if world.zoning.news and member.kind == "node" else 0
    out = out if member.kind == "node" else {}
    return Orders(world.orders_epoch, out, away, units, way, cut, tight, purse, peers)


def _peers(world: ClusterState) -> dict[str, str]:
    """Nodes that are there and may be reached: each knows its own address."""
    return {
        one.name: one.address
        for one in world.members.values()
        if one.kind == "node" and one.state == "live" and one.address
    }


def did(world: ClusterState, request: AnyRequest, done: RequestOutcome) -> SubmitReply:
    """What a request came to, with its permits as they stand now."""
    if isinstance(request, NewRelease | ActRelease):
        return SubmitReply(done.ok, done.text, [], done.created_ids[0] if done.created_ids else 0)
    made = [world.permits[number] for number in done.created_ids if number in world.permits]
    rows = [[p.id, p.target, p.state, p.notes, p.epoch, p.drained_at] for p in made]
    return SubmitReply(done.ok, done.text, rows)


def _permit(world: ClusterState, permit) -> dict:
    row = msgspec.to_builtins(permit)
    row["age_s"] = round((world.clock - (permit.granted_at or permit.requested_at)) / 1e6, 1)
    return row


def _release(keeper: "Keeper", found: Release) -> dict:
    world = keeper.world
    row = msgspec.to_builtins(found)
    plan = found.plan
    row["plan"] = {"version": plan.version, "groups": plan.groups, "width": plan.max_concurrent}
    row["age_s"] = round((world.clock - found.state_since) / 1e6, 1)
    side = keeper.sides.get(found.id)
    row["new"], row["rest"] = (list(side.new), list(side.rest)) if side is not None else ([], [])
    return row


def _status(keeper: "Keeper", now: int) -> dict:
    world, agree = keeper.world, keeper.agree
    waiting = sum(p.state == "waiting" for p in world.permits.values())
    followers = {
        name: {"match": one.match, "silent_s": round((now - one.heard) / 1e6, 2)}
        for name, one in agree.followers.items()
    }
    return {
        "cluster": world.cluster,
        "generation": world.generation,
        "leader": keeper.name,
        "term": agree.term,
        "agreed": agree.commit,
        "epoch": world.orders_epoch,
        "halted": world.halt_reason,
        "clock_s": world.clock / 1e6,
        "keepers": {
            name: {"address": p.address, "votes": p.voter, "disk": p.disk, **followers.get(name, {})}
            for name, p in agree.config.items()
        },
        "out": sorted(p.target for p in world.permits.values() if p.out),
        "waiting": waiting,
        "members": {
            kind: sum(m.kind == kind and m.state == "live" for m in world.members.values())
            for kind in ("node", "steward")
        },
    }


def _members(keeper: "Keeper", now: int) -> list[dict]:
    rows = []
    for member in keeper.world.members.values():
        row = msgspec.to_builtins(member)
        session = keeper.sessions.by_key.get(member.key)
        row["counts"] = list(session.counts) if session is not None else []
        row["heard_s"] = round((now - keeper.sessions.heard(member.key)) / 1e6, 2)
        rows.append(row)
    return rows


def _would(world: ClusterState, ask: ReadRequest) -> list[dict]:
    return [
        {"target": name, "verdict": verdict.word, "reasons": list(verdict.reasons)}
        for name, verdict in permits.would(world, ask.kind or "executor", ask.names)
    ]


def _limits(world: ClusterState) -> list[dict]:
    rows = []
    for limit in world.limits:
        scopes = sorted({at for t in world.targets.values() if (at := permits.scope(limit, t)) is not None})
        out = permits.out_parts(world)
        for at in scopes or [""]:
            members = [key for key, t in world.targets.items() if permits.scope(limit, t) == at]
            rows.append(
                {
                    "limit": limit.text(),
                    "scope": at,
                    "of": len(members),
                    "allowed": permits.allowed(limit, len(members)),
                    "out": sum(out.get(key, 0) for key in members) / 1000,
                    "kind": limit.kind,
                    "per": limit.per,
                    "most": limit.most,
                    "share": limit.share,
                    "capacity_left": limit.capacity_left,
                }
            )
    return rows


def _budgets(world: ClusterState) -> list[dict]:
    """Of each budget: what it is, what is leased, to whom, and who wants how much."""
    rows = []
    for name, budget in world.budgets.items():
        by = world.budget_grants.get(name, {})
        rows.append(
            {
                "name": name,
                "rate": budget.rate,
                "floor": budget.floor,
                "leased": slices.held(by),
                "most": budget.leased,
                "wanted": sum(one.want for one in by.values()),
                "slices": {
                    key: {"rate": one.rate, "counts": one.counts, "want": one.want}
                    for key, one in sorted(by.items())
                },
            }
        )
    return rows


def _offered(world: ClusterState) -> dict[str, dict[int, int]]:
    """Slots that the clients of each zone want, by worth, both in thousandths."""
    found: dict[str, dict[int, int]] = {}
    for name, zone in world.traffic.news.zones.items() if world.traffic.news is not None else ():
        mine = found.setdefault(name, {})
        for by in zone.worths.values():
            for rank, slots in by.items():
                mine[rank] = mine.get(rank, 0) + slots
    return found


def _zones(keeper: "Keeper", now: int) -> dict:
    """The plan, and who of the nodes follows it or cannot."""
    found = traffic.shown(keeper.world)
    told = [digest for at, digest in keeper.desk.held.values() if now - at < LEASE]
    found["follow"] = sum(digest.follows == keeper.world.traffic.epoch for digest in told)
    found["told"] = len(told)
    found["cannot"] = sorted({f"{digest.zone}>{zone}" for digest in told for zone in digest.cannot})
    return found


def show(keeper: "Keeper", now: int, ask: ReadRequest) -> bytes:
    """A part of what is agreed, as JSON."""
    world = keeper.world
    parts = {
        "status": lambda: _status(keeper, now),
        "members": lambda: _members(keeper, now),
        "targets": lambda: list(world.targets.values()),
        "limits": lambda: _limits(world),
        "permits": lambda: [
            _permit(world, p) for p in world.permits.values() if not ask.names or p.id in map(int, ask.names)
        ],
        "releases": lambda: [_release(keeper, r) for r in world.releases.values()],
        "units": lambda: list(world.units.values()),
        "peers": lambda: _peers(world),
        "log": lambda: world.log,
        "budgets": lambda: _budgets(world),
        "admission": lambda: {
            "fleet": world.admission,
            "tight": world.scoped_admission,
            "offered": _offered(world),
        },
        "would": lambda: _would(world, ask),
        "zones": lambda: _zones(keeper, now),
        "what-if": lambda: traffic.what_if(world, ask.names[0] if ask.names else ""),
        "world": lambda: world,
    }
    if ask.view == "backup":
        agree = keeper.agree
        snapshot = Snapshot(
            agree.applied, agree.log.term(agree.applied), agree.config, encode_snapshot(world)
        )
        return msgspec.msgpack.encode(snapshot)
    part = parts.get(ask.view)
    return msgspec.json.encode(part() if part is not None else {"error": f"no part {ask.view!r}"})
