"""The commands of the agreed log, and how each changes what is agreed: `apply(world, entry) -> Done`; no I/O.

A command names the fleet's time by its leader's clock; the agreed clock never goes back. A request that
changes something carries an id of its asker: the same id again gets the same outcome, and nothing is done
twice.
"""

import msgspec

from cedarmill.fleet import overload, permits, release, slices, traffic
from cedarmill.fleet.command_types import (
    ActCut,
    ActRelease,
    ActZone,
    AnyCommand,
    Ask,
    Back,
    Cleared,
    Command,
    Ended,
    Follows,
    Give,
    Held,
    Joined,
    Judged,
    Lapsed,
    Mass,
    NewRelease,
    Observed,
    Request,
    Seen,
    SetBudgets,
    SetLimits,
    SetUp,
    SetZones,
    Tick,
    Units,
    Wants,
    Word,
)
from cedarmill.fleet.world import Done, Member, Permit, Target, World

DONE_KEPT = 5000  # outcomes of requests that are remembered
DONE_US = 3_600_000_000  # and for how long
ENDED_US = 600_000_000  # that a life which has ended is still shown


_DECODE = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: Command) -> bytes:
    """A command as the log holds it."""
    return msgspec.msgpack.encode(command)


def apply(world: World, index: int, data: bytes) -> Done:
    """Apply an entry; what came of it. Two keepers that apply the same entries agree in all."""
    world.index = index
    command = _DECODE.decode(data)
    world.clock = max(world.clock, command.at)
    if isinstance(command, Request):
        return _once(world, command)
    done = _APPLY[type(command)](world, command) or Done(world.clock, True, "")
    _settle(world)
    return done


def _once(world: World, request: Request) -> Done:
    key = f"{request.who}/{request.id}"
    if (before := world.done.get(key)) is not None:
        return before
    done = _APPLY[type(request)](world, request)
    _settle(world)
    world.done[key] = done
    _forget_done(world)
    return done


def _forget_done(world: World) -> None:
    for key in list(world.done)[: max(0, len(world.done) - DONE_KEPT)]:
        del world.done[key]
    for key, done in list(world.done.items())[:4]:
        if world.clock - done.at > DONE_US:
            del world.done[key]


def _settle(world: World) -> None:
    """What follows of any change: what waits may be granted, and releases go on."""
    permits.expire(world)
    permits.grant_all(world)
    release.advance(world)
    traffic.advance(world)
    traffic.shed(world)


def due(world: World) -> int | None:
    """When something changes by itself, in the fleet's time."""
    times = [*release.due(world), *traffic.due(world)]
    if (at := permits.next_due(world)) is not None:
        times.append(at)
    return min(times, default=None)


# Members.


def _joined(world: World, c: Joined) -> None:
    member = Member(
        c.kind, c.name, c.life, c.zone, c.address, c.version, c.stops, "live", world.clock, world.clock
    )
    known = world.members.get(member.key)
    if known is not None and known.state == "ended":
        return  # an operator's or a steward's word: this life does not come back
    world.members[member.key] = member
    permits.member_joined(world, member.key)
    _peopled(world, member)
    if c.kind == "node":
        key = permits.key_of("node", c.name)
        if key not in world.targets:
            world.targets[key] = Target("node", c.name)
        target = world.targets[key]
        target.zone, target.type = c.zone, c.unit_type
        _node_health(world, c.name)
    world.told = world.epoch
    _forget_ended(world)


def _forget_ended(world: World) -> None:
    for key, member in list(world.members.items()):
        if member.state == "ended" and world.clock - member.since > ENDED_US:
            del world.members[key]


def _node_health(world: World, name: str) -> None:
    """A node is there while one of its lives is."""
    target = world.targets.get(permits.key_of("node", name))
    if target is None:
        return
    lives = [m for m in world.members.values() if m.kind == "node" and m.name == name]
    health = "well" if any(m.state in ("live", "cut-off") for m in lives) else "silent"
    if target.health != health:
        target.health, target.since = health, world.clock


def _to(world: World, key: str, state: str) -> Member | None:
    member = world.members.get(key)
    if member is None or member.state in (state, "ended"):
        return None
    member.state, member.since = state, world.clock
    if member.kind == "node":
        _node_health(world, member.name)
    _peopled(world, member)
    return member


def _peopled(world: World, member: Member) -> None:
    """Who is there has changed: nodes that share news are to ask for it."""
    if world.zoning.news and member.kind == "node":
        world.peopled = world.told = world.epoch


def _lapsed(world: World, c: Lapsed) -> None:
    for key in c.silent:
        if (member := _to(world, key, "silent")) is not None:
            member.lapses = [*member.lapses, world.clock][-8:]
            world.note(f"{member.kind} {member.name} is silent")
            _holder_lost(world, member)
    for key in c.cut_off:
        if (member := _to(world, key, "cut-off")) is not None:
            world.note(f"{member.kind} {member.name} reaches no keeper, others reach it: it serves on")
    for key in c.sure:
        permits.member_ended(world, key)
    for key in (*c.silent, *c.cut_off):
        slices.ended(world, key)  # its lease has run out, and at itself before that


def _holder_lost(world: World, member: Member) -> None:
    """What a silent steward was changing may be out, and nobody can tell: it counts so."""
    if member.kind != "steward":
        return
    for permit in world.permits.values():
        unit = world.units.get(permit.target)
        changed = permit.kind == "node" and permit.holder.startswith("release:")
        if changed and unit is not None and unit.steward == member.name:
            permits.move(world, permit, "lose")


def _back(world: World, c: Back) -> None:
    member = _to(world, c.key, "live")
    if member is None:
        return
    world.note(f"{member.kind} {member.name} is back")
    if member.kind == "steward":
        for permit in world.permits.values():
            unit = world.units.get(permit.target)
            if permit.state == "lost" and unit is not None and unit.steward == member.name:
                permits.move(world, permit, "find")


def _ended(world: World, c: Ended) -> None:
    member = _to(world, c.key, "ended")
    if member is not None:
        world.note(f"{member.kind} {member.name} has ended: {c.why}")
        permits.member_ended(world, c.key)
        slices.ended(world, c.key)


# Targets.


def _seen(world: World, c: Seen) -> None:
    for new in c.targets:
        key = permits.key_of(new.kind, new.name)
        old = world.targets.get(key)
        cold = old.cold_from if old is not None else -1
        if old is not None and new.started_ms > old.started_ms > 0:
            cold = world.clock  # it was restarted, by whomever
        changed = old is None or old.health != new.health
        if old is not None and old.health == "silent" and new.health == "well" and cold < 0:
            cold = world.clock
        since = world.clock if changed else old.since
        world.targets[key] = msgspec.structs.replace(new, since=since, cold_from=cold)


def _cleared(world: World, c: Cleared) -> None:
    for target, epoch in c.done.items():
        permits.told_done(world, c.key, target, epoch)


def _units(world: World, c: Units) -> None:
    release.seen(world, c.steward, c.units)


def _mass(world: World, c: Mass) -> None:
    if c.why != world.halted:
        world.halted = c.why
        world.note(f"nothing is granted: {c.why}" if c.why else "grants go on")


def _held(world: World, c: Held) -> None:
    for key, epoch in c.targets.items():
        kind, _, name = key.partition(":")
        if any(p.out and (p.kind, p.target) == (kind, name) for p in world.permits.values()):
            continue
        permit = Permit(
            world.number(),
            kind,
            name,
            "before the restore",
            state="lost",
            asked=world.clock,
            granted=world.clock,
            epoch=world.epoch,
            notes=[f"told by {c.key}, granted at {epoch}"],
        )
        permit.need = permits.need_of(world, permit)
        world.permits[permit.id] = permit
        world.told = world.epoch
        world.note(f"{kind} {name} is out by a grant that was lost with the keepers' state")


def _judged(world: World, c: Judged) -> None:
    if (found := world.releases.get(c.release)) is not None:
        release.judged(world, found, c.worse, c.jobs)


def _set_up(world: World, c: SetUp) -> None:
    world.cluster, world.generation = c.cluster, max(world.generation, c.generation)
    world.cold_us, world.cold_share = c.cold_us, c.cold_share
    world.told = world.epoch


# Requests.


def _limits(world: World, c: SetLimits) -> Done:
    world.limits = list(c.limits)
    world.note(f"limits set by {c.who}: {len(c.limits)}")
    return Done(world.clock, True, f"{len(c.limits)} limits hold")


def _ask(world: World, c: Ask) -> Done:
    made = [
        permits.ask(world, c.kind, name, c.who, c.reason, c.priority, c.wait)
        for name in dict.fromkeys(c.names)
    ]
    return Done(world.clock, not all(p.state == "refused" for p in made), "", [p.id for p in made])


def open_for(world: World, kind: str, name: str) -> Permit | None:
    """The permit by which a target is out, or for which it waits."""
    found = [p for p in world.permits.values() if (p.kind, p.target) == (kind, name)]
    return next((p for p in found if p.out), next((p for p in found if p.state == "waiting"), None))


def _give(world: World, c: Give) -> Done:
    permit = open_for(world, c.kind, c.name)
    if permit is None:
        return Done(world.clock, False, f"{c.name} is not out by a permit, and waits for none")
    if permit.holder.startswith("release:"):
        return Done(world.clock, False, f"{c.name} is out by {permit.holder}: halt it, or take it back")
    if permit.kind == "zone" and permit.out:
        return _stay(world, c.name, f"put back by {c.who}")
    if permit.state == "waiting":
        permits.move(world, permit, "withdraw")
        return Done(world.clock, True, f"permit {permit.id} is withdrawn", [permit.id])
    permits.give_back(world, permit, f"put back by {c.who}")
    return Done(world.clock, True, f"permit {permit.id} is returned", [permit.id])


def _word(world: World, c: Word) -> Done:
    if not c.reason.strip():
        return Done(world.clock, False, "a word takes a reason")
    said = _WORDS.get(c.what)
    if said is None:
        return Done(world.clock, False, f"no word {c.what!r}: one of {', '.join(_WORDS)}")
    done = said(world, c)
    if done.ok:
        world.note(f"{c.who} says {c.what} of {c.name or 'the fleet'}: {c.reason}")
    return done


def _say_drained(world: World, c: Word) -> Done:
    permit = next((p for p in world.permits.values() if p.out and p.target == c.name), None)
    if permit is None:
        return Done(world.clock, False, f"{c.name} is not out by a permit")
    permit.notes.append(
        f"{c.who} says drained, without {', '.join(permit.need) or 'anybody missing'}: {c.reason}"
    )
    permit.need = []
    permits.settle(world, permit)
    return Done(world.clock, True, f"{c.name} counts as drained", [permit.id])


def _say_ended(world: World, c: Word) -> Done:
    keys = [
        key
        for key, member in world.members.items()
        if c.name in (key, member.name) and member.state != "ended"
    ]
    live = [key for key in keys if world.members[key].state == "live"]
    if live:
        return Done(world.clock, False, f"{live[0]} renews its session: it has not ended")
    for key in keys:
        _ended(world, Ended(c.at, key, f"{c.who}: {c.reason}"))
    return Done(
        world.clock, bool(keys), f"{len(keys)} lives count as ended" if keys else f"no member {c.name}"
    )


def _say_found(world: World, c: Word) -> Done:
    """A lost permit's target is known to serve again."""
    permit = next((p for p in world.permits.values() if p.state == "lost" and p.target == c.name), None)
    if permit is None:
        return Done(world.clock, False, f"no lost permit for {c.name}")
    permits.give_back(world, permit, f"{c.who} says it is back: {c.reason}")
    return Done(world.clock, True, f"permit {permit.id} is returned", [permit.id])


def _say_forget(world: World, c: Word) -> Done:
    """A target that is not there any longer counts no more."""
    keys = [key for key, target in world.targets.items() if target.name == c.name and target.health != "well"]
    for key in keys:
        del world.targets[key]
    return Done(
        world.clock, bool(keys), f"{c.name} is forgotten" if keys else f"{c.name} is unknown, or well"
    )


def _say_go_on(world: World, c: Word) -> Done:
    was, world.halted = world.halted, ""
    return Done(world.clock, bool(was), "grants go on" if was else "nothing was halted")


_WORDS = {"drained": _say_drained, "ended": _say_ended, "found": _say_found, "forget": _say_forget,
          "go-on": _say_go_on}  # fmt: skip


def _plan(world: World, c: NewRelease) -> Done:
    try:
        made = release.plan(world, c.who, c.plan)
    except release.NoRelease as error:
        return Done(world.clock, False, str(error))
    return Done(world.clock, True, f"release {made.id} is planned", [made.id])


def _act(world: World, c: ActRelease) -> Done:
    found = world.releases.get(c.release)
    if found is None:
        return Done(world.clock, False, f"no release {c.release}")
    try:
        state = release.act(world, found, c.act, c.who, c.why)
    except release.NoRelease as error:
        return Done(world.clock, False, str(error))
    return Done(world.clock, True, f"release {found.id} is {state}", [found.id])


# Zones.


def _observed(world: World, c: Observed) -> None:
    traffic.observe(world, c.evidence)


def _wants(world: World, c: Wants) -> None:
    member = world.members.get(c.key)
    if member is not None and member.state == "live":
        slices.wanted(world, c.key, c.wants)


def _follows(world: World, c: Follows) -> None:
    slices.follows(world, c.key, c.epoch)


def _cut(world: World, c: ActCut) -> Done:
    if c.rank >= 0 and (not c.why.strip() or c.lasts <= 0 or not 0 <= c.part <= 1000):
        return Done(world.clock, False, "a cut takes a reason, an end, and a part of at most the whole")
    overload.by_hand(world, c.rank, c.part, c.lasts, f"{c.who} ({c.why})" if c.why else c.who)
    return Done(world.clock, True, "the cut holds" if c.rank >= 0 else "the cut by hand has ended")


def _budgets(world: World, c: SetBudgets) -> Done:
    fault = slices.set_up(world, list(c.budgets))
    if not fault:
        world.note(f"budgets set by {c.who}: {', '.join(world.budgets) or 'none'}")
    return Done(world.clock, not fault, fault or f"{len(c.budgets)} budgets hold")


def _zones(world: World, c: SetZones) -> Done:
    fault = traffic.set_up(world, c.zoning)
    if fault:
        return Done(world.clock, False, fault)
    world.note(f"zones set by {c.who}: {len(c.zoning.zones)} in {len(c.zoning.regions)} regions")
    return Done(world.clock, True, f"{len(c.zoning.zones)} zones are planned")


def _act_zone(world: World, c: ActZone) -> Done:
    if c.act in ("freeze", "thaw"):
        return _freeze(world, c)
    zone = world.zones.get(c.zone)
    if zone is None:
        return Done(world.clock, False, f"no zone {c.zone!r}: one of {', '.join(world.zones) or 'none'}")
    if c.act == "leave":
        return _leave(world, c)
    if c.act == "stay":
        return _stay(world, c.zone, f"{c.who}: {c.why}")
    if c.act in ("pin", "unpin"):
        zone.pinned = c.act == "pin"
        world.traffic.next = 0
        world.note(f"{c.who} says {c.act} of zone {c.zone}: {c.why}")
        return Done(world.clock, True, f"{c.zone} stays {zone.state}" if zone.pinned else "it moves again")
    if c.act == "lost":
        if not c.why.strip():
            return Done(world.clock, False, "a word takes a reason")
        moved = traffic.lose(world, zone, f"{c.who}: {c.why}")
        return Done(world.clock, moved, f"zone {c.zone} is {zone.state}")
    return Done(world.clock, False, f"no act {c.act!r}: leave, stay, pin, unpin, lost, freeze or thaw")


def _freeze(world: World, c: ActZone) -> Done:
    world.traffic.frozen = f"{c.who}: {c.why or 'no reason given'}" if c.act == "freeze" else ""
    world.traffic.next = 0
    frozen = c.act == "freeze"
    world.note(f"the plan of traffic is {'frozen by ' + world.traffic.frozen if frozen else 'thawed'}")
    return Done(world.clock, True, "nothing moves by itself" if frozen else "traffic moves again")


def _leave(world: World, c: ActZone) -> Done:
    """Evacuate a zone: under a permit, and only where the others bear it."""
    if world.traffic.frozen:
        return Done(world.clock, False, f"the plan is frozen by {world.traffic.frozen}: thaw it first")
    short = traffic.short_without(world, c.zone)
    if short > 0:
        return Done(world.clock, False, f"the others would not bear it: {short / 1000:g} slots are missing")
    world.zones[c.zone].over = c.over
    permit = permits.ask(world, "zone", c.zone, c.who, c.why, 0, c.wait)
    world.traffic.next = 0
    text = "; ".join(permit.notes)
    return Done(world.clock, permit.state != "refused", text, [permit.id])


def _stay(world: World, name: str, why: str) -> Done:
    permit = open_for(world, "zone", name)
    if permit is None:
        return Done(world.clock, False, f"zone {name} is not out by a permit, and waits for none")
    if permit.state == "waiting":
        permits.move(world, permit, "withdraw")
    else:
        permits.give_back(world, permit, why)
    world.traffic.next = 0
    return Done(world.clock, True, f"permit {permit.id} is {permit.state}", [permit.id])


_APPLY = {
    Tick: lambda world, c: None,
    Joined: _joined,
    Lapsed: _lapsed,
    Back: _back,
    Ended: _ended,
    Seen: _seen,
    Cleared: _cleared,
    Units: _units,
    Mass: _mass,
    Held: _held,
    Judged: _judged,
    Observed: _observed,
    Wants: _wants,
    Follows: _follows,
    SetBudgets: _budgets,
    ActCut: _cut,
    SetZones: _zones,
    ActZone: _act_zone,
    SetUp: _set_up,
    SetLimits: _limits,
    Ask: _ask,
    Give: _give,
    Word: _word,
    NewRelease: _plan,
    ActRelease: _act,
}
