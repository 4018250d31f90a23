"""What is agreed, as members are told it and operators see it; no I/O."""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.fleet import overload, permits, release, slices, traffic
from cedarmill.fleet import words as f
from cedarmill.fleet.agree.words import Snapshot
from cedarmill.fleet.command_types import ActRelease, AnyRequest, NewRelease
from cedarmill.fleet.evidence import BOUNDS
from cedarmill.fleet.members import LEASE
from cedarmill.fleet.overload import Cut
from cedarmill.fleet.world import Done, Member, Release, World, freeze

if TYPE_CHECKING:
    from cedarmill.fleet.keeper import Keeper


def orders(world: World, member: Member) -> f.Orders:
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
        mine = [bound for bound in BOUNDS if f"{member.zone}/{bound}" in world.tight]
        tight = {bound: overload.cut_of(world, member.zone, bound) for bound in mine}
    peers = world.peopled if world.zoning.news and member.kind == "node" else 0
    out = out if member.kind == "node" else {}
    return f.Orders(world.told, out, away, units, way, cut, tight, purse, peers)


def _peers(world: World) -> dict[str, str]:
    """Nodes that are there and may be reached: each knows its own address."""
    return {one.name: one.address for one in world.members.values()
            if one.kind == "node" and one.state == "live" and one.address}  # fmt: skip


def did(world: World, request: AnyRequest, done: Done) -> f.Did:
    """What a request came to, with its permits as they stand now."""
    if isinstance(request, NewRelease | ActRelease):
        return f.Did(done.ok, done.text, [], done.ids[0] if done.ids else 0)
    made = [world.permits[number] for number in done.ids if number in world.permits]
    rows = [[p.id, p.target, p.state, p.notes, p.epoch, p.drained] for p in made]
    return f.Did(done.ok, done.text, rows)


def _permit(world: World, permit) -> dict:
    row = msgspec.to_builtins(permit)
    row["age_s"] = round((world.clock - (permit.granted or permit.asked)) / 1e6, 1)
    return row


def _release(keeper: "Keeper", found: Release) -> dict:
    world = keeper.world
    row = msgspec.to_builtins(found)
    plan = found.plan
    row["plan"] = {"version": plan.version, "groups": plan.groups, "width": plan.width}
    row["age_s"] = round((world.clock - found.since) / 1e6, 1)
    side = keeper.sides.get(found.id)
    row["new"], row["rest"] = (list(side.new), list(side.rest)) if side is not None else ([], [])
    return row


def _status(keeper: "Keeper", now: int) -> dict:
    world, agree = keeper.world, keeper.agree
    waiting = sum(p.state == "waiting" for p in world.permits.values())
    followers = {name: {"match": one.match, "silent_s": round((now - one.heard) / 1e6, 2)}
                 for name, one in agree.followers.items()}  # fmt: skip
    return {
        "cluster": world.cluster, "generation": world.generation, "leader": keeper.name, "term": agree.term,
        "agreed": agree.commit, "epoch": world.told, "halted": world.halted, "clock_s": world.clock / 1e6,
        "keepers": {name: {"address": p.address, "votes": p.voter, "disk": p.disk, **followers.get(name, {})}
                    for name, p in agree.config.items()},
        "out": sorted(p.target for p in world.permits.values() if p.out), "waiting": waiting,
        "members": {kind: sum(m.kind == kind and m.state == "live" for m in world.members.values())
                    for kind in ("node", "steward")},
    }  # fmt: skip


def _members(keeper: "Keeper", now: int) -> list[dict]:
    rows = []
    for member in keeper.world.members.values():
        row = msgspec.to_builtins(member)
        session = keeper.sessions.by_key.get(member.key)
        row["counts"] = list(session.counts) if session is not None else []
        row["heard_s"] = round((now - keeper.sessions.heard(member.key)) / 1e6, 2)
        rows.append(row)
    return rows


def _would(world: World, ask: f.Look) -> list[dict]:
    return [{"target": name, "verdict": verdict.word, "reasons": list(verdict.reasons)}
            for name, verdict in permits.would(world, ask.kind or "executor", ask.names)]  # fmt: skip


def _limits(world: World) -> list[dict]:
    rows = []
    for limit in world.limits:
        scopes = sorted({at for t in world.targets.values() if (at := permits.scope(limit, t)) is not None})
        out = permits.out_parts(world)
        for at in scopes or [""]:
            members = [key for key, t in world.targets.items() if permits.scope(limit, t) == at]
            rows.append({"limit": limit.text(), "scope": at, "of": len(members),
                         "allowed": permits.allowed(limit, len(members)),
                         "out": sum(out.get(key, 0) for key in members) / 1000, "kind": limit.kind,
                         "per": limit.per, "most": limit.most, "share": limit.share,
                         "capacity_left": limit.capacity_left})  # fmt: skip
    return rows


def _budgets(world: World) -> list[dict]:
    """Of each budget: what it is, what is leased, to whom, and who wants how much."""
    rows = []
    for name, budget in world.budgets.items():
        by = world.slices.get(name, {})
        rows.append({"name": name, "rate": budget.rate, "floor": budget.floor, "leased": slices.held(by),
                     "most": budget.leased, "wanted": sum(one.want for one in by.values()),
                     "slices": {key: {"rate": one.rate, "counts": one.counts, "want": one.want}
                                for key, one in sorted(by.items())}})  # fmt: skip
    return rows


def _offered(world: World) -> dict[str, dict[int, int]]:
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


def show(keeper: "Keeper", now: int, ask: f.Look) -> bytes:
    """A part of what is agreed, as JSON."""
    world = keeper.world
    parts = {
        "status": lambda: _status(keeper, now),
        "members": lambda: _members(keeper, now),
        "targets": lambda: list(world.targets.values()),
        "limits": lambda: _limits(world),
        "permits": lambda: [_permit(world, p) for p in world.permits.values() if not ask.names or p.id in
                            map(int, ask.names)],
        "releases": lambda: [_release(keeper, r) for r in world.releases.values()],
        "units": lambda: list(world.units.values()),
        "peers": lambda: _peers(world),
        "log": lambda: world.log,
        "budgets": lambda: _budgets(world),
        "admission": lambda: {"fleet": world.admission, "tight": world.tight, "offered": _offered(world)},
        "would": lambda: _would(world, ask),
        "zones": lambda: _zones(keeper, now),
        "what-if": lambda: traffic.what_if(world, ask.names[0] if ask.names else ""),
        "world": lambda: world,
    }  # fmt: skip
    if ask.what == "backup":
        agree = keeper.agree
        snapshot = Snapshot(agree.applied, agree.log.term(agree.applied), agree.config, freeze(world))
        return msgspec.msgpack.encode(snapshot)
    part = parts.get(ask.what)
    return msgspec.json.encode(part() if part is not None else {"error": f"no part {ask.what!r}"})
