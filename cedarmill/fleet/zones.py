"""Where traffic goes between zones and regions: a plan of shares, decided while an entry is applied; no I/O.

Local first; what does not fit goes by cost to zones with headroom, never over a receiver's safe load. A req
that may not leave its zone or region stays, even where that means a refusal. A zone's part in it follows one
table of states; shares move at bounded rates, and a zone that comes and goes is believed later each time.
For the loss of each zone a plan stands that was agreed before, so that the moment of loss needs no keeper.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from cedarmill.fleet.evidence import BOUNDS, WHOLE, Evidence, ZoneNews

Row = dict[str, int]  # thousandths, by the zone that receives
Rows = dict[str, dict[str, Row]]  # by the zone that sends, then by how far its reqs may go

# (state, event) -> state: whatever changes a zone's part in the plan stands here
STATES = {
    ("open", "lose"): "lost",
    ("open", "sicken"): "ill",
    ("open", "leave"): "leaving",
    ("ill", "lose"): "lost",
    ("ill", "well"): "returning",
    ("ill", "leave"): "leaving",
    ("lost", "well"): "returning",
    ("lost", "leave"): "out",
    ("returning", "full"): "open",
    ("returning", "lose"): "lost",
    ("returning", "sicken"): "ill",
    ("returning", "leave"): "leaving",
    ("leaving", "empty"): "out",
    ("leaving", "lose"): "out",
    ("leaving", "stay"): "returning",
    ("out", "stay"): "returning",
}
DWELL_US = 10_000_000  # that a zone is well before it is believed again; doubled by each loss lately
DWELL_MOST = 160_000_000
FLAP_US = 600_000_000  # in which losses count as lately
LOST_US, ILL_US = 700_000, 2_000_000  # that news say lost, or ill, before they are believed
RETURN = 100  # thousandths of a zone's capacity a second that come back
SHIFT = 200  # thousandths of a row a second that move where nothing is lost
STEP_US = 500_000  # between two steps of what moves
STILL = 50  # thousandths of a row below which a plan that differs is none that matters
LOOSE = 200  # the same for what swings by chance from second to second: parts by worth, slots in use
SAME = 40  # thousandths by which news may differ and be the same news
TRIAL = 20  # thousandths of a zone's own reqs that go on to it while it is lost: how else would it be known
GROWTH = 50  # thousandths by which a zone's own demand may grow before others have moved away
TRUST_DOWN, TRUST_LEAST = 700, 250  # of slots claimed: a first cut, and the floor (thousandths)
TRUST_AGAIN = 900  # a cut at about the level that was too much before
TRUST_UP = 50  # a step up
NEAR = 100  # thousandths that count as near, and by which it stays under that level while losses count
LEFT = 1100  # thousandths of the room up to which a zone was left room: what is told of demand is noisy


class Zoning(msgspec.Struct, array_like=True, frozen=True):
    """How zones lie, and what an operator's settings say of them."""

    regions: dict[str, list[str]] = {}
    costs: dict[str, int] = {}  # `from>to`: latency and price together, as the operator weighs them
    safe: int = 900  # thousandths of a zone's slots that may be in use by plan
    sheds: bool = False  # whether the fleet agrees on a level of admission
    news: bool = False  # whether nodes tell each other what they hear of executors

    @property
    def zones(self) -> list[str]:
        return sorted(zone for zones in self.regions.values() for zone in zones)

    def region(self, zone: str) -> str:
        return next((name for name, zones in self.regions.items() if zone in zones), "")

    def reach(self, zone: str, bound: str) -> list[str]:
        """The zones in which a req may run that came to this one."""
        if bound == "zone":
            return [zone]
        return sorted(self.regions[self.region(zone)]) if bound == "region" else self.zones

    def cost(self, source: str, target: str) -> int:
        """Of sending from one to the other; unset: 1 within a region, 10 beyond it."""
        if source == target:
            return 0
        usual = 1 if self.region(source) == self.region(target) else 10
        return self.costs.get(f"{source}>{target}", usual)


class Zone(msgspec.Struct):
    """A zone's part in the plan. Times: us of the fleet."""

    name: str
    state: str = "open"
    open: int = WHOLE  # thousandths of its capacity that the plan may use
    since: int = 0
    trust: int = WHOLE  # of the slots that it claims
    trusted: int = 0  # when that was last changed
    doubt: int = 0  # the trust at which it was late last; 0: not lately
    doubted: int = 0  # when
    losses: list[int] = msgspec.field(default_factory=list)
    bad_since: int = -1  # news have said lost or ill since then
    well_since: int = -1
    pinned: bool = False  # an operator keeps it as it is
    over: int = 0  # us that an evacuation takes
    halted: str = ""  # why an evacuation does not go on
    changes: int = 0  # of its state


class Traffic(msgspec.Struct):
    """The plan that holds."""

    epoch: int = 0
    at: int = 0
    shares: Rows = msgspec.field(default_factory=dict)
    aim: Rows = msgspec.field(default_factory=dict)  # to which the shares move, in bounded steps
    standing: dict[str, Rows] = msgspec.field(default_factory=dict)  # for the loss of each zone: what differs
    stood: int = -1  # the news that the standing plans rest on, by their time
    missing: int = 0  # slots wanted that find no room anywhere they may go
    changes: int = 0  # of the aim
    news: Evidence | None = None  # that it rests on; of zones that are not seen now, what was known last
    told: Evidence | None = None  # the newest, as it came
    news_at: int = 0
    heard: dict[str, int] = msgspec.field(default_factory=dict)  # when each zone's observers last told demand
    frozen: str = ""  # by whom and why nothing changes by itself
    doubted: str = ""  # news that are not believed, and why
    next: int = 0  # when it is looked at again, at the latest


class Flow(NamedTuple):
    """A solution: slots by source, bound and receiver; slots that find no room, by source and bound."""

    flows: dict[tuple[str, str, str], int]
    left: dict[tuple[str, str], int]

    def load(self) -> dict[str, int]:
        """By the zone that receives."""
        found: dict[str, int] = {}
        for (_, _, target), slots in self.flows.items():
            found[target] = found.get(target, 0) + slots
        return found


def solve(
    zoning: Zoning,
    room: Mapping[str, int],
    spare: Mapping[str, int],
    demand: Mapping[tuple[str, str], int],
    links: Mapping[str, str] = {},
) -> Flow:  # noqa: B006
    """Fill zones from the strictest reqs to the freest, each local first, then by cost, in even parts.

    `room` is what may be in use by plan; `spare` is a last resort, used when no room is left. Since a zone
    lies in a region and a region in the whole, strictest first serves as much as any plan could. Where links
    are gone that is not so any longer: what is left then tries to move others aside (`_aside`).
    """
    flows: dict[tuple[str, str, str], int] = {}
    left = {key: slots for key, slots in demand.items() if slots > 0}
    free = dict(room)
    for bound in BOUNDS:
        mine = sorted(key for key in left if key[1] == bound)
        for key in mine:
            _put(flows, left, free, key, key[0], min(left[key], max(0, free.get(key[0], 0))))
        own = {zone: sum(flows.get((zone, b, zone), 0) for b in BOUNDS) for zone in free}
        headroom = {zone: max(0, free[zone] - own[zone] * GROWTH // WHOLE) for zone in free}
        _spill(zoning, flows, left, free, headroom, mine, links)
    _aside(zoning, flows, left, free, links)
    last = dict(spare)
    for bound in BOUNDS:
        mine = sorted(key for key in left if key[1] == bound)
        for key in mine:
            _put(flows, left, last, key, key[0], min(left[key], max(0, last.get(key[0], 0))))
        _spill(zoning, flows, left, last, dict(last), mine, links)
    return Flow(flows, {key: slots for key, slots in left.items() if slots})


def _put(flows: dict, left: dict, free: dict, key: tuple[str, str], target: str, slots: int) -> None:
    if slots > 0:
        flows[*key, target] = flows.get((*key, target), 0) + slots
        left[key] -= slots
        free[target] -= slots


def _carries(links: Mapping[str, str], source: str, target: str) -> bool:
    return source == target or links.get(f"{source}>{target}") != "gone"


def _price(zoning: Zoning, links: Mapping[str, str], source: str, target: str) -> int:
    """A thin link is used last."""
    return zoning.cost(source, target) + (1000 if links.get(f"{source}>{target}") == "thin" else 0)


def _spill(zoning: Zoning, flows: dict, left: dict, free: dict, headroom: dict[str, int],
           keys: list[tuple[str, str]], links: Mapping[str, str]) -> None:  # fmt: skip
    """What is left goes to others, cheapest first; those that cost alike share it by their headroom."""
    tiers: dict[int, list[tuple[tuple[str, str], list[str]]]] = {}
    for key in keys:
        if not left.get(key):
            continue
        by_price: dict[int, list[str]] = {}
        for target in zoning.reach(*key):
            if target != key[0] and headroom.get(target, 0) > 0 and _carries(links, key[0], target):
                by_price.setdefault(_price(zoning, links, key[0], target), []).append(target)
        for price, targets in by_price.items():
            tiers.setdefault(price, []).append((key, targets))
    for price in sorted(tiers):
        _level(flows, left, free, headroom, tiers[price])


def _level(flows: dict, left: dict, free: dict, headroom: dict[str, int],
           wants: list[tuple[tuple[str, str], list[str]]]) -> None:  # fmt: skip
    """One tier: each asks in parts of what is free, and who is asked for too much gives in even parts."""
    for _ in range(4):
        asked: dict[str, list[tuple[tuple[str, str], int]]] = {}
        for key, targets in wants:
            open_ = [(t, headroom[t]) for t in targets if headroom[t] > 0]
            whole = sum(slots for _, slots in open_)
            want = min(left[key], whole)
            for target, slots in open_:
                if part := -(-want * slots // whole):
                    asked.setdefault(target, []).append((key, part))
        if not asked:
            return
        for target in sorted(asked):
            whole, most = sum(part for _, part in asked[target]), headroom[target]
            for key, part in asked[target]:
                given = part if whole <= most else part * most // whole
                given = min(given, left[key], headroom[target])
                headroom[target] -= max(0, given)
                _put(flows, left, free, key, target, given)


def _aside(zoning: Zoning, flows: dict, left: dict, free: dict, links: Mapping[str, str]) -> None:
    """What finds no room where its links lead asks those there to use room that only they reach."""
    for key in sorted(key for key, slots in left.items() if slots):
        for target in [key[0], *zoning.reach(*key)]:
            if not _carries(links, key[0], target):
                continue
            for other, bound, at in sorted(flow for flow in flows if flow[2] == target and flow[:2] != key):
                for away in zoning.reach(other, bound):
                    if away == at or not _carries(links, other, away):
                        continue
                    slots = min(left[key], flows[other, bound, at], max(0, free.get(away, 0)))
                    if slots > 0:
                        flows[other, bound, at] -= slots
                        flows[other, bound, away] = flows.get((other, bound, away), 0) + slots
                        free[away] -= slots
                        flows[*key, at] = flows.get((*key, at), 0) + slots
                        left[key] -= slots


# From news to room and demand.


def capacity(zone: Zone, news: ZoneNews) -> int:
    """Slots that are there: those claimed, as far as they are believed, less what fails."""
    return news.slots * zone.trust // WHOLE * (WHOLE - min(WHOLE, news.failed)) // WHOLE


def rooms(zoning: Zoning, zones: Mapping[str, Zone], evidence: Evidence,
          without: str = "") -> tuple[dict[str, int], dict[str, int]]:  # fmt: skip
    """What may be in use by plan in each zone, and beside it what is a last resort."""
    room, spare = {}, {}
    for name, zone in zones.items():
        news = evidence.zones.get(name)
        safe = capacity(zone, news) * zoning.safe // WHOLE if news is not None else 0
        if name == without or zone.state == "lost":
            room[name], spare[name] = 0, 0
        elif zone.state == "ill":
            room[name], spare[name] = 0, safe
        else:
            room[name], spare[name] = safe * zone.open // WHOLE, 0
    return room, spare


def demands(evidence: Evidence) -> dict[tuple[str, str], int]:
    """Slots wanted, by the zone that they came to and how far they may go."""
    return {(zone, bound): slots for zone, news in evidence.zones.items()
            for bound, slots in news.demand.items() if slots > 0 and bound in BOUNDS}  # fmt: skip


def rows_of(zoning: Zoning, flow: Flow, demand: Mapping[tuple[str, str], int],
            zones: Mapping[str, Zone], room: Mapping[str, int]) -> Rows:  # fmt: skip
    """Shares of what each zone sends, each row whole; what finds no room is refused where it came.

    A row without demand is what a first req would do. A zone that is lost or ill still gets a little of its
    own.
    """
    rows: Rows = {}
    for source in zoning.zones:
        rows[source] = {}
        for bound in BOUNDS:
            parts = {t: flow.flows.get((source, bound, t), 0) for t in zoning.reach(source, bound)}
            if stays := flow.left.get((source, bound), 0):
                parts[source] += stays
            parts = {t: slots for t, slots in parts.items() if slots > 0}
            row = whole_row(parts) if parts else _first(zoning, source, bound, room)
            rows[source][bound] = _with_trial(row, source, zones[source])
    return rows


def whole_row(parts: Mapping[str, int]) -> Row:
    """Thousandths that add up to the whole; the largest takes what rounding leaves."""
    total = sum(parts.values())
    row = {target: slots * WHOLE // total for target, slots in sorted(parts.items())}
    largest = max(row, key=lambda target: (row[target], target))
    row[largest] += WHOLE - sum(row.values())
    return {target: share for target, share in row.items() if share}


def _first(zoning: Zoning, source: str, bound: str, room: Mapping[str, int]) -> Row:
    """Where a zone without demand would send: home, or the cheapest with room."""
    if room.get(source, 0) > 0:
        return {source: WHOLE}
    open_ = [t for t in zoning.reach(source, bound) if room.get(t, 0) > 0]
    return {min(open_, key=lambda t: (zoning.cost(source, t), t)) if open_ else source: WHOLE}


def _with_trial(row: Row, source: str, zone: Zone) -> Row:
    if zone.state not in ("lost", "ill") or row.get(source, 0) >= TRIAL:
        return row
    rest = {target: share for target, share in row.items() if target != source}
    return whole_row({t: s * (WHOLE - TRIAL) for t, s in rest.items()} | {source: TRIAL * sum(rest.values())})


class Plan(NamedTuple):
    """An aim, and what it rests on."""

    rows: Rows
    load: dict[str, int]
    room: dict[str, int]
    missing: int
    flow: Flow


def plan(zoning: Zoning, zones: Mapping[str, Zone], evidence: Evidence, without: str = "") -> Plan:
    """Where traffic should go now, or with one zone gone."""
    room, spare = rooms(zoning, zones, evidence, without)
    demand = demands(evidence)
    flow = solve(zoning, room, spare, demand, evidence.links)
    rows = rows_of(zoning, flow, demand, zones, room)
    return Plan(rows, flow.load(), room, sum(flow.left.values()), flow)


def standing(zoning: Zoning, zones: Mapping[str, Zone], evidence: Evidence, now: Plan) -> dict[str, Rows]:
    """For the loss of each zone: the rows of those that send there.

    Only they notice, so all others are taken to go on as they do: what went to the lost zone gets what room
    is left beside them, and no more. Whatever part of the nodes follows it, no receiver is brought over.
    """
    found: dict[str, Rows] = {}
    for lost in zoning.zones:
        kept = {key: slots for key, slots in now.flow.flows.items() if key[2] != lost}
        moved = {key[:2]: slots for key, slots in now.flow.flows.items() if key[2] == lost and slots > 0}
        used = Flow(kept, {}).load()
        room = {zone: max(0, most - used.get(zone, 0)) for zone, most in now.room.items() if zone != lost}
        again = solve(zoning, room | {lost: 0}, {}, moved, evidence.links)
        found[lost] = {}
        for source, bound in sorted({key for key, row in _pairs(now.rows) if lost in row}):
            parts = {t: kept.get((source, bound, t), 0) + again.flows.get((source, bound, t), 0)
                     for t in zoning.reach(source, bound)}  # fmt: skip
            parts[source] += again.left.get((source, bound), 0) + now.flow.left.get((source, bound), 0)
            parts = {target: slots for target, slots in parts.items() if slots > 0}
            row = whole_row(parts) if parts else _first(zoning, source, bound, room)
            found[lost].setdefault(source, {})[bound] = row
    return found


def _pairs(rows: Rows) -> Iterable[tuple[tuple[str, str], Row]]:
    return (((source, bound), row) for source, by in rows.items() for bound, row in by.items())


def differs(a: Rows, b: Rows) -> int:
    """The most that any share differs, in thousandths."""
    most = 0
    for source in a.keys() | b.keys():
        for bound in BOUNDS:
            one, other = a.get(source, {}).get(bound, {}), b.get(source, {}).get(bound, {})
            for target in one.keys() | other.keys():
                most = max(most, abs(one.get(target, 0) - other.get(target, 0)))
    return most


def step_row(now: Row, aim: Row, most: int, gone: Iterable[str]) -> Row:
    """A row moves towards its aim by so much at the most; what went to zones that are gone moves at once."""
    gone = set(gone)
    kept = {target: share for target, share in now.items() if target not in gone}
    if sum(kept.values()) < WHOLE:  # what was lost goes where the aim says, the rest stays
        need = WHOLE - sum(kept.values())
        where = {t: s for t, s in aim.items() if t not in gone} or dict(aim)
        extra = whole_row(where)
        kept = {t: kept.get(t, 0) * WHOLE + extra.get(t, 0) * need for t in kept.keys() | extra.keys()}
        now = whole_row(kept)
    away = max((abs(now.get(t, 0) - aim.get(t, 0)) for t in now.keys() | aim.keys()), default=0)
    if away <= most:
        return dict(aim)
    parts = {t: now.get(t, 0) * (away - most) + aim.get(t, 0) * most for t in now.keys() | aim.keys()}
    return whole_row({target: part for target, part in parts.items() if part > 0})


def step(now: Rows, aim: Rows, most: int, gone: Iterable[str]) -> Rows:
    """All rows, one step on."""
    gone = list(gone)
    return {source: {bound: step_row(now.get(source, {}).get(bound, row), row, most, gone)
                     for bound, row in by.items()} for source, by in aim.items()}  # fmt: skip


def load_of(rows: Rows, demand: Mapping[tuple[str, str], int]) -> dict[str, int]:
    """Slots that each zone would get by these shares."""
    found: dict[str, int] = {}
    for (source, bound), slots in demand.items():
        for target, part in rows.get(source, {}).get(bound, {}).items():
            found[target] = found.get(target, 0) + slots * part // WHOLE
    return found


def within(now: Rows, then: Rows, demand: Mapping[tuple[str, str], int], room: Mapping[str, int],
           gone: Iterable[str]) -> Rows:  # fmt: skip
    """Rows that would bring a receiver over its room in the midst of a move wait, unless a zone is gone."""
    gone = set(gone)
    for _ in range(3):
        before, after = load_of(now, demand), load_of(then, demand)
        over = {z for z, slots in after.items() if slots > max(room.get(z, 0), before.get(z, 0))}
        if not over:
            return then
        for source, by in then.items():
            for bound, row in by.items():
                old = now.get(source, {}).get(bound, row)
                if gone & old.keys():
                    continue
                if any(row.get(z, 0) > old.get(z, 0) for z in over):
                    by[bound] = dict(old)
    return then


def same_news(a: Evidence | None, b: Evidence) -> bool:
    """Whether they differ by little: then nothing has to be agreed anew."""
    if a is None or a.links != b.links or a.blind != b.blind or a.zones.keys() != b.zones.keys():
        return False
    return all(_same_zone(a.zones[name], b.zones[name]) for name in a.zones)


def _same_zone(a: ZoneNews, b: ZoneNews) -> bool:
    if a.verdict != b.verdict or abs(a.failed - b.failed) > SAME or abs(a.late - b.late) > 5 * SAME:
        return False
    pairs = [(a.slots, b.slots)]
    pairs += [(a.demand.get(k, 0), b.demand.get(k, 0)) for k in a.demand.keys() | b.demand.keys()]
    if abs(a.turned - b.turned) > 5 * SAME:
        return False
    loose = [(a.out, b.out), (a.aimed, b.aimed)]
    for bound in a.worths.keys() | b.worths.keys():
        one, other = a.worths.get(bound, {}), b.worths.get(bound, {})
        loose += [(one.get(rank, 0), other.get(rank, 0)) for rank in one.keys() | other.keys()]
    return all(abs(x - y) <= max(x, y) * SAME // WHOLE + 500 for x, y in pairs) and all(
        abs(x - y) <= max(x, y) * LOOSE // WHOLE + 1000 for x, y in loose
    )
