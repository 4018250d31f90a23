"""The plan of traffic over time: zones' states, ramps, damping, evacuations under permits; no I/O.

All of it is decided while an entry is applied (`fleet/zones.py` says where traffic should go; this says when
and how fast), so that every keeper has the same plan under the same epoch.
"""

from typing import TYPE_CHECKING

import msgspec

from cedarmill.fleet import overload, zones
from cedarmill.fleet.evidence import BOUNDS, FAILING, KEPT_US, LATE, WHOLE, Evidence, ZoneNews
from cedarmill.fleet.state import Target
from cedarmill.fleet.state_machine.permit_states import target_key
from cedarmill.fleet.states import TargetHealth
from cedarmill.fleet.zones import Zone, Zoning

if TYPE_CHECKING:
    from cedarmill.fleet.messages import RouteWeights
    from cedarmill.fleet.state import ClusterState

WELL = FAILING // 3  # thousandths of failures below which a zone that was ill counts as well
PROMPT = LATE // 3  # thousandths of late jobs below which slots claimed are believed more
TRUST_US = 2_000_000  # between two changes of what is believed of a zone's slots
MASS = 2  # zones lost at once, and more than half of all, that are not believed


def set_up(world: "ClusterState", zoning: Zoning) -> str:
    """Zones as an operator lays them; why not, where that cannot be."""
    names = zoning.zones
    if len(set(names)) < len(names):
        return "a zone lies in two regions"
    for pair in zoning.costs:
        if not set(pair.split(">")) <= set(names):
            return f"cost {pair}: no such zones"
    if not 0 < zoning.safe <= WHOLE:
        return "safe: between 0 and 100%"
    world.zoning = zoning
    world.zones = {name: world.zones.get(name) or Zone(name, since=world.clock) for name in names}
    known = [t.name for t in world.targets.values() if t.kind == "zone"]
    for name in known:
        if name not in names:
            del world.targets[target_key("zone", name)]
    for name in names:
        target = Target("zone", name, name, group=zoning.region(name))
        world.targets.setdefault(target_key("zone", name), target)
    world.traffic.shares, world.traffic.aim, world.traffic.next = {}, {}, 0
    world.membership_epoch = (
        world.epoch
    )  # nodes that are there already are to hear of each other, where news are on
    return ""


def observe(world: "ClusterState", evidence: Evidence) -> None:
    """News of the zones; what is not seen now keeps what was known of it, for a time."""
    traffic = world.traffic
    traffic.told = evidence
    known = traffic.news.zones if traffic.news is not None else {}
    found: dict[str, ZoneNews] = {}
    for name in world.zoning.zones:
        news = evidence.zones.get(name, ZoneNews("unknown"))
        if name not in evidence.blind and news.demand:
            traffic.heard[name] = world.clock
        found[name] = _held(world, name, news, known.get(name), name in evidence.blind)
    traffic.news = Evidence(found, evidence.links, evidence.blind, evidence.groups)
    traffic.news_at, traffic.next = world.clock, 0
    for name, zone in world.zones.items():
        _note_since(world, zone, found[name])


def _held(world: "ClusterState", name: str, news: ZoneNews, old: ZoneNews | None, blind: bool) -> ZoneNews:
    """What is unknown counts as it was: slots as believed last, demand as long as it may still be there."""
    if old is None:
        return news
    changes: dict = {}
    if not news.slots:
        changes["slots"] = old.slots
    if blind and world.clock - world.traffic.heard.get(name, 0) <= KEPT_US:
        bounds = sorted(old.demand.keys() | news.demand.keys())
        changes["demand"] = {b: max(news.demand.get(b, 0), old.demand.get(b, 0)) for b in bounds}
        changes["worths"] = news.worths or old.worths
    return msgspec.structs.replace(news, **changes) if changes else news


def _note_since(world: "ClusterState", zone: Zone, news: ZoneNews) -> None:
    """Since when it is seen to be bad or well; where nothing is seen, nothing is known to have changed."""
    if news.verdict == "unknown":
        return
    bad = news.verdict in ("lost", "ill")
    well = news.verdict == "well" and news.failed < WELL
    zone.bad_since = (zone.bad_since if zone.bad_since >= 0 else world.clock) if bad else -1
    zone.well_since = (zone.well_since if zone.well_since >= 0 else world.clock) if well else -1


def move(world: "ClusterState", zone: Zone, event: str, why: str = "") -> bool:
    """Take a zone to its next state; whether there is one."""
    state = zones.STATES.get((zone.state, event))
    if state is None:
        return False
    if event in ("lose", "sicken"):
        zone.losses = [at for at in zone.losses if world.clock - at < zones.FLAP_US][-7:] + [world.clock]
    zone.state, zone.since, zone.changes = state, world.clock, zone.changes + 1
    zone.open = {"open": WHOLE, "lost": 0, "ill": 0, "out": 0}.get(state, zone.open)
    zone.well_since = -1 if state in ("lost", "ill") else zone.well_since
    target = world.targets.get(target_key("zone", zone.name))
    if target is not None:
        health = TargetHealth.SILENT if state == "lost" else TargetHealth.WELL
        target.health_since = target.health_since if target.health == health else world.clock
        target.health = health
    world.note(f"zone {zone.name} is {state}" + (f": {why}" if why else ""))
    return True


def lose(world: "ClusterState", zone: Zone, why: str) -> bool:
    """An operator says that it is lost."""
    world.traffic.next = 0
    return move(world, zone, "lose", why)


def dwell(world: "ClusterState", zone: Zone) -> int:
    """How long it has to be well before it is believed: longer, the oftener it was lost lately (us)."""
    lately = sum(world.clock - at < zones.FLAP_US for at in zone.losses)
    return min(zones.DWELL_MOST, zones.DWELL_US << max(0, lately - 1))


def advance(world: "ClusterState") -> None:
    """Whatever is due by now."""
    traffic = world.traffic
    if not world.zoning.regions or traffic.news is None or world.clock < traffic.next:
        return
    before = {name: zone.state for name, zone in world.zones.items()}
    if not traffic.frozen:
        _by_hand(world)
        _by_news(world)
        _ramps(world)
        _trust(world)
    turned = before != {name: zone.state for name, zone in world.zones.items()}
    if not traffic.frozen or not traffic.shares:
        _aim(world, turned)
        _step(world)
    if turned:
        world.orders_epoch = world.epoch
    traffic.next = _next(world)


def shed(world: "ClusterState") -> None:
    """One step of the level of admission, where the fleet agrees on one: over all, and for the reqs of single
    zones that may go only so far, where these alone find no room.
    """
    news = world.traffic.news
    if not world.zoning.sheds or news is None:
        return
    room, spare = zones.rooms(world.zoning, world.zones, news)
    slots = sum(room.values()) + sum(spare.values())
    wanted = sum(sum(one.demand.values()) for one in news.zones.values())
    late = sum(one.late * sum(one.demand.values()) for one in news.zones.values()) // max(1, wanted)
    busy = sum(one.out for one in news.zones.values())
    if not slots:
        return  # nobody has heard of any yet
    good, aimed = (sum(getattr(one, what) for one in news.zones.values()) for what in ("good", "aimed"))
    queue = busy * WHOLE // aimed if aimed else overload.UNKNOWN if busy else 0
    turned = sum(one.turned * sum(one.demand.values()) for one in news.zones.values()) // max(1, wanted)
    overload.advance(world, news.wants(), slots, late, busy, good, queue, turned, world.traffic.news_at)
    left = {} if wanted > slots else zones.plan(world.zoning, world.zones, news).flow.left
    for scope in sorted({f"{zone}/{bound}" for zone, bound in left} | world.scoped_admission.keys()):
        zone, _, bound = scope.partition("/")
        if (one := news.zones.get(zone)) is not None:
            wants = one.worths.get(bound, {})
            has = sum(wants.values()) - left.get((zone, bound), 0)
            overload.tighten(world, scope, wants, max(0, has), one.late)


def _permit(world: "ClusterState", zone: Zone):
    held = (p for p in world.permits.values() if p.out and p.kind == "zone" and p.target == zone.name)
    return next(held, None)


def _by_hand(world: "ClusterState") -> None:
    """A zone leaves while an operator has leave for it, and comes back when that is returned."""
    for zone in world.zones.values():
        held = _permit(world, zone) is not None
        if held and zone.state in ("open", "ill", "returning", "lost"):
            move(world, zone, "leave", "by an operator's permit")
        elif not held and zone.state in ("leaving", "out"):
            zone.halted = ""
            move(world, zone, "stay")


def _by_news(world: "ClusterState") -> None:
    news = world.traffic.news
    due = [zone for zone in world.zones.values() if not zone.pinned and _believed_bad(world, zone)]
    gone = [z for z in due if news.zones[z.name].verdict == "lost"]
    away = sum(zone.state in ("lost", "out") for zone in world.zones.values())
    fresh = [z for z in gone if (z.state, "lose") in zones.STATES and z.state != "leaving"]
    doubted = ""
    if len(fresh) >= MASS and 2 * (len(fresh) + away) > len(world.zones):
        doubted = f"{len(fresh)} of {len(world.zones)} zones seem lost at once"
    if doubted != world.traffic.doubted:
        world.traffic.doubted = doubted
        world.note(f"traffic stays as it is: {doubted}" if doubted else "news of zones are believed again")
    if doubted:
        return
    for zone in due:
        one = news.zones[zone.name]
        move(world, zone, "lose" if one.verdict == "lost" else "sicken", one.why)
    for zone in world.zones.values():
        waits = zone.state in ("lost", "ill") and not zone.pinned and zone.well_since >= 0
        if waits and world.clock - zone.well_since >= dwell(world, zone):
            move(world, zone, "well")


def _believed_bad(world: "ClusterState", zone: Zone) -> bool:
    verdict = world.traffic.news.zones[zone.name].verdict
    if verdict not in ("lost", "ill"):
        return False
    event, least = ("lose", zones.LOST_US) if verdict == "lost" else ("sicken", zones.ILL_US)
    if zone.bad_since < 0 or (zone.state, event) not in zones.STATES:
        return False
    return world.clock - zone.bad_since >= least


def _ramps(world: "ClusterState") -> None:
    for zone in world.zones.values():
        if zone.pinned:
            continue
        since = world.clock - zone.since
        if zone.state == "returning":
            zone.open = max(zone.open, min(WHOLE, zones.RETURN * since // 1_000_000))
            if zone.open >= WHOLE:
                move(world, zone, "full")
        elif zone.state == "leaving":
            _leave_on(world, zone)


def _leave_on(world: "ClusterState", zone: Zone) -> None:
    """One step of an evacuation, if the others bear it; else it stays as far as it is, and says so."""
    if _permit(world, zone) is None:
        return
    spent = world.clock - zone.since
    want = 0 if spent >= zone.over else WHOLE - WHOLE * spent // zone.over
    if want >= zone.open:
        return
    open_, zone.open = zone.open, want
    short = _missing(world, zone.name) - _missing(world, zone.name, WHOLE)
    halted = f"{short / 1000:g} slots would be missing" if short > 0 else ""
    if halted:
        zone.open = open_
    if bool(halted) != bool(zone.halted):
        world.note(f"the evacuation of zone {zone.name} {'is halted: ' + halted if halted else 'goes on'}")
    zone.halted = halted
    if zone.open == 0:
        move(world, zone, "empty")


def _missing(world: "ClusterState", name: str, open_: int = -1) -> int:
    """Slots that find no room, but for those that may not leave this zone: nobody else could bear these."""
    states = world.zones
    if open_ >= 0:
        states = {**states, name: msgspec.structs.replace(states[name], open=open_)}
    found = zones.plan(world.zoning, states, world.traffic.news)
    return found.missing - found.flow.left.get((name, "zone"), 0)


def short_without(world: "ClusterState", name: str) -> int:
    """Slots of others' room that would be missing if this zone were emptied (thousandths)."""
    if world.traffic.news is None:
        return 0
    return _missing(world, name, 0) - _missing(world, name)


def _trust(world: "ClusterState") -> None:
    """Late jobs where the plan left room show that slots are claimed and are not there."""
    traffic = world.traffic
    room, _ = zones.rooms(world.zoning, world.zones, traffic.news)
    load = zones.load_of(traffic.shares, zones.demands(traffic.news))
    for name, zone in world.zones.items():
        news = traffic.news.zones[name]
        if world.clock - zone.trusted < TRUST_US or zone.state != "open" or news.verdict == "unknown":
            continue
        if news.late >= LATE and load.get(name, 0) * WHOLE <= room[name] * zones.LEFT:
            near = abs(zone.trust - zone.doubt) <= zones.NEAR
            part = zones.TRUST_AGAIN if near else zones.TRUST_DOWN
            zone.doubt, zone.doubted, zone.trusted = zone.trust, world.clock, world.clock
            zone.trust = max(zones.TRUST_LEAST, zone.trust * part // WHOLE)
        elif news.late < PROMPT and zone.trust < WHOLE:
            if world.clock - zone.doubted >= zones.FLAP_US:
                zone.doubt = 0
            most = max(zone.trust, zone.doubt - zones.NEAR) if zone.doubt else WHOLE
            zone.trust, zone.trusted = min(most, zone.trust + zones.TRUST_UP), world.clock


def _aim(world: "ClusterState", turned: bool) -> None:
    """A new aim, where it differs by enough to matter or a zone's state has changed."""
    traffic = world.traffic
    found = zones.plan(world.zoning, world.zones, traffic.news)
    traffic.missing = found.missing
    moves = turned or not traffic.aim or zones.differs(found.rows, traffic.aim) >= zones.STILL
    if moves:
        traffic.aim, traffic.changes = found.rows, traffic.changes + 1
    if not traffic.shares:
        traffic.shares = found.rows
    if moves or traffic.stood != traffic.news_at:
        moves |= _stand(world, found)
    if moves:
        traffic.epoch = world.orders_epoch = world.epoch


def _stand(world: "ClusterState", found: zones.Plan) -> bool:
    """What stands for the loss of each zone, by the newest news; whether it differs by enough to be told."""
    traffic = world.traffic
    then = zones.standing(world.zoning, world.zones, traffic.news, found)
    traffic.stood = traffic.news_at
    names = traffic.standing.keys() | then.keys()
    if all(zones.differs(traffic.standing.get(n, {}), then.get(n, {})) < zones.STILL for n in names):
        return False
    traffic.standing = then
    return True


def _step(world: "ClusterState") -> None:
    """One step towards the aim; at once away from what is lost."""
    traffic = world.traffic
    if traffic.shares == traffic.aim:
        return
    gone = [zone.name for zone in world.zones.values() if zone.state in ("lost", "out")]
    passed = min(world.clock - traffic.at, zones.STEP_US)  # a step after a calm is no larger than others
    if passed < zones.STEP_US and not _uses(traffic.shares, gone):
        return
    then = zones.step(traffic.shares, traffic.aim, zones.SHIFT * passed // 1_000_000, gone)
    room, spare = zones.rooms(world.zoning, world.zones, traffic.news)
    room = {name: slots + spare[name] for name, slots in room.items()}
    traffic.shares = zones.within(traffic.shares, then, zones.demands(traffic.news), room, gone)
    traffic.at = world.clock
    traffic.epoch = world.orders_epoch = world.epoch


def _uses(rows: zones.Rows, gone: list[str]) -> bool:
    return any(row.get(name, 0) > zones.TRIAL for by in rows.values() for row in by.values() for name in gone)


def _next(world: "ClusterState") -> int:
    """When it has to be looked at again."""
    now, traffic = world.clock, world.traffic
    if traffic.frozen:
        return now + 60_000_000
    times = [now + 30_000_000]
    if traffic.shares != traffic.aim:
        times.append(max(now + zones.STEP_US // 5, traffic.at + zones.STEP_US))
    for zone in world.zones.values():
        if zone.state in ("returning", "leaving"):
            times.append(now + zones.STEP_US)
        if zone.bad_since >= 0 and zone.state in ("open", "ill", "returning"):
            waits = (zone.bad_since + zones.LOST_US, zone.bad_since + zones.ILL_US)
            times += [at for at in waits if at > now]
        if zone.state in ("lost", "ill") and zone.well_since >= 0:
            times.append(max(now + zones.STEP_US, zone.well_since + dwell(world, zone)))
        if zone.trust < WHOLE:
            times.append(max(now + zones.STEP_US, zone.trusted + TRUST_US))
    return min(times)


def due(world: "ClusterState") -> list[int]:
    """When something changes by itself."""
    if not world.zoning.regions or world.traffic.news is None:
        return []
    every = [world.admission, *world.scoped_admission.values()]
    moves = world.zoning.sheds and any(
        one.shed or one.late >= overload.LATE or one.hand_till > world.clock for one in every
    )
    return [world.traffic.next, *([min(one.at for one in every) + overload.STEP_US] if moves else [])]


# What members and operators are told.


def way(world: "ClusterState", zone: str) -> "RouteWeights | None":
    """Where the nodes of a zone send."""
    from cedarmill.fleet.messages import RouteWeights

    traffic, zoning = world.traffic, world.zoning
    if zone not in world.zones:
        return None
    reach = {bound: zoning.reach(zone, bound) for bound in BOUNDS}
    shut = {}
    for one in world.zones.values():
        permit = _permit(world, one)
        if one.state == "out" and permit is not None:
            shut[one.name] = permit.epoch
    standing = {lost: rows[zone] for lost, rows in traffic.standing.items() if zone in rows}
    shares = traffic.shares.get(zone) or {bound: {zone: WHOLE} for bound in BOUNDS}
    return RouteWeights(traffic.epoch, zone, reach, shares, standing, shut)


def what_if(world: "ClusterState", name: str) -> dict:
    """Loads and what is missing, now and with a zone gone."""
    if world.traffic.news is None:
        return {"error": "nothing is known of zones yet"}
    if name and name not in world.zones:
        return {"error": f"no zone {name!r}"}
    now = zones.plan(world.zoning, world.zones, world.traffic.news)
    then = zones.plan(world.zoning, world.zones, world.traffic.news, name)
    return {"lose": name, "missing": then.missing, "missing_now": now.missing,
            "zones": {z: {"now": now.load.get(z, 0), "then": then.load.get(z, 0), "room": then.room[z]}
                      for z in world.zoning.zones}}  # fmt: skip


def shown(world: "ClusterState") -> dict:
    """The table that operators read."""
    traffic, rows = world.traffic, []
    if traffic.news is None:
        return {"zones": [], "missing": 0, "frozen": traffic.frozen, "doubted": "", "links": {}, "blind": [],
                "epoch": 0, "changes": 0, "groups": []}  # fmt: skip
    room, spare = zones.rooms(world.zoning, world.zones, traffic.news)
    load = zones.load_of(traffic.shares, zones.demands(traffic.news))
    for name, zone in world.zones.items():
        news = traffic.news.zones[name]
        rows.append({
            "zone": name, "region": world.zoning.region(name), "state": zone.state, "open": zone.open,
            "pinned": zone.pinned, "halted": zone.halted, "trust": zone.trust, "slots": news.slots,
            "room": room[name] or spare[name], "load": load.get(name, 0), "demand": news.demand,
            "failed": news.failed, "late": news.late, "verdict": news.verdict, "why": news.why,
            "shares": traffic.shares.get(name, {}), "dwell_s": dwell(world, zone) / 1e6,
            "since_s": round((world.clock - zone.since) / 1e6, 1)})  # fmt: skip
    return {"zones": rows, "missing": traffic.missing, "frozen": traffic.frozen, "doubted": traffic.doubted,
            "links": traffic.news.links, "blind": traffic.news.blind, "groups": traffic.news.groups,
            "epoch": traffic.epoch, "changes": traffic.changes}  # fmt: skip
